package ledger

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// transferredRetention is how long a transferred ledger is kept: its last ticket expires at
// most 30 s after it was closed.
const transferredRetention = Retention + 30*time.Second

// ErrTransferRejected is returned by AddTransferred if the ledger can't be kept.
var ErrTransferRejected = errors.New("closed ledger not kept")

// transferredLedger is the closed ledger of another incarnation.
type transferredLedger struct {
	ledger ebonyworks.ClosedLedger
	index  map[ebonyworks.TicketID]int
	dropAt time.Time
	bytes  int64
}

// AddTransferred stores the closed ledger of another incarnation. A second copy is
// ignored. It returns an error if this ledger is stopped itself or the memory for
// transferred ledgers is used up.
func (l *Ledger) AddTransferred(now time.Time, closed ebonyworks.ClosedLedger) error {
	size := closedBytes(closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	if l.stopped {
		return errors.Wrap(ErrTransferRejected, "this host is stopping")
	}
	if l.findTransferred(closed.Host, closed.Incarnation) != nil {
		return nil
	}
	if l.transferredBytes+size > l.maxTransferredBytes() {
		return errors.Wrap(ErrTransferRejected, "memory for closed ledgers is used up")
	}
	added := &transferredLedger{ledger: closed, index: make(map[ebonyworks.TicketID]int, len(closed.Records)), dropAt: now.Add(transferredRetention), bytes: size}
	for i, found := range closed.Records {
		added.index[found.Ticket] = i
	}
	l.transferred = append(l.transferred, added)
	l.transferredBytes += size
	return nil
}

// outcome returns the outcome of a ticket of the transferred ledger's incarnation.
func (h *transferredLedger) outcome(claims ebonyworks.TicketClaims) ebonyworks.Outcome {
	if i, ok := h.index[claims.ID]; ok {
		return h.ledger.Records[i].Outcome
	}
	complete := h.ledger.CompleteAfter
	if complete.IsZero() || !claims.Expiry.After(complete) {
		return dropped()
	}
	return notRun(ebonyworks.CodeHostClosed, "the host stopped before the ticket was used")
}

// TransferredOutcome returns the outcome of a ticket whose incarnation has transferred its
// ledger, or false if that ledger isn't stored here. A ticket that isn't in a closed
// ledger never ran, unless its record may have been dropped before.
func (l *Ledger) TransferredOutcome(now time.Time, claims ebonyworks.TicketClaims) (ebonyworks.Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	found := l.findTransferred(claims.Host, claims.Incarnation)
	if found == nil {
		return ebonyworks.Outcome{}, false
	}
	return found.outcome(claims), true
}

// TransferredReservation is TransferredOutcome for a reservation with a body. It returns
// Conflict if the ticket was used with another body.
func (l *Ledger) TransferredReservation(now time.Time, claims ebonyworks.TicketClaims, fingerprint ebonyworks.Fingerprint) (TicketStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	found := l.findTransferred(claims.Host, claims.Incarnation)
	if found == nil {
		return TicketStatus{}, false
	}
	if i, ok := found.index[claims.ID]; ok {
		used := found.ledger.Records[i].Fingerprint
		if used != 0 && used != fingerprint {
			return TicketStatus{State: Conflict}, true
		}
	}
	return final(found.outcome(claims)), true
}

// TransferredLedgers returns the closed ledgers of other incarnations, so that they
// can be transferred again.
func (l *Ledger) TransferredLedgers(now time.Time) []ebonyworks.ClosedLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(now)
	var closed []ebonyworks.ClosedLedger
	for _, entry := range l.transferred {
		closed = append(closed, entry.ledger)
	}
	return closed
}

func (l *Ledger) findTransferred(host ebonyworks.HostID, incarnation ebonyworks.Incarnation) *transferredLedger {
	for _, entry := range l.transferred {
		if entry.ledger.Host == host && entry.ledger.Incarnation == incarnation {
			return entry
		}
	}
	return nil
}

func (l *Ledger) dropTransferred(now time.Time) {
	kept := l.transferred[:0]
	for _, entry := range l.transferred {
		if now.Before(entry.dropAt) {
			kept = append(kept, entry)
			continue
		}
		l.transferredBytes -= entry.bytes
	}
	clear(l.transferred[len(kept):])
	l.transferred = kept
}

func (l *Ledger) maxTransferredBytes() int64 {
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
