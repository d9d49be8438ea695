package fanout

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/merging"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

const (
	// hedgeQuorum is the fraction of the subrequests that must have responded
	// before the others count as late.
	hedgeQuorum = 0.6
	// recheckDivisor divides the hedge delay into the interval after which a
	// subrequest that couldn't be hedged is checked again; minRecheck is
	// the shortest interval.
	recheckDivisor = 4
	minRecheck     = 2 * time.Millisecond
	// replyMargin is how long before the caller times out an unanswered request
	// is ended, so that the reply still reaches the caller.
	replyMargin = 10 * time.Millisecond
	// minServerTime is the least time that a server gets in addition to the
	// typical latency. A request that reaches the server later is run in vain.
	minServerTime = 5 * time.Millisecond
	// extraAttemptDivisor sets the capacity reserved for attempts beyond the
	// first: the number of subrequests divided by it.
	extraAttemptDivisor = 8
	// evacuatedRetryAfter is the delay for callers while the servers that they need are
	// evacuated. When an operator ends that isn't known.
	evacuatedRetryAfter = 500 * time.Millisecond
)

// run is the execution of one request. Its state belongs to the goroutine that
// calls do; attempts report their end through finished.
type run struct {
	forwarder   *Forwarder
	request     *ebonyworks.ForwardRequest
	route       *routing.Route
	revision    ebonyworks.Revision
	fingerprint ebonyworks.Fingerprint
	partial     partialAnswerPolicy
	deadline    time.Time
	subrequests []*subrequest
	// finished has capacity for all attempts, so that none blocks.
	finished chan *attempt
	// sendDeadline is when attempts that haven't been sent are dropped.
	sendDeadline time.Time
	attempts     []*attempt
	inFlight     int
	// done counts the subrequests with a response, and quorumAt is when most had one;
	// zero before.
	done       int
	quorumAt   time.Time
	provenSafe bool
	// mayHaveRun is set if another host may have run the request, so that all
	// attempts are charged to the retry budget.
	mayHaveRun bool
	// admission holds the inputs of the admission decision; refused is set if the
	// request wasn't admitted.
	admission admission
	refused   bool
	// overloadReason is why the request was refused although enough subrequests
	// could respond in time.
	overloadReason string
	hedgeDelay     time.Duration
	mayHedge       bool
	// permitWait is the time after which permits may be available if the request got
	// none; zero if it got them or needed none.
	permitWait time.Duration
}

// newRun returns the run of a request that needs the services.
func (f *Forwarder) newRun(request *ebonyworks.ForwardRequest, route *routing.Route, needed []ebonyworks.ServiceID, revision ebonyworks.Revision, from origin) *run {
	r := &run{
		forwarder:  f,
		request:    request,
		route:      route,
		attempts:   make([]*attempt, 0, len(needed)+len(needed)/extraAttemptDivisor),
		revision:   revision,
		finished:   make(chan *attempt, len(needed)*(route.MaxAttempts+maxResends)),
		deadline:   request.Arrival.Add(requestTimeout(request, route)),
		mayHaveRun: from.mayHaveRun,
	}
	if f.Quarantine != nil {
		r.fingerprint = fingerprint(request)
	}
	r.partial = partialAnswerPolicy{
		total:     len(needed),
		needed:    route.MinParts(),
		target:    request.Arrival.Add(route.TargetLatency),
		partialAt: request.Arrival.Add(partialAnswerTime(route.TargetLatency, request.CallerTransit, from.relayed)),
		grace:     lateGrace,
	}
	subs := make([]subrequest, len(needed))
	r.subrequests = make([]*subrequest, len(needed))
	for i, service := range needed {
		subs[i] = subrequest{run: r, id: service, service: f.Registry.Service(service), limit: attemptLimitFor(from, i)}
		r.subrequests[i] = &subs[i]
	}
	return r
}

// requestTimeout returns how long the request may take: at most the timeout of
// the caller, less a margin for the reply, and that of the route.
func requestTimeout(request *ebonyworks.ForwardRequest, route *routing.Route) time.Duration {
	if request.CallerTimeout <= 0 {
		return route.Timeout
	}
	return min(max(request.CallerTimeout-replyMargin, request.CallerTimeout/2), route.Timeout)
}

// do runs the request until the reply is decided, and then cancels the attempts
// that are still in flight.
func (r *run) do(ctx context.Context) ebonyworks.ForwardReply {
	if reply, refused := r.checkQuarantine(); refused {
		return reply
	}
	now := time.Now()
	if !r.admit(now) {
		r.refused = true
		return r.failedReply(now)
	}
	defer r.finishAdmission()
	if !r.takePermits(ctx) {
		r.refused = true
		return r.failedReply(time.Now())
	}
	now = time.Now()
	r.sendDeadline = r.deadline.Add(-max(minServerTime, min(r.admission.typicalLatency, r.deadline.Sub(r.request.Arrival)/2)))
	defer r.cancelAttempts()
	defer r.recordCrashes()
	r.hedgeDelay, r.mayHedge = r.forwarder.LatencyEstimator.Delay(r.route.ID, r.route.TargetLatency)
	for _, sub := range r.subrequests {
		if !r.mayHaveRun {
			r.forwarder.RetryBudget.RecordRequest(sub.id)
		}
		sub.startFirst(now)
	}
	timer := time.NewTimer(r.untilNextDecision(time.Now()))
	defer timer.Stop()
	for {
		if reply, ok := r.decideReply(time.Now()); ok {
			return reply
		}
		timer.Reset(r.untilNextDecision(time.Now()))
		select {
		case attempt := <-r.finished:
			r.handleFinished(attempt)
			r.handleFinishedAttempts()
		case <-timer.C:
			r.hedge(time.Now())
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), ebonyworks.ErrHostStopping) {
				return r.failedReply(time.Now())
			}
			return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyFailed, Reason: reasonCallerDisconnected}
		}
	}
}

// checkQuarantine refuses requests that are suspected of crashing servers.
func (r *run) checkQuarantine() (ebonyworks.ForwardReply, bool) {
	if r.forwarder.Quarantine == nil {
		return ebonyworks.ForwardReply{}, false
	}
	verdict, refusal := r.forwarder.Quarantine.Check(r.fingerprint)
	if verdict != ebonyworks.VerdictQuarantined {
		return ebonyworks.ForwardReply{}, false
	}
	return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRefused, Reason: refusal.Message, RetryAfter: refusal.RetryAfter}, true
}

// admit chooses the servers of the first attempts, and reports whether enough of
// them are expected to respond in time. Nothing is sent before that, so a refused
// request has not run.
func (r *run) admit(now time.Time) bool {
	a := &r.admission
	a.subrequests, a.needed = len(r.subrequests), r.partial.needed
	a.untilTarget, a.untilDeadline = r.partial.partialAt.Sub(now), r.deadline.Sub(now)
	a.typicalLatency, a.unloadedLatency = r.forwarder.LatencyEstimator.MedianLatency(r.route.ID)
	for _, sub := range r.subrequests {
		sub.chooseFirst()
		if sub.predictedWait > 0 {
			a.waiting++
		}
		if sub.saturated {
			a.saturated++
		}
	}
	for _, sub := range r.subrequests {
		sub.tooSlow = !sub.canRespondInTime(a)
		if !sub.tooSlow {
			a.onTime++
		}
	}
	if a.overloaded() {
		r.partial.grace = 0
	}
	admitted := false
	service, shedder := r.subrequests[0].id, r.forwarder.PriorityShedder
	switch {
	case a.onTime < a.needed:
	case a.contended() && shedder.ShouldShed(service, r.route.Priority):
		r.overloadReason = "service " + string(service) + " is overloaded: more urgent requests are turned away more often"
	case !r.forwarder.RouteLimiter.TryAcquire(r.route.ID, a.overloaded()):
		r.overloadReason = "the servers of route " + string(r.route.ID) + " are overloaded: answers are late"
	default:
		admitted = true
	}
	shedder.Record(service, r.route.Priority, !admitted && (a.waiting > 0 || r.overloadReason != ""))
	return admitted
}

// finishAdmission ends the request in the route limit. A late answer counts as a
// sign of load only if the latency without queues is below the target; otherwise
// lateness says nothing about load.
func (r *run) finishAdmission() {
	late := time.Now().After(r.partial.target) && r.admission.unloadedLatency > 0 && r.admission.unloadedLatency < r.route.TargetLatency
	r.forwarder.RouteLimiter.Release(r.route.ID, r.admission.overloaded(), late)
}

// recordCrashes records the servers whose connections were lost while they ran a
// request that no server has completed. A request that was completed didn't crash
// them.
func (r *run) recordCrashes() {
	if r.provenSafe || r.forwarder.Quarantine == nil {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.finished && attempt.record.Result == ebonyworks.AttemptLost {
			r.forwarder.Quarantine.RecordCrash(r.fingerprint, attempt.candidate.Server.ID, attempt.candidate.Incarnation)
		}
	}
}

// cancelAttempts cancels all attempts, so that their servers are free for other
// requests at once. Otherwise a server that pauses would process them after the
// pause, while requests whose responses are needed wait behind them.
func (r *run) cancelAttempts() {
	for _, attempt := range r.attempts {
		if !attempt.finished {
			attempt.cancel()
		}
	}
}

// handleFinishedAttempts handles all attempts that have already finished, so that
// one wake-up of the goroutine covers them.
func (r *run) handleFinishedAttempts() {
	for {
		select {
		case attempt := <-r.finished:
			r.handleFinished(attempt)
		default:
			return
		}
	}
}

func (r *run) handleFinished(attempt *attempt) {
	r.inFlight--
	attempt.finished = true
	attempt.subrequest.handleFinished(attempt, time.Now())
}

// markSafe records that a server completed the request, and makes the retries
// that were deferred until then.
func (r *run) markSafe(now time.Time) {
	if r.provenSafe {
		return
	}
	r.provenSafe = true
	if r.forwarder.Quarantine != nil {
		r.forwarder.Quarantine.RecordSuccess(r.fingerprint)
	}
	for _, sub := range r.subrequests {
		if sub.retryDeferred {
			sub.retryDeferred = false
			sub.retry(ebonyworks.AttemptLost, now)
		}
	}
}

// untilNextDecision returns the time until the next timer: a hedge, a change of
// the partial answer policy or the deadline.
func (r *run) untilNextDecision(now time.Time) time.Duration {
	next := r.deadline
	if r.route.IsSharded() {
		next = earliest(next, r.partial.next(now))
	}
	for _, sub := range r.subrequests {
		if !sub.hedgeAt.IsZero() {
			next = earliest(next, sub.hedgeAt)
		}
	}
	return max(next.Sub(now), 0)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hedge starts hedges for the subrequests whose hedge delay has passed. While
// most subrequests are pending, the cause is this host or its network link, and
// hedges would add load to it.
func (r *run) hedge(now time.Time) {
	mostDone := len(r.subrequests) == 1 || !r.quorumAt.IsZero()
	// Responses that arrive together are handled one after the other: those that haven't
	// been handled when the quorum is reached aren't late.
	settled := mostDone && now.Sub(r.quorumAt) >= minRecheck
	for _, sub := range r.subrequests {
		switch {
		case sub.hedgeAt.IsZero() || now.Before(sub.hedgeAt):
		case settled:
			sub.hedge(now)
		case mostDone:
			sub.hedgeAt = r.quorumAt.Add(minRecheck)
		default:
			sub.noHedgeReason = "most shards are late"
			sub.hedgeAt = now.Add(r.recheckInterval())
		}
	}
}

// recheckInterval returns the interval after which a subrequest that couldn't be
// hedged is checked again.
func (r *run) recheckInterval() time.Duration { return max(r.hedgeDelay/recheckDivisor, minRecheck) }

// recordDone records that a subrequest has its response.
func (r *run) recordDone(now time.Time) {
	r.done++
	if r.quorumAt.IsZero() && float64(r.done) >= hedgeQuorum*float64(len(r.subrequests)) {
		r.quorumAt = now
	}
}

// decideReply returns the reply as soon as it can be decided.
func (r *run) decideReply(now time.Time) (ebonyworks.ForwardReply, bool) {
	if !r.route.IsSharded() {
		return r.decideSingleReply(now)
	}
	responded, pending := 0, 0
	for _, sub := range r.subrequests {
		switch {
		case sub.done:
			responded++
		case sub.pending(), sub.retryDeferred && r.inFlight > 0:
			pending++
		}
	}
	switch r.partial.decide(responded, pending, now) {
	case answerNow:
		return r.mergedReply(), true
	case tooFewShards:
		return r.failedReply(now), true
	}
	if !now.Before(r.deadline) {
		return r.failedReply(now), true
	}
	return ebonyworks.ForwardReply{}, false
}

func (r *run) decideSingleReply(now time.Time) (ebonyworks.ForwardReply, bool) {
	only := r.subrequests[0]
	if only.done {
		return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRelayed, Response: only.response}, true
	}
	if only.pending() && now.Before(r.deadline) {
		return ebonyworks.ForwardReply{}, false
	}
	if only.errorResponse != nil {
		return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRelayed, Response: *only.errorResponse}, true
	}
	return r.failedReply(now), true
}

func (r *run) mergedReply() ebonyworks.ForwardReply {
	reply := ebonyworks.ForwardReply{Kind: ebonyworks.ReplyMerged}
	parts := make([][]byte, 0, len(r.subrequests))
	for _, sub := range r.subrequests {
		if !sub.done {
			reply.Missing++
			continue
		}
		parts = append(parts, sub.response.Body)
		reply.Signatures = append(reply.Signatures, sub.response.Signature)
	}
	reply.Records = merging.Greatest(parts, r.route.TopRecords)
	return reply
}

// failedReply returns the reply of a request that can no longer be answered. It
// claims that the request didn't run only if no server can have started it.
func (r *run) failedReply(now time.Time) ebonyworks.ForwardReply {
	if r.cancelUnsent() {
		r.admission.refusalRate = r.forwarder.PriorityShedder.RefusalRate(r.subrequests[0].id, r.route.Priority)
		return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRefused, Reason: r.reason(), RetryAfter: retryAfter(r.request.ID, max(r.backoff(), r.permitWait, r.evacuationWait()), r.longestWait(), r.admission.refusalRate)}
	}
	if !now.Before(r.deadline) {
		return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyTimeout, Reason: r.reason()}
	}
	return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyFailed, Reason: r.reason()}
}

// backoff returns the time after which enough subrequests have a server that
// accepts requests.
func (r *run) backoff() time.Duration {
	backoffs := make([]time.Duration, len(r.subrequests))
	for i, sub := range r.subrequests {
		backoffs[i] = max(sub.backoff, sub.retryAfter)
	}
	slices.Sort(backoffs)
	return backoffs[r.partial.needed-1]
}

// evacuationWait returns the delay for the caller if servers are evacuated that the
// request needs, and zero otherwise.
func (r *run) evacuationWait() time.Duration {
	if slices.ContainsFunc(r.subrequests, func(sub *subrequest) bool { return sub.allEvacuated }) {
		return evacuatedRetryAfter
	}
	return 0
}

// longestWait returns the longest predicted wait of any subrequest.
func (r *run) longestWait() time.Duration {
	var longest time.Duration
	for _, sub := range r.subrequests {
		longest = max(longest, sub.predictedWait)
	}
	return longest
}

// cancelUnsent prevents attempts that wait for a permit or open a connection from being
// sent, and reports whether the request can't have run on any server.
func (r *run) cancelUnsent() bool {
	for _, attempt := range r.attempts {
		if !attempt.provenNotRun() {
			return false
		}
	}
	return true
}

// reason returns the reason of the first subrequest without a response, or of the
// subrequest with the longest predicted wait if nothing was started. One without attempts
// in flight comes first, since the others may still respond.
func (r *run) reason() string {
	if r.overloadReason != "" {
		return r.overloadReason
	}
	var cause *subrequest
	for _, sub := range r.subrequests {
		if sub.done {
			continue
		}
		if cause == nil || cause.inFlight > 0 && sub.inFlight == 0 || sub.started == 0 && sub.predictedWait > cause.predictedWait {
			cause = sub
		}
	}
	if cause == nil {
		return ""
	}
	return cause.reason()
}
