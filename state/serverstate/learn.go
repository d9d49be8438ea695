package serverstate

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// Observe learns from an ended attempt or status request.
func (r *Register) Observe(attempt ebonyworks.AttemptRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	known := r.open(attempt.Server)
	if known == nil {
		return
	}
	r.learnReport(known, attempt, now)
	r.learnResult(known, attempt, now)
	if attempt.RetryAfter > 0 && isCurrent(known, attempt.Report) {
		r.backOff(known, attempt.Server, attempt.RetryAfter, now)
	}
}

// isCurrent reports whether the report isn't that of an earlier life of the server.
func isCurrent(known *record, report ebonyworks.ServerReport) bool {
	return report.Incarnation == 0 || report.Incarnation >= known.incarnation
}

func (r *Register) learnReport(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
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
	leaving := report.Draining || attempt.Result == ebonyworks.AttemptDraining
	r.learnIncarnation(known, ebonyworks.DrainState{Server: attempt.Server, Incarnation: report.Incarnation, Draining: leaving}, now)
	if report.Draining {
		known.announce(now)
	}
	if attempt.Report.Server == "" {
		return
	}
	known.refreshed = now
	known.lastReport = now
	known.slotsBusy = report.SlotsBusy
	known.queued = report.Queued
	known.demand += (float64(report.SlotsBusy+report.Queued) - known.demand) / demandSamples
}

// learnIncarnation applies the fact if it isn't older than the known one, and
// reports whether it changed anything.
func (r *Register) learnIncarnation(known *record, fact ebonyworks.DrainState, now time.Time) bool {
	changed := false
	if fact.Incarnation > known.incarnation {
		r.beginIncarnation(known, fact, now)
		changed = true
	}
	if fact.Incarnation == known.incarnation && fact.Draining && !known.leaving {
		known.leaving = true
		r.record(event.ServerDraining, fact.Server)
		changed = true
	}
	return changed
}

func (r *Register) beginIncarnation(known *record, fact ebonyworks.DrainState, now time.Time) {
	first := known.incarnation == 0 && !known.leaving
	known.incarnation = fact.Incarnation
	if first {
		// A host that has just started meets every server for the first
		// time; that says nothing about how warm the server is.
		return
	}
	if known.leaving {
		known.returned = now
	}
	known.leaving = false
	known.announced = time.Time{}
	known.backoffUntil = time.Time{}
	known.rampSince = now
	known.rampTime = 0
	known.latency = 0
	known.typical = 0
	known.fastest = 0
	known.slow = false
	known.failures = 0
	known.resetProbes()
	r.record(event.ServerRestarted, fact.Server)
}

func (r *Register) learnResult(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	switch attempt.Result {
	case ebonyworks.AttemptServed:
		if attempt.Latency == 0 {
			r.answer(known, attempt.Server, now)
			return
		}
		r.succeed(known, attempt.Server, now)
		known.sample(now, attempt.Latency)
	case ebonyworks.AttemptShed:
		// The quick refusal must not make the server look fast. It doesn't make
		// it slow either: under overload that would leave its slots unused.
		known.peak(now, min(2*known.decayed(now), maxLatency))
	case ebonyworks.AttemptCanceled:
		// The loser of a hedged pair took at least this long.
		known.raise(now, attempt.Latency)
	case ebonyworks.AttemptTimeout:
		known.raise(now, attempt.Latency)
		r.fail(known, attempt.Server, 1, now)
	case ebonyworks.AttemptLost, ebonyworks.AttemptInvalid, ebonyworks.AttemptFailed:
		r.fail(known, attempt.Server, 1, now)
	case ebonyworks.AttemptUnreachable:
		known.refreshed = now
		r.fail(known, attempt.Server, failuresUntilFailing, now)
	case ebonyworks.AttemptDraining, ebonyworks.AttemptSnapshotGone, ebonyworks.AttemptExpired, ebonyworks.AttemptRejected:
		// These refusals say nothing about speed or health.
	}
}

func (r *Register) succeed(known *record, server ebonyworks.ServerID, now time.Time) {
	if known.failing() {
		r.record(event.ServerRecovered, server)
	}
	known.refreshed = now
	known.failures = 0
	if !known.slow {
		known.resetProbes()
	}
}

// answer learns from the reply to a status request, which takes no slot and
// states no latency. A failing server is used again, but the next failure marks
// it as failing at once, with a longer interval: it can answer such requests
// and still fail others.
func (r *Register) answer(known *record, server ebonyworks.ServerID, now time.Time) {
	known.refreshed = now
	if !known.failing() {
		return
	}
	r.record(event.ServerRecovered, server)
	known.failures = failuresUntilFailing - 1
	known.probing = true
}

func (r *Register) fail(known *record, server ebonyworks.ServerID, count int, now time.Time) {
	wasFailing := known.failing()
	known.failures = min(known.failures+count, 2*failuresUntilFailing)
	if !known.failing() {
		return
	}
	if !wasFailing {
		r.record(event.ServerFailing, server)
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
