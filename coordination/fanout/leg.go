package fanout

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/merging"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
)

// maxResends bounds the attempts of a leg in addition to MaxAttempts that replace
// attempts whose servers proved that they didn't run the request.
const maxResends = 2

// leg is the part of a run that concerns one service. It belongs to the goroutine
// of the run.
type leg struct {
	run *run
	id  ebonyworks.ServiceID
	// service is nil if no server of the service is known.
	service *ebonyworks.Service
	// limit bounds the servers that this host may send the request to.
	limit attemptLimit
	// attempted are the servers that an attempt was started at.
	attempted []ebonyworks.ServerID
	// started counts the attempts; possiblyRun counts those of them that have
	// finished and may have run.
	started, possiblyRun int
	// mayHaveArrived is set once a server may have received the request from this
	// host. Each further attempt is charged to the retry budget.
	mayHaveArrived bool
	inFlight       int
	// hedgeAt is when to check whether to hedge; zero if no hedge is scheduled.
	hedgeAt time.Time
	// done is set once response holds the leg's response.
	done     bool
	response ebonyworks.ServerResponse
	// errorResponse is the last response with which a server reported its own
	// error; nil if there is none.
	errorResponse *ebonyworks.ServerResponse
	// retryDeferred is set while a retry waits for proof that the request doesn't
	// crash servers.
	retryDeferred bool
	lastResult    ebonyworks.AttemptResult
	// candidates are the servers that may get the first attempt; firstIndex is
	// the index of the chosen one.
	candidates []ebonyworks.Candidate
	firstIndex int
	// predictedWait is how long the first attempt is expected to wait for its
	// permit. backoff is how much longer the chosen server, the one whose backoff
	// ends first, refuses requests; it is zero unless all servers are in backoff.
	predictedWait, backoff time.Duration
	// allDraining is set if no server accepts requests because all are draining.
	allDraining bool
	// saturated is set if requests are queued at the chosen server; tooSlow is
	// set if the leg isn't expected to respond in time.
	saturated, tooSlow bool
	// budgetExhausted is set if an attempt was needed that the retry budget
	// didn't allow.
	budgetExhausted bool
	// noHedgeReason is why a hedge that was due wasn't made; empty if none was
	// due.
	noHedgeReason string
	// notSentReason is why the last attempt wasn't sent; empty if it was.
	notSentReason string
}

func (l *leg) pending() bool { return !l.done && l.inFlight > 0 }

func (l *leg) reason() string {
	switch {
	case l.service == nil:
		return "no server of service " + string(l.id) + " is known"
	case l.started == 0 && l.allDraining:
		return "all servers of service " + string(l.id) + " are draining"
	case l.started == 0 && l.backoff > 0:
		return "all servers of service " + string(l.id) + " are in backoff, the shortest for " + l.backoff.Round(time.Millisecond).String()
	case l.started == 0 && l.predictedWait > 0:
		return "service " + string(l.id) + " is overloaded: a request would wait for " + l.predictedWait.Round(time.Millisecond).String()
	case l.started == 0 && l.budgetExhausted:
		return "the retry budget of service " + string(l.id) + " is exhausted"
	case l.started == 0:
		return "no server of service " + string(l.id) + " is available"
	case l.notSentReason != "":
		return "service " + string(l.id) + ": " + l.notSentReason
	case l.inFlight > 0 && l.budgetExhausted:
		return "no response of service " + string(l.id) + " in time, and the retry budget is exhausted"
	case l.inFlight > 0 && l.noHedgeReason != "":
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts: " + l.noHedgeReason
	case l.inFlight > 0:
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts"
	case l.budgetExhausted:
		return "service " + string(l.id) + " failed (" + l.lastResult.String() + ") and the retry budget is exhausted"
	default:
		return "service " + string(l.id) + " failed: " + l.lastResult.String()
	}
}

// probeBudgetReserve is the number of attempts in the retry budget that probes
// leave for hedges.
const probeBudgetReserve = 2

// chooseFirst chooses the server of the first attempt, and predicts how long the
// attempt waits for its permit.
func (l *leg) chooseFirst() {
	if l.service == nil {
		return
	}
	candidates := l.run.forwarder.ServerStates.Candidates(l.service, l.run.route.Idempotent)
	l.allDraining = len(candidates) == 0 && len(l.service.Servers) > 0
	allowed := l.allowed(candidates)
	index, ok := l.run.forwarder.Selection.Select(allowed)
	if !ok {
		if index, ok = shortestBackoff(allowed); !ok {
			return
		}
		l.backoff = allowed[index].Backoff
	}
	l.candidates, l.firstIndex = allowed, index
	l.predictedWait = l.run.forwarder.Quota.PredictedWait(allowed[index].Server.ID)
	l.saturated = saturated(&allowed[index], l.service.Slots)
}

// shortestBackoff returns the index of the server with the shortest backoff, or
// false if there is none.
func shortestBackoff(candidates []ebonyworks.Candidate) (int, bool) {
	shortest := -1
	for i := range candidates {
		if shortest < 0 || candidates[i].Backoff < candidates[shortest].Backoff {
			shortest = i
		}
	}
	return shortest, shortest >= 0
}

// canRespondInTime reports whether the leg is expected to respond in time. While
// many legs wait for permits, a server that reports no load is assumed to be
// saturated.
func (l *leg) canRespondInTime(admission *admission) bool {
	if len(l.candidates) == 0 {
		return false
	}
	if l.backoff > 0 {
		return admission.acceptsBackoff(l.backoff + l.predictedWait)
	}
	return admission.acceptsWait(l.predictedWait, l.saturated || admission.contended() && l.candidates[l.firstIndex].ReportedLoad == 0)
}

// startFirst starts the first attempt at the server that chooseFirst selected,
// and sends copies of the request to servers that need a probe.
func (l *leg) startFirst(now time.Time) {
	if len(l.candidates) == 0 || l.backoff > 0 && l.tooSlow {
		return
	}
	charge, ok := l.chargeBudget(l.run.mayHaveRun)
	if !ok {
		return
	}
	l.start(l.candidates[l.firstIndex], attemptFirst, charge)
	l.scheduleHedge(now.Add(l.backoff))
	for i := range l.candidates {
		if i == l.firstIndex || !l.candidates[i].Probe || !l.mayStartAttempt() || !l.allows(l.candidates[i].Server.ID) || !l.hasSpareCapacity(&l.candidates[i]) {
			continue
		}
		if l.run.forwarder.RetryBudget.Left(l.id) <= probeBudgetReserve {
			continue
		}
		if charge, ok := l.run.forwarder.RetryBudget.Take(l.id); ok {
			l.start(l.candidates[i], attemptProbe, charge)
		}
	}
}

func (l *leg) scheduleHedge(now time.Time) {
	if l.run.route.Idempotent && l.run.mayHedge && l.mayStartAttempt() {
		l.hedgeAt = now.Add(l.run.hedgeDelay)
	}
}

// mayStartAttempt reports whether the route allows another attempt.
func (l *leg) mayStartAttempt() bool {
	return l.possiblyRun+l.inFlight < l.run.route.MaxAttempts && l.started < l.run.route.MaxAttempts+maxResends
}

// hasSpareCapacity reports whether a hedge or a probe at the server leaves the
// capacity that first attempts need.
func (l *leg) hasSpareCapacity(candidate *ebonyworks.Candidate) bool {
	return !l.run.admission.overloaded() || hasFreeSlot(candidate, l.service.Slots)
}

// hedge starts an attempt at another server, unless that can't help.
func (l *leg) hedge(now time.Time) {
	l.hedgeAt = time.Time{}
	if l.done || l.inFlight == 0 || !l.mayStartAttempt() {
		return
	}
	candidate, ok := l.chooseUntried()
	if !ok || candidate.Failing {
		l.noHedgeReason = "no other server is healthy"
		return
	}
	switch {
	case candidate.InFlight >= candidate.Limit:
		l.noHedgeReason = "no permit is free at another server"
	case !l.hasSpareCapacity(&candidate):
		l.noHedgeReason = "requests are queued at the other servers"
	default:
		l.noHedgeReason = ""
	}
	if l.noHedgeReason != "" {
		l.hedgeAt = now.Add(l.run.recheckInterval())
		return
	}
	if charge, ok := l.chargeBudget(true); ok {
		l.start(candidate, attemptHedge, charge)
	}
}

// handleFinished records the result of an attempt and decides whether to retry.
func (l *leg) handleFinished(finished *attempt, now time.Time) {
	l.inFlight--
	l.lastResult = finished.record.Result
	l.notSentReason = finished.notSentReason
	if finished.record.Result.ProvesNotRun() {
		l.limit.recordNotRun(finished.candidate.Server.ID)
	} else {
		l.possiblyRun++
	}
	if finished.record.Result == ebonyworks.AttemptUnreachable {
		l.run.forwarder.RetryBudget.Return(l.id, finished.charge)
	} else {
		l.mayHaveArrived = true
	}
	switch {
	case l.done:
		return
	case finished.record.Result == ebonyworks.AttemptServed:
		l.run.markSafe(now)
		l.done = true
		l.hedgeAt = time.Time{}
		l.response = finished.response
		l.cancelOthers()
		return
	case finished.record.Result == ebonyworks.AttemptFailed:
		l.run.markSafe(now)
		l.errorResponse = &finished.response
	}
	if l.inFlight == 0 {
		l.retry(finished.record.Result, now)
	}
}

// cancelOthers cancels the attempts whose response is no longer needed.
func (l *leg) cancelOthers() {
	if l.inFlight == 0 {
		return
	}
	for _, other := range l.run.attempts {
		if other.leg == l && !other.finished {
			other.cancel()
		}
	}
}

// trimRecords returns the records of a response that can be in the merged answer,
// because a response may hold any number of records.
func (l *leg) trimRecords(part []byte) []byte {
	if len(part) <= trimThreshold*l.run.route.TopRecords*merging.RecordSize {
		return part
	}
	return merging.Greatest([][]byte{part}, l.run.route.TopRecords)
}

// trimThreshold limits how many records a response may hold untrimmed until the
// other responses are received, as a multiple of the records in the answer.
const trimThreshold = 4

// retry starts another attempt after a failed one.
func (l *leg) retry(failed ebonyworks.AttemptResult, now time.Time) {
	l.hedgeAt = time.Time{}
	if !now.Before(l.run.deadline) || !l.mayStartAttempt() || !l.mayResend(failed) {
		return
	}
	if failed == ebonyworks.AttemptLost && !l.run.provenSafe && l.run.route.IsSharded() {
		l.retryDeferred = true
		return
	}
	candidate, ok := l.chooseUntried()
	if !ok {
		return
	}
	// If no server could be reached so far, none received the request.
	charge, ok := l.chargeBudget(l.mayHaveArrived || l.run.mayHaveRun)
	if !ok {
		return
	}
	l.start(candidate, attemptRetry, charge)
	l.scheduleHedge(now)
}

// chargeBudget takes an extra attempt from the retry budget. It returns false if
// the budget is exhausted.
func (l *leg) chargeBudget(extra bool) (retrybudget.Charge, bool) {
	if !extra {
		return retrybudget.Charge{}, true
	}
	charge, ok := l.run.forwarder.RetryBudget.Take(l.id)
	l.budgetExhausted = l.budgetExhausted || !ok
	return charge, ok
}

// mayResend reports whether the request may be sent again after the result.
func (l *leg) mayResend(result ebonyworks.AttemptResult) bool {
	return result.ProvesNotRun() || l.run.route.Idempotent
}

// chooseUntried selects a server that no attempt was started at yet.
func (l *leg) chooseUntried() (ebonyworks.Candidate, bool) {
	candidates := l.allowed(l.run.forwarder.ServerStates.Candidates(l.service, false))
	candidates = slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool {
		return slices.Contains(l.attempted, candidate.Server.ID)
	})
	index, ok := l.run.forwarder.Selection.Select(candidates)
	if !ok {
		return ebonyworks.Candidate{}, false
	}
	return candidates[index], true
}

// allows reports whether the server may get an attempt.
func (l *leg) allows(server ebonyworks.ServerID) bool {
	return l.limit.allows(server, l.run.route.MaxAttempts-l.possiblyRun-l.inFlight)
}

// allowed returns the candidates that may get an attempt.
func (l *leg) allowed(candidates []ebonyworks.Candidate) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool { return !l.allows(candidate.Server.ID) })
}

func (l *leg) start(candidate ebonyworks.Candidate, kind attemptKind, charge retrybudget.Charge) {
	l.attempted = append(l.attempted, candidate.Server.ID)
	l.limit.recordAttempt(candidate.Server.ID)
	l.started++
	l.inFlight++
	l.run.inFlight++
	started := &attempt{leg: l, candidate: candidate, kind: kind, charge: charge, waitsForBackoff: candidate.Backoff > 0}
	started.permitContext.deadline = l.run.sendDeadline
	l.run.attempts = append(l.run.attempts, started)
	go started.do()
}
