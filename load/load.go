// Package load holds the types that the parts of the load and experiment tool
// share: requests, their results, and the interfaces between a run and the
// system under test.
package load

import (
	"context"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Request is one request of a caller as the tool draws it.
type Request struct {
	Route ebonyworks.RouteID
	House ebonyworks.CustomerID
	// Kind tells whether this is a search or a reservation.
	Kind ebonyworks.RouteKind
	// Filters and Keys belong to searches.
	Filters []ebonyworks.Field
	Keys    ebonyworks.KeyRange
	// Key and Fields belong to reservations.
	Key    string
	Fields []ebonyworks.Field
	// Timeout is how long the caller waits for the host; zero leaves it to the
	// route.
	Timeout time.Duration
}

// Ending tells how a request ended. The zero value is Failed.
type Ending int

const (
	// Failed means that no usable reply arrived; Result.Code has the reason.
	Failed Ending = iota
	// Answered means that a search got an answer, complete or not.
	Answered
	// Refused means that the host refused the request; Result.Code has the code.
	Refused
	// Settled means that a reservation got an outcome.
	Settled
)

// Reasons of failed requests.
const (
	// FailedLimit means that the bound on outstanding requests was reached when
	// the request was due, so it was never sent.
	FailedLimit = "outstanding_limit"
	// FailedNoHost means that no entry host was ready.
	FailedNoHost = "no_host"
	// FailedConnect means that no connection could be opened.
	FailedConnect = "connect"
	// FailedReset means that the connection ended before the reply.
	FailedReset = "reset"
	// FailedTimeout means that the client gave up.
	FailedTimeout = "client_timeout"
	// FailedReply means that the reply couldn't be understood.
	FailedReply = "bad_reply"
)

// Result is what a caller got for one request.
type Result struct {
	Ending Ending
	// Code is the code of a refusal, the reason of a failure, or the code of
	// the outcome of a reservation.
	Code string
	// Outcome is meaningful if Ending is Settled.
	Outcome ebonyworks.OutcomeKind
	// Covered is the number of shards that the answer covers.
	Covered int
	// Missed are the shards that the answer misses.
	Missed []ebonyworks.MissedShard
	// Violations are the ways in which an answer contradicts itself or its
	// request. A correct system causes none.
	Violations []string
	// Delay is the distance between client and host that was not slept and
	// counts as latency. Each arrival at the hosts would be later by the same
	// time, so sleeping would only add the inaccuracy of timers.
	Delay time.Duration
}

// Complete reports whether a search was answered and misses no shard.
func (r Result) Complete() bool { return r.Ending == Answered && len(r.Missed) == 0 }

// Useful returns the number of backend requests that the result needed at
// least.
func (r Result) Useful() int {
	switch {
	case r.Ending == Answered:
		return r.Covered
	case r.Ending == Settled && r.Outcome == ebonyworks.OutcomeRan:
		return 1
	default:
		return 0
	}
}

// Target runs requests. It returns at the latest shortly after the context
// ends.
type Target interface {
	Do(ctx context.Context, request Request) Result
}

// Counters are the requests that the stand-in backend servers ended since they
// were started, summed over all of them and by result.
type Counters struct {
	Served, Shed, Draining, SnapshotGone, Expired, Abandoned, Rejected, Closed uint64
	// Crashes counts requests that crashed their server.
	Crashes uint64
}

// Received returns the number of requests, whatever became of them.
func (c Counters) Received() uint64 {
	return c.Served + c.Shed + c.Draining + c.SnapshotGone + c.Expired + c.Abandoned + c.Rejected + c.Closed
}

// Plus returns the sum.
func (c Counters) Plus(other Counters) Counters {
	return Counters{
		Served:       c.Served + other.Served,
		Shed:         c.Shed + other.Shed,
		Draining:     c.Draining + other.Draining,
		SnapshotGone: c.SnapshotGone + other.SnapshotGone,
		Expired:      c.Expired + other.Expired,
		Abandoned:    c.Abandoned + other.Abandoned,
		Rejected:     c.Rejected + other.Rejected,
		Closed:       c.Closed + other.Closed,
		Crashes:      c.Crashes + other.Crashes,
	}
}

// Minus returns what was counted since the earlier reading.
func (c Counters) Minus(earlier Counters) Counters {
	return Counters{
		Served:       c.Served - earlier.Served,
		Shed:         c.Shed - earlier.Shed,
		Draining:     c.Draining - earlier.Draining,
		SnapshotGone: c.SnapshotGone - earlier.SnapshotGone,
		Expired:      c.Expired - earlier.Expired,
		Abandoned:    c.Abandoned - earlier.Abandoned,
		Rejected:     c.Rejected - earlier.Rejected,
		Closed:       c.Closed - earlier.Closed,
		Crashes:      c.Crashes - earlier.Crashes,
	}
}

// Executions are the reservations that the stand-ins ran since they were started.
type Executions struct {
	// Distinct is the number of reservations that were started at least once.
	Distinct int
	// Repeated is the number of those that were started more than once.
	Repeated int
}

// Minus returns what was run since the earlier reading.
func (e Executions) Minus(earlier Executions) Executions {
	return Executions{Distinct: e.Distinct - earlier.Distinct, Repeated: e.Repeated - earlier.Repeated}
}

// Meter reads the counters of the stand-ins.
type Meter interface {
	Read(ctx context.Context) (Counters, error)
	// Executions reads which reservations ran.
	Executions(ctx context.Context) (Executions, error)
}

// Sleep waits for the time or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
