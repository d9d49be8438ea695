package workload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

func mix() workload.Mix {
	return workload.Mix{
		Houses: []workload.House{{ID: "north", Weight: 3}, {ID: "south", Weight: 1}},
		Routes: []workload.Route{
			{ID: "search", Weight: 8, SingleKey: 20, Filter: "Shade"},
			{ID: "reserve", Kind: ebonyworks.ReservationRoute, Weight: 2},
		},
		Distinct: 50,
		Skew:     1.1,
	}
}

// Guards against shares that differ from the weights, and against reservations
// that repeat a body.
func TestDrawFollowsWeights(t *testing.T) {
	const draws = 20000
	d := workload.New(mix(), rand.New(rand.NewPCG(3, 0)))
	counts := make(map[string]int)
	keys := make(map[string]bool)
	queries := make(map[string]int)
	for range draws {
		request := d.Draw()
		counts[string(request.House)]++
		counts[string(request.Route)]++
		if request.Kind == ebonyworks.ReservationRoute {
			assert.False(t, keys[request.Key], "key %s repeats", request.Key)
			keys[request.Key] = true
			continue
		}
		queries[describe(request)]++
	}
	assert.InDelta(t, 0.75*draws, counts["north"], 0.02*draws)
	assert.InDelta(t, 0.8*draws, counts["search"], 0.02*draws)
	assert.LessOrEqual(t, len(queries), 50)
	// The weight of rank k is k^-1.1, so the ratio of the first to the tenth is
	// 10^1.1.
	all := d.Distinct()
	assert.InDelta(t, 12.6, float64(queries[describe(all[0])])/float64(queries[describe(all[9])]), 3)
}

// Guards against a number of distinct queries other than the configured one,
// which decides how often a host meets an unseen request.
func TestDistinct(t *testing.T) {
	all := workload.New(mix(), rand.New(rand.NewPCG(1, 0))).Distinct()
	again := workload.New(mix(), rand.New(rand.NewPCG(2, 0))).Distinct()
	assert.Equal(t, all, again)
	seen := make(map[string]bool)
	var single int
	for _, request := range all {
		seen[describe(request)] = true
		if request.Keys != (ebonyworks.KeyRange{}) {
			single++
		}
	}
	assert.Len(t, seen, 50)
	assert.Equal(t, 10, single)
}

func describe(request load.Request) string {
	return fmt.Sprint(request.Route, request.Filters, request.Keys)
}
