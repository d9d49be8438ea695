// Package routelimit adapts the number of requests of a route that run
// concurrently while the servers are overloaded, so that those that run are answered
// in time.
package routelimit

import (
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxRoutes bounds the routes with state; others aren't bounded.
	MaxRoutes = 1024

	// decrease is the factor after a late answer.
	decrease = 0.8
	// pause is the shortest time between two decreases: answers that are late
	// together have one cause.
	pause = 50 * time.Millisecond
)

// Limiter adapts the number of requests that run at a time: down after answers that
// are late while the servers are crowded, and up by about one for each round of
// answers in time. It answers the load in which each request needs many servers:
// with short queues at all of them, the slowest of many parts is late, though no
// single wait is long. It is safe for concurrent use. The zero value is usable.
type Limiter struct {
	mutex sync.Mutex
	// routes has at most MaxRoutes entries.
	routes map[ebonyworks.RouteID]*route
}

type route struct {
	// inFlight counts the requests that run.
	inFlight int
	// limit is at least 1, and zero until the first late answer.
	limit        float64
	nextDecrease time.Time
}

// Begin reports whether one more request may run. Each request that may has to
// be ended.
func (p *Limiter) Begin(id ebonyworks.RouteID, crowded bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.open(id)
	if known == nil {
		return true
	}
	if crowded && known.limit > 0 && float64(known.inFlight) >= known.limit {
		return false
	}
	known.inFlight++
	return true
}

// End ends a request.
func (p *Limiter) End(id ebonyworks.RouteID, crowded, late bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.routes[id]
	if known == nil || known.inFlight == 0 {
		return
	}
	now := time.Now()
	switch {
	case late && crowded && !now.Before(known.nextDecrease):
		running := float64(known.inFlight)
		if known.limit > 0 {
			running = min(running, known.limit)
		}
		known.limit = max(1, decrease*running)
		known.nextDecrease = now.Add(pause)
	case !late && known.limit > 0 && float64(known.inFlight) >= known.limit/2:
		known.limit += 1 / known.limit
	}
	known.inFlight--
}

// Retain drops the state of routes that aren't named.
func (p *Limiter) Retain(named map[ebonyworks.RouteID]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.routes, func(id ebonyworks.RouteID, _ *route) bool { return !named[id] })
}

func (p *Limiter) open(id ebonyworks.RouteID) *route {
	known := p.routes[id]
	if known != nil || len(p.routes) >= MaxRoutes {
		return known
	}
	if p.routes == nil {
		p.routes = make(map[ebonyworks.RouteID]*route)
	}
	known = &route{}
	p.routes[id] = known
	return known
}
