package routelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/routelimit"
)

// load starts a request each millisecond for ten seconds. A request takes 20 ms, and
// is late if more than ten run. It returns how many ran and how many of them were
// late.
func load(limiter *routelimit.Limiter, overloaded bool) (ran, late int) {
	running := 0
	var ends []time.Time
	for range 10_000 {
		time.Sleep(time.Millisecond)
		for len(ends) > 0 && !time.Now().Before(ends[0]) {
			isLate := running > 10
			limiter.Release("r", overloaded, isLate)
			if isLate {
				late++
			}
			running--
			ends = ends[1:]
		}
		if limiter.TryAcquire("r", overloaded) {
			ran++
			running++
			ends = append(ends, time.Now().Add(20*time.Millisecond))
		}
	}
	return ran, late
}

// Guards against answers that are all late because too many requests run concurrently,
// and against servers that are idle because too few do.
func TestLimitsInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter routelimit.Limiter
		ran, late := load(&limiter, true)
		// Ten at a time are 500 a second.
		assert.Greater(t, ran, 3500)
		assert.Less(t, late, ran/4)
	})
}

// Guards against requests that are refused because of answers that are late for
// another reason than load, and against a limit that outlasts the overload.
func TestLimitsOnlyInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter routelimit.Limiter
		ran, _ := load(&limiter, false)
		assert.Equal(t, 10_000, ran)
	})
	synctest.Test(t, func(t *testing.T) {
		var limiter routelimit.Limiter
		_, _ = load(&limiter, true)
		for range 1000 {
			assert.True(t, limiter.TryAcquire("r", false), "the servers aren't overloaded any more")
			limiter.Release("r", false, false)
		}
		assert.True(t, limiter.TryAcquire("other", true))
	})
}
