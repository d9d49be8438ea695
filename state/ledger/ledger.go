// Package ledger keeps the outcomes of one incarnation's reservations, and
// the closed ledgers of other incarnations.
package ledger

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Retention is the time that records are kept after the expiry of their
// ticket.
const Retention = 10 * time.Minute

// DefaultMaxBytes bounds the memory for the records of this incarnation.
const DefaultMaxBytes = 32 << 20

// DefaultMaxTransferredBytes bounds the memory for closed ledgers of other incarnations.
const DefaultMaxTransferredBytes = 64 << 20

// MaxResultBytes bounds the result that is kept to answer later copies of a request.
const MaxResultBytes = 16 << 10

const (
	// recordBytes is charged for a record without its result.
	recordBytes = 512
	// fieldBytes is charged for a field in addition to its text: two string headers.
	fieldBytes = 32
	// runningExtension is how much longer a record is kept if its reservation still runs
	// when the record should be dropped.
	runningExtension = time.Minute
	// newTicketAfter is the RetryAfter for a ticket that can't be used: a new ticket can
	// be taken at once, and zero would mean that a retry doesn't help.
	newTicketAfter = 10 * time.Millisecond
	// fullRetryAfter is the RetryAfter while the ledger is full. Records are
	// dropped as they age, so an earlier retry rarely helps.
	fullRetryAfter = 30 * time.Second
)

// TicketState is the state of a ticket in the ledger.
type TicketState int

const (
	// Started means that the ticket was inserted by this call; the caller of Begin runs
	// the reservation and calls Finish.
	Started TicketState = iota
	// Running means that another copy of the request runs. Wait returns its outcome.
	Running
	// Final means that the outcome is recorded, or can't be known anymore.
	Final
	// Conflict means that the ticket was used with another body.
	Conflict
)

// TicketStatus is the state of a ticket and, for Final, its outcome.
type TicketStatus struct {
	State   TicketState
	Outcome ebonyworks.Outcome
}

// Ledger keeps the state of each used ticket of one incarnation. The time that its
// methods take is that of the clock that ticket expiry is checked against. The zero
// value is an empty ledger; it is safe for concurrent use.
type Ledger struct {
	// MaxBytes bounds the memory of records; zero means DefaultMaxBytes. It
	// isn't changed after the first use.
	MaxBytes int64
	// MaxTransferredBytes bounds the memory of closed ledgers; zero means
	// DefaultMaxTransferredBytes. It isn't changed after the first use.
	MaxTransferredBytes int64

	mu      sync.Mutex
	records map[ebonyworks.TicketID]*record
	// order is a heap of all records, the next one to drop first.
	order dropOrder
	// bytes is the charge for all records. A running one is charged for the
	// largest result.
	bytes int64
	// droppedThrough is the latest expiry of a dropped record. A ticket that
	// expires by then and has no record may have run; it is never inserted.
	droppedThrough time.Time
	// revokedThrough is the latest expiry of a ticket that was refused without
	// a record. Tickets that expire by then and have no record never run.
	revokedThrough time.Time
	// stopped is set once no tickets may be inserted anymore.
	stopped bool
	// closed is set by Close.
	closed *ebonyworks.ClosedLedger

	transferred      []*transferredLedger
	transferredBytes int64
}

type record struct {
	ticket      ebonyworks.TicketID
	fingerprint ebonyworks.Fingerprint
	expiry      time.Time
	// dropAt is at least Retention after expiry.
	dropAt time.Time
	// outcome is nil while the reservation runs and never changes after it
	// was set.
	outcome *ebonyworks.Outcome
	// done is closed when outcome is set.
	done  chan struct{}
	bytes int64
	// revoked is set if no reservation ran with the ticket; fingerprint is then unset.
	revoked bool
}

// Begin inserts the ticket as running if it is new and hasn't expired and the ledger
// accepts new tickets. Exactly one caller per ticket gets Started.
func (l *Ledger) Begin(now time.Time, claims ebonyworks.TicketClaims, fingerprint ebonyworks.Fingerprint) TicketStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if found, ok := l.records[claims.ID]; ok {
		if !found.revoked && found.fingerprint != fingerprint {
			return TicketStatus{State: Conflict}
		}
		return found.status()
	}
	if refused, ok := l.checkNew(now, claims); ok {
		return refused
	}
	if l.bytes+recordBytes+MaxResultBytes > l.maxBytes() {
		return l.revokeAll(claims)
	}
	l.insert(&record{
		ticket:      claims.ID,
		fingerprint: fingerprint,
		expiry:      claims.Expiry,
		dropAt:      claims.Expiry.Add(Retention),
		done:        make(chan struct{}),
		bytes:       recordBytes + MaxResultBytes,
	})
	return TicketStatus{State: Started}
}

// Query returns the status of the ticket. A ticket that was never used is revoked
// first, so that it never runs.
func (l *Ledger) Query(now time.Time, claims ebonyworks.TicketClaims) TicketStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if found, ok := l.records[claims.ID]; ok {
		return found.status()
	}
	if refused, ok := l.checkNew(now, claims); ok {
		return refused
	}
	return l.revoke(claims, notRun(ebonyworks.CodeRevokedByQuery, "the ticket was unused and can't be used any more"))
}

// Finish records the outcome of a running ticket and returns the recorded outcome.
// Only the first call for a ticket has an effect. A result larger than MaxResultBytes
// isn't kept.
func (l *Ledger) Finish(id ebonyworks.TicketID, outcome ebonyworks.Outcome) ebonyworks.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.records[id]
	if !ok {
		return ebonyworks.Outcome{Code: ebonyworks.CodeRecordDropped, Message: "the ticket isn't in the ledger"}
	}
	if found.outcome != nil {
		return *found.outcome
	}
	kept := outcome
	size := resultBytes(outcome)
	if size > MaxResultBytes {
		kept.Result = nil
		kept.Message = "the result was too large to keep for later copies"
		size = 0
	}
	l.bytes += recordBytes + size - found.bytes
	found.bytes = recordBytes + size
	found.outcome = &kept
	close(found.done)
	found.done = nil
	return kept
}

// Wait returns the outcome of a ticket when it is final, or false if the
// context ends first or the ticket has no record.
func (l *Ledger) Wait(ctx context.Context, id ebonyworks.TicketID) (ebonyworks.Outcome, bool) {
	l.mu.Lock()
	found, ok := l.records[id]
	if !ok {
		l.mu.Unlock()
		return ebonyworks.Outcome{}, false
	}
	done := found.done
	l.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return ebonyworks.Outcome{}, false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return *found.outcome, true
}

// Stop permanently ends the insertion of tickets. Running ones can finish.
func (l *Ledger) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// Close stops the ledger and returns its complete contents. Tickets that are
// still running are recorded as unknown in the result. Later calls return the
// same contents.
func (l *Ledger) Close(host ebonyworks.HostID, incarnation ebonyworks.Incarnation) ebonyworks.ClosedLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.closed != nil {
		return *l.closed
	}
	closed := ebonyworks.ClosedLedger{Host: host, Incarnation: incarnation, CompleteAfter: l.completeAfter()}
	closed.Records = make([]ebonyworks.LedgerRecord, 0, len(l.order))
	for _, found := range l.order {
		closed.Records = append(closed.Records, found.export())
	}
	l.closed = &closed
	return closed
}

// Size returns the number of records and the bytes charged for them.
func (l *Ledger) Size() (records int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}

// checkNew returns a status if a ticket without a record must not be inserted.
func (l *Ledger) checkNew(now time.Time, claims ebonyworks.TicketClaims) (TicketStatus, bool) {
	if !claims.Expiry.After(l.droppedThrough) || !now.Before(claims.Expiry.Add(Retention)) {
		return final(dropped()), true
	}
	if l.stopped {
		return final(notRun(ebonyworks.CodeHostClosed, "the host stopped before the ticket was used")), true
	}
	if !claims.Expiry.After(l.revokedThrough) {
		return final(overloaded()), true
	}
	if !now.Before(claims.Expiry) {
		return l.revoke(claims, notRun(ebonyworks.CodeTicketExpired, "the ticket expired before it was used")), true
	}
	return TicketStatus{}, false
}

// revoke records that the ticket never runs. Without memory for a record, all unused
// tickets that expire no later are revoked instead.
func (l *Ledger) revoke(claims ebonyworks.TicketClaims, outcome ebonyworks.Outcome) TicketStatus {
	if l.bytes+recordBytes > l.maxBytes() {
		return l.revokeAll(claims)
	}
	l.insert(&record{
		ticket:  claims.ID,
		expiry:  claims.Expiry,
		dropAt:  claims.Expiry.Add(Retention),
		outcome: &outcome,
		bytes:   recordBytes,
		revoked: true,
	})
	return final(outcome)
}

// revokeAll revokes all tickets without a record that expire no later than this one.
// It takes no memory, so a full ledger can still guarantee that a refused ticket never
// runs.
func (l *Ledger) revokeAll(claims ebonyworks.TicketClaims) TicketStatus {
	if claims.Expiry.After(l.revokedThrough) {
		l.revokedThrough = claims.Expiry
	}
	return final(overloaded())
}

func (l *Ledger) insert(added *record) {
	if l.records == nil {
		l.records = make(map[ebonyworks.TicketID]*record)
	}
	l.records[added.ticket] = added
	heap.Push(&l.order, added)
	l.bytes += added.bytes
}

// drop removes the records and the transferred ledgers whose retention time has passed.
func (l *Ledger) drop(now time.Time) {
	for len(l.order) > 0 && !now.Before(l.order[0].dropAt) {
		oldest := l.order[0]
		if oldest.outcome == nil {
			oldest.dropAt = now.Add(runningExtension)
			heap.Fix(&l.order, 0)
			continue
		}
		heap.Pop(&l.order)
		delete(l.records, oldest.ticket)
		l.bytes -= oldest.bytes
		if oldest.expiry.After(l.droppedThrough) {
			l.droppedThrough = oldest.expiry
		}
	}
	l.dropTransferred(now)
}

func (l *Ledger) completeAfter() time.Time {
	if l.droppedThrough.IsZero() {
		return time.Unix(1, 0)
	}
	return l.droppedThrough
}

func (l *Ledger) maxBytes() int64 {
	if l.MaxBytes == 0 {
		return DefaultMaxBytes
	}
	return l.MaxBytes
}

func (r *record) status() TicketStatus {
	if r.outcome == nil {
		return TicketStatus{State: Running}
	}
	return final(*r.outcome)
}

func (r *record) export() ebonyworks.LedgerRecord {
	exported := ebonyworks.LedgerRecord{Ticket: r.ticket, Fingerprint: r.fingerprint, Expiry: r.expiry}
	if r.outcome == nil {
		exported.Outcome = ebonyworks.Outcome{Code: ebonyworks.CodeRunning, Message: "the host stopped while the reservation ran"}
		return exported
	}
	exported.Outcome = *r.outcome
	return exported
}

func final(outcome ebonyworks.Outcome) TicketStatus {
	return TicketStatus{State: Final, Outcome: outcome}
}

func notRun(code ebonyworks.OutcomeCode, message string) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Code: code, Message: message, RetryAfter: newTicketAfter}
}

func dropped() ebonyworks.Outcome {
	return ebonyworks.Outcome{Code: ebonyworks.CodeRecordDropped, Message: "the time for which outcomes are kept is over"}
}

func overloaded() ebonyworks.Outcome {
	outcome := notRun(ebonyworks.CodeOverloaded, "the ledger is full")
	outcome.RetryAfter = fullRetryAfter
	return outcome
}

func resultBytes(outcome ebonyworks.Outcome) int64 {
	size := 0
	for _, field := range outcome.Result {
		size += fieldBytes + len(field.Name) + len(field.Value)
	}
	return int64(size + len(outcome.Message))
}

// dropOrder is a heap of records by the time at which they are dropped.
type dropOrder []*record

func (d dropOrder) Len() int           { return len(d) }
func (d dropOrder) Less(i, j int) bool { return d[i].dropAt.Before(d[j].dropAt) }
func (d dropOrder) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dropOrder) Push(added any) { *d = append(*d, added.(*record)) }

// Pop implements heap.Interface.
func (d *dropOrder) Pop() any {
	last := len(*d) - 1
	popped := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return popped
}
