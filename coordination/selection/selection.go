// Package selection chooses among the replicas of a shard.
package selection

import (
	mathrand "math/rand/v2"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// farFactor multiplies the cost of servers in other domains unless the
	// selector has another one. A near server with the same latency is preferred
	// while it is idle, and passed over for an idle far one as soon as it has an
	// attempt in flight (cost 2 > 1.5).
	farFactor = 1.5
	// tieFactor is how far costs may differ and still count as a tie. It is
	// the most that a misleading report can gain a server.
	tieFactor = 1.1
	// queueFactor multiplies the cost of servers where the attempt would wait
	// for a permit, since the attempts that wait there already aren't known.
	queueFactor = 1.5
	// failingTier is above the tier of servers that work, and backoffTier above
	// both. No server of it is chosen.
	failingTier = 1
	backoffTier = 2
)

// Selector prefers the cheaper of two random servers, by the host's own
// observation: latency average x (attempts in flight + 1). It is safe for
// concurrent use. The zero value is usable and has a fixed seed.
type Selector struct {
	// CrossDomainFactor multiplies the cost of servers in other domains; zero means 1.5.
	// It isn't changed after the first use.
	CrossDomainFactor float64

	mutex sync.Mutex
	// random is guarded by mutex.
	random *mathrand.Rand
}

// New returns a selector that draws from random, which must not be shared.
func New(random *mathrand.Rand) *Selector {
	return &Selector{random: random}
}

// Select returns the index of the chosen candidate, or false if there is none that
// takes requests.
//
// A candidate with a share below 1 takes part in that part of the calls, and
// otherwise only if nothing else is left. Dividing its cost by the share
// instead would leave it without any traffic at low load, where the other
// replica is always cheaper, and then with all of its traffic at once.
func (s *Selector) Select(candidates []ebonyworks.Candidate) (int, bool) {
	if len(candidates) == 1 {
		return 0, candidates[0].Backoff <= 0
	}
	if !anyTakesRequests(candidates) {
		return 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.random == nil {
		s.random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	unknown := averageLatency(candidates)
	tier := s.bestTier(candidates)
	near := s.better(candidates, s.draw(candidates, tier, true), unknown)
	far := s.better(candidates, s.draw(candidates, tier, false), unknown)
	return s.better(candidates, pair{near, far}, unknown), true
}

// pair holds two indices of candidates; -1 means none.
type pair struct{ first, second int }

// bestTier returns the lowest tier that has a candidate whose share admits it
// to this call; if the shares admit none, the lowest tier and all its members.
func (s *Selector) bestTier(candidates []ebonyworks.Candidate) admitted {
	best := admitted{tier: failingTier + 1}
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
		return admitted{tier: lowest}
	}
	if best.tier == failingTier && lowest < failingTier {
		// A cold server is better than a failing one.
		return admitted{tier: lowest}
	}
	return best
}

// draw returns two random candidates of the tier, near or far ones.
func (s *Selector) draw(candidates []ebonyworks.Candidate, from admitted, near bool) pair {
	drawn := pair{-1, -1}
	seen := 0
	for i := range candidates {
		if candidates[i].SameDomain != near || tierOf(&candidates[i]) != from.tier || from.excluded.has(i) {
			continue
		}
		seen++
		s.keep(&drawn, i, seen)
	}
	return drawn
}

// keep puts the index into a uniform sample of two (reservoir sampling).
func (s *Selector) keep(drawn *pair, index, seen int) {
	if seen == 1 {
		drawn.first = index
		return
	}
	if seen == 2 {
		drawn.second = index
		return
	}
	switch s.random.IntN(seen) {
	case 0:
		drawn.first = index
	case 1:
		drawn.second = index
	}
}

// better returns the cheaper one of two candidates. Reports of the servers
// break ties, and chance breaks ties of the reports.
func (s *Selector) better(candidates []ebonyworks.Candidate, of pair, unknown float64) int {
	if of.first < 0 {
		return of.second
	}
	if of.second < 0 {
		return of.first
	}
	first, second := &candidates[of.first], &candidates[of.second]
	firstCost, secondCost := s.cost(first, unknown), s.cost(second, unknown)
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

func (s *Selector) cost(candidate *ebonyworks.Candidate, unknown float64) float64 {
	latency := float64(candidate.Latency)
	if latency == 0 {
		latency = unknown
	}
	result := latency * float64(candidate.InFlight+1)
	if !candidate.SameDomain {
		result *= s.far()
	}
	if candidate.Limit > 0 && candidate.InFlight >= candidate.Limit {
		result *= queueFactor
	}
	return result
}

func (s *Selector) far() float64 {
	if s.CrossDomainFactor > 0 {
		return s.CrossDomainFactor
	}
	return farFactor
}

// averageLatency returns the latency that a server without samples is taken
// to have: the average of the others, so that it is neither flooded nor
// avoided.
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

// anyTakesRequests reports whether at least one server isn't in backoff.
func anyTakesRequests(candidates []ebonyworks.Candidate) bool {
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

// admitted names the candidates that take part in one call: those of the
// tier that aren't excluded.
type admitted struct {
	tier     int
	excluded indices
}

// indices is a set of the candidates' indices below 64. Larger ones can't be
// excluded; services have far fewer servers.
type indices uint64

func (s *indices) add(index int) { *s |= 1 << index }

func (s indices) has(index int) bool { return s&(1<<index) != 0 }
