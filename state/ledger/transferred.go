package ledger

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// heldFor is the time that a closed ledger is kept: its last ticket expires
// at most 30 s after it was closed.
const heldFor = Retention + 30*time.Second

// ErrTransferRejected is returned by Hold if the ledger can't be kept.
var ErrTransferRejected = errors.New("closed ledger not kept")

// heldLedger is the closed ledger of another incarnation.
type heldLedger struct {
	ledger ebonyworks.ClosedLedger
	index  map[ebonyworks.TicketID]int
	dropAt time.Time
	bytes  int64
}

// AddTransferred keeps the closed ledger of another incarnation. A second copy is
// ignored. An error means that it isn't kept: this ledger is stopped itself,
// or has no memory left.
func (l *Ledger) AddTransferred(now time.Time, closed ebonyworks.ClosedLedger) error {
	size := closedBytes(closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if l.stopped {
		return errors.Wrap(ErrTransferRejected, "this host is stopping")
	}
	if l.findHeld(closed.Host, closed.Incarnation) != nil {
		return nil
	}
	if l.heldBytes+size > l.maxHeldBytes() {
		return errors.Wrap(ErrTransferRejected, "memory for closed ledgers is used up")
	}
	added := &heldLedger{ledger: closed, index: make(map[ebonyworks.TicketID]int, len(closed.Records)), dropAt: now.Add(heldFor), bytes: size}
	for i, found := range closed.Records {
		added.index[found.Ticket] = i
	}
	l.held = append(l.held, added)
	l.heldBytes += size
	return nil
}

// outcome returns what the closed ledger says of a ticket of its incarnation.
func (h *heldLedger) outcome(claims ebonyworks.TicketClaims) ebonyworks.Outcome {
	if i, ok := h.index[claims.ID]; ok {
		return h.ledger.Records[i].Outcome
	}
	complete := h.ledger.CompleteAfter
	if complete.IsZero() || !claims.Expiry.After(complete) {
		return dropped()
	}
	return notRun(ebonyworks.CodeHostClosed, "the host stopped before the ticket was used")
}

// TransferredOutcome returns the outcome of a ticket whose incarnation has handed
// over its ledger, or false if that ledger isn't held. A ticket that isn't in
// a closed ledger never ran, unless its record may have been dropped before.
func (l *Ledger) TransferredOutcome(now time.Time, claims ebonyworks.TicketClaims) (ebonyworks.Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	holder := l.findHeld(claims.Host, claims.Incarnation)
	if holder == nil {
		return ebonyworks.Outcome{}, false
	}
	return holder.outcome(claims), true
}

// TransferredReservation is HeldOutcome for a reservation with a body. It returns
// Conflict if the ticket was used with another body.
func (l *Ledger) TransferredReservation(now time.Time, claims ebonyworks.TicketClaims, fingerprint ebonyworks.Fingerprint) (TicketStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	holder := l.findHeld(claims.Host, claims.Incarnation)
	if holder == nil {
		return TicketStatus{}, false
	}
	if i, ok := holder.index[claims.ID]; ok {
		used := holder.ledger.Records[i].Fingerprint
		if used != 0 && used != fingerprint {
			return TicketStatus{State: Conflict}, true
		}
	}
	return final(holder.outcome(claims)), true
}

// TransferredLedgers returns the closed ledgers of other incarnations, for a further
// hand-over.
func (l *Ledger) TransferredLedgers(now time.Time) []ebonyworks.ClosedLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	var closed []ebonyworks.ClosedLedger
	for _, holder := range l.held {
		closed = append(closed, holder.ledger)
	}
	return closed
}

func (l *Ledger) findHeld(host ebonyworks.HostID, incarnation ebonyworks.Incarnation) *heldLedger {
	for _, holder := range l.held {
		if holder.ledger.Host == host && holder.ledger.Incarnation == incarnation {
			return holder
		}
	}
	return nil
}

func (l *Ledger) dropHeld(now time.Time) {
	kept := l.held[:0]
	for _, holder := range l.held {
		if now.Before(holder.dropAt) {
			kept = append(kept, holder)
			continue
		}
		l.heldBytes -= holder.bytes
	}
	clear(l.held[len(kept):])
	l.held = kept
}

func (l *Ledger) maxHeldBytes() int64 {
	if l.MaxTransferredBytes == 0 {
		return DefaultMaxTransferredBytes
	}
	return l.MaxTransferredBytes
}

func closedBytes(closed ebonyworks.ClosedLedger) int64 {
	size := int64(recordBytes)
	for _, found := range closed.Records {
		size += recordBytes + resultBytes(found.Outcome)
	}
	return size
}
