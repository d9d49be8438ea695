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
// wait that is no longer than the work itself is tolerated, since servers
// that are slow without a queue would otherwise get no work.
func (q queueing) tolerated(now time.Time) time.Duration {
	inTime := time.Duration(queuePart * float64(q.target.Sub(now)-q.usual))
	return min(max(inTime, q.unloaded), q.deadline.Sub(now)-q.usual)
}

// retryAfter returns when a refused caller should come back: after the queue
// that it would have to wait for, spread by half in both directions, since
// callers that are refused together would return together.
func retryAfter(request ebonyworks.RequestID, wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	part := float64(xxhash.Sum64String(string(request))%1000) / 1000
	return time.Duration((0.5 + part) * float64(base))
}
