// Package admission decides which requests of callers this host takes on.
package admission

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

const (
	// MaxRoutes bounds the routes with state; requests of further ones are refused.
	MaxRoutes = 1024
	// MaxQueue bounds the requests that wait for one route.
	MaxQueue = 256

	// maxRetryAfter bounds what callers are told. It is in the order of the drain
	// and restart times of a fleet, so that callers don't stay away for long after
	// a short overload.
	maxRetryAfter = 10 * time.Second
)

// Controller admits requests up to an adaptive limit for each route, and shares a
// route's capacity fairly between houses. Each route has its own limit and
// queue, so a burst of searches doesn't take the place of reservations. It is
// safe for concurrent use. The zero value is usable and has a fixed seed.
type Controller struct {
	mutex sync.Mutex
	// random is guarded by mutex.
	random *mathrand.Rand
	// lanes has at most MaxRoutes entries.
	lanes map[ebonyworks.RouteID]*lane
}

// New returns a gate that draws jitter from random, which must not be shared.
func New(random *mathrand.Rand) *Controller {
	return &Controller{random: random}
}

// Admit returns an admittance, or a refusal with when to come back. It queues
// the request if the predicted wait leaves time to run it, and refuses it at
// once otherwise.
func (g *Controller) Admit(
	ctx context.Context,
	route ebonyworks.Route,
	house ebonyworks.CustomerID,
	deadline time.Time,
) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	entering, refusal := g.enter(ctx, route, house, deadline)
	if refusal != nil {
		return nil, refusal
	}
	entering.wait()
	return g.settle(entering)
}

// Retain drops the state of routes that the configuration no longer has.
// Requests in flight on them end as usual.
func (g *Controller) Retain(configuration *ebonyworks.Configuration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	retained := make(map[ebonyworks.RouteID]*lane, len(g.lanes))
	for _, route := range configuration.Routes {
		if known := g.lanes[route.ID]; known != nil {
			retained[route.ID] = known
		}
	}
	g.lanes = retained
}

// Load returns the requests of a route that run and wait, and its limit.
func (g *Controller) Load(route ebonyworks.RouteID) (inFlight, queued, limit int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.lanes[route]
	if known == nil {
		return 0, 0, startLimit
	}
	return known.inFlight, known.queued, known.limit.Value()
}

// enter returns a waiter, which may be admitted already, or a refusal.
func (g *Controller) enter(ctx context.Context, route ebonyworks.Route, id ebonyworks.CustomerID, deadline time.Time) (*waiter, *ebonyworks.Refusal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if ctx.Err() != nil || !now.Before(deadline) {
		return nil, expired()
	}
	through := g.open(route.ID)
	if through == nil {
		return nil, g.refuse(0, 0)
	}
	patience, ok := through.patience(id, deadline, now)
	if !ok {
		return nil, g.refuseIn(through, now)
	}
	if through.queued >= MaxQueue && !through.pushOut(id, now) {
		return nil, g.refuseIn(through, now)
	}
	entering := &waiter{ctx: ctx, lane: through, deadline: deadline, patience: patience, decided: make(chan struct{})}
	through.push(id, entering, now)
	through.dispatch(now)
	return entering, nil
}

// settle ends the waiting of a request.
func (g *Controller) settle(settling *waiter) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	through := settling.lane
	gone := settling.ctx.Err() != nil
	switch {
	case settling.state == waiting:
		through.remove(settling)
	case settling.state == admitted && gone:
		through.abandon(settling, now)
	case settling.state == admitted:
		through.pressure.Add(now, false)
		return &admittance{gate: g, waiter: settling}, nil
	}
	if gone {
		return nil, expired()
	}
	return nil, g.refuseIn(through, now)
}

func (g *Controller) open(route ebonyworks.RouteID) *lane {
	known := g.lanes[route]
	if known != nil || len(g.lanes) >= MaxRoutes {
		return known
	}
	if g.lanes == nil {
		g.lanes = make(map[ebonyworks.RouteID]*lane)
	}
	known = newLane()
	g.lanes[route] = known
	return known
}

// refuseIn refuses a request because of the load of its route.
func (g *Controller) refuseIn(through *lane, now time.Time) *ebonyworks.Refusal {
	through.pressure.Add(now, true)
	return g.refuse(through.limit.MeanLatency(), through.pressure.Value(now))
}

// refuse returns a refusal whose retry-after time starts from the time of one
// round of requests, after which there is room again.
func (g *Controller) refuse(round time.Duration, refused float64) *ebonyworks.Refusal {
	if g.random == nil {
		g.random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	return &ebonyworks.Refusal{
		Code:       ebonyworks.RefusedOverload,
		Message:    "the request can't be completed in time at the current load",
		RetryAfter: min(refusalrate.RetryAfter(round, refused, g.random.Float64()), maxRetryAfter),
	}
}

func expired() *ebonyworks.Refusal {
	return &ebonyworks.Refusal{
		Code:    ebonyworks.RefusedDeadline,
		Message: "the deadline passed or the caller left before the work started",
	}
}

// admittance is the right to run one request.
type admittance struct {
	once   sync.Once
	gate   *Controller
	waiter *waiter
}

// Done ends the request. Only the first call counts. If the context of Admit
// has ended by then, the duration counts as a lower bound only.
func (a *admittance) Done() {
	a.once.Do(func() {
		a.gate.mutex.Lock()
		defer a.gate.mutex.Unlock()
		a.waiter.lane.finish(a.waiter, time.Now())
	})
}
