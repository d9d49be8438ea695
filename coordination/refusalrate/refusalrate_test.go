package refusalrate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

// Guards against a share that doesn't follow the refusals, or that outlasts
// them when no more requests come.
func TestShareFollowsRefusals(t *testing.T) {
	var share refusalrate.Rate
	now := time.Now()
	assert.Zero(t, share.Value(now))
	for i := range 400 {
		share.Add(now, i%2 == 0)
	}
	assert.InDelta(t, 0.5, share.Value(now), 0.02)
	assert.InDelta(t, 0, share.Value(now.Add(10*time.Second)), 0.01)
	for range 400 {
		share.Add(now, false)
	}
	assert.InDelta(t, 0, share.Value(now), 0.01)
}
