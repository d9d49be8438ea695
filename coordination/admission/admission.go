// Package admission decides which requests of callers this host accepts.
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
	// MaxRoutes bounds the routes with state; requests of further routes are refused.
	MaxRoutes = 1024
	// MaxQueue bounds the queued requests of one route.
	MaxQueue = 256

	// maxRetryAfter bounds the Retry-After time of refusals. It is in the order of the
	// drain and restart times of a fleet, so that callers don't stay away for long
	// after a short overload.
	maxRetryAfter = 10 * time.Second
)

// Controller admits requests up to an adaptive concurrency limit for each route, and
// divides a route's capacity fairly between customers. Each route has its own limit
// and queue, so that a burst of searches doesn't use up the capacity for reservations.
// It is safe for concurrent use. The zero value is usable and has a fixed random seed.
type Controller struct {
	mutex sync.Mutex
	// random is guarded by mutex.
	random *mathrand.Rand
	// routes has at most MaxRoutes entries.
	routes map[ebonyworks.RouteID]*routeState
}

// New returns a controller that draws jitter from random, which must not be shared.
func New(random *mathrand.Rand) *Controller {
	return &Controller{random: random}
}

// Admit returns a permit, or a refusal with the delay before a retry. It queues the
// request if the predicted wait leaves time to run it, and refuses it at once
// otherwise.
func (c *Controller) Admit(
	ctx context.Context,
	route ebonyworks.Route,
	customer ebonyworks.CustomerID,
	deadline time.Time,
) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	entry, refusal := c.enqueue(ctx, route, customer, deadline)
	if refusal != nil {
		return nil, refusal
	}
	entry.wait()
	return c.finishWait(entry)
}

// Retain drops the state of routes that the configuration no longer has. Their
// requests in flight continue and end as usual.
func (c *Controller) Retain(configuration *ebonyworks.Configuration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	retained := make(map[ebonyworks.RouteID]*routeState, len(c.routes))
	for _, route := range configuration.Routes {
		if known := c.routes[route.ID]; known != nil {
			retained[route.ID] = known
		}
	}
	c.routes = retained
}

// Load returns the numbers of running and queued requests of a route, and its limit.
func (c *Controller) Load(route ebonyworks.RouteID) (inFlight, queued, limit int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.routes[route]
	if known == nil {
		return 0, 0, startLimit
	}
	return known.inFlight, known.queued, known.limit.Value()
}

// enqueue returns a waiter, which may be admitted already, or a refusal.
func (c *Controller) enqueue(ctx context.Context, route ebonyworks.Route, customer ebonyworks.CustomerID, deadline time.Time) (*waiter, *ebonyworks.Refusal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if ctx.Err() != nil || !now.Before(deadline) {
		return nil, expired()
	}
	state := c.getOrCreate(route.ID)
	if state == nil {
		return nil, c.refuse(0, 0)
	}
	maxWait, ok := state.maxWait(customer, deadline, now)
	if !ok {
		return nil, c.refuseForLoad(state, now)
	}
	if state.queued >= MaxQueue && !state.evictNewest(customer, now) {
		return nil, c.refuseForLoad(state, now)
	}
	entry := &waiter{ctx: ctx, route: state, deadline: deadline, maxWait: maxWait, decided: make(chan struct{})}
	state.enqueue(customer, entry, now)
	state.dispatch(now)
	return entry, nil
}

// finishWait returns the permit if the waiter was admitted in time, and otherwise
// removes it from the queue and returns a refusal.
func (c *Controller) finishWait(ended *waiter) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	state := ended.route
	canceled := ended.ctx.Err() != nil
	switch {
	case ended.state == waiting:
		state.remove(ended)
	case ended.state == admitted && canceled:
		state.cancel(ended, now)
	case ended.state == admitted:
		state.refusalRate.Add(now, false)
		return &permit{controller: c, waiter: ended}, nil
	}
	if canceled {
		return nil, expired()
	}
	return nil, c.refuseForLoad(state, now)
}

func (c *Controller) getOrCreate(route ebonyworks.RouteID) *routeState {
	known := c.routes[route]
	if known != nil || len(c.routes) >= MaxRoutes {
		return known
	}
	if c.routes == nil {
		c.routes = make(map[ebonyworks.RouteID]*routeState)
	}
	known = newRouteState()
	c.routes[route] = known
	return known
}

// refuseForLoad refuses a request because of the load of its route.
func (c *Controller) refuseForLoad(state *routeState, now time.Time) *ebonyworks.Refusal {
	state.refusalRate.Add(now, true)
	return c.refuse(state.limit.MeanLatency(), state.refusalRate.Value(now))
}

// refuse returns a refusal whose Retry-After time is based on the mean duration of a
// request, after which there is capacity again.
func (c *Controller) refuse(meanDuration time.Duration, refused float64) *ebonyworks.Refusal {
	if c.random == nil {
		c.random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	return &ebonyworks.Refusal{
		Code:       ebonyworks.RefusedOverload,
		Message:    "the request can't be completed in time at the current load",
		RetryAfter: min(refusalrate.RetryAfter(meanDuration, refused, c.random.Float64()), maxRetryAfter),
	}
}

func expired() *ebonyworks.Refusal {
	return &ebonyworks.Refusal{
		Code:    ebonyworks.RefusedDeadline,
		Message: "the deadline passed or the caller left before the work started",
	}
}

// permit allows one request to run.
type permit struct {
	once       sync.Once
	controller *Controller
	waiter     *waiter
}

// Done ends the request. Only the first call has an effect. If the context of Admit
// has ended by then, the request may have been cut short, so its duration is only a
// lower bound.
func (p *permit) Done() {
	p.once.Do(func() {
		p.controller.mutex.Lock()
		defer p.controller.mutex.Unlock()
		p.waiter.route.finish(p.waiter, time.Now())
	})
}
