package fanout

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/merging"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
)

// maxResends bounds the attempts of a leg beyond MaxAttempts whose servers
// proved that they didn't run the request.
const maxResends = 2

// leg is the part of a run that concerns one service. It belongs to the
// goroutine of the run.
type leg struct {
	run *run
	id  ebonyworks.ServiceID
	// view is nil if no server is known.
	service *ebonyworks.Service
	// share bounds the servers that this host may ask.
	limit attemptLimit
	// asked are the servers that got an attempt.
	attempted []ebonyworks.ServerID
	// started counts the attempts, and spent those that may have run.
	started, possiblyRun int
	// arrived is set once a server may have got the request from this host. Each
	// further arrival is a repeat.
	mayHaveArrived bool
	inFlight       int
	// due is when a hedge is considered; zero if none is.
	hedgeAt time.Time
	// done is set once response is the answer of the leg.
	done     bool
	response ebonyworks.ServerResponse
	// failure is the failure of its own that a server replied with.
	errorResponse *ebonyworks.ServerResponse
	// deferred is set while a retry waits for proof that the request doesn't
	// crash servers.
	retryDeferred bool
	lastResult    ebonyworks.AttemptResult
	// offered are the servers that may get the first attempt, and first the
	// index of the one that was chosen.
	candidates []ebonyworks.Candidate
	firstIndex int
	// wait is the predicted wait of the first attempt for its permit, and backoff how
	// long its server, the first one to return, takes no requests. backoff is zero
	// unless all servers are in backoff.
	predictedWait, backoff time.Duration
	// departing is set if no server takes requests because all are leaving.
	allDraining bool
	// crowded is set if a queue stands at the chosen server, and hopeless if the
	// leg couldn't be expected to respond in time.
	saturated, tooSlow bool
	// starved is set if a repeat was needed and not allowed.
	budgetExhausted bool
	// withheld is why a hedge that was due wasn't made; empty if none was due.
	noHedgeReason string
	// declined is why the last attempt wasn't sent; empty if it was.
	notSentReason string
}

func (l *leg) pending() bool { return !l.done && l.inFlight > 0 }

func (l *leg) reason() string {
	switch {
	case l.service == nil:
		return "no server of service " + string(l.id) + " is known"
	case l.started == 0 && l.allDraining:
		return "all servers of service " + string(l.id) + " are leaving"
	case l.started == 0 && l.backoff > 0:
		return "all servers of service " + string(l.id) + " want no requests, the first for " + l.backoff.Round(time.Millisecond).String()
	case l.started == 0 && l.predictedWait > 0:
		return "service " + string(l.id) + " is overloaded: a request would wait for " + l.predictedWait.Round(time.Millisecond).String()
	case l.started == 0 && l.budgetExhausted:
		return "the repeat budget of service " + string(l.id) + " is used up"
	case l.started == 0:
		return "no server of service " + string(l.id) + " is usable"
	case l.notSentReason != "":
		return "service " + string(l.id) + ": " + l.notSentReason
	case l.inFlight > 0 && l.budgetExhausted:
		return "no response of service " + string(l.id) + " in time, and the repeat budget is used up"
	case l.inFlight > 0 && l.noHedgeReason != "":
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts: " + l.noHedgeReason
	case l.inFlight > 0:
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts"
	case l.budgetExhausted:
		return "service " + string(l.id) + " failed (" + l.lastResult.String() + ") and the repeat budget is used up"
	default:
		return "service " + string(l.id) + " failed: " + l.lastResult.String()
	}
}

// probeReserve is the number of repeats that a probe leaves for hedges.
const probeBudgetReserve = 2

// prepare chooses the server of the first attempt, and predicts the wait for its
// permit.
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

// firstToReturn returns the index of the server with the shortest backoff, or false if
// there is none.
func shortestBackoff(candidates []ebonyworks.Candidate) (int, bool) {
	shortest := -1
	for i := range candidates {
		if shortest < 0 || candidates[i].Backoff < candidates[shortest].Backoff {
			shortest = i
		}
	}
	return shortest, shortest >= 0
}

// expected reports whether the leg can be expected to respond in time. While many
// legs wait, a server that reports nothing is taken for crowded.
func (l *leg) canRespondInTime(admission *admission) bool {
	if len(l.candidates) == 0 {
		return false
	}
	if l.backoff > 0 {
		return admission.acceptsBackoff(l.backoff + l.predictedWait)
	}
	return admission.acceptsWait(l.predictedWait, l.saturated || admission.contended() && l.candidates[l.firstIndex].ReportedLoad == 0)
}

// startFirst starts the first attempt that prepare chose, and a copy of the
// request at a server that needs a probe.
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

// mayStart reports whether the route allows another attempt.
func (l *leg) mayStartAttempt() bool {
	return l.possiblyRun+l.inFlight < l.run.route.MaxAttempts && l.started < l.run.route.MaxAttempts+maxResends
}

// hasRoom reports whether a second attempt at the server, or a probe, leaves the
// room that first attempts need.
func (l *leg) hasSpareCapacity(candidate *ebonyworks.Candidate) bool {
	return !l.run.admission.overloaded() || hasFreeSlot(candidate, l.service.Slots)
}

// hedge starts a second attempt at another server if that can help.
func (l *leg) hedge(now time.Time) {
	l.hedgeAt = time.Time{}
	if l.done || l.inFlight == 0 || !l.mayStartAttempt() {
		return
	}
	candidate, ok := l.chooseUntried()
	if !ok || candidate.Failing {
		l.noHedgeReason = "no other server works"
		return
	}
	switch {
	case candidate.InFlight >= candidate.Limit:
		l.noHedgeReason = "no permit is free at another server"
	case !l.hasSpareCapacity(&candidate):
		l.noHedgeReason = "queues stand at the other servers"
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

// ended takes the end of an attempt and decides on a retry.
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

// abandonOthers ends the attempts whose response is no longer needed.
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

// trim returns the records of a part that can be in the answer. A part may hold any
// number of them.
func (l *leg) trimRecords(part []byte) []byte {
	if len(part) <= trimThreshold*l.run.route.TopRecords*merging.RecordSize {
		return part
	}
	return merging.Greatest([][]byte{part}, l.run.route.TopRecords)
}

// trimAbove is how many times the records of an answer a part has to hold to be
// trimmed before the others are in.
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
	// If no server could be reached so far, none saw the request.
	charge, ok := l.chargeBudget(l.mayHaveArrived || l.run.mayHaveRun)
	if !ok {
		return
	}
	l.start(candidate, attemptRetry, charge)
	l.scheduleHedge(now)
}

// charge takes a repeat if the attempt is one. It returns false if none is left.
func (l *leg) chargeBudget(extra bool) (retrybudget.Charge, bool) {
	if !extra {
		return retrybudget.Charge{}, true
	}
	charge, ok := l.run.forwarder.RetryBudget.Take(l.id)
	l.budgetExhausted = l.budgetExhausted || !ok
	return charge, ok
}

// mayRepeat reports whether the request may be sent again after the result.
func (l *leg) mayResend(result ebonyworks.AttemptResult) bool {
	return result.ProvesNotRun() || l.run.route.Idempotent
}

// choose selects a server that wasn't asked yet.
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

// admits reports whether the server may get an attempt.
func (l *leg) allows(server ebonyworks.ServerID) bool {
	return l.limit.allows(server, l.run.route.MaxAttempts-l.possiblyRun-l.inFlight)
}

// admitted returns the candidates that may get an attempt.
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
