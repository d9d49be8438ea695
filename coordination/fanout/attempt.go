package fanout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/event"
)

// attemptKind tells why an attempt was made.
type attemptKind string

const (
	attemptFirst attemptKind = "first"
	attemptHedge attemptKind = "hedge"
	attemptRetry attemptKind = "retry"
	attemptProbe attemptKind = "probe"
)

// phase tells whether an attempt may have been sent, or was canceled before that. The
// goroutines of the run and of the attempt both change it.
type phase = int32

const (
	phaseWaiting phase = iota
	phaseSent
	phaseCanceled
)

// attempt is one attempt of a subrequest at one server.
type attempt struct {
	subrequest *subrequest
	candidate  ebonyworks.Candidate
	kind       attemptKind
	// charge is what the attempt took from the retry budget.
	charge retrybudget.Charge
	// notSentReason is why the attempt wasn't sent; empty if it was. Like record,
	// it is set before the attempt is reported to the run.
	notSentReason string
	// retryAfter is how long the caller should wait before a retry because the attempt
	// wasn't sent; zero if that isn't known.
	retryAfter time.Duration
	// phase changes once, from phaseWaiting to phaseSent or phaseCanceled.
	phase atomic.Int32
	// record and response are set before the attempt is sent to the channel
	// finished of the run; the run reads them only after that.
	record   ebonyworks.AttemptRecord
	response ebonyworks.ServerResponse
	// waitsForBackoff is set if the attempt may wait until the backoff of its
	// server ends.
	waitsForBackoff bool
	// permitted is set if the attempt has a permit for a rate-limited server. endedAt is
	// when its response arrived.
	permitted bool
	// permittedAt is when the permit was issued.
	permittedAt time.Time
	endedAt     time.Time
	// incarnation is the latest incarnation of the server that was known when the attempt
	// was sent. Attempts wait for permits and backoffs, so it may be later than that of the
	// candidate.
	incarnation ebonyworks.Incarnation
	// finished is set by the run when it has received the attempt, and canceled
	// when it needs no response.
	finished, canceled bool
	// permitContext and sendContext are canceled when the attempt is stopped: it
	// then leaves the queue for a permit, or closes its connection.
	permitContext, sendContext attemptContext
}

// do waits for a permit, sends the request, records the result and reports the
// end to the run.
func (a *attempt) do() {
	run := a.subrequest.run
	a.record = ebonyworks.AttemptRecord{
		Service: a.subrequest.id,
		Server:  a.candidate.Server.ID,
		Result:  ebonyworks.AttemptUnreachable,
		Hedge:   a.kind == attemptHedge || a.kind == attemptProbe,
		Retry:   a.kind == attemptRetry || a.kind == attemptFirst && a.charge.Taken(),
	}
	if a.kind == attemptFirst {
		a.record.LeftDomain = leaveReason(run.forwarder.Domain, a.candidate.Server, a.subrequest.candidates)
	}
	a.runWithRecovery()
	run.finished <- a
}

// runWithRecovery runs the attempt and recovers from a panic, after which the
// server may have run the request.
func (a *attempt) runWithRecovery() {
	defer event.RecoverPanic(a.subrequest.run.forwarder.Recorder, func() string {
		a.record.Result = ebonyworks.AttemptLost
		a.record.Cause = event.ErrPanicked.Error()
		a.response = ebonyworks.ServerResponse{}
		return "attempt of request " + string(a.subrequest.run.request.ID)
	})
	a.run()
}

func (a *attempt) run() {
	run := a.subrequest.run
	f := run.forwarder
	defer a.stop()
	permit, ok := f.Quota.Acquire(&a.permitContext, a.subrequest.service, a.candidate.Server.ID)
	if !ok {
		return
	}
	defer func() { permit.Release(a.record) }()
	if !a.waitUntilAvailable() {
		return
	}
	a.sendContext.purpose = a.trafficPurpose()
	start := time.Now()
	request := *run.request
	request.MaySend = a.maySend
	request.MayReconnect = func() bool { return f.inUsedDomain(a.candidate.Server) }
	outcome := f.Backend.Send(&a.sendContext, a.candidate.Server, &request, run.deadline)
	if outcome.Withheld {
		return
	}
	a.endedAt = time.Now()
	a.record.Latency = a.endedAt.Sub(start)
	a.record.OpenTime = outcome.OpenTime
	a.record.Result = a.checkResponse(&outcome)
	a.record.Report = outcome.Report
	if a.record.Report.Incarnation == 0 {
		// The response comes from the incarnation that the request was sent to,
		// even if a later one is known by now.
		a.record.Report.Incarnation = a.incarnation
	}
	a.record.LocalCause = outcome.LocalCause || outcome.Result == ebonyworks.AttemptUnreachable && a.sendContext.Err() != nil
	a.record.RetryAfter = outcome.RetryAfter
	a.record.Cause = outcome.Cause
	a.response = outcome.Response
	if run.route.IsSharded() {
		a.response.Body = a.subrequest.trimRecords(a.response.Body)
	}
	// The result is recorded before the permit is released: attempts that wait
	// for the permit check the server's availability once they have it.
	a.recordResult()
}

// trafficPurpose returns the purpose of the attempt's exchange. A fallback of a delegated
// request is a first attempt here, but repeats what another host may have sent.
func (a *attempt) trafficPurpose() ebonyworks.TrafficPurpose {
	switch {
	case a.kind == attemptProbe:
		return ebonyworks.TrafficProbe
	case a.record.Hedge:
		return ebonyworks.TrafficHedge
	case a.record.Retry:
		return ebonyworks.TrafficRetry
	default:
		return ebonyworks.TrafficRequest
	}
}

// maySend reports whether the attempt may be sent now that its connection is open. Since
// waitUntilAvailable, the server's failure domain may have been evacuated, or the server
// may have become cold, reported that it is draining, or asked for a backoff. The result
// is then AttemptUnreachable, but it isn't recorded, since it says nothing about the
// server. An attempt that the run has canceled isn't sent either. Until maySend has
// returned true, the run can cancel the attempt and state that it hasn't run.
func (a *attempt) maySend() bool {
	availability := a.availability()
	switch {
	case availability.Evacuated:
		a.withhold()
		return false
	case availability.Draining:
		a.noteLeaving()
		return false
	case !availability.Available():
		a.noteBackoff(availability.Backoff)
		return false
	case availability.Cold && !a.hasPermit(availability):
		a.notSentReason = "server " + string(a.candidate.Server.ID) + " is cold, and the attempt has no permit"
		a.retryAfter = noPermitRetryAfter
		return false
	default:
		return a.phase.CompareAndSwap(phaseWaiting, phaseSent)
	}
}

// withhold records that the attempt isn't sent because the failure domain of its server
// is evacuated.
func (a *attempt) withhold() {
	a.notSentReason = "failure domain " + string(a.candidate.Server.Domain) + " is evacuated"
	a.retryAfter = evacuatedRetryAfter
	if f := a.subrequest.run.forwarder; f.OnWithheld != nil {
		f.OnWithheld()
	}
}

// noteLeaving records that the attempt isn't sent because its server is leaving.
func (a *attempt) noteLeaving() {
	a.notSentReason = "server " + string(a.candidate.Server.ID) + " is leaving"
}

// noteBackoff records that the attempt isn't sent because its server refuses requests for
// the time.
func (a *attempt) noteBackoff(left time.Duration) {
	a.notSentReason = "server " + string(a.candidate.Server.ID) + " wants no requests for " + left.Round(time.Millisecond).String()
	a.retryAfter = left
}

// availability returns whether the request may be sent to the server now, and notes the
// incarnation to which that applies.
func (a *attempt) availability() ebonyworks.Availability {
	availability := a.subrequest.run.forwarder.ServerStates.Availability(a.candidate.Server)
	a.incarnation = max(a.candidate.Incarnation, availability.Incarnation)
	return availability
}

// waitUntilAvailable reports whether the server still accepts the request. Since
// it was chosen, its failure domain may have been evacuated, or it may have asked for a
// backoff, named a rate limit, or reported that it is draining.
func (a *attempt) waitUntilAvailable() bool {
	for {
		availability := a.availability()
		switch {
		case availability.Evacuated:
			a.withhold()
			return false
		case availability.Draining:
			a.noteLeaving()
			return false
		case !availability.Available():
			// The server is in backoff.
			if !a.waitsForBackoff || !a.permitContext.sleep(availability.Backoff) {
				a.noteBackoff(availability.Backoff)
				return false
			}
		case availability.RateLimited && !a.hasPermit(availability):
			// The permit comes last, since one that isn't used is lost. While it is taken,
			// the server may become unavailable.
			if !a.takePermit() {
				a.notSentReason = "the rate limit of server " + string(a.candidate.Server.ID) + " is used up"
				a.retryAfter = noPermitRetryAfter
				return false
			}
		default:
			a.record.RateLimited = availability.RateLimited
			return true
		}
	}
}

// cancel cancels the attempt, because its response is not needed. A probe
// continues for as long again as the request has taken so far: how its server
// compares with the others decides whether the server is used again.
func (a *attempt) cancel() {
	if a.kind != attemptProbe {
		a.stop()
		return
	}
	a.permitContext.cancel(context.Canceled)
	if !a.canceled {
		a.canceled = true
		time.AfterFunc(time.Since(a.subrequest.run.request.Arrival), a.stop)
	}
}

// stop makes the attempt leave the queue for a permit, or closes its connection.
func (a *attempt) stop() {
	a.permitContext.cancel(context.Canceled)
	a.sendContext.cancel(context.Canceled)
}

// checkResponse returns a failed result for a response that can't be a part of a
// merged answer.
func (a *attempt) checkResponse(outcome *ebonyworks.ForwardAttempt) ebonyworks.AttemptResult {
	if outcome.Result != ebonyworks.AttemptServed || !a.subrequest.run.route.IsSharded() {
		return outcome.Result
	}
	if outcome.Response.Status/100 != 2 || outcome.Response.Signature == "" {
		return ebonyworks.AttemptFailed
	}
	return outcome.Result
}

func (a *attempt) recordResult() {
	run := a.subrequest.run
	f := run.forwarder
	f.ServerStates.Observe(a.record)
	switch a.record.Result {
	case ebonyworks.AttemptServed, ebonyworks.AttemptCanceled, ebonyworks.AttemptTimeout:
		f.LatencyEstimator.Observe(run.route.ID, a.record.Latency)
	default:
	}
	if f.Observer != nil {
		f.Observer.AttemptEnded(a.record)
	}
}

// provenNotRun reports whether the server can't have started the request and
// won't start it. It prevents an attempt that waits for a permit or opens a connection
// from being sent.
func (a *attempt) provenNotRun() bool {
	if a.finished {
		return a.record.Result.ProvesNotRun()
	}
	return a.phase.CompareAndSwap(phaseWaiting, phaseCanceled) || a.phase.Load() == phaseCanceled
}
