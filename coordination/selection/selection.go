// Package selection chooses among the replicas of a shard.
package selection

import (
	mathrand "math/rand/v2"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// defaultCrossDomainFactor is the default of CrossDomainFactor. With equal latencies, a
	// server in the host's own domain is preferred while it is idle, and an idle
	// server in another domain is preferred as soon as the local one has an attempt
	// in flight (cost 2 > 1.5).
	defaultCrossDomainFactor = 1.5
	// tieFactor is the largest ratio of two costs that count as a tie. Reports of
	// servers decide ties only, so this bounds the advantage that a misleading report
	// gives to a server.
	tieFactor = 1.1
	// queueFactor multiplies the cost of servers where the attempt would wait for a
	// permit, since the number of attempts that already wait there isn't known.
	queueFactor = 1.5
	// Servers are chosen from the lowest tier: working servers are in tier 0, failing
	// ones in failingTier. Servers in backoffTier are never chosen.
	failingTier = 1
	backoffTier = 2
)

// Selector chooses by the power of two choices: the server with the lower cost of two
// random ones. The cost is the latency average x (attempts in flight + 1), both as
// observed by the host itself. It is safe for concurrent use. The zero value is usable
// and has a fixed seed.
type Selector struct {
	// CrossDomainFactor multiplies the cost of servers in other failure domains; zero
	// means 1.5. It must not change after the first use.
	CrossDomainFactor float64

	mutex sync.Mutex
	// random is guarded by mutex.
	random *mathrand.Rand
}

// New returns a selector that draws from random, which must not be shared.
func New(random *mathrand.Rand) *Selector {
	return &Selector{random: random}
}

// Select returns the index of the chosen candidate, or false if none accepts requests.
//
// A candidate with a share below 1 is considered in that fraction of the calls, and
// otherwise only if no other candidate is left. Dividing its cost by the share instead
// would give it no traffic at low load, where the other replica is always cheaper, and
// then all of its traffic at once.
func (s *Selector) Select(candidates []ebonyworks.Candidate) (int, bool) {
	if len(candidates) == 1 {
		return 0, candidates[0].Backoff <= 0
	}
	if !anyAcceptsRequests(candidates) {
		return 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.random == nil {
		s.random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	defaultLatency := averageLatency(candidates)
	tier := s.bestTier(candidates)
	local := s.better(candidates, s.sample(candidates, tier, true), defaultLatency)
	remote := s.better(candidates, s.sample(candidates, tier, false), defaultLatency)
	return s.better(candidates, pair{local, remote}, defaultLatency), true
}

// pair holds the indices of two candidates; -1 means none.
type pair struct{ first, second int }

// bestTier returns the lowest tier with a candidate that isn't excluded from this call
// by its share. If all are excluded, it returns the lowest tier with all its members.
func (s *Selector) bestTier(candidates []ebonyworks.Candidate) eligible {
	best := eligible{tier: failingTier + 1}
	lowest := failingTier
	for i := range candidates {
		tier := tierOf(&candidates[i])
		lowest = min(lowest, tier)
		if candidates[i].Share < 1 && s.random.Float64() >= candidates[i].Share {
			best.excluded.add(i)
			continue
		}
		best.tier = min(best.tier, tier)
	}
	if best.tier > failingTier {
		return eligible{tier: lowest}
	}
	if best.tier == failingTier && lowest < failingTier {
		// A cold server that its share excludes is better than a failing one.
		return eligible{tier: lowest}
	}
	return best
}

// sample returns two random candidates of the tier, either from the host's own failure
// domain or from the others.
func (s *Selector) sample(candidates []ebonyworks.Candidate, from eligible, local bool) pair {
	sampled := pair{-1, -1}
	seen := 0
	for i := range candidates {
		if candidates[i].SameDomain != local || tierOf(&candidates[i]) != from.tier || from.excluded.has(i) {
			continue
		}
		seen++
		s.addToSample(&sampled, i, seen)
	}
	return sampled
}

// addToSample adds the index to a uniform sample of two (reservoir sampling). seen is
// the number of indices so far, including this one.
func (s *Selector) addToSample(sampled *pair, index, seen int) {
	if seen == 1 {
		sampled.first = index
		return
	}
	if seen == 2 {
		sampled.second = index
		return
	}
	switch s.random.IntN(seen) {
	case 0:
		sampled.first = index
	case 1:
		sampled.second = index
	}
}

// better returns the candidate with the lower cost. Ties are broken by the load that
// the servers reported, and then at random. defaultLatency is the latency of servers without
// samples.
func (s *Selector) better(candidates []ebonyworks.Candidate, of pair, defaultLatency float64) int {
	if of.first < 0 {
		return of.second
	}
	if of.second < 0 {
		return of.first
	}
	first, second := &candidates[of.first], &candidates[of.second]
	firstCost, secondCost := s.cost(first, defaultLatency), s.cost(second, defaultLatency)
	switch {
	case firstCost*tieFactor < secondCost:
		return of.first
	case secondCost*tieFactor < firstCost:
		return of.second
	}
	firstLoad := first.SlotsBusy + first.Queued
	secondLoad := second.SlotsBusy + second.Queued
	if firstLoad < secondLoad || (firstLoad == secondLoad && s.random.IntN(2) == 0) {
		return of.first
	}
	return of.second
}

func (s *Selector) cost(candidate *ebonyworks.Candidate, defaultLatency float64) float64 {
	latency := float64(candidate.Latency)
	if latency == 0 {
		latency = defaultLatency
	}
	result := latency * float64(candidate.InFlight+1)
	if !candidate.SameDomain {
		result *= s.crossDomainFactor()
	}
	if candidate.Limit > 0 && candidate.InFlight >= candidate.Limit {
		result *= queueFactor
	}
	return result
}

func (s *Selector) crossDomainFactor() float64 {
	if s.CrossDomainFactor > 0 {
		return s.CrossDomainFactor
	}
	return defaultCrossDomainFactor
}

// averageLatency returns the latency that is assumed for a server without samples: the
// average of the others, so that it is neither overloaded nor avoided.
func averageLatency(candidates []ebonyworks.Candidate) float64 {
	var sum float64
	known := 0
	for i := range candidates {
		if candidates[i].Latency > 0 {
			sum += float64(candidates[i].Latency)
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
}

// anyAcceptsRequests reports whether at least one server isn't in backoff.
func anyAcceptsRequests(candidates []ebonyworks.Candidate) bool {
	for i := range candidates {
		if candidates[i].Backoff <= 0 {
			return true
		}
	}
	return false
}

func tierOf(candidate *ebonyworks.Candidate) int {
	if candidate.Backoff > 0 {
		return backoffTier
	}
	if candidate.Failing {
		return failingTier
	}
	return 0
}

// eligible describes the candidates of one call: those of the tier that aren't excluded.
type eligible struct {
	tier     int
	excluded indices
}

// indices is a set of candidates' indices below 64. Larger indices can't be excluded;
// services have far fewer servers.
type indices uint64

func (s *indices) add(index int) { *s |= 1 << index }

func (s indices) has(index int) bool { return s&(1<<index) != 0 }
