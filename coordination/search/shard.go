package search

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

// retryAfterShed is when servers that shed load have usually worked off their
// queues.
const retryAfterShed = 250 * time.Millisecond

const (
	// hedgeRechecks is how often in one hedging delay an attempt looks again for
	// a server with a free permit.
	hedgeRechecks = 4
	// minRecheck bounds how often it looks when the delay is short.
	minRecheck = 2 * time.Millisecond
)

// shardRun collects the attempts at one shard.
type shardRun struct {
	run   *run
	shard shardPlan
	// results has room for one element of each server. The elements are
	// pointers, since most of that room stays empty.
	results chan *attemptEnd
	// asked are the servers that got an attempt, in order.
	asked    []ebonyworks.ServerID
	inFlight int
	reason   ebonyworks.MissReason
	// won is set by the first attempt with a valid reply.
	won atomic.Bool
	// lost is set once a server went away under the request.
	lost bool
	// waiting is set once the shard has waited for proof from other shards.
	waiting bool
}

type attemptEnd struct {
	result shardResult
	record ebonyworks.AttemptRecord
}

// shard runs attempts until one is valid, none is left, or the context ends.
func (r *run) shard(ctx context.Context, shard shardPlan) shardResult {
	// The cancellation reaches the losing attempts.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &shardRun{
		run:     r,
		shard:   shard,
		results: make(chan *attemptEnd, len(shard.service.Servers)+1),
		reason:  ebonyworks.MissNoServer,
	}
	defer s.ended()
	if !s.startFirst(ctx) {
		return s.missed()
	}
	return s.collect(ctx)
}

// ended counts the shard as one that can't prove the request safe any more,
// unless it already waits for the proof itself.
func (s *shardRun) ended() {
	if !s.waiting {
		s.run.withdrawProof()
	}
}

func (s *shardRun) collect(ctx context.Context) shardResult {
	hedge := time.NewTimer(s.run.coordinator.Hedging.Delay(s.shard.service.ID))
	defer hedge.Stop()
	for s.inFlight > 0 {
		select {
		case end := <-s.results:
			s.inFlight--
			if end.result.covered {
				s.survived()
				return end.result
			}
			s.lost = s.lost || end.record.Result == ebonyworks.AttemptLost
			s.reason = end.result.reason
			if !end.result.withheld {
				s.retry(ctx, end.record)
				continue
			}
			if again := s.resume(ctx, end.record); again > 0 {
				hedge.Reset(again)
			}
		case <-hedge.C:
			if again := s.hedge(ctx); again > 0 {
				hedge.Reset(again)
			}
		case <-ctx.Done():
			s.reason = ebonyworks.MissTimeout
			return s.missed()
		}
	}
	return s.missed()
}

// survived clears the death of an earlier attempt. A hedge that was in flight
// then is a second try, too; without this, the run's earlier proof would leave
// the death standing, and later copies would be refused.
func (s *shardRun) survived() {
	if s.lost {
		s.run.coordinator.Quarantine.RecordSuccess(s.run.request.fingerprint)
	}
}

// hedge starts a second attempt if it is worth it and the budget allows it. It
// returns when to look again, or zero. A server whose permits are all in use
// gets no hedge: while a whole service is overloaded its queue would only grow.
func (s *shardRun) hedge(ctx context.Context) time.Duration {
	policy := s.run.coordinator.Hedging
	delay := policy.Delay(s.shard.service.ID)
	candidate, ok := s.choose()
	if !ok || !hedging.Worthwhile(delay, candidate) {
		return 0
	}
	if candidate.InFlight >= candidate.Limit || s.run.isWithheld() {
		return recheck(delay)
	}
	if policy.AllowHedge(s.shard.service.ID) {
		s.start(ctx, candidate, true, false)
	}
	return 0
}

func recheck(delay time.Duration) time.Duration { return max(delay/hedgeRechecks, minRecheck) }

// resume makes an attempt that wasn't sent because of deaths under the request,
// once the request is proven safe. The budget was charged when it was decided.
// While another attempt is in flight it returns when to look again instead.
func (s *shardRun) resume(ctx context.Context, withheld ebonyworks.AttemptRecord) time.Duration {
	s.asked = slices.DeleteFunc(s.asked, func(id ebonyworks.ServerID) bool { return id == withheld.Server })
	if s.inFlight > 0 {
		return recheck(s.run.coordinator.Hedging.Delay(s.shard.service.ID))
	}
	if ctx.Err() != nil || !s.provenSafe(ctx) {
		return 0
	}
	if candidate, ok := s.choose(); ok {
		s.start(ctx, candidate, withheld.Hedge, withheld.Retry)
	}
	return 0
}

// retry starts another attempt after a failed one if nothing else is in flight.
func (s *shardRun) retry(ctx context.Context, failed ebonyworks.AttemptRecord) {
	if s.inFlight > 0 || ctx.Err() != nil || len(s.remaining()) == 0 {
		return
	}
	if failed.Result == ebonyworks.AttemptLost && !s.provenSafe(ctx) {
		return
	}
	candidate, ok := s.choose()
	if ok && s.run.coordinator.Hedging.AllowRetry(s.shard.service.ID) {
		s.start(ctx, candidate, false, true)
	}
}

// provenSafe reports whether the request may be retried after its server died.
// It waits until another server has completed the request, or until no server
// is left that could. A request whose server died under it is never retried
// without that proof, since it could be what crashed the server.
func (s *shardRun) provenSafe(ctx context.Context) bool {
	inspection := s.run.coordinator.Quarantine
	if verdict, _ := inspection.Check(s.run.request.fingerprint); verdict == ebonyworks.VerdictSafe {
		return true
	}
	s.ended()
	s.waiting = true
	select {
	case <-s.run.proven:
	case <-s.run.hopeless:
	case <-ctx.Done():
	}
	// The proof counts even if other cases are ready, too: the shards that gave
	// it have ended, and a select takes any of the ready cases.
	select {
	case <-s.run.proven:
		inspection.RecordSuccess(s.run.request.fingerprint)
		return true
	default:
		return false
	}
}

// choose selects the server for the next attempt, and returns false if none is
// left.
func (s *shardRun) choose() (ebonyworks.Candidate, bool) {
	return s.selected(s.remaining())
}

// startFirst starts the first attempt, and returns false if no server is left.
// If a slow server needs a probe, it gets a copy of the request: a probe in place
// of the attempt would make the caller wait. The copy takes from the budget of
// retries, which leaves the hedges to searches that wait for a slow reply.
func (s *shardRun) startFirst(ctx context.Context) bool {
	coordinator := s.run.coordinator
	offered := s.run.eligible(coordinator.Servers.FirstCandidates(s.shard.service, s.run.request.route), nil)
	candidate, ok := s.selected(offered)
	if !ok {
		return false
	}
	s.start(ctx, candidate, false, false)
	for _, slow := range offered {
		if slow.Probe && slow.Server.ID != candidate.Server.ID && coordinator.Hedging.AllowRetry(s.shard.service.ID) {
			s.probe(ctx, slow)
		}
	}
	return true
}

// probe sends a copy of the request that isn't canceled when another reply
// wins, so that its latency is seen in full. It ends with the deadline.
func (s *shardRun) probe(ctx context.Context, slow ebonyworks.Candidate) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	s.launch(detached, cancel, s.attempt(slow, true, false))
}

func (s *shardRun) selected(candidates []ebonyworks.Candidate) (ebonyworks.Candidate, bool) {
	index, ok := s.run.coordinator.Selection.Select(candidates)
	if !ok {
		return ebonyworks.Candidate{}, false
	}
	return candidates[index], true
}

// start runs an attempt at the server.
func (s *shardRun) start(ctx context.Context, candidate ebonyworks.Candidate, hedge, retry bool) {
	s.launch(ctx, func() {}, s.attempt(candidate, hedge, retry))
}

func (s *shardRun) attempt(candidate ebonyworks.Candidate, hedge, retry bool) attempt {
	return attempt{
		run:         s.run,
		shard:       s.shard,
		server:      candidate.Server,
		incarnation: candidate.Incarnation,
		hedge:       hedge,
		retry:       retry,
		won:         &s.won,
	}
}

func (s *shardRun) launch(ctx context.Context, release context.CancelFunc, attempt attempt) {
	s.asked = append(s.asked, attempt.server.ID)
	s.inFlight++
	go func() {
		defer release()
		result, record := attempt.do(ctx)
		s.results <- &attemptEnd{result: result, record: record}
	}()
}

func (s *shardRun) remaining() []ebonyworks.Candidate {
	return s.run.candidates(s.shard, s.asked)
}

func (s *shardRun) missed() shardResult {
	return shardResult{shard: s.shard.shard.ID, reason: s.reason}
}

// candidates returns the usable servers that weren't asked and aren't known to
// lack the snapshot.
func (r *run) candidates(shard shardPlan, asked []ebonyworks.ServerID) []ebonyworks.Candidate {
	return r.eligible(r.coordinator.Servers.Candidates(shard.service, r.request.route), asked)
}

func (r *run) eligible(candidates []ebonyworks.Candidate, asked []ebonyworks.ServerID) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool {
		if slices.Contains(asked, candidate.Server.ID) {
			return true
		}
		return r.coordinator.Catalogue.Holds(candidate.Server.ID, r.plan.snapshot) == catalogue.Missing
	})
}
