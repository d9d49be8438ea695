package fanout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// minRetryAfter is when servers that shed load have usually worked off some
	// of their queues.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is in the order of the restart of a server.
	maxRetryAfter = 5 * time.Second
	// maxRefused bounds the growth of the time by the share of refusals to a
	// factor of 4. With more, the callers of a short overload stay away for long
	// after its end.
	maxRefused = 0.75
	// contendedPart is the part of the legs above which waits are due to load. It
	// is above the part that answers may lack by the usual bounds of coverage.
	contendedPart = 0.2
	// crowdedPart is the ratio of a server's requests to its slots, as reported
	// on average, above which a queue stands there. Reports count the request that
	// carries them.
	crowdedPart = 1.3
	// queuePart is the part of the time left until the target latency that an
	// attempt may be predicted to wait. The rest is for the queues of the servers,
	// and for the slowest of many legs, which takes a multiple of the usual time.
	queuePart = 0.25
)

// queueing bounds how long a request may wait for permits. It answers the load in
// which more requests arrive than the servers can finish: in a queue that is
// bounded by the deadline only, each request waits until its deadline, and all
// answers are late although the servers are as busy as they can be.
type queueing struct {
	// untilTarget is the time until the answer has to be sent to be in time, and
	// untilDeadline until it has to be sent at all.
	untilTarget, untilDeadline time.Duration
	// usual is how long servers usually take, and unloaded how long they take
	// without queues; zero if unknown.
	usual, unloaded time.Duration
}

// accepts reports whether an attempt starts in spite of the predicted wait for
// its permit. A wait at a server that can't be crowded has another cause than
// load, such as a pause, and is left to second attempts.
func (q queueing) accepts(wait time.Duration, crowded bool) bool {
	if wait == 0 {
		return true
	}
	latest := q.untilDeadline - q.usual
	if !crowded {
		return wait <= latest
	}
	return wait <= min(q.tolerated(latest), latest)
}

// tolerated returns the longest wait at a crowded server. A wait that is no
// longer than the work itself is tolerated. Where the work takes longer than the
// target latency, or isn't known, only the deadline counts: callers then prefer a
// late answer to none.
func (q queueing) tolerated(latest time.Duration) time.Duration {
	if q.unloaded == 0 || q.unloaded >= q.untilTarget {
		return latest
	}
	return max(time.Duration(queuePart*float64(q.untilTarget-q.usual)), q.unloaded)
}

// String returns the bound and its inputs for the log.
func (q queueing) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("tolerated %s, usual %s, unloaded %s", q.tolerated(q.untilDeadline-q.usual).Round(precision), q.usual.Round(precision), q.unloaded.Round(precision))
}

// crowded reports whether a queue stands at the server, by the average of its
// reports.
func crowded(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.Demand >= crowdedPart*float64(slots)
}

// contended reports whether so many legs would wait for a permit that the hosts'
// load is the cause. A few shards that fall behind are a fault of theirs, and
// turning away less urgent requests wouldn't help the urgent ones.
func contended(waiting, total int) bool {
	return float64(waiting) > contendedPart*float64(total)
}

// retryAfter returns when a refused caller should come back: after the queue
// that it would have to wait for, and later the more callers are refused, since
// each that comes back too early adds to the load. The time is spread by half in
// both directions: callers that are refused together would return together.
func retryAfter(request ebonyworks.RequestID, wait time.Duration, refused float64) time.Duration {
	base := float64(max(wait, minRetryAfter)) / (1 - min(refused, maxRefused))
	part := float64(xxhash.Sum64String(string(request))%1000) / 1000
	return min(time.Duration((0.5+part)*base), maxRetryAfter)
}

// hasFreeSlot reports whether a second attempt at the server takes a slot that
// would be free otherwise. It answers the load in which most slots are in use:
// second attempts at a fifth of the legs then take the room that is left, and make
// the first ones late. A single report is older than the queue that it tells of,
// so a server that isn't crowded on average gets the attempt.
func hasFreeSlot(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.SlotsBusy < slots || !crowded(candidate, slots)
}
