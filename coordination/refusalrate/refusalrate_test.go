package refusalrate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

// Guards against a rate that doesn't follow the refusals, or that stays high when no
// more requests come.
func TestRateFollowsRefusals(t *testing.T) {
	var rate refusalrate.Rate
	now := time.Now()
	assert.Zero(t, rate.Value(now))
	for i := range 400 {
		rate.Add(now, i%2 == 0)
	}
	assert.InDelta(t, 0.5, rate.Value(now), 0.02)
	assert.InDelta(t, 0, rate.Value(now.Add(10*time.Second)), 0.01)
	for range 400 {
		rate.Add(now, false)
	}
	assert.InDelta(t, 0, rate.Value(now), 0.01)
}
