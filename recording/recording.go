// Package recording records the requests of an entry host to backend servers
// and of callers to the host, and plays recordings to a whole host.
package recording

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Recording is what one host did, in the order in which requests ended.
type Recording struct {
	// Host is the recorded host.
	Host ebonyworks.HostID
	// Started is the time from which the offsets of requests count.
	Started  time.Time
	Attempts []Attempt
	Calls    []Call
	// Left counts the requests that were left out because the recording was
	// full or the recorder was too slow.
	Left int
	// Closed is set if the recording was ended by the recorder.
	Closed bool
}

// Kind is the kind of a request.
type Kind string

const (
	// SearchKind is a search.
	SearchKind Kind = "Search"
	// ReserveKind is a reservation.
	ReserveKind Kind = "Reserve"
	// StatusKind is a request for a server's report.
	StatusKind Kind = "Status"
)

// Alias replaces a request id or a ticket; zero stands for none. Equal values
// have equal aliases within one recording.
type Alias int

// Attempt is one request to a backend server and its reply.
type Attempt struct {
	// At is the time of sending since the start of the recording.
	At      time.Duration
	Latency time.Duration
	Kind    Kind
	Service ebonyworks.ServiceID
	Server  ebonyworks.ServerID
	Request Alias
	// Catalogue, Shard and the fields below are set as far as the kind has them.
	Catalogue ebonyworks.CatalogueID
	Shard     ebonyworks.ShardID
	Snapshot  ebonyworks.Snapshot
	Filters   []ebonyworks.Field
	Keys      ebonyworks.KeyRange
	Key       string
	Fields    []ebonyworks.Field
	Result    ebonyworks.AttemptResult
	Reply     Reply
}

// Reply is what a server stated.
type Reply struct {
	Request  Alias
	Shard    ebonyworks.ShardID
	Snapshot ebonyworks.Snapshot
	Rows     Rows
	// Fields are the result of a reservation.
	Fields     []ebonyworks.Field
	Report     ebonyworks.ServerReport
	RetryAfter time.Duration
}

// Rows are the rows of a reply, or only their number and digest if there were
// more than the recorder keeps.
type Rows struct {
	Count  int
	Digest uint64
	// Kept is empty if Count exceeds the limit of the recorder.
	Kept []ebonyworks.Row
}

// Complete reports whether all rows were kept.
func (r Rows) Complete() bool { return r.Count == len(r.Kept) }

// Call is one request of a caller and what the caller got.
type Call struct {
	// At is the time of arrival since the start of the recording.
	At      time.Duration
	Latency time.Duration
	// Kind is SearchKind or ReserveKind.
	Kind    Kind
	Request Alias
	// Ticket is set for reservations. The ticket itself is never recorded.
	Ticket Alias
	Route  ebonyworks.RouteID
	House  ebonyworks.CustomerID
	// Timeout is the time that the caller allowed.
	Timeout time.Duration
	Filters []ebonyworks.Field
	Keys    ebonyworks.KeyRange
	Key     string
	Fields  []ebonyworks.Field
	// Refusal is empty for answers and outcomes.
	Refusal ebonyworks.RefusalCode
	// Snapshot, Coverage and Rows are those of the answer to a search.
	Snapshot ebonyworks.Snapshot
	Coverage ebonyworks.Coverage
	Rows     int
	// Outcome and Code are those of a reservation.
	Outcome ebonyworks.OutcomeKind
	Code    ebonyworks.OutcomeCode
}
