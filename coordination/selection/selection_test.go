package selection_test

import (
	mathrand "math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/coordination/selection/leastoutstanding"
	"github.com/ebonyworks/ebonyworks/coordination/selection/roundrobin"
)

const draws = 4000

func newRandom() *mathrand.Rand { return mathrand.New(mathrand.NewPCG(11, 12)) }

// shares returns the fraction of the draws in which each candidate was selected.
func shares(s ebonyworks.Selection, candidates []ebonyworks.Candidate) []float64 {
	for i := range candidates {
		candidates[i].Server.ID = ebonyworks.ServerID(strconv.Itoa(i))
		if candidates[i].Share == 0 {
			candidates[i].Share = 1
		}
	}
	result := make([]float64, len(candidates))
	for range draws {
		if i, ok := s.Select(candidates); ok {
			result[i] += 1.0 / draws
		}
	}
	return result
}

// Guards against too much traffic to slow, failing and cold servers, against decisions
// by misleading reports, and against overload of the host's own failure domain.
func TestSelect(t *testing.T) {
	const us, ms = time.Microsecond, time.Millisecond
	tests := []struct {
		name       string
		candidates []ebonyworks.Candidate
		want       []float64
	}{
		{"none", nil, []float64{}},
		{"one, failing", []ebonyworks.Candidate{{Failing: true}}, []float64{1}},
		{"equal", []ebonyworks.Candidate{{Latency: ms}, {Latency: ms}}, []float64{0.5, 0.5}},
		{"straggler", []ebonyworks.Candidate{{Latency: 10 * ms}, {Latency: ms}}, []float64{0, 1}},
		{"straggler is used when the other is busy", []ebonyworks.Candidate{{Latency: 3 * ms}, {Latency: ms, InFlight: 5}}, []float64{1, 0}},
		{"two choices spare the slowest only", []ebonyworks.Candidate{{Latency: ms}, {Latency: 2 * ms}, {Latency: 3 * ms}}, []float64{0.667, 0.333, 0}},
		{"same domain first", []ebonyworks.Candidate{{Latency: ms, SameDomain: true}, {Latency: ms}}, []float64{1, 0}},
		{"same domain loaded", []ebonyworks.Candidate{{Latency: ms, SameDomain: true, InFlight: 1}, {Latency: ms}}, []float64{0, 1}},
		{"straggler in the same domain", []ebonyworks.Candidate{{Latency: 9 * ms, SameDomain: true}, {Latency: ms}}, []float64{0, 1}},
		{"free permit first", []ebonyworks.Candidate{{Latency: ms, InFlight: 1, Limit: 1}, {Latency: 1200 * us, InFlight: 1, Limit: 2}}, []float64{0, 1}},
		{"a permit is worth a wait next to a straggler", []ebonyworks.Candidate{{Latency: ms, InFlight: 2, Limit: 2}, {Latency: 10 * ms, Limit: 2}}, []float64{1, 0}},
		{"failing last", []ebonyworks.Candidate{{Latency: ms, Failing: true}, {Latency: 50 * ms, InFlight: 2, Limit: 1}}, []float64{0, 1}},
		{"all failing", []ebonyworks.Candidate{{Latency: ms, Failing: true}, {Latency: ms, Failing: true}}, []float64{0.5, 0.5}},
		{"cold gets its share", []ebonyworks.Candidate{{Latency: ms}, {Latency: ms, Share: 0.1}}, []float64{0.95, 0.05}},
		{"cold and failing", []ebonyworks.Candidate{{Latency: ms, Failing: true}, {Share: 0.1}}, []float64{0, 1}},
		{"all cold", []ebonyworks.Candidate{{Share: 0.1}, {Share: 0.1}}, []float64{0.5, 0.5}},
		{"unknown latency is neutral", []ebonyworks.Candidate{{Latency: ms}, {}}, []float64{0.5, 0.5}},
		{"report breaks a tie", []ebonyworks.Candidate{{Latency: ms, SlotsBusy: 2, Queued: 4}, {Latency: ms, SlotsBusy: 1}}, []float64{0, 1}},
		{"report can't outweigh observation", []ebonyworks.Candidate{{Latency: ms, SlotsBusy: 2, Queued: 400}, {Latency: 2 * ms}}, []float64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.InDeltaSlice(t, test.want, shares(selection.New(newRandom()), test.candidates), 0.03)
			assert.InDeltaSlice(t, test.want, shares(&selection.Selector{}, test.candidates), 0.03)
		})
	}
}

// Guards against baselines that are weaker than their name says, which would make
// Selector look better in comparisons.
func TestBaselines(t *testing.T) {
	candidates := []ebonyworks.Candidate{{InFlight: 1, Latency: 1}, {InFlight: 0, Latency: 9}, {InFlight: 0}}
	assert.InDeltaSlice(t, []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}, shares(&roundrobin.Selector{}, candidates), 0.01)
	assert.InDeltaSlice(t, []float64{0, 0.5, 0.5}, shares(leastoutstanding.New(newRandom()), candidates), 0.03)
	for _, baseline := range []ebonyworks.Selection{&roundrobin.Selector{}, &leastoutstanding.Selector{}} {
		_, ok := baseline.Select(nil)
		assert.False(t, ok)
	}
}

// Guards against one counter for all services, with which each of 20 shards would go to
// the same one of two replicas in every search.
func TestRoundRobinAlternatesForEachService(t *testing.T) {
	r := &roundrobin.Selector{}
	for search := range 4 {
		for shard := range 20 {
			i, _ := r.Select([]ebonyworks.Candidate{
				{Server: ebonyworks.Server{ID: ebonyworks.ServerID(strconv.Itoa(shard))}}, {},
			})
			assert.Equal(t, search%2, i)
		}
	}
}
