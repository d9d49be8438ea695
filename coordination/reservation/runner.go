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
	// successors is the number of peers that get a closed ledger.
	successors = 2
	// asked is the number of peers that are asked for a closed ledger. It is
	// larger than successors because hosts that joined since can precede a successor.
	asked = 3
	// ownerTime bounds the wait for the owner's answer to a query.
	ownerTime = 2 * time.Second
	// askTime bounds the wait for each of them.
	askTime = 250 * time.Millisecond
	// refusedRetryAfter is the advice after refusals that named no time.
	refusedRetryAfter = time.Second
	// runningRetryAfter is the advice to ask again for a running reservation.
	runningRetryAfter = 100 * time.Millisecond
	// keyRetryAfter is the advice for a ticket of an unknown key: during a
	// change of keys the hosts reload their settings one after the other.
	keyRetryAfter = time.Second
)

// Hosts tells what is known of the members.
type Hosts interface {
	// Host returns the newest known incarnation of a host.
	Host(id ebonyworks.HostID) (ebonyworks.Host, bool)
	// Peers returns the other hosts that are thought to be alive.
	Peers() []ebonyworks.Host
}

// Servers tells what is known of the backend servers.
type Servers interface {
	// Candidates returns the usable servers of the service that the route
	// allows.
	Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// Incarnation returns the last known incarnation of a server, or zero.
	Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation
	// Observe learns from an ended attempt.
	Observe(record ebonyworks.AttemptRecord)
}

// Settings are the parts that a Runner works with. All are needed but
// Recorder and Tracer.
type Settings struct {
	Host        ebonyworks.HostID
	Incarnation ebonyworks.Incarnation
	// Configuration returns the one in force, or nil if there is none.
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
	// running counts the runs; it is only raised under mu while closing is
	// not set.
	running sync.WaitGroup
}

var _ ebonyworks.Reserver = (*Runner)(nil)

// New returns a runner for the incarnation in the settings, which the ticket
// office must be for too.
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

// Reserve runs the reservation if this incarnation issued the ticket, and
// otherwise forwards it once.
func (r *Runner) Reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	ctx, span := r.span(ctx, "reservation")
	outcome := r.reserve(ctx, reservation)
	endSpan(span, outcome)
	return outcome
}

func (r *Runner) reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	claims, fault := r.settings.Tickets.Verify(reservation.Ticket)
	if fault != ticket.TokenValid {
		return refuseTicket(fault)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.reserveHere(ctx, claims, reservation)
	}
	return r.forwardReserve(ctx, claims, reservation)
}

// Outcome returns the outcome for the ticket, and seals an unused one as not
// run.
func (r *Runner) Outcome(ctx context.Context, token string) ebonyworks.Outcome {
	claims, fault := r.settings.Tickets.Verify(token)
	if fault != ticket.TokenValid {
		return refuseTicket(fault)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.query(claims)
	}
	return r.forwardOutcome(ctx, claims, token)
}

// HandleReserve runs a reservation that another host forwarded. It never
// forwards further, and runs nothing for another incarnation.
func (r *Runner) HandleReserve(ctx context.Context, _ ebonyworks.Host, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	claims, fault := r.settings.Tickets.Verify(reservation.Ticket)
	if fault != ticket.TokenValid {
		return refuseTicket(fault)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.reserveHere(ctx, claims, reservation)
	}
	if outcome, ok := r.heldReservation(claims, reservation); ok {
		return outcome
	}
	return ownerUnreachable()
}

// HandleOutcome answers a query that another host forwarded.
func (r *Runner) HandleOutcome(_ context.Context, _ ebonyworks.Host, token string) ebonyworks.Outcome {
	claims, fault := r.settings.Tickets.Verify(token)
	if fault != ticket.TokenValid {
		return refuseTicket(fault)
	}
	if r.settings.Tickets.Owns(claims) {
		return r.query(claims)
	}
	if outcome, ok := r.heldOutcome(claims); ok {
		return outcome
	}
	return ownerUnreachable()
}

// reserveHere starts the run if this is the first copy, and waits for the
// outcome. The run goes on if the caller leaves.
func (r *Runner) reserveHere(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	standing := r.begin(ctx, claims, reservation)
	switch standing.Position {
	case ledger.Final:
		return standing.Outcome
	case ledger.Conflict:
		return conflict()
	default:
		return r.wait(ctx, claims, reservation.Deadline)
	}
}

// begin inserts the ticket and starts its run. Both happen under mu, so that
// Close waits for every run that was inserted.
func (r *Runner) begin(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ledger.Standing {
	fingerprint := bodyFingerprint(reservation)
	r.mu.Lock()
	defer r.mu.Unlock()
	standing := r.settings.Ledger.Begin(r.settings.Tickets.Now(), claims, fingerprint)
	if standing.Position == ledger.Started {
		detached := context.WithoutCancel(ctx)
		r.running.Go(func() { r.run(detached, claims, reservation) })
	}
	return standing
}

func (r *Runner) wait(ctx context.Context, claims ebonyworks.TicketClaims, deadline time.Time) ebonyworks.Outcome {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(answerGrace))
		defer cancel()
	}
	outcome, ok := r.settings.Ledger.Wait(ctx, claims.ID)
	if !ok {
		return stillRunning()
	}
	return outcome
}

func (r *Runner) query(claims ebonyworks.TicketClaims) ebonyworks.Outcome {
	standing := r.settings.Ledger.Query(r.settings.Tickets.Now(), claims)
	if standing.Position == ledger.Running {
		return stillRunning()
	}
	return standing.Outcome
}

func (r *Runner) stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

func (r *Runner) record(recorded ebonyworks.Event) {
	if r.settings.Recorder != nil {
		r.settings.Recorder.Record(recorded)
	}
}
