package fanout

import (
	"context"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

var _ ebonyworks.Explainer = (*Forwarder)(nil)

// Explain tells what would happen to the request now. It runs the decisions of Forward on
// copies of the state, up to the first attempts: it sends nothing, takes no permit, charges
// no budget and changes no state. Where the choice of a server is random, the admission is
// decided for the most probable one.
func (f *Forwarder) Explain(request *ebonyworks.ForwardRequest) ebonyworks.Explanation {
	route, revision, refusal := f.findRoute(request)
	explanation := ebonyworks.Explanation{Revision: revision}
	if route != nil {
		explanation.Route = route.ID
	}
	if refusal != nil {
		explanation.Refusal = *refusal
		return explanation
	}
	if f.mayDelegate(request, route) {
		explanation.Delegates = f.Delegator.Preview()
	}
	needed := route.Shards
	if !route.IsSharded() {
		needed = []ebonyworks.ServiceID{route.Peek()}
	}
	r := f.readOnly().newRun(request, route, needed, revision, origin{})
	explanation.Refusal, explanation.Admitted = r.preview()
	unavailable := f.ServerStates.Unavailable()
	for _, sub := range r.subrequests {
		explanation.Shards = append(explanation.Shards, sub.explain(unavailable))
	}
	return explanation
}

// preview makes the decisions of do before the first attempt, and returns the reply if the
// request isn't admitted.
func (r *run) preview() (ebonyworks.ForwardReply, bool) {
	now := time.Now()
	admitted := r.admit(now)
	if reply, refused := r.checkQuarantine(); refused {
		return reply, false
	}
	// Without a source of permits, nothing is taken.
	if admitted && r.forwarder.Permits == nil {
		admitted = r.takePermits(context.Background())
	}
	if !admitted {
		return r.failedReply(now), false
	}
	return ebonyworks.ForwardReply{}, true
}

// explain returns the decisions about the subrequest and what is known of the servers, of
// which some are unavailable.
func (s *subrequest) explain(unavailable map[ebonyworks.ServerID]bool) ebonyworks.ShardExplanation {
	shard := ebonyworks.ShardExplanation{Service: s.id, Omitted: s.omitted(), Wait: s.predictedWait, NeedsPermit: s.needsPermit()}
	if s.tooSlow {
		shard.Reason = s.reason()
	}
	if s.service == nil {
		return shard
	}
	states := s.run.forwarder.ServerStates
	chances := s.chances()
	candidates := s.candidates
	if len(candidates) == 0 {
		candidates = states.Candidates(s.service, s.run.route.Idempotent)
	}
	for i := range candidates {
		known := ebonyworks.CandidateExplanation{Candidate: candidates[i], Usable: true}
		// A draining server is a candidate in its grace period.
		known.Draining = unavailable[candidates[i].Server.ID] && candidates[i].Backoff <= 0
		if len(chances) > 0 {
			known.Chance = chances[i]
		}
		shard.Candidates = append(shard.Candidates, known)
	}
	for _, server := range s.service.Servers {
		if slices.ContainsFunc(candidates, func(candidate ebonyworks.Candidate) bool { return candidate.Server.ID == server.ID }) {
			continue
		}
		availability := states.Availability(server)
		shard.Candidates = append(shard.Candidates, ebonyworks.CandidateExplanation{
			Candidate: ebonyworks.Candidate{Server: server, Backoff: availability.Backoff, RateLimited: availability.RateLimited, Cold: availability.Cold},
			Evacuated: availability.Evacuated,
			Draining:  availability.Draining || unavailable[server.ID] && !availability.Evacuated && availability.Backoff <= 0,
		})
	}
	return shard
}

// chances returns the probability of each candidate to get the first attempt; nil if there
// is no first attempt.
func (s *subrequest) chances() []float64 {
	if s.omitted() {
		return nil
	}
	if s.backoff == 0 {
		return s.run.forwarder.Selection.Chances(s.candidates)
	}
	chances := make([]float64, len(s.candidates))
	chances[s.firstIndex] = 1
	return chances
}

// readOnly returns a forwarder that makes the same decisions without a change of the state.
// It can't send anything.
func (f *Forwarder) readOnly() *Forwarder {
	readOnly := &Forwarder{
		Domain:           f.Domain,
		Table:            f.Table,
		Registry:         f.Registry,
		ServerStates:     readOnlyStates{f.ServerStates},
		Selection:        likeliestSelection{f.Selection, make(map[*ebonyworks.Candidate][]float64)},
		Quota:            f.Quota,
		LatencyEstimator: readOnlyEstimator{f.LatencyEstimator},
		PriorityShedder:  &readOnlyShedder{PriorityShedder: f.PriorityShedder},
		RouteLimiter:     readOnlyLimiter{f.RouteLimiter},
		Quarantine:       f.Quarantine,
	}
	if f.Permits != nil {
		readOnly.Permits = noPermits{}
	}
	return readOnly
}

// readOnlyStates claims no probes and records no attempts.
type readOnlyStates struct{ ServerStates }

func (s readOnlyStates) Candidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate {
	return s.PeekCandidates(service, idempotent)
}

func (readOnlyStates) Observe(ebonyworks.AttemptRecord) {}

// likeliestSelection selects the most probable candidate. It keeps the chances of each
// choice, so that they are computed once.
type likeliestSelection struct {
	ebonyworks.PredictableSelection
	// chances are those of the last choice among candidates, by the first element of the
	// slice. Each subrequest has a slice of its own.
	chances map[*ebonyworks.Candidate][]float64
}

func (s likeliestSelection) Select(candidates []ebonyworks.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	chances := s.PredictableSelection.Chances(candidates)
	s.chances[&candidates[0]] = chances
	best, highest := 0, 0.0
	for i, chance := range chances {
		if chance > highest {
			best, highest = i, chance
		}
	}
	return best, highest > 0
}

// Chances returns the chances of the last choice among the candidates.
func (s likeliestSelection) Chances(candidates []ebonyworks.Candidate) []float64 {
	return s.chances[&candidates[0]]
}

// readOnlyEstimator computes the latencies without storing them.
type readOnlyEstimator struct{ LatencyEstimator }

func (e readOnlyEstimator) MedianLatency(route ebonyworks.RouteID) (median, unloaded time.Duration) {
	return e.PeekMedianLatency(route)
}

// readOnlyShedder counts the explained request only in the rate that it returns itself.
type readOnlyShedder struct {
	PriorityShedder
	// refused is set if the explained request is refused because of load.
	refused bool
}

func (s *readOnlyShedder) Record(_ ebonyworks.ServiceID, _ int, refused bool) { s.refused = refused }

func (s *readOnlyShedder) RefusalRate(service ebonyworks.ServiceID, priority int) float64 {
	return s.PeekRefusalRate(service, priority, s.refused)
}

// readOnlyLimiter doesn't count requests.
type readOnlyLimiter struct{ RouteLimiter }

func (l readOnlyLimiter) TryAcquire(route ebonyworks.RouteID, overloaded bool) bool {
	return l.Allows(route, overloaded)
}

func (readOnlyLimiter) Release(ebonyworks.RouteID, bool, bool) {}

// noPermits stands for a source of permits that isn't asked.
type noPermits struct{}

func (noPermits) Take(context.Context, ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	return ebonyworks.PermitReply{}, nil
}
