package ebonyworks

import (
	"context"
	"time"
)

// Backend sends work to backend servers. Implementations never resend a
// request by themselves. The deadline and the cancellation of the context
// travel with the request.
type Backend interface {
	// Search runs a sub-search on one server.
	Search(ctx context.Context, service *Service, server Server, search SubSearch) SubAnswer
	// Reserve runs a reservation on one server.
	Reserve(ctx context.Context, service *Service, server Server, reservation SubReservation) SubConfirmation
	// Status asks a server for its report.
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

// SubAnswer is a server's reply to a SubSearch.
type SubAnswer struct {
	Result AttemptResult
	// Request, Snapshot and Shard are as the server stated them.
	Request  RequestID
	Snapshot Snapshot
	Shard    ShardID
	Rows     []Row
	// Report is the zero value if the server sent none.
	Report ServerReport
	// RetryAfter is when a refusing server wants to be asked again; zero if it
	// did not say.
	RetryAfter time.Duration
}

// SubReservation is a reservation as one server runs it.
type SubReservation struct {
	Request   RequestID
	Catalogue CatalogueID
	Shard     ShardID
	Key       string
	Fields    []Field
}

// SubConfirmation is a server's reply to a SubReservation.
type SubConfirmation struct {
	Result AttemptResult
	// Request and Shard are as the server stated them.
	Request RequestID
	Shard   ShardID
	// Fields are the result that the server returned.
	Fields     []Field
	Report     ServerReport
	RetryAfter time.Duration
}

// AttemptResult tells how one attempt at a server ended. The zero value is
// AttemptLost, the result that assumes least.
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
	// it is leaving.
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
	// AttemptCancelled means that the caller of the attempt gave up.
	AttemptCancelled
	// AttemptInvalid means that the reply was truncated, corrupt, or for
	// something else.
	AttemptInvalid
	// AttemptRejected means that the server refused before starting, because
	// it regards the request as malformed.
	AttemptRejected
	// AttemptFailed means that the server replied in full, with a failure of
	// its own. The request may have run.
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

// ServerReport is what a server says about itself with each reply.
type ServerReport struct {
	Server      ServerID
	Incarnation Incarnation
	// Leaving is set when the server wants no new work.
	Leaving bool
	// SlotsBusy and Queued lag and can be wrong.
	SlotsBusy int
	Queued    int
	// Snapshots are those that the server holds, by catalogue order of number.
	Snapshots []Snapshot
}

// AttemptRecord is what one attempt taught about a server.
type AttemptRecord struct {
	Service ServiceID
	Server  ServerID
	Result  AttemptResult
	// Latency is the time from sending to the end of the attempt.
	Latency time.Duration
	Report  ServerReport
	// Hedge is set for the second attempt of a hedged pair.
	Hedge bool
	// Retry is set for an attempt after a failed one.
	Retry bool
	// RetryAfter is how long the server wants no request of this host; zero if it
	// didn't say.
	RetryAfter time.Duration
	// Cause explains an attempt without a usable response, or a part of one that
	// isn't used, for the log.
	Cause string
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
	case AttemptCancelled:
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
