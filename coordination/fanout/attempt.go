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

// phase is where an attempt stands between the run and its own goroutine.
type phase = int32

const (
	phaseWaiting phase = iota
	phaseSent
	phaseCanceled
)

// attempt is one try of a leg at one server.
type attempt struct {
	leg       *leg
	candidate ebonyworks.Candidate
	kind      attemptKind
	// charge is what was taken from the repeats for the attempt.
	charge retrybudget.Charge
	// declined is why the attempt wasn't sent; empty if it was. It is set as record.
	notSentReason string
	// phase moves from phaseWaiting to one of the others, once.
	phase atomic.Int32
	// record and response are set before the attempt is sent to the ends of the
	// run, and read by the run after that.
	record   ebonyworks.AttemptRecord
	response ebonyworks.ServerResponse
	// awaits is set if the attempt may wait until its server takes requests again.
	waitsForBackoff bool
	// ended is set by the run when it has taken the end, and abandoned when it needs
	// no response.
	finished, canceled bool
	// waiting and sending end with the attempt's use: it gives up its place in the
	// queue for a permit, or closes its connection.
	permitContext, sendContext attemptContext
}

// do waits for a permit, sends the request and passes on what it taught.
func (a *attempt) do() {
	run := a.leg.run
	a.record = ebonyworks.AttemptRecord{
		Service: a.leg.id,
		Server:  a.candidate.Server.ID,
		Result:  ebonyworks.AttemptUnreachable,
		Hedge:   a.kind == attemptHedge || a.kind == attemptProbe,
		Retry:   a.kind == attemptRetry || a.kind == attemptFirst && a.charge.Taken(),
	}
	a.runWithRecovery()
	run.finished <- a
}

// contained runs the attempt. After a panic, the server may have run the request.
func (a *attempt) runWithRecovery() {
	defer event.Contain(a.leg.run.forwarder.Recorder, func() string {
		a.record.Result = ebonyworks.AttemptLost
		a.record.Cause = event.ErrUnexpected.Error()
		a.response = ebonyworks.ServerResponse{}
		return "attempt of request " + string(a.leg.run.request.ID)
	})
	a.run()
}

func (a *attempt) run() {
	run := a.leg.run
	f := run.forwarder
	defer a.stop()
	permit, ok := f.Quota.Acquire(&a.permitContext, a.leg.service, a.candidate.Server.ID)
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
	a.record.Latency = time.Since(start)
	a.record.Result = a.checkResponse(&outcome)
	a.record.Report = outcome.Report
	if a.record.Report.Incarnation == 0 {
		// The response is that of the incarnation that was asked, even if another
		// one is known by now.
		a.record.Report.Incarnation = a.candidate.Incarnation
	}
	a.record.RetryAfter = outcome.RetryAfter
	a.record.Cause = outcome.Cause
	a.response = outcome.Response
	if run.route.IsSharded() {
		a.response.Body = a.leg.trimRecords(a.response.Body)
	}
	// The attempts that wait for the permit ask for clearance once they have it.
	a.recordResult()
}

// cleared reports whether the server still takes the request. It may have asked for
// no requests, or said that it is leaving, since it was chosen.
func (a *attempt) waitUntilAvailable() bool {
	for {
		availability := a.leg.run.forwarder.ServerStates.Availability(a.candidate.Server.ID)
		if availability.Available() {
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

// abandon ends the attempt: nobody needs its response. A probe goes on for as long
// again as the request took so far: how its server compares with the others decides
// whether that is used again.
func (a *attempt) cancel() {
	if a.kind != attemptProbe {
		a.stop()
		return
	}
	a.permitContext.cancel(context.Canceled)
	if !a.canceled {
		a.canceled = true
		time.AfterFunc(time.Since(a.leg.run.request.Arrival), a.stop)
	}
}

// stop gives up the place in the queue for a permit, or closes the connection.
func (a *attempt) stop() {
	a.permitContext.cancel(context.Canceled)
	a.sendContext.cancel(context.Canceled)
}

// check turns a response that can't be a part of a merged answer into a failed
// attempt.
func (a *attempt) checkResponse(outcome *ebonyworks.ForwardAttempt) ebonyworks.AttemptResult {
	if outcome.Result != ebonyworks.AttemptServed || !a.leg.run.route.IsSharded() {
		return outcome.Result
	}
	if outcome.Response.Status/100 != 2 || outcome.Response.Signature == "" {
		return ebonyworks.AttemptFailed
	}
	return outcome.Result
}

func (a *attempt) recordResult() {
	run := a.leg.run
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
// won't, and keeps an attempt that waits for a permit from being sent.
func (a *attempt) provenNotRun() bool {
	if a.phase.CompareAndSwap(phaseWaiting, phaseCanceled) || a.phase.Load() == phaseCanceled {
		return true
	}
	return a.finished && a.record.Result.ProvesNotRun()
}
