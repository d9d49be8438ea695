package fanout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

const (
	// maxRetryAfter is in the order of the restart of a server.
	maxRetryAfter = 5 * time.Second
	// maxBackoffAdvice bounds the part of the advice that is due to servers in backoff.
	// Others may take their place meanwhile.
	maxBackoffRetryAfter = 30 * time.Second
	// contendedPart is the part of the legs above which waits and queues are due to
	// load. It is above the part that answers may lack by the usual bounds of coverage.
	contendedFraction = 0.2
	// crowdedPart is the ratio of a server's requests to its slots, as reported
	// on average, above which a queue stands there. Reports count the request that
	// carries them.
	saturationRatio = 1.3
	// queuePart is the part of the time left until the target latency that an
	// attempt may be predicted to wait. The rest is for the queues of the servers,
	// and for the slowest of many legs, which takes a multiple of the usual time.
	maxWaitFraction = 0.25
)

// queueing bounds how long a request may wait for permits. It answers the load in
// which more requests arrive than the servers can finish: in a queue that is
// bounded by the deadline only, each request waits until its deadline, and all
// answers are late although the servers are as busy as they can be.
type waitLimits struct {
	// untilTarget is the time until the answer has to be sent to be in time, and
	// untilDeadline until it has to be sent at all.
	untilTarget, untilDeadline time.Duration
	// usual is how long servers usually take, and unloaded how long they take
	// without queues; zero if unknown.
	typicalLatency, unloadedLatency time.Duration
}

// accepts reports whether an attempt starts in spite of the predicted wait for
// its permit. A wait at a server that can't be crowded has another cause than
// load, such as a pause, and is left to second attempts.
func (q waitLimits) acceptsWait(wait time.Duration, saturated bool) bool {
	switch {
	case wait == 0:
		return true
	case saturated:
		return wait <= q.maxSaturatedWait()
	default:
		return wait <= q.maxWait()
	}
}

// latest returns the longest wait after which an answer can still be had.
func (q waitLimits) maxWait() time.Duration { return q.untilDeadline - q.typicalLatency }

// awaits reports whether an attempt starts although its server takes no requests for
// the given time.
func (q waitLimits) acceptsBackoff(backoff time.Duration) bool { return backoff <= q.maxWait() }

// tolerated returns the longest wait at a crowded server. A wait that is no
// longer than the work itself is tolerated. Where the work takes longer than the
// target latency, or isn't known, only the deadline counts: callers then prefer a
// late answer to none.
func (q waitLimits) maxSaturatedWait() time.Duration {
	if q.unloadedLatency == 0 || q.unloadedLatency >= q.untilTarget {
		return q.maxWait()
	}
	inTime := time.Duration(maxWaitFraction * float64(q.untilTarget-q.typicalLatency))
	return min(max(inTime, q.unloadedLatency), q.maxWait())
}

// admission holds the inputs of the decision whether a request is taken on.
type admission struct {
	waitLimits
	// legs is the number of legs, and needed how many have to respond.
	legs, needed int
	// waiting counts the legs without a free permit, crowded those at whose
	// server a queue stands, and expected those that can respond in time.
	waiting, saturated, onTime int
	// refused is the share of the route's requests that were turned away.
	refusalRate float64
}

// contended reports whether so many legs would wait for a permit that the hosts'
// load is the cause. A few shards that fall behind are a fault of theirs, and
// turning away less urgent requests wouldn't help the urgent ones.
func (a *admission) contended() bool { return a.exceedsContended(a.waiting) }

// overloaded reports whether queues stand at many of the chosen servers.
func (a *admission) overloaded() bool { return a.exceedsContended(a.saturated) }

func (a *admission) exceedsContended(legs int) bool {
	return float64(legs) > contendedFraction*float64(a.legs)
}

// String returns the inputs for the log.
func (a *admission) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("expected %d of %d, needed %d; waiting %d, crowded %d; tolerated %s, usual %s, unloaded %s; refused %.2f",
		a.onTime, a.legs, a.needed, a.waiting, a.saturated,
		a.maxSaturatedWait().Round(precision), a.typicalLatency.Round(precision), a.unloadedLatency.Round(precision), a.refusalRate)
}

// crowded reports whether a queue stands at the server, by the average of its
// reports.
func saturated(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.ReportedLoad >= saturationRatio*float64(slots)
}

// retryAfter returns when a refused caller should come back: after the backoff of the
// servers, and then spread by the wait for permits and the share of refusals.
func retryAfter(request ebonyworks.RequestID, backoff, wait time.Duration, refusalRate float64) time.Duration {
	jitter := float64(xxhash.Sum64String(string(request))%1000) / 1000
	return min(backoff, maxBackoffRetryAfter) + min(refusalrate.ReturnTime(wait, refusalRate, jitter), maxRetryAfter)
}

// hasFreeSlot reports whether a second attempt at the server takes a slot that
// would be free otherwise. It is asked while queues stand at many servers, and
// answers the load in which most slots are in use: second attempts at a fifth of
// the legs then take the room that is left, and make the first ones late. A single
// report is older than the queue that it tells of, so a server that isn't crowded
// on average gets the attempt.
func hasFreeSlot(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.SlotsBusy < slots || !saturated(candidate, slots)
}
