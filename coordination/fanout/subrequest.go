package fanout

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/merging"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
)

// maxResends bounds the attempts of a subrequest in addition to MaxAttempts that
// replace attempts whose servers proved that they didn't run the request.
const maxResends = 2

// subrequest is the part of a run that concerns one service. It belongs to the
// goroutine of the run.
type subrequest struct {
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
	// done is set once response holds the subrequest's response.
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
	// allEvacuated is set if the failure domains of all servers are evacuated, and
	// allDraining if no server accepts requests because the others are draining.
	allEvacuated, allDraining bool
	// saturated is set if requests are queued at the chosen server; tooSlow is
	// set if the subrequest isn't expected to respond in time.
	saturated, tooSlow bool
	// budgetExhausted is set if an attempt was needed that the retry budget
	// didn't allow.
	budgetExhausted bool
	// noHedgeReason is why a hedge that was due wasn't made; empty if none was
	// due.
	noHedgeReason string
	// permitted is set if the first attempt has a permit for its server. noPermit is set
	// if all servers need one and none was issued.
	permitted, noPermit bool
	permittedAt         time.Time
	// notSentReason is why the last attempt wasn't sent; empty if it was.
	notSentReason string
	// retryAfter is the longest time that an attempt that wasn't sent asks the caller to
	// wait.
	retryAfter time.Duration
}

func (s *subrequest) pending() bool { return !s.done && s.inFlight > 0 }

func (s *subrequest) reason() string {
	switch {
	case s.service == nil:
		return "no server of service " + string(s.id) + " is known"
	case s.started == 0 && s.allEvacuated:
		return "the failure domains of all servers of service " + string(s.id) + " are evacuated"
	case s.started == 0 && s.allDraining:
		return "all servers of service " + string(s.id) + " are leaving"
	case s.started == 0 && s.noPermit:
		return "the rate limits of the servers of service " + string(s.id) + " are used up"
	case s.started == 0 && s.backoff > 0:
		return "all servers of service " + string(s.id) + " want no requests, the first for " + s.backoff.Round(time.Millisecond).String()
	case s.started == 0 && s.predictedWait > 0:
		return "service " + string(s.id) + " is overloaded: a request would wait for " + s.predictedWait.Round(time.Millisecond).String()
	case s.started == 0 && s.budgetExhausted:
		return "the repeat budget of service " + string(s.id) + " is used up"
	case s.started == 0:
		return "no server of service " + string(s.id) + " is usable"
	case s.notSentReason != "":
		return "service " + string(s.id) + ": " + s.notSentReason
	case s.inFlight > 0 && s.budgetExhausted:
		return "no response of service " + string(s.id) + " in time, and the repeat budget is used up"
	case s.inFlight > 0 && s.noHedgeReason != "":
		return "no response of service " + string(s.id) + " in time after " + strconv.Itoa(s.started) + " attempts: " + s.noHedgeReason
	case s.inFlight > 0:
		return "no response of service " + string(s.id) + " in time after " + strconv.Itoa(s.started) + " attempts"
	case s.budgetExhausted:
		return "service " + string(s.id) + " failed (" + s.lastResult.String() + ") and the repeat budget is used up"
	default:
		return "service " + string(s.id) + " failed: " + s.lastResult.String()
	}
}

// probeBudgetReserve is the number of attempts in the retry budget that probes
// leave for hedges.
const probeBudgetReserve = 2

// chooseFirst chooses the server of the first attempt, and predicts how long the
// attempt waits for its permit.
func (s *subrequest) chooseFirst() {
	if s.service == nil {
		return
	}
	candidates := s.run.forwarder.ServerStates.Candidates(s.service, s.run.route.Idempotent)
	s.allDraining = len(candidates) == 0 && len(s.service.Servers) > 0
	s.allEvacuated = s.allDraining && !slices.ContainsFunc(s.service.Servers, s.run.forwarder.inUsedDomain)
	allowed := s.allowed(candidates)
	index, ok := s.run.forwarder.Selection.Select(allowed)
	if !ok {
		if index, ok = shortestBackoff(allowed); !ok {
			return
		}
		s.backoff = allowed[index].Backoff
	}
	s.candidates, s.firstIndex = allowed, index
	s.predictedWait = s.run.forwarder.Quota.PredictedWait(allowed[index].Server.ID)
	s.saturated = saturated(&allowed[index], s.service.Slots)
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

// canRespondInTime reports whether the subrequest is expected to respond in time.
// While many subrequests wait for permits, a server that reports no load is
// assumed to be saturated.
func (s *subrequest) canRespondInTime(admission *admission) bool {
	if len(s.candidates) == 0 {
		return false
	}
	if s.backoff > 0 {
		return admission.acceptsBackoff(s.backoff + s.predictedWait)
	}
	return admission.acceptsWait(s.predictedWait, s.saturated || admission.contended() && s.candidates[s.firstIndex].ReportedLoad == 0)
}

// startFirst starts the first attempt at the server that chooseFirst selected,
// and sends copies of the request to servers that need a probe.
func (s *subrequest) startFirst(now time.Time) {
	if s.omitted() {
		return
	}
	charge, ok := s.chargeBudget(s.run.mayHaveRun)
	if !ok {
		return
	}
	s.start(s.candidates[s.firstIndex], attemptFirst, charge)
	s.scheduleHedge(now.Add(s.backoff))
	for i := range s.candidates {
		if i == s.firstIndex || !s.candidates[i].Probe || !s.mayStartAttempt() || !s.allows(s.candidates[i].Server.ID) || !s.hasSpareCapacity(&s.candidates[i]) {
			continue
		}
		if s.run.forwarder.RetryBudget.Remaining(s.id) <= probeBudgetReserve {
			continue
		}
		if charge, ok := s.run.forwarder.RetryBudget.Take(s.id); ok {
			s.start(s.candidates[i], attemptProbe, charge)
		}
	}
}

// omitted reports whether no first attempt is made.
func (s *subrequest) omitted() bool { return len(s.candidates) == 0 || s.backoff > 0 && s.tooSlow }

func (s *subrequest) scheduleHedge(now time.Time) {
	if s.run.route.Idempotent && s.run.mayHedge && s.mayStartAttempt() {
		s.hedgeAt = now.Add(s.run.hedgeDelay)
	}
}

// mayStartAttempt reports whether the route allows another attempt.
func (s *subrequest) mayStartAttempt() bool {
	return s.possiblyRun+s.inFlight < s.run.route.MaxAttempts && s.started < s.run.route.MaxAttempts+maxResends
}

// hasSpareCapacity reports whether a hedge or a probe at the server leaves the
// capacity that first attempts need.
func (s *subrequest) hasSpareCapacity(candidate *ebonyworks.Candidate) bool {
	return !s.run.admission.overloaded() || hasFreeSlot(candidate, s.service.Slots)
}

// hedge starts an attempt at another server, unless that can't help.
func (s *subrequest) hedge(now time.Time) {
	s.hedgeAt = time.Time{}
	if s.done || s.inFlight == 0 || !s.mayStartAttempt() {
		return
	}
	candidate, ok := s.chooseUntried(withoutRateLimit)
	if !ok || candidate.Failing {
		s.noHedgeReason = "no other server works"
		return
	}
	switch {
	case candidate.InFlight >= candidate.Limit:
		s.noHedgeReason = "no permit is free at another server"
	case !s.hasSpareCapacity(&candidate):
		s.noHedgeReason = "queues stand at the other servers"
	default:
		s.noHedgeReason = ""
	}
	if s.noHedgeReason != "" {
		s.hedgeAt = now.Add(s.run.recheckInterval())
		return
	}
	if charge, ok := s.chargeBudget(true); ok {
		s.start(candidate, attemptHedge, charge)
	}
}

// handleFinished records the result of an attempt and decides whether to retry.
func (s *subrequest) handleFinished(attempt *attempt, now time.Time) {
	s.inFlight--
	s.lastResult = attempt.record.Result
	s.notSentReason = attempt.notSentReason
	s.retryAfter = max(s.retryAfter, attempt.retryAfter)
	if attempt.record.Result.ProvesNotRun() {
		s.limit.recordNotRun(attempt.candidate.Server.ID)
	} else {
		s.possiblyRun++
	}
	if attempt.record.Result == ebonyworks.AttemptUnreachable {
		s.run.forwarder.RetryBudget.Return(s.id, attempt.charge)
	} else {
		s.mayHaveArrived = true
	}
	switch {
	case s.done:
		return
	case attempt.record.Result == ebonyworks.AttemptServed:
		s.run.markSafe(now)
		s.done = true
		s.run.recordDone(now)
		s.hedgeAt = time.Time{}
		s.response = attempt.response
		s.cancelOthers()
		return
	case attempt.record.Result == ebonyworks.AttemptFailed:
		s.run.markSafe(now)
		s.errorResponse = &attempt.response
	}
	if s.inFlight == 0 {
		s.retry(attempt.record.Result, now)
	}
}

// cancelOthers cancels the attempts whose response is no longer needed.
func (s *subrequest) cancelOthers() {
	if s.inFlight == 0 {
		return
	}
	for _, other := range s.run.attempts {
		if other.subrequest == s && !other.finished {
			other.cancel()
		}
	}
}

// trimRecords returns the records of a response that can be in the merged answer,
// because a response may hold any number of records.
func (s *subrequest) trimRecords(body []byte) []byte {
	if len(body) <= trimThreshold*s.run.route.TopRecords*merging.RecordSize {
		return body
	}
	return merging.Greatest([][]byte{body}, s.run.route.TopRecords)
}

// trimThreshold limits how many records a response may hold untrimmed until the
// other responses are received, as a multiple of the records in the answer.
const trimThreshold = 4

// retry starts another attempt after a failed one.
func (s *subrequest) retry(failed ebonyworks.AttemptResult, now time.Time) {
	s.hedgeAt = time.Time{}
	if !now.Before(s.run.deadline) || !s.mayStartAttempt() || !s.mayResend(failed) {
		return
	}
	if failed == ebonyworks.AttemptLost && !s.run.provenSafe && s.run.route.IsSharded() {
		s.retryDeferred = true
		return
	}
	candidate, ok := s.chooseUntried(withoutRateLimit)
	if !ok {
		candidate, ok = s.chooseUntried(nil)
	}
	if !ok {
		return
	}
	// If no server could be reached so far, none received the request.
	charge, ok := s.chargeBudget(s.mayHaveArrived || s.run.mayHaveRun)
	if !ok {
		return
	}
	s.start(candidate, attemptRetry, charge)
	s.scheduleHedge(now)
}

// chargeBudget takes an extra attempt from the retry budget. It returns false if
// the budget is exhausted.
func (s *subrequest) chargeBudget(extra bool) (retrybudget.Charge, bool) {
	if !extra {
		return retrybudget.Charge{}, true
	}
	charge, ok := s.run.forwarder.RetryBudget.Take(s.id)
	s.budgetExhausted = s.budgetExhausted || !ok
	return charge, ok
}

// mayResend reports whether the request may be sent again after the result.
func (s *subrequest) mayResend(result ebonyworks.AttemptResult) bool {
	return result.ProvesNotRun() || s.run.route.Idempotent
}

// chooseUntried selects a server that no attempt was started at yet among those that
// remain after the filter, which may be nil.
func (s *subrequest) chooseUntried(filter func([]ebonyworks.Candidate) []ebonyworks.Candidate) (ebonyworks.Candidate, bool) {
	candidates := s.allowed(s.run.forwarder.ServerStates.Candidates(s.service, false))
	candidates = slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool {
		return slices.Contains(s.attempted, candidate.Server.ID)
	})
	if filter != nil {
		candidates = filter(candidates)
	}
	index, ok := s.run.forwarder.Selection.Select(candidates)
	if !ok {
		return ebonyworks.Candidate{}, false
	}
	return candidates[index], true
}

// allows reports whether the server may get an attempt.
func (s *subrequest) allows(server ebonyworks.ServerID) bool {
	return s.limit.allows(server, s.run.route.MaxAttempts-s.possiblyRun-s.inFlight)
}

// allowed returns the candidates that may get an attempt.
func (s *subrequest) allowed(candidates []ebonyworks.Candidate) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool { return !s.allows(candidate.Server.ID) })
}

func (s *subrequest) start(candidate ebonyworks.Candidate, kind attemptKind, charge retrybudget.Charge) {
	s.attempted = append(s.attempted, candidate.Server.ID)
	s.limit.recordAttempt(candidate.Server.ID)
	s.started++
	s.inFlight++
	s.run.inFlight++
	started := &attempt{subrequest: s, candidate: candidate, kind: kind, charge: charge, waitsForBackoff: candidate.Backoff > 0, permitted: kind == attemptFirst && s.permitted, permittedAt: s.permittedAt}
	started.permitContext.deadline = s.run.sendDeadline
	s.run.attempts = append(s.run.attempts, started)
	go started.do()
}
