package reservation

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// forwardReserve sends the reservation to the incarnation that the ticket
// names, at most once. A failed delivery proves nothing about earlier copies,
// so the outcome is then known only from a handed-over ledger.
func (r *Runner) forwardReserve(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	ctx, cancel := within(ctx, reservation.Deadline)
	defer cancel()
	if owner, ok := r.owner(claims); ok && ctx.Err() == nil {
		traced, span := r.forwardSpan(ctx, owner)
		outcome, delivery := r.Peer.Reserve(traced, owner, reservation)
		endForward(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !unreachable(outcome) {
			return outcome
		}
	}
	if ctx.Err() != nil {
		return unknown(ebonyworks.CodeTimeout, "the deadline passed while another host may have run it")
	}
	return r.askHeirs(ctx, claims, reservation.Ticket)
}

func (r *Runner) forwardOutcome(ctx context.Context, claims ebonyworks.TicketClaims, token string) ebonyworks.Outcome {
	if owner, ok := r.owner(claims); ok {
		traced, span := r.forwardSpan(ctx, owner)
		outcome, delivery := r.Peer.Outcome(traced, owner, token)
		endForward(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !unreachable(outcome) {
			return outcome
		}
	}
	return r.askHeirs(ctx, claims, token)
}

// owner returns the incarnation that the ticket names at its known address,
// unless a ledger shows that it has closed or a later incarnation is known.
func (r *Runner) owner(claims ebonyworks.TicketClaims) (ebonyworks.Host, bool) {
	if _, closed := r.Ledger.HeldOutcome(r.Tickets.Now(), claims); closed {
		return ebonyworks.Host{}, false
	}
	owner, known := r.Hosts.Host(claims.Host)
	if !known || owner.Incarnation > claims.Incarnation {
		return ebonyworks.Host{}, false
	}
	owner.Incarnation = claims.Incarnation
	return owner, true
}

// askHeirs looks for the closed ledger of the ticket's incarnation, first
// here and then at the peers that come first in rendezvous order.
func (r *Runner) askHeirs(ctx context.Context, claims ebonyworks.TicketClaims, token string) ebonyworks.Outcome {
	if outcome, ok := r.Ledger.HeldOutcome(r.Tickets.Now(), claims); ok {
		return outcome
	}
	peers := rendezvous(claims.Host, claims.Incarnation, r.Hosts.Peers())
	for _, peer := range peers[:min(asked, len(peers))] {
		outcome, ok := r.ask(ctx, peer, token)
		if ok {
			return outcome
		}
	}
	return ownerUnreachable()
}

func (r *Runner) ask(ctx context.Context, peer ebonyworks.Host, token string) (ebonyworks.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if ctx.Err() != nil {
		return ebonyworks.Outcome{}, false
	}
	ctx, span := r.forwardSpan(ctx, peer)
	outcome, delivery := r.Peer.Outcome(ctx, peer, token)
	endForward(span, outcome, delivery)
	known := delivery == ebonyworks.Delivered && outcome.Refusal == nil && !unreachable(outcome)
	return outcome, known
}

func (r *Runner) heldOrUnreachable(claims ebonyworks.TicketClaims) ebonyworks.Outcome {
	if outcome, ok := r.Ledger.HeldOutcome(r.Tickets.Now(), claims); ok {
		return outcome
	}
	return ownerUnreachable()
}

func unreachable(outcome ebonyworks.Outcome) bool {
	return outcome.Refusal == nil && outcome.Kind == ebonyworks.OutcomeUnknown && outcome.Code == ebonyworks.CodeOwnerUnreachable
}

// rendezvous orders hosts by their hash with the incarnation, the highest
// first, so that all hosts find the heirs of an incarnation without a list.
func rendezvous(host ebonyworks.HostID, incarnation ebonyworks.Incarnation, peers []ebonyworks.Host) []ebonyworks.Host {
	prefix := string(host) + "\x00" + strconv.FormatUint(uint64(incarnation), 10) + "\x00"
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b ebonyworks.Host) int {
		scoreA := xxhash.Sum64String(prefix + string(a.ID))
		scoreB := xxhash.Sum64String(prefix + string(b.ID))
		return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// within ends the wait for the owner later than the owner's own wait.
func within(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(2*answerGrace))
}
