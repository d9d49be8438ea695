// Package reservation runs each reservation at most once, in the process
// incarnation that its ticket names.
package reservation

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/state/ledger"
)

const (
	// successorCount is the number of peers that a closed ledger is transferred to.
	successorCount = 2
	// maxSuccessorQueries is the number of peers that are queried for a closed
	// ledger. It is larger than successorCount because hosts that joined after the
	// transfer can precede a successor in rendezvous order.
	maxSuccessorQueries = 3
	// ownerQueryTimeout bounds the wait for the answer of the host that issued the
	// ticket to an outcome query.
	ownerQueryTimeout = 2 * time.Second
	// successorQueryTimeout bounds the wait for each peer that may hold a closed
	// ledger.
	successorQueryTimeout = 250 * time.Millisecond
	// refusedRetryAfter is the retry delay for refusals that didn't specify one.
	refusedRetryAfter = time.Second
	// runningRetryAfter is the delay before a caller should query a running
	// reservation again.
	runningRetryAfter = 100 * time.Millisecond
	// keyRetryAfter is the retry delay for a ticket with an unknown signing key. The
	// key can become known soon: during a key rotation the hosts reload their settings
	// one after the other.
	keyRetryAfter = time.Second
)

// Hosts looks up hosts in the membership.
type Hosts interface {
	// Host returns the latest known incarnation of a host.
	Host(id ebonyworks.HostID) (ebonyworks.Host, bool)
	// Peers returns the other hosts that membership considers alive.
	Peers() []ebonyworks.Host
}

// Servers holds the observed state of the backend servers.
type Servers interface {
	// Candidates returns the usable servers of the service in the failure domains that
	// the route allows.
	Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// Incarnation returns the last known incarnation of a server, or zero.
	Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation
	// Observe updates the state of a server from a finished attempt.
	Observe(record ebonyworks.AttemptRecord)
}

// Settings are the dependencies of a Runner. All are required except Recorder and
// Tracer.
type Settings struct {
	Host        ebonyworks.HostID
	Incarnation ebonyworks.Incarnation
	// Configuration returns the configuration in force, or nil if there is none.
	Configuration func() *ebonyworks.Configuration
	Tickets       *ticket.Issuer
	Ledger        *ledger.Ledger
	Hosts         Hosts
	Peer          ebonyworks.Peer
	Servers       Servers
	Backend       ebonyworks.Backend
	Selection     ebonyworks.Selection
	Quota         ebonyworks.Quota
	Quarantine    ebonyworks.Quarantine
	Admission     ebonyworks.Admission
	Hedging       ebonyworks.Hedging
	Recorder      ebonyworks.EventRecorder
	Tracer        trace.Tracer
}

// Runner implements ebonyworks.Reserver, and the part of
// ebonyworks.PeerHandler that concerns reservations. It is safe for
// concurrent use.
type Runner struct {
	settings Settings

	mu sync.Mutex
	// closing is set by Close; no run starts after it.
	closing bool
	// running counts the runs. It is only increased while mu is held and closing isn't
	// set, so that Close misses no run.
	running sync.WaitGroup
}

var _ ebonyworks.Reserver = (*Runner)(nil)

// New returns a runner for the host incarnation in the settings. The ticket issuer
// must be for the same incarnation.
func New(settings Settings) *Runner {
	return &Runner{settings: settings}
}

// IssueTicket returns a signed token for one reservation.
func (r *Runner) IssueTicket(_ context.Context) (string, ebonyworks.TicketClaims, *ebonyworks.Refusal) {
	if r.stopping() {
		return "", ebonyworks.TicketClaims{}, &ebonyworks.Refusal{
			Code:       ebonyworks.RefusedNotReady,
			Message:    "the host is stopping",
			RetryAfter: runningRetryAfter,
		}
	}
	token, claims := r.settings.Tickets.Issue()
	return token, claims, nil
}

// Reserve runs the reservation if this incarnation issued the ticket, and otherwise
// forwards it once to the incarnation that did.
func (r *Runner) Reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	ctx, span := r.startSpan(ctx, "reservation")
	outcome := r.reserve(ctx, reservation)
	endSpan(span, outcome)
	return outcome
}

func (r *Runner) reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	claims, result := r.settings.Tickets.Verify(reservation.Ticket)
	if result != ticket.TokenValid {
		return refuseTicket(result)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.reserveLocally(ctx, claims, reservation)
	}
	return r.forwardReserve(ctx, claims, reservation)
}

// Outcome returns the outcome of the reservation with the ticket. It revokes an unused
// ticket, so that the reservation never runs.
func (r *Runner) Outcome(ctx context.Context, token string) ebonyworks.Outcome {
	claims, result := r.settings.Tickets.Verify(token)
	if result != ticket.TokenValid {
		return refuseTicket(result)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.queryLocally(claims)
	}
	return r.forwardOutcome(ctx, claims, token)
}

// HandleReserve runs a reservation that another host forwarded. It never forwards it
// again, and runs only reservations whose ticket this incarnation issued.
func (r *Runner) HandleReserve(ctx context.Context, _ ebonyworks.Host, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	claims, result := r.settings.Tickets.Verify(reservation.Ticket)
	if result != ticket.TokenValid {
		return refuseTicket(result)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.reserveLocally(ctx, claims, reservation)
	}
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	return ownerUnreachable()
}

// HandleOutcome answers an outcome query that another host forwarded.
func (r *Runner) HandleOutcome(_ context.Context, _ ebonyworks.Host, token string) ebonyworks.Outcome {
	claims, result := r.settings.Tickets.Verify(token)
	if result != ticket.TokenValid {
		return refuseTicket(result)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.queryLocally(claims)
	}
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	return ownerUnreachable()
}

// reserveLocally starts the run if this is the first copy of the request, and waits for
// the outcome. The run continues if the caller disconnects.
func (r *Runner) reserveLocally(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	status := r.begin(ctx, claims, reservation)
	switch status.State {
	case ledger.Final:
		return status.Outcome
	case ledger.Conflict:
		return conflict()
	default:
		return r.wait(ctx, claims, reservation.Deadline)
	}
}

// begin inserts the ticket into the ledger and starts its run. Both happen while mu
// is held, so that Close waits for every run whose ticket was inserted.
func (r *Runner) begin(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ledger.TicketStatus {
	fingerprint := bodyFingerprint(reservation)
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.settings.Ledger.Begin(r.settings.Tickets.Now(), claims, fingerprint)
	if status.State == ledger.Started {
		detached := context.WithoutCancel(ctx)
		r.running.Go(func() { r.run(detached, claims, reservation) })
	}
	return status
}

func (r *Runner) wait(ctx context.Context, claims ebonyworks.TicketClaims, deadline time.Time) ebonyworks.Outcome {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(outcomeGracePeriod))
		defer cancel()
	}
	outcome, ok := r.settings.Ledger.Wait(ctx, claims.ID)
	if !ok {
		return stillRunning()
	}
	return outcome
}

func (r *Runner) queryLocally(claims ebonyworks.TicketClaims) ebonyworks.Outcome {
	status := r.settings.Ledger.Query(r.settings.Tickets.Now(), claims)
	if status.State == ledger.Running {
		return stillRunning()
	}
	return status.Outcome
}

func (r *Runner) stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

func (r *Runner) record(e ebonyworks.Event) {
	if r.settings.Recorder != nil {
		r.settings.Recorder.Record(e)
	}
}
