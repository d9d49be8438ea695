package hedgedelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/hedgedelay"
)

const target = 100 * time.Millisecond

func observe(estimator *hedgedelay.Estimator, count int, latency time.Duration) {
	for range count {
		estimator.Observe("r", latency)
	}
}

// Guards against a delay that is as long as the latency of the slow servers whose
// attempts should be hedged: a fifth of the attempts takes eight times as long.
func TestSlowServersDontRaiseDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var estimator hedgedelay.Estimator
		observe(&estimator, 80, 10*time.Millisecond)
		observe(&estimator, 20, 80*time.Millisecond)
		time.Sleep(time.Second)
		delay, allowed := estimator.Delay("r", target)
		assert.True(t, allowed)
		assert.InDelta(t, float64(22*time.Millisecond), float64(delay), float64(time.Millisecond))
	})
}

// Guards against hedges that add to an overload: the latency of most attempts rises to
// many times its floor, and hedging resumes once it has fallen.
func TestNoHedgesInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var estimator hedgedelay.Estimator
		observe(&estimator, 100, 10*time.Millisecond)
		_, allowed := estimator.Delay("r", target)
		assert.True(t, allowed)
		time.Sleep(11 * time.Second)
		observe(&estimator, 100, 90*time.Millisecond)
		_, allowed = estimator.Delay("r", target)
		assert.False(t, allowed)
		time.Sleep(11 * time.Second)
		observe(&estimator, 100, 12*time.Millisecond)
		_, allowed = estimator.Delay("r", target)
		assert.True(t, allowed)
	})
}

// Guards against a host that hedges at once, or too late, before it has samples.
func TestInitialDelay(t *testing.T) {
	var estimator hedgedelay.Estimator
	delay, allowed := estimator.Delay("r", target)
	assert.True(t, allowed)
	assert.Equal(t, 25*time.Millisecond, delay)
	delay, _ = estimator.Delay("r", time.Millisecond)
	assert.Equal(t, 3*time.Millisecond, delay)
}
