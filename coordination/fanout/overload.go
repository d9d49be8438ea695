package fanout

import (
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
	// attempt may be predicted to wait. The slowest of many legs takes about
	// twice as long as the usual one.
	queuePart = 0.5
)

// queueing bounds how long a request may wait for permits. It answers the load in
// which more requests arrive than the servers can finish: in a queue that is
// bounded by the deadline only, each request waits until its deadline, and all
// answers are late although the servers are as busy as they can be.
type queueing struct {
	// target is when the answer has to be sent to be in time, and deadline when
	// it has to be sent at all.
	target, deadline time.Time
	// usual is how long servers usually take, and unloaded how long they take
	// without queues; zero if unknown.
	usual, unloaded time.Duration
}

// tolerated returns the longest predicted wait with which an attempt starts. A
// wait that is no longer than the work itself is tolerated. Where the work takes
// longer than the target latency, or isn't known, only the deadline counts:
// callers then prefer a late answer to none.
func (q queueing) tolerated(now time.Time) time.Duration {
	latest := q.deadline.Sub(now) - q.usual
	left := q.target.Sub(now)
	if q.unloaded == 0 || q.unloaded >= left {
		return latest
	}
	return min(max(time.Duration(queuePart*float64(left-q.usual)), q.unloaded), latest)
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

// hasRoom reports whether a second attempt at the server takes a slot that would
// be free otherwise. It answers the load in which most slots are in use: second
// attempts at a fifth of the requests then take the room that is left, and make
// the first ones late. A single report is older than the queue that it tells of,
// so a server that is usually idle gets the attempt.
func hasRoom(candidate *ebonyworks.Candidate, slots int) bool {
	return candidate.SlotsBusy < slots || candidate.Demand < crowdedPart*float64(slots)
}
