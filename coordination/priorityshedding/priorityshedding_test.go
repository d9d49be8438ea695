package priorityshedding_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/priorityshedding"
)

// Guards against less urgent requests that are served more often than urgent
// ones, that starve because of them, or that pay for single refusals.
func TestYields(t *testing.T) {
	const service ebonyworks.ServiceID = "shard-00"
	count := func(b *priorityshedding.Shedder, priority, requests int, refusedOfTen int) {
		for i := range requests {
			b.Count(service, priority, i%10 < refusedOfTen)
		}
	}
	for _, test := range []struct {
		name              string
		urgent, lessOften int
		yields            bool
	}{
		{"calm", 0, 0, false},
		{"urgent ones are turned away", 5, 0, true},
		{"both alike", 5, 5, false},
		{"the less urgent ones more", 3, 8, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var balance priorityshedding.Shedder
				count(&balance, 1, 1000, test.urgent)
				count(&balance, 2, 1000, test.lessOften)
				assert.Equal(t, test.yields, balance.Yields(service, 2))
				assert.False(t, balance.Yields(service, 1), "the most urgent never yield")
				assert.False(t, balance.Yields("other", 2))
				time.Sleep(10 * time.Second)
				assert.False(t, balance.Yields(service, 2), "the past doesn't count for long")
			})
		})
	}
	var balance priorityshedding.Shedder
	balance.Count(service, 1, true)
	assert.False(t, balance.Yields(service, 2), "a single refusal")
}
