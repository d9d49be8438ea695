package priorityshedding_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/priorityshedding"
)

// Guards against requests of lower priority that are served more often than those of
// higher priority, that starve because of them, or that are shed because of single
// refusals.
func TestShouldShed(t *testing.T) {
	const service ebonyworks.ServiceID = "shard-00"
	count := func(s *priorityshedding.Shedder, priority, requests int, refusedOfTen int) {
		for i := range requests {
			s.Record(service, priority, i%10 < refusedOfTen)
		}
	}
	for _, test := range []struct {
		name      string
		high, low int
		sheds     bool
	}{
		{"calm", 0, 0, false},
		{"higher priority is refused", 5, 0, true},
		{"equal refusal rates", 5, 5, false},
		{"lower priority is refused more", 3, 8, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var shedder priorityshedding.Shedder
				count(&shedder, 1, 1000, test.high)
				count(&shedder, 2, 1000, test.low)
				assert.Equal(t, test.sheds, shedder.ShouldShed(service, 2))
				assert.False(t, shedder.ShouldShed(service, 1), "the highest priority is never shed")
				assert.False(t, shedder.ShouldShed("other", 2))
				time.Sleep(10 * time.Second)
				assert.False(t, shedder.ShouldShed(service, 2), "old refusals don't count")
			})
		})
	}
	var shedder priorityshedding.Shedder
	shedder.Record(service, 1, true)
	assert.False(t, shedder.ShouldShed(service, 2), "a single refusal")
}
