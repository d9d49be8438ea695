package ebonyworks

import (
	"context"
	"time"
)

// Search is one idempotent request of a caller.
type Search struct {
	Request  RequestID
	Route    RouteID
	Customer CustomerID
	// Filters must all match. They are ordered by field, then value.
	Filters []Field
	// Keys restricts the search to a key range; the zero value means all.
	Keys KeyRange
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
}

// Field is a named value of a row, filter or result.
type Field struct {
	Name, Value string
}

// Row is one item of stock.
type Row struct {
	Key    string
	Fields []Field
}

// Answer is the final answer to a search.
type Answer struct {
	Request RequestID
	// Snapshot is the snapshot that all rows come from.
	Snapshot Snapshot
	// Version is that of the configuration under which the search ran.
	Version ConfigurationVersion
	// Stale is set when the host can't tell whether its configuration is current.
	Stale bool
	// Rows are ordered by key. Only covered shards contribute rows.
	Rows     []Row
	Coverage Coverage
}

// Snapshot identifies one consistent version of a catalogue and its partition.
type Snapshot struct {
	Number SnapshotNumber
	Epoch  PartitionEpoch
}

// Coverage divides the shards that a search needed into covered and missed.
// Each needed shard of the snapshot's partition is in exactly one list.
type Coverage struct {
	Covered []ShardID
	Missed  []MissedShard
}

// Complete reports whether no shard is missed.
func (c Coverage) Complete() bool { return len(c.Missed) == 0 }

// MissedShard is a shard that an answer doesn't cover.
type MissedShard struct {
	Shard  ShardID
	Reason MissReason
}

// MissReason tells why an answer doesn't cover a shard.
type MissReason string

const (
	// MissTimeout means that no valid reply arrived before the answer was completed.
	MissTimeout MissReason = "timeout"
	// MissNoServer means that no server of the shard was usable.
	MissNoServer MissReason = "no_server"
	// MissShed means that the servers of the shard refused the search because of
	// load.
	MissShed MissReason = "shed"
	// MissSnapshotGone means that no server of the shard held the snapshot.
	MissSnapshotGone MissReason = "snapshot_gone"
	// MissInvalidReply means that replies were truncated, corrupt or for
	// another request.
	MissInvalidReply MissReason = "invalid_reply"
	// MissServerLost means that the connections to the servers were lost while they
	// ran the search.
	MissServerLost MissReason = "server_lost"
)

// SearchOutcome is an answer or a refusal.
type SearchOutcome struct {
	// Answer is meaningful only if Refusal is nil.
	Answer  Answer
	Refusal *Refusal
}

// Refusal is the error response to a caller's request.
type Refusal struct {
	Code    RefusalCode
	Message string
	// RetryAfter is the delay before a retry; zero means that a retry won't help.
	RetryAfter time.Duration
	// Ran is set if some server may have started the request.
	Ran bool
}

// RefusalCode is a stable error code of the callers' API.
type RefusalCode string

const (
	// RefusedInvalid means that the request is malformed.
	RefusedInvalid RefusalCode = "invalid_request"
	// RefusedTooLarge means that the body exceeds the limit.
	RefusedTooLarge RefusalCode = "body_too_large"
	// RefusedUnknownRoute means that no such route is in force.
	RefusedUnknownRoute RefusalCode = "unknown_route"
	// RefusedOverload means that the request can't be completed in time.
	RefusedOverload RefusalCode = "overloaded"
	// RefusedNotReady means that the host isn't ready or is stopping.
	RefusedNotReady RefusalCode = "not_ready"
	// RefusedNoSnapshot means that no snapshot can be served.
	RefusedNoSnapshot RefusalCode = "no_snapshot"
	// RefusedCrashSuspect means that the request is suspected of crashing servers.
	RefusedCrashSuspect RefusalCode = "crash_suspect"
	// RefusedTicket means that the ticket is missing, malformed or forged.
	RefusedTicket RefusalCode = "invalid_ticket"
	// RefusedConflict means that the ticket was used with another body.
	RefusedConflict RefusalCode = "ticket_conflict"
	// RefusedDeadline means that the deadline passed before the work started.
	RefusedDeadline RefusalCode = "deadline_exceeded"
	// RefusedInternal means that an internal error prevented an answer.
	RefusedInternal RefusalCode = "internal"
)

// Searcher answers searches.
type Searcher interface {
	// Search returns at the latest shortly after the deadline of the search.
	Search(ctx context.Context, search Search) SearchOutcome
}
