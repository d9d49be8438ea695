package serverstate

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/failurerate"
)

// Observe updates the state of a server with a finished attempt or status request.
func (r *Table) Observe(attempt ebonyworks.AttemptRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	known := r.getOrCreate(attempt.Server)
	if known == nil || attempt.Report.Server == "" && !isCurrent(known, attempt.Report) {
		// An attempt sent to an earlier incarnation says nothing about this one, however it
		// ended. A server that states an earlier one itself is there, though.
		return
	}
	if r.KeepInDomain && attempt.Latency > 0 {
		// The host caused the opening of the connection, mostly by canceling the attempt
		// before, so it says nothing about the speed of the server.
		attempt.Latency = max(attempt.Latency-attempt.OpenTime, time.Nanosecond)
	}
	r.applyReport(known, attempt, now)
	if r.observeWarmup(known, attempt, now) {
		r.recordColdResult(known, attempt, now)
	} else {
		r.applyResult(known, attempt, now)
		r.learnCapacity(known, attempt, now)
	}
	if attempt.RetryAfter > 0 && isCurrent(known, attempt.Report) {
		r.startBackoff(known, attempt.Server, attempt.RetryAfter, now)
	}
}

// isCurrent reports whether the report isn't from an earlier incarnation of the
// server.
func isCurrent(known *record, report ebonyworks.ServerReport) bool {
	return report.Incarnation == 0 || report.Incarnation >= known.incarnation
}

func (r *Table) applyReport(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	report := attempt.Report
	if report.Server != "" && report.Server != attempt.Server {
		return
	}
	if !isCurrent(known, report) {
		return
	}
	if report.Incarnation == 0 {
		report.Incarnation = known.incarnation
	}
	draining := report.Draining || attempt.Result == ebonyworks.AttemptDraining
	r.applyDrainState(known, ebonyworks.DrainState{Server: attempt.Server, Incarnation: report.Incarnation, Draining: draining}, now)
	if report.Draining {
		known.setAnnounced(now)
	}
	if r.applyRateLimit(known, attempt.Server, report.RateLimit, now, now) && r.OnRateLimitChange != nil {
		r.OnRateLimitChange()
	}
	if attempt.Report.Server == "" {
		return
	}
	known.confirmedAt = now
	known.lastReport = now
	known.slotsBusy = report.SlotsBusy
	known.queued = report.Queued
	known.reportedLoad += (float64(report.SlotsBusy+report.Queued) - known.reportedLoad) / loadSamples
}

// applyDrainState applies the drain state if it isn't older than the known one, and
// reports whether anything changed.
func (r *Table) applyDrainState(known *record, state ebonyworks.DrainState, now time.Time) bool {
	changed := false
	if state.Incarnation > known.incarnation {
		r.beginIncarnation(known, state, now)
		changed = true
	}
	if state.Incarnation == known.incarnation && state.Draining && !known.draining {
		known.draining = true
		r.recordEvent(event.ServerDraining, state.Server)
		changed = true
	}
	return changed
}

func (r *Table) beginIncarnation(known *record, state ebonyworks.DrainState, now time.Time) {
	first := known.incarnation == 0 && !known.draining
	known.incarnation = state.Incarnation
	if first {
		// A host that has just started sees every server for the first time, which
		// doesn't mean that the server is cold.
		return
	}
	if known.draining {
		known.returnedAt = now
	}
	known.draining = false
	known.announcedAt = time.Time{}
	known.backoffUntil = time.Time{}
	r.clearRateLimit(known)
	r.assumeWarmup(known, state.Server, now)
	known.rampSince = now
	known.rampTime = 0
	known.latency = 0
	known.typical = 0
	known.fastest = 0
	known.last = 0
	known.slow = false
	known.failures = 0
	known.failureRate = failurerate.Rate{}
	known.capacity = nil
	known.resetProbes()
	r.recordEvent(event.ServerRestarted, state.Server)
}

func (r *Table) applyResult(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	switch attempt.Result {
	case ebonyworks.AttemptServed:
		if attempt.Latency == 0 {
			r.recordStatusReply(known, attempt.Server, now)
			return
		}
		known.failureRate.Observe(false, now)
		r.recordSuccess(known, attempt.Server, now)
		known.addSample(now, attempt.Latency)
	case ebonyworks.AttemptShed:
		// A quick refusal must not make the server look fast. It doesn't mark it as
		// slow either, because under overload that would leave its slots unused.
		known.raiseLatency(now, min(2*known.decayed(now), maxLatency))
	case ebonyworks.AttemptCanceled:
		// The loser of a hedged pair took at least this long.
		known.addLowerBound(now, attempt.Latency)
	case ebonyworks.AttemptTimeout:
		known.failureRate.Observe(true, now)
		known.addLowerBound(now, attempt.Latency)
		r.recordFailure(known, attempt.Server, 1, now)
	case ebonyworks.AttemptLost, ebonyworks.AttemptInvalid, ebonyworks.AttemptFailed:
		known.failureRate.Observe(true, now)
		if r.OnFailure != nil {
			r.OnFailure(attempt.Service, attempt.Server, known.incarnation)
		}
		r.recordFailure(known, attempt.Server, 1, now)
	case ebonyworks.AttemptUnreachable:
		known.confirmedAt = now
		r.recordFailure(known, attempt.Server, failuresUntilFailing, now)
	case ebonyworks.AttemptDraining, ebonyworks.AttemptSnapshotGone, ebonyworks.AttemptExpired, ebonyworks.AttemptRejected:
		// These refusals say nothing about speed or health.
	}
}

// MergeFailures adds the failed requests of another host to the failure rates of the
// servers that this host knows. They say nothing about the servers' health and speed.
func (r *Table) MergeFailures(report ebonyworks.FailureReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, reported := range report.Servers {
		if known := r.servers[reported.Server]; known != nil && known.incarnation == reported.Incarnation {
			known.failureRate.Report(report.Reporter, reported.Failures, now)
		}
	}
}

// recordColdResult handles the result of an attempt at a cold server. Only a
// success says something about its health, and nothing about its speed when warm.
func (r *Table) recordColdResult(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	if attempt.Result == ebonyworks.AttemptServed {
		r.recordSuccess(known, attempt.Server, now)
	}
}

func (r *Table) recordSuccess(known *record, server ebonyworks.ServerID, now time.Time) {
	if known.failing() {
		r.recordEvent(event.ServerRecovered, server)
	}
	known.confirmedAt = now
	known.failures = 0
	if !known.slow {
		known.resetProbes()
	}
}

// recordStatusReply handles the reply to a status request, which takes no slot and
// has no latency. A failing server is used again, but the next failure marks it as
// failing at once, with a longer interval, because a server can answer status
// requests and still fail others.
func (r *Table) recordStatusReply(known *record, server ebonyworks.ServerID, now time.Time) {
	known.confirmedAt = now
	if !known.failing() {
		return
	}
	r.recordEvent(event.ServerRecovered, server)
	known.failures = failuresUntilFailing - 1
	known.probing = true
}

func (r *Table) recordFailure(known *record, server ebonyworks.ServerID, count int, now time.Time) {
	wasFailing := known.failing()
	known.failures = min(known.failures+count, 2*failuresUntilFailing)
	if !known.failing() {
		return
	}
	if !wasFailing {
		r.recordEvent(event.ServerFailing, server)
	}
	// Attempts that were in flight when the server failed end together and
	// must not each lengthen the interval.
	if wasFailing && !known.probing {
		return
	}
	known.probing = false
	known.interval = min(max(2*known.interval, firstProbeInterval), maxProbeInterval)
	known.nextProbe = now.Add(r.jitter(known.interval))
}
