package ebonyworks

import (
	"context"
	"time"
)

// Backend sends searches and reservations to backend servers. Implementations
// never resend a request by themselves. The deadline and the cancellation of
// the context are passed on to the server.
type Backend interface {
	// Search runs the search of one shard on one server.
	Search(ctx context.Context, service *Service, server Server, search SubSearch) SubSearchReply
	// Reserve runs a reservation on one server.
	Reserve(ctx context.Context, service *Service, server Server, reservation SubReservation) SubReservationReply
	// Status requests the load and state report of a server.
	Status(ctx context.Context, service *Service, server Server) (ServerReport, AttemptResult)
}

// SubSearch is the part of a search that concerns one shard.
type SubSearch struct {
	Request   RequestID
	Catalogue CatalogueID
	Snapshot  Snapshot
	Shard     ShardID
	Filters   []Field
	Keys      KeyRange
}

// SubSearchReply is a server's reply to a SubSearch.
type SubSearchReply struct {
	Result AttemptResult
	// Request, Snapshot and Shard are the values that the server returned.
	Request  RequestID
	Snapshot Snapshot
	Shard    ShardID
	Rows     []Row
	// Report is the zero value if the server sent none.
	Report ServerReport
	// RetryAfter is the delay that a refusing server asked for; zero if it named
	// none.
	RetryAfter time.Duration
}

// SubReservation is a reservation as it is sent to one server.
type SubReservation struct {
	Request   RequestID
	Catalogue CatalogueID
	Shard     ShardID
	Key       string
	Fields    []Field
}

// SubReservationReply is a server's reply to a SubReservation.
type SubReservationReply struct {
	Result AttemptResult
	// Request and Shard are the values that the server returned.
	Request RequestID
	Shard   ShardID
	// Fields are the result that the server returned.
	Fields     []Field
	Report     ServerReport
	RetryAfter time.Duration
}

// AttemptResult tells how one attempt at a server ended. The zero value is
// AttemptLost, which doesn't say whether the request ran.
type AttemptResult int

const (
	// AttemptLost means that the connection ended after the request may have
	// been sent and before a complete reply.
	AttemptLost AttemptResult = iota
	// AttemptServed means that the server replied in full.
	AttemptServed
	// AttemptShed means that the server refused before starting, because of load.
	AttemptShed
	// AttemptDraining means that the server refused before starting, because
	// it is draining.
	AttemptDraining
	// AttemptSnapshotGone means that the server refused before starting,
	// because it doesn't hold the snapshot.
	AttemptSnapshotGone
	// AttemptExpired means that the server refused before starting, because
	// the deadline had passed.
	AttemptExpired
	// AttemptUnreachable means that no byte of the request was sent.
	AttemptUnreachable
	// AttemptTimeout means that the deadline passed while waiting for a reply.
	AttemptTimeout
	// AttemptCanceled means that this host canceled the attempt.
	AttemptCanceled
	// AttemptInvalid means that the reply was truncated, corrupt, or belonged to
	// another request.
	AttemptInvalid
	// AttemptRejected means that the server refused before starting, because
	// it considers the request malformed.
	AttemptRejected
	// AttemptFailed means that the server replied in full and reported an internal
	// error. The request may have run.
	AttemptFailed
)

// ProvesNotRun reports whether the server can't have started the request.
func (r AttemptResult) ProvesNotRun() bool {
	switch r {
	case AttemptShed, AttemptDraining, AttemptSnapshotGone, AttemptExpired, AttemptUnreachable, AttemptRejected:
		return true
	default:
		return false
	}
}

// ServerReport is the load and state that a server reports with each reply.
type ServerReport struct {
	Server      ServerID
	Incarnation Incarnation
	// Draining is set when the server accepts no new work.
	Draining bool
	// SlotsBusy and Queued lag behind the actual load and can be wrong.
	SlotsBusy int
	Queued    int
	// Slots is the number of requests that the server runs at a time; zero if it doesn't
	// report it.
	Slots int
	// WorkTime is how long work takes on the server's machine at the time of the report;
	// 100 means as usual, and so does zero.
	WorkTime Percent
	// Snapshots are those that the server holds, ordered by their numbers in the
	// catalogue.
	Snapshots []Snapshot
	// RateLimit is what the response says about a rate limit.
	RateLimit RateLimitReport
}

// AttemptRecord describes a finished attempt at a server.
type AttemptRecord struct {
	Service ServiceID
	Server  ServerID
	Result  AttemptResult
	// Latency is the time from sending to the end of the attempt.
	Latency time.Duration
	// OpenTime is the part of Latency in which the connection was opened; zero if a kept
	// one was used.
	OpenTime time.Duration
	Report   ServerReport
	// LeftDomain is why a first attempt went to another failure domain.
	LeftDomain LeaveReason
	// Hedge is set for the second attempt of a hedged pair.
	Hedge bool
	// Retry is set for an attempt that follows a failed one.
	Retry bool
	// RetryAfter is how long the server asked this host to send no requests; zero
	// if it didn't ask.
	RetryAfter time.Duration
	// Cause explains an attempt without a usable response, or a part of one that
	// isn't used, for the log.
	Cause string
	// LocalCause is set if the cause of AttemptUnreachable is on this host, for example
	// that it stopped the attempt while it opened a connection. The result then says
	// nothing about the server.
	LocalCause bool
	// RateLimited is set if the server had named a rate limit before the request was
	// sent.
	RateLimited bool
}

// String returns the stable name of the result in metrics and traces.
func (r AttemptResult) String() string {
	switch r {
	case AttemptServed:
		return "served"
	case AttemptShed:
		return "shed"
	case AttemptDraining:
		return "draining"
	case AttemptSnapshotGone:
		return "snapshot_gone"
	case AttemptExpired:
		return "expired"
	case AttemptUnreachable:
		return "unreachable"
	case AttemptTimeout:
		return "timeout"
	case AttemptCanceled:
		return "canceled"
	case AttemptInvalid:
		return "invalid"
	case AttemptRejected:
		return "rejected"
	case AttemptFailed:
		return "failed"
	default:
		return "lost"
	}
}
