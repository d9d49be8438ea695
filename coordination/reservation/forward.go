package reservation

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/ledger"
)

// forwardReserve sends the reservation to the incarnation that the ticket
// names, at most once. A failed delivery proves nothing about earlier copies,
// so the outcome is then known only from a handed-over ledger.
func (r *Runner) forwardReserve(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	ctx, cancel := within(ctx, reservation.Deadline)
	defer cancel()
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	if owner, ok := r.owner(claims); ok && ctx.Err() == nil {
		traced, span := r.forwardSpan(ctx, owner)
		outcome, delivery := r.settings.Peer.Reserve(traced, owner, reservation)
		endForward(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !unreachable(outcome) {
			return outcome
		}
	}
	if ctx.Err() != nil {
		return unknown(ebonyworks.CodeTimeout, "the deadline passed while another host may have run it")
	}
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	return r.askSuccessors(ctx, claims, func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery) {
		return r.settings.Peer.Reserve(ctx, peer, reservation)
	})
}

func (r *Runner) forwardOutcome(ctx context.Context, claims ebonyworks.TicketClaims, token string) ebonyworks.Outcome {
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	if owner, ok := r.owner(claims); ok {
		bounded, cancel := context.WithTimeout(ctx, ownerTime)
		defer cancel()
		traced, span := r.forwardSpan(bounded, owner)
		outcome, delivery := r.settings.Peer.Outcome(traced, owner, token)
		endForward(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !unreachable(outcome) {
			return outcome
		}
	}
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	return r.askSuccessors(ctx, claims, func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery) {
		return r.settings.Peer.Outcome(ctx, peer, token)
	})
}

// owner returns the incarnation that the ticket names at its known address,
// unless a later incarnation is known.
func (r *Runner) owner(claims ebonyworks.TicketClaims) (ebonyworks.Host, bool) {
	owner, known := r.settings.Hosts.Host(claims.Host)
	if !known || owner.Incarnation > claims.Incarnation {
		return ebonyworks.Host{}, false
	}
	owner.Incarnation = claims.Incarnation
	return owner, true
}

// question sends a reservation or query to a peer that may hold the closed
// ledger. A reservation is sent as such, because the successor then also sees that
// the ticket was used with another body. No successor can run it.
type question func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery)

// askSuccessors looks for the closed ledger of the ticket's incarnation at the
// peers that come first in rendezvous order. The owner isn't asked again: it
// would get a reservation twice.
func (r *Runner) askSuccessors(ctx context.Context, claims ebonyworks.TicketClaims, ask question) ebonyworks.Outcome {
	peers := slices.DeleteFunc(rendezvous(claims.Host, claims.Incarnation, r.settings.Hosts.Peers()), func(peer ebonyworks.Host) bool {
		return peer.ID == claims.Host && peer.Incarnation <= claims.Incarnation
	})
	for _, peer := range peers[:min(asked, len(peers))] {
		if outcome, ok := r.put(ctx, ask, peer); ok {
			return outcome
		}
	}
	return ownerUnreachable()
}

// put returns the answer if the peer knows one.
func (r *Runner) put(ctx context.Context, ask question, peer ebonyworks.Host) (ebonyworks.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if ctx.Err() != nil {
		return ebonyworks.Outcome{}, false
	}
	traced, span := r.forwardSpan(ctx, peer)
	outcome, delivery := ask(traced, peer)
	endForward(span, outcome, delivery)
	if delivery != ebonyworks.Delivered || unreachable(outcome) {
		return outcome, false
	}
	return outcome, outcome.Refusal == nil || outcome.Refusal.Code == ebonyworks.RefusedConflict
}

// heldOutcome answers a query from a closed ledger that this host holds.
func (r *Runner) heldOutcome(claims ebonyworks.TicketClaims) (ebonyworks.Outcome, bool) {
	return r.settings.Ledger.HeldOutcome(r.settings.Tickets.Now(), claims)
}

// heldReservation answers a reservation from a closed ledger that this host
// holds. It compares the body in the same look-up, since the ledger can arrive
// at any moment.
func (r *Runner) heldReservation(claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) (ebonyworks.Outcome, bool) {
	standing, ok := r.settings.Ledger.HeldReservation(r.settings.Tickets.Now(), claims, bodyFingerprint(reservation))
	if ok && standing.Position == ledger.Conflict {
		return conflict(), true
	}
	return standing.Outcome, ok
}

func unreachable(outcome ebonyworks.Outcome) bool {
	return outcome.Refusal == nil && outcome.Kind == ebonyworks.OutcomeUnknown && outcome.Code == ebonyworks.CodeOwnerUnreachable
}

// rendezvous orders hosts by their hash with the incarnation, the highest
// first, so that all hosts find the successors of an incarnation without a list.
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
