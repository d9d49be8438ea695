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

// retryAfterShed is the time in which servers that shed load usually empty their
// queues.
const retryAfterShed = 250 * time.Millisecond

const (
	// hedgeRechecks is how many times in one hedging delay a shard without a server
	// for its hedge checks again for a free permit.
	hedgeRechecks = 4
	// minRecheck limits the rate of these checks when the delay is short.
	minRecheck = 2 * time.Millisecond
)

// shardRun runs the attempts for one shard.
type shardRun struct {
	run   *run
	shard shardPlan
	// results is buffered for one element of each server. The elements are pointers
	// to save memory, since most of the buffer stays unused.
	results chan *attemptOutcome
	// tried are the servers that an attempt was started at, in order.
	tried    []ebonyworks.ServerID
	inFlight int
	reason   ebonyworks.MissReason
	// won is set by the first attempt that gets a valid reply.
	won atomic.Bool
	// lost is set once the connection to a server was lost while it ran the request.
	lost bool
	// waitingForProof is set once the shard has waited for another shard to prove the
	// request safe.
	waitingForProof bool
}

type attemptOutcome struct {
	result shardResult
	record ebonyworks.AttemptRecord
}

// shard runs attempts until one gets a valid reply, none is in flight, or the context
// ends.
func (r *run) shard(ctx context.Context, shard shardPlan) shardResult {
	// cancel ends the attempts that are still in flight after the first valid reply.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &shardRun{
		run:     r,
		shard:   shard,
		results: make(chan *attemptOutcome, len(shard.service.Servers)+1),
		reason:  ebonyworks.MissNoServer,
	}
	defer s.stopProving()
	if !s.startFirst(ctx) {
		return s.missedResult()
	}
	return s.collect(ctx)
}

// stopProving counts the shard as one that can no longer prove the request safe,
// unless waitUntilSafe has already done so.
func (s *shardRun) stopProving() {
	if !s.waitingForProof {
		s.run.closeShard()
	}
}

func (s *shardRun) collect(ctx context.Context) shardResult {
	hedge := time.NewTimer(s.run.coordinator.Hedging.Delay(s.shard.service.ID))
	defer hedge.Stop()
	for s.inFlight > 0 {
		select {
		case outcome := <-s.results:
			s.inFlight--
			if outcome.result.covered {
				s.recordSuccessAfterLoss()
				return outcome.result
			}
			s.lost = s.lost || outcome.record.Result == ebonyworks.AttemptLost
			s.reason = outcome.result.reason
			if !outcome.result.withheld {
				s.retry(ctx, outcome.record)
				continue
			}
			if again := s.sendWithheld(ctx, outcome.record); again > 0 {
				hedge.Reset(again)
			}
		case <-hedge.C:
			if again := s.hedge(ctx); again > 0 {
				hedge.Reset(again)
			}
		case <-ctx.Done():
			s.reason = ebonyworks.MissTimeout
			return s.missedResult()
		}
	}
	return s.missedResult()
}

// recordSuccessAfterLoss clears the crash that was recorded for an earlier attempt,
// since a hedge that was in flight at the time counts as a second try, too. run
// records only its first success; without this, the crash would remain recorded if that
// success came earlier, and later requests with the fingerprint would be refused.
func (s *shardRun) recordSuccessAfterLoss() {
	if s.lost {
		s.run.coordinator.Quarantine.RecordSuccess(s.run.request.fingerprint)
	}
}

// hedge starts a second attempt if it can help and the budget allows it. It returns
// the delay before the next check, or zero for no further check. A server whose
// permits are all in use gets no hedge, since hedges would only lengthen the queues
// while a whole service is overloaded.
func (s *shardRun) hedge(ctx context.Context) time.Duration {
	policy := s.run.coordinator.Hedging
	delay := policy.Delay(s.shard.service.ID)
	candidate, ok := s.choose()
	if !ok || !hedging.Worthwhile(delay, candidate) {
		return 0
	}
	if candidate.InFlight >= candidate.Limit || s.run.isQuarantined() {
		return recheckDelay(delay)
	}
	if policy.AllowHedge(s.shard.service.ID) {
		s.start(ctx, candidate, true, false)
	}
	return 0
}

func recheckDelay(delay time.Duration) time.Duration { return max(delay/hedgeRechecks, minRecheck) }

// sendWithheld repeats an attempt that was withheld because of crashes, once the
// request is proven safe. It doesn't take from the budget, which the withheld attempt
// has already been charged to. While another attempt is in flight it returns the delay
// before the next check instead.
func (s *shardRun) sendWithheld(ctx context.Context, withheld ebonyworks.AttemptRecord) time.Duration {
	s.tried = slices.DeleteFunc(s.tried, func(id ebonyworks.ServerID) bool { return id == withheld.Server })
	if s.inFlight > 0 {
		return recheckDelay(s.run.coordinator.Hedging.Delay(s.shard.service.ID))
	}
	if ctx.Err() != nil || !s.waitUntilSafe(ctx) {
		return 0
	}
	if candidate, ok := s.choose(); ok {
		s.start(ctx, candidate, withheld.Hedge, withheld.Retry)
	}
	return 0
}

// retry starts another attempt after a failed one if nothing else is in flight.
func (s *shardRun) retry(ctx context.Context, failed ebonyworks.AttemptRecord) {
	if s.inFlight > 0 || ctx.Err() != nil || len(s.remainingCandidates()) == 0 {
		return
	}
	if failed.Result == ebonyworks.AttemptLost && !s.waitUntilSafe(ctx) {
		return
	}
	candidate, ok := s.choose()
	if ok && s.run.coordinator.Hedging.AllowRetry(s.shard.service.ID) {
		s.start(ctx, candidate, false, true)
	}
}

// waitUntilSafe reports whether the request may be retried after a server was lost
// while it ran the request. It waits until another server has completed the request,
// or until no server is left that could. Without that proof the request is never
// retried, since it could be what crashed the server.
func (s *shardRun) waitUntilSafe(ctx context.Context) bool {
	quarantine := s.run.coordinator.Quarantine
	if verdict, _ := quarantine.Check(s.run.request.fingerprint); verdict == ebonyworks.VerdictSafe {
		return true
	}
	s.stopProving()
	s.waitingForProof = true
	select {
	case <-s.run.succeeded:
	case <-s.run.cannotSucceed:
	case <-ctx.Done():
	}
	// Check for the success again: a select takes any of the ready cases, and
	// cannotSucceed can be closed as well once the successful shards have ended.
	select {
	case <-s.run.succeeded:
		quarantine.RecordSuccess(s.run.request.fingerprint)
		return true
	default:
		return false
	}
}

// choose selects the server for the next attempt. It returns false if none is left.
func (s *shardRun) choose() (ebonyworks.Candidate, bool) {
	return s.selectFrom(s.remainingCandidates())
}

// startFirst starts the first attempt. It returns false if there is no server. A slow
// server that needs a probe gets a copy of the request, since a probe in place of the
// first attempt would make the caller wait. The copy is charged to the budget of
// retries, which leaves the hedges to searches that wait for a slow reply.
func (s *shardRun) startFirst(ctx context.Context) bool {
	coordinator := s.run.coordinator
	offered := s.run.eligible(coordinator.Servers.FirstCandidates(s.shard.service, s.run.request.route), nil)
	candidate, ok := s.selectFrom(offered)
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

// probe sends a copy of the request that isn't canceled when another attempt wins, so
// that its full latency is measured. It ends at the deadline.
func (s *shardRun) probe(ctx context.Context, slow ebonyworks.Candidate) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	s.launch(detached, cancel, s.newAttempt(slow, true, false))
}

func (s *shardRun) selectFrom(candidates []ebonyworks.Candidate) (ebonyworks.Candidate, bool) {
	index, ok := s.run.coordinator.Selection.Select(candidates)
	if !ok {
		return ebonyworks.Candidate{}, false
	}
	return candidates[index], true
}

// start starts an attempt that is canceled once the shard has a result.
func (s *shardRun) start(ctx context.Context, candidate ebonyworks.Candidate, hedge, retry bool) {
	s.launch(ctx, func() {}, s.newAttempt(candidate, hedge, retry))
}

func (s *shardRun) newAttempt(candidate ebonyworks.Candidate, hedge, retry bool) attempt {
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
	s.tried = append(s.tried, attempt.server.ID)
	s.inFlight++
	go func() {
		defer release()
		result, record := attempt.execute(ctx)
		s.results <- &attemptOutcome{result: result, record: record}
	}()
}

func (s *shardRun) remainingCandidates() []ebonyworks.Candidate {
	return s.run.candidates(s.shard, s.tried)
}

func (s *shardRun) missedResult() shardResult {
	return shardResult{shard: s.shard.shard.ID, reason: s.reason}
}

// candidates returns the usable servers that weren't tried and aren't known to lack
// the snapshot.
func (r *run) candidates(shard shardPlan, tried []ebonyworks.ServerID) []ebonyworks.Candidate {
	return r.eligible(r.coordinator.Servers.Candidates(shard.service, r.request.route), tried)
}

func (r *run) eligible(candidates []ebonyworks.Candidate, tried []ebonyworks.ServerID) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool {
		if slices.Contains(tried, candidate.Server.ID) {
			return true
		}
		return r.coordinator.Catalogue.Holds(candidate.Server.ID, r.plan.snapshot) == catalogue.Missing
	})
}
