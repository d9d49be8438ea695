package fanout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

const (
	// maxRetryAfter is of the order of the time that a server takes to restart.
	maxRetryAfter = 5 * time.Second
	// maxBackoffRetryAfter bounds the part of Retry-After that is due to servers
	// in backoff, because other servers may replace them meanwhile.
	maxBackoffRetryAfter = 30 * time.Second
	// contendedFraction is the fraction of the subrequests above which waits and
	// queues are attributed to load. It is above the fraction of shards that
	// answers may omit under the usual bounds of coverage.
	contendedFraction = 0.2
	// saturationRatio is the average ratio of a server's reported requests to its
	// slots above which requests are queued there. Reports count the request that
	// carries them.
	saturationRatio = 1.3
	// maxWaitFraction is the fraction of the time left until the target latency
	// that an attempt may be predicted to wait. The rest is for the queues of the
	// servers, and for the slowest of many subrequests, which takes a multiple of
	// the typical latency.
	maxWaitFraction = 0.25
)

// waitLimits bounds how long a request may wait for permits. It guards against
// the load in which more requests arrive than the servers can finish: in a queue
// that is bounded only by the deadline, each request waits until its deadline,
// and all answers are late although the servers are fully used.
type waitLimits struct {
	// untilTarget is the time left to send an answer that arrives within the
	// target latency; untilDeadline is the time left until the request times out.
	untilTarget, untilDeadline time.Duration
	// typicalLatency is the recent median latency of servers, and unloadedLatency
	// their latency without queues; zero if unknown.
	typicalLatency, unloadedLatency time.Duration
}

// acceptsWait reports whether an attempt is worth starting despite the predicted
// wait for its permit. A wait at a server that isn't saturated has another cause
// than load, such as a pause, and is left to hedges.
func (w waitLimits) acceptsWait(wait time.Duration, saturated bool) bool {
	switch {
	case wait == 0:
		return true
	case saturated:
		return wait <= w.maxSaturatedWait()
	default:
		return wait <= w.maxWait()
	}
}

// maxWait returns the longest wait after which a response is still possible.
func (w waitLimits) maxWait() time.Duration { return w.untilDeadline - w.typicalLatency }

// acceptsBackoff reports whether an attempt is worth starting although its server
// accepts no requests for the given time.
func (w waitLimits) acceptsBackoff(backoff time.Duration) bool { return backoff <= w.maxWait() }

// maxSaturatedWait returns the longest wait that is accepted at a saturated
// server. A wait that is no longer than the work itself is accepted. If the work
// takes longer than the target latency, or its latency isn't known, only the
// deadline counts, because callers then prefer a late answer to none.
func (w waitLimits) maxSaturatedWait() time.Duration {
	if w.unloadedLatency == 0 || w.unloadedLatency >= w.untilTarget {
		return w.maxWait()
	}
	inTime := time.Duration(maxWaitFraction * float64(w.untilTarget-w.typicalLatency))
	return min(max(inTime, w.unloadedLatency), w.maxWait())
}

// admission holds the inputs of the admission decision of a request.
type admission struct {
	waitLimits
	// subrequests is the number of subrequests; needed is how many of them must
	// respond.
	subrequests, needed int
	// waiting counts the subrequests without a free permit, saturated those whose
	// server is saturated, and onTime those that are expected to respond in time.
	waiting, saturated, onTime int
	// refusalRate is the recent fraction of requests of this service and priority
	// that were refused.
	refusalRate float64
}

// contended reports whether so many subrequests would wait for a permit that the
// load of the hosts is the cause. If only a few shards fall behind, the fault is
// theirs, and refusing less urgent requests wouldn't help the urgent ones.
func (a *admission) contended() bool { return a.exceedsContendedFraction(a.waiting) }

// overloaded reports whether many of the chosen servers are saturated.
func (a *admission) overloaded() bool { return a.exceedsContendedFraction(a.saturated) }

func (a *admission) exceedsContendedFraction(count int) bool {
	return float64(count) > contendedFraction*float64(a.subrequests)
}

// String returns the inputs for the log.
func (a *admission) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("expected %d of %d, needed %d; waiting %d, saturated %d; longest wait %s, typical latency %s, unloaded latency %s; refusal rate %.2f",
		a.onTime, a.subrequests, a.needed, a.waiting, a.saturated,
		a.maxSaturatedWait().Round(precision), a.typicalLatency.Round(precision), a.unloadedLatency.Round(precision), a.refusalRate)
}

// saturated reports whether requests are queued at the server, by the average of
// its reports.
func saturated(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.ReportedLoad >= saturationRatio*float64(slots)
}

// retryAfter returns the delay before a refused caller should retry: the backoff
// of the servers, plus a jittered delay that depends on the wait for permits and
// the refusal rate.
func retryAfter(request ebonyworks.RequestID, backoff, wait time.Duration, refusalRate float64) time.Duration {
	jitter := float64(xxhash.Sum64String(string(request))%1000) / 1000
	return min(backoff, maxBackoffRetryAfter) + min(refusalrate.RetryAfter(wait, refusalRate, jitter), maxRetryAfter)
}

// hasFreeSlot reports whether an attempt at the server uses a slot that would
// otherwise be free. It is checked while many servers are saturated. When most
// slots are in use, hedges for a fifth of the subrequests would take the
// remaining capacity and make the first attempts late. A single report is older
// than the queue that it describes, so a server that isn't saturated on average
// gets the attempt.
func hasFreeSlot(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.SlotsBusy < slots || !saturated(candidate, slots)
}
