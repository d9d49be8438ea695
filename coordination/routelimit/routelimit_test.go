package routelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/routelimit"
)

// load offers a request each millisecond for ten seconds. A request takes 20 ms,
// and is late if more than ten run. It returns how many ran and were late.
func load(pacer *routelimit.Limiter, crowded bool) (ran, late int) {
	running := 0
	var ends []time.Time
	for range 10_000 {
		time.Sleep(time.Millisecond)
		for len(ends) > 0 && !time.Now().Before(ends[0]) {
			isLate := running > 10
			pacer.End("r", crowded, isLate)
			if isLate {
				late++
			}
			running--
			ends = ends[1:]
		}
		if pacer.Begin("r", crowded) {
			ran++
			running++
			ends = append(ends, time.Now().Add(20*time.Millisecond))
		}
	}
	return ran, late
}

// Guards against answers that are all late because too many requests run at a
// time, and against servers that stand idle because too few do.
func TestPacesOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pacer routelimit.Limiter
		ran, late := load(&pacer, true)
		// Ten at a time are 500 a second.
		assert.Greater(t, ran, 3500)
		assert.Less(t, late, ran/4)
	})
}

// Guards against requests that are turned away because of answers that are late
// for another reason than load, and against a bound that outlasts the overload.
func TestBoundsOnlyInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pacer routelimit.Limiter
		ran, _ := load(&pacer, false)
		assert.Equal(t, 10_000, ran)
	})
	synctest.Test(t, func(t *testing.T) {
		var pacer routelimit.Limiter
		_, _ = load(&pacer, true)
		for range 1000 {
			assert.True(t, pacer.Begin("r", false), "the servers aren't crowded any more")
			pacer.End("r", false, false)
		}
		assert.True(t, pacer.Begin("other", true))
	})
}
