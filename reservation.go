package ebonyworks

import (
	"context"
	"time"
)

// Reservation is one non-idempotent request of a caller.
type Reservation struct {
	Request RequestID
	// Ticket is the signed token that was issued to the caller.
	Ticket   string
	Route    RouteID
	Customer CustomerID
	// Key is the item to reserve; it decides the shard.
	Key    string
	Fields []Field
	// Deadline is the time by which the caller needs the outcome.
	Deadline time.Time
}

// OutcomeKind tells whether a reservation ran. The zero value is OutcomeUnknown,
// which makes no claim.
type OutcomeKind int

const (
	// OutcomeUnknown means that the reservation may or may not have run.
	OutcomeUnknown OutcomeKind = iota
	// OutcomeRan means that the reservation ran once.
	OutcomeRan
	// OutcomeNotRun means that the reservation didn't run and never will.
	OutcomeNotRun
)

// String returns the stable name of the kind in metrics and traces.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// OutcomeCode is a stable code that explains an outcome.
type OutcomeCode string

const (
	// CodeDone explains OutcomeRan.
	CodeDone OutcomeCode = "done"
	// CodeRunning means that the reservation is still running.
	CodeRunning OutcomeCode = "still_running"
	// CodeLost means that the connection to the server was lost; the reservation may
	// have run.
	CodeLost OutcomeCode = "server_lost"
	// CodeTimeout means that the deadline passed; the reservation may have run.
	CodeTimeout OutcomeCode = "timeout"
	// CodeInvalidReply means that the server's reply couldn't be decoded.
	CodeInvalidReply OutcomeCode = "invalid_reply"
	// CodeOwnerUnreachable means that the host that issued the ticket can't be
	// reached.
	CodeOwnerUnreachable OutcomeCode = "owner_unreachable"
	// CodeRecordDropped means that the record was dropped after its retention time.
	CodeRecordDropped OutcomeCode = "record_dropped"
	// CodeTicketExpired means that the ticket expired before it was used.
	CodeTicketExpired OutcomeCode = "ticket_expired"
	// CodeRevokedByQuery means that a query for the outcome revoked the unused ticket.
	CodeRevokedByQuery OutcomeCode = "sealed_by_query"
	// CodeHostClosed means that the issuing host stopped before the ticket was used.
	CodeHostClosed OutcomeCode = "host_closed"
	// CodeRefused means that every server that the reservation was sent to refused it
	// before starting.
	CodeRefused OutcomeCode = "refused"
	// CodeDeadline means that the deadline passed before anything was sent.
	CodeDeadline OutcomeCode = "deadline_exceeded"
	// CodeOverloaded means that admission refused the reservation.
	CodeOverloaded OutcomeCode = "overloaded"
	// CodeCrashSuspect means that the request is suspected of crashing servers.
	CodeCrashSuspect OutcomeCode = "crash_suspect"
	// CodeUnknownRoute means that no such reservation route is in force.
	CodeUnknownRoute OutcomeCode = "unknown_route"
)

// Outcome is the answer to a reservation.
type Outcome struct {
	Kind    OutcomeKind
	Code    OutcomeCode
	Message string
	// Result holds the server's result if Kind is OutcomeRan.
	Result []Field
	// RetryAfter is the delay before the caller should query or retry; zero means
	// that a retry won't help.
	RetryAfter time.Duration
	// Refusal is set instead of all other fields when the request was
	// rejected, for example because of a forged ticket.
	Refusal *Refusal
}

// TicketClaims are the signed contents of a ticket.
type TicketClaims struct {
	ID          TicketID
	Host        HostID
	Incarnation Incarnation
	Expiry      time.Time
}

// Reserver issues tickets and runs reservations at most once.
type Reserver interface {
	// IssueTicket returns a signed token for one reservation.
	IssueTicket(ctx context.Context) (string, TicketClaims, *Refusal)
	// Reserve runs the reservation, or returns the outcome if an earlier copy of the
	// request was received.
	Reserve(ctx context.Context, reservation Reservation) Outcome
	// Outcome returns the outcome of the reservation with the ticket, and
	// revokes an unused ticket, so that the reservation never runs.
	Outcome(ctx context.Context, ticket string) Outcome
}

// LedgerRecord is the final outcome of one ticket.
type LedgerRecord struct {
	Ticket      TicketID
	Fingerprint Fingerprint
	Outcome     Outcome
	// Expiry is when the ticket expires.
	Expiry time.Time
}

// ClosedLedger is the complete ledger of an incarnation that has stopped. No
// reservation with a ticket of that incarnation runs after the ledger was closed.
type ClosedLedger struct {
	Host        HostID
	Incarnation Incarnation
	// CompleteAfter is the ticket expiry from which on Records are complete: a
	// ticket that expires after it and isn't in Records was never used. Records of
	// tickets that expire by then may have been dropped. The zero value means that
	// nothing is known of absent tickets, so that a codec that loses the field
	// fails safe.
	CompleteAfter time.Time
	Records       []LedgerRecord
}
