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

// phase tells whether an attempt has been sent or canceled. The goroutines of the
// run and of the attempt both change it.
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
	endedAt   time.Time
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
	if !a.phase.CompareAndSwap(phaseWaiting, phaseSent) {
		return
	}
	start := time.Now()
	outcome := f.Backend.Send(&a.sendContext, a.candidate.Server, run.request, run.deadline)
	a.endedAt = time.Now()
	a.record.Latency = a.endedAt.Sub(start)
	a.record.Result = a.checkResponse(&outcome)
	a.record.Report = outcome.Report
	if a.record.Report.Incarnation == 0 {
		// The response comes from the incarnation that the request was sent to,
		// even if a later one is known by now.
		a.record.Report.Incarnation = a.candidate.Incarnation
	}
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

// waitUntilAvailable reports whether the server still accepts the request. Since
// it was chosen, it may have asked for a backoff, named a rate limit, or reported that
// it is draining.
func (a *attempt) waitUntilAvailable() bool {
	for {
		availability := a.subrequest.run.forwarder.ServerStates.Availability(a.candidate.Server.ID)
		if availability.RateLimited && !a.permitted && !a.takePermit() {
			a.notSentReason = "the rate limit of server " + string(a.candidate.Server.ID) + " is used up"
			return false
		}
		if availability.Available() {
			a.record.RateLimited = availability.RateLimited
			return true
		}
		if availability.Draining {
			a.notSentReason = "server " + string(a.candidate.Server.ID) + " is leaving"
			return false
		}
		if !a.waitsForBackoff || !a.permitContext.sleep(availability.Backoff) {
			a.notSentReason = "server " + string(a.candidate.Server.ID) + " wants no requests for " + availability.Backoff.Round(time.Millisecond).String()
			return false
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
// won't start it. It prevents an attempt that waits for a permit from being sent.
func (a *attempt) provenNotRun() bool {
	if a.phase.CompareAndSwap(phaseWaiting, phaseCanceled) || a.phase.Load() == phaseCanceled {
		return true
	}
	return a.finished && a.record.Result.ProvesNotRun()
}
