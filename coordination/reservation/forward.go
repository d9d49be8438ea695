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

// forwardReserve sends the reservation, at most once, to the incarnation that issued
// the ticket. A failed delivery proves nothing about earlier copies of the request, so
// after one only the closed ledger of that incarnation can tell the outcome.
func (r *Runner) forwardReserve(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	ctx, cancel := withOwnerDeadline(ctx, reservation.Deadline)
	defer cancel()
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	if owner, ok := r.owner(claims); ok && ctx.Err() == nil {
		traced, span := r.startForwardSpan(ctx, owner)
		outcome, delivery := r.settings.Peer.Reserve(traced, owner, reservation)
		endForwardSpan(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !isOwnerUnreachable(outcome) {
			return outcome
		}
	}
	if ctx.Err() != nil {
		return unknown(ebonyworks.CodeTimeout, "the deadline passed while another host may have run it")
	}
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	return r.querySuccessors(ctx, claims, func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery) {
		return r.settings.Peer.Reserve(ctx, peer, reservation)
	})
}

func (r *Runner) forwardOutcome(ctx context.Context, claims ebonyworks.TicketClaims, token string) ebonyworks.Outcome {
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	if owner, ok := r.owner(claims); ok {
		bounded, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
		defer cancel()
		traced, span := r.startForwardSpan(bounded, owner)
		outcome, delivery := r.settings.Peer.Outcome(traced, owner, token)
		endForwardSpan(span, outcome, delivery)
		if delivery == ebonyworks.Delivered && !isOwnerUnreachable(outcome) {
			return outcome
		}
	}
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	return r.querySuccessors(ctx, claims, func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery) {
		return r.settings.Peer.Outcome(ctx, peer, token)
	})
}

// owner returns the incarnation that issued the ticket, with the last known address
// of its host. It returns false if a later incarnation of the host is known.
func (r *Runner) owner(claims ebonyworks.TicketClaims) (ebonyworks.Host, bool) {
	owner, known := r.settings.Hosts.Host(claims.Host)
	if !known || owner.Incarnation > claims.Incarnation {
		return ebonyworks.Host{}, false
	}
	owner.Incarnation = claims.Incarnation
	return owner, true
}

// successorRequest sends a reservation or an outcome query to a peer that may hold
// the closed ledger. A reservation is sent with its body, because the successor then
// also detects that the ticket was used with another body. No successor can run it.
type successorRequest func(ctx context.Context, peer ebonyworks.Host) (ebonyworks.Outcome, ebonyworks.Delivery)

// querySuccessors queries the first peers in rendezvous order for the outcome, because
// they may hold the closed ledger of the ticket's incarnation. The owner isn't among
// them, since it would get a reservation twice.
func (r *Runner) querySuccessors(ctx context.Context, claims ebonyworks.TicketClaims, send successorRequest) ebonyworks.Outcome {
	peers := slices.DeleteFunc(rendezvousOrder(claims.Host, claims.Incarnation, r.settings.Hosts.Peers()), func(peer ebonyworks.Host) bool {
		return peer.ID == claims.Host && peer.Incarnation <= claims.Incarnation
	})
	for _, peer := range peers[:min(maxSuccessorQueries, len(peers))] {
		if outcome, ok := r.querySuccessor(ctx, send, peer); ok {
			return outcome
		}
	}
	return ownerUnreachable()
}

// querySuccessor sends the request to one peer. It returns false if the peer doesn't
// know the outcome.
func (r *Runner) querySuccessor(ctx context.Context, send successorRequest, peer ebonyworks.Host) (ebonyworks.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, successorQueryTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return ebonyworks.Outcome{}, false
	}
	traced, span := r.startForwardSpan(ctx, peer)
	outcome, delivery := send(traced, peer)
	endForwardSpan(span, outcome, delivery)
	if delivery != ebonyworks.Delivered || isOwnerUnreachable(outcome) {
		return outcome, false
	}
	return outcome, outcome.Refusal == nil || outcome.Refusal.Code == ebonyworks.RefusedConflict
}

// heldOutcome looks up the outcome in the closed ledgers that this host holds.
func (r *Runner) heldOutcome(claims ebonyworks.TicketClaims) (ebonyworks.Outcome, bool) {
	return r.settings.Ledger.TransferredOutcome(r.settings.Tickets.Now(), claims)
}

// heldReservation looks up the outcome of a reservation in the closed ledgers that
// this host holds. The same look-up compares the body, since the ledger can arrive
// between two look-ups.
func (r *Runner) heldReservation(claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) (ebonyworks.Outcome, bool) {
	status, ok := r.settings.Ledger.TransferredReservation(r.settings.Tickets.Now(), claims, bodyFingerprint(reservation))
	if ok && status.State == ledger.Conflict {
		return conflict(), true
	}
	return status.Outcome, ok
}

func isOwnerUnreachable(outcome ebonyworks.Outcome) bool {
	return outcome.Refusal == nil && outcome.Kind == ebonyworks.OutcomeUnknown && outcome.Code == ebonyworks.CodeOwnerUnreachable
}

// rendezvousOrder orders peers by rendezvous hashing with the incarnation, the highest
// score first. All hosts compute the same successors of an incarnation, so no list of
// them has to be stored.
func rendezvousOrder(host ebonyworks.HostID, incarnation ebonyworks.Incarnation, peers []ebonyworks.Host) []ebonyworks.Host {
	prefix := string(host) + "\x00" + strconv.FormatUint(uint64(incarnation), 10) + "\x00"
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b ebonyworks.Host) int {
		scoreA := xxhash.Sum64String(prefix + string(a.ID))
		scoreB := xxhash.Sum64String(prefix + string(b.ID))
		return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// withOwnerDeadline bounds the wait for the owner. Its deadline is later than the one
// at which the owner stops waiting, so that the owner's answer still arrives.
func withOwnerDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(2*outcomeGracePeriod))
}
