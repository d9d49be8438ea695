// Package selection chooses among the replicas of a shard.
package selection

import (
	"cmp"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"

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
	// failurePenalty times its failure rate is added to the cost of a server, as a
	// multiple of it. A failed attempt costs its caller a retry after the time that the
	// attempt took, and one of the few attempts that a request may make.
	failurePenalty = 10
	// maxLearnedFactor bounds the factor by which what is learned about a server raises
	// its cost, so that the hosts that learn the same don't all leave a server.
	maxLearnedFactor = 2
	// Servers are chosen from the lowest tier: working servers are in tier 0, cold ones in
	// coldTier while a warm one has capacity, failing ones in failingTier. Servers in
	// backoffTier are never chosen.
	coldTier    = 1
	failingTier = 2
	backoffTier = 3
)

// Selector chooses by the power of two choices: the server with the lower cost of two
// random ones. The cost is the latency average x (attempts in flight + 1), both as
// observed by the host itself, raised by the failure rate. A longer expected duration
// replaces that product, within maxLearnedFactor. It is safe for concurrent use. The zero
// value is usable and has a fixed seed.
type Selector struct {
	// CrossDomainFactor multiplies the cost of servers in other failure domains; zero
	// means 1.5. It must not change after the first use.
	CrossDomainFactor float64

	// changed counts the choices that ChangedChoices returns.
	changed atomic.Uint64
	mutex   sync.Mutex
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
	assumed := assumptions{latency: averageLatency(candidates)}
	from := s.considered(candidates)
	localPair := s.sample(candidates, from, true)
	remotePair := s.sample(candidates, from, false)
	local := s.better(candidates, localPair, assumed)
	remote := s.better(candidates, remotePair, assumed)
	chosen := s.better(candidates, pair{local, remote}, assumed)
	s.countChanged(candidates, chosen, [...]int{localPair.first, localPair.second, remotePair.first, remotePair.second}, assumed)
	return chosen, true
}

// ChangedChoices returns how often a server was chosen that would have lost against another
// one without the expected durations.
func (s *Selector) ChangedChoices() uint64 { return s.changed.Load() }

// countChanged counts the choice among the sampled candidates if it is due to the expected
// durations. They only raise costs, so a server without one hasn't lost by them.
func (s *Selector) countChanged(candidates []ebonyworks.Candidate, chosen int, sampled [4]int, assumed assumptions) {
	assumed.withoutLearning = true
	for _, other := range sampled {
		if other < 0 || candidates[other].ExpectedDuration == 0 {
			continue
		}
		if s.cost(&candidates[other], assumed)*tieFactor < s.cost(&candidates[chosen], assumed) {
			s.changed.Add(1)
			return
		}
	}
}

// pair holds the indices of two candidates; -1 means none.
type pair struct{ first, second int }

// considered returns the candidates of the best tier, without those that their shares
// exclude from this call. If that would exclude all of them, it excludes none: a server in
// its slow start is better than a cold or a failing one.
func (s *Selector) considered(candidates []ebonyworks.Candidate) eligible {
	from := bestTier(candidates)
	excluded, found := indices(0), false
	for i := range candidates {
		if share := inclusion(candidates, i); share < 1 && s.random.Float64() >= share {
			excluded.add(i)
			continue
		}
		found = found || from.inTier(&candidates[i])
	}
	if found {
		from.excluded = excluded
	}
	return from
}

// bestTier returns all candidates of the lowest tier that any candidate is in.
func bestTier(candidates []ebonyworks.Candidate) eligible {
	best := eligible{tier: failingTier, avoidCold: anyWarmHasCapacity(candidates)}
	for i := range candidates {
		best.tier = min(best.tier, tierOf(&candidates[i], best.avoidCold))
	}
	return best
}

// inclusion returns the probability with which a call considers the candidate.
func inclusion(candidates []ebonyworks.Candidate, index int) float64 {
	if index >= maxExcludable {
		return 1
	}
	return min(max(candidates[index].Share, 0), 1)
}

// sample returns two random candidates of the tier, either from the host's own failure
// domain or from the others.
func (s *Selector) sample(candidates []ebonyworks.Candidate, from eligible, local bool) pair {
	sampled := pair{-1, -1}
	seen := 0
	for i := range candidates {
		if candidates[i].SameDomain != local || !from.inTier(&candidates[i]) || from.excluded.has(i) {
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

// better returns the preferred candidate of the pair. Ties are broken at random.
func (s *Selector) better(candidates []ebonyworks.Candidate, of pair, assumed assumptions) int {
	if of.first < 0 {
		return of.second
	}
	if of.second < 0 {
		return of.first
	}
	first, second := &candidates[of.first], &candidates[of.second]
	switch preference := compare(first, second, s.cost(first, assumed), s.cost(second, assumed)); {
	case preference < 0 || preference == 0 && s.random.IntN(2) == 0:
		return of.first
	default:
		return of.second
	}
}

// compare returns a negative number if the first candidate is preferred to the second one,
// a positive one if the second is, and zero for a tie. The candidate with the lower cost is
// preferred; if the costs are about equal, the one that reported the lower load is.
func compare(first, second *ebonyworks.Candidate, firstCost, secondCost float64) int {
	switch {
	case firstCost*tieFactor < secondCost:
		return -1
	case secondCost*tieFactor < firstCost:
		return 1
	}
	return cmp.Compare(first.SlotsBusy+first.Queued, second.SlotsBusy+second.Queued)
}

func (s *Selector) cost(candidate *ebonyworks.Candidate, assumed assumptions) float64 {
	result := assumed.duration(candidate) * (1 + failurePenalty*candidate.FailureRate)
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

// assumptions are what the costs of all candidates of one choice have in common.
type assumptions struct {
	// latency is that of servers without samples.
	latency float64
	// withoutLearning ignores the expected durations.
	withoutLearning bool
}

// duration returns the latency average x (attempts in flight + 1). A longer expected duration
// replaces it, within maxLearnedFactor: the average has decayed, or the load or the machine
// has changed since. A shorter one doesn't, because the average follows peaks on purpose: it
// shows that the server pauses.
func (a assumptions) duration(candidate *ebonyworks.Candidate) float64 {
	latency := float64(candidate.Latency)
	if latency == 0 {
		latency = a.latency
	}
	observed := latency * float64(candidate.InFlight+1)
	if a.withoutLearning {
		return observed
	}
	return max(observed, min(float64(candidate.ExpectedDuration), maxLearnedFactor*observed))
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

func tierOf(candidate *ebonyworks.Candidate, avoidCold bool) int {
	switch {
	case candidate.Backoff > 0:
		return backoffTier
	case candidate.Failing:
		return failingTier
	case candidate.Cold && avoidCold:
		return coldTier
	default:
		return 0
	}
}

// anyWarmHasCapacity reports whether a working server that isn't cold has fewer attempts
// in flight than its limit and reports no queue.
func anyWarmHasCapacity(candidates []ebonyworks.Candidate) bool {
	for i := range candidates {
		candidate := &candidates[i]
		full := candidate.Limit > 0 && candidate.InFlight >= candidate.Limit || candidate.Queued > 0
		if !candidate.Cold && !candidate.Failing && candidate.Backoff <= 0 && !full {
			return true
		}
	}
	return false
}

// eligible describes the candidates of one call: those of the tier that aren't excluded.
type eligible struct {
	tier     int
	excluded indices
	// avoidCold is set if cold servers are in coldTier.
	avoidCold bool
}

// inTier reports whether the candidate is in the tier.
func (e eligible) inTier(candidate *ebonyworks.Candidate) bool {
	return tierOf(candidate, e.avoidCold) == e.tier
}

// maxExcludable is the number of candidates that can be excluded: the bits of indices.
// Services have far fewer servers.
const maxExcludable = 64

// indices is a set of candidates' indices below maxExcludable.
type indices uint64

func (s *indices) add(index int) { *s |= 1 << index }

func (s indices) has(index int) bool { return s&(1<<index) != 0 }
