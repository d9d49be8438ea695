// Package routelimit adapts the number of requests of a route that run concurrently
// while the servers are overloaded, so that those that run are answered in time.
package routelimit

import (
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxRoutes bounds the routes with state; requests of other routes aren't limited.
	MaxRoutes = 1024

	// decrease is the factor by which the limit is multiplied after a late answer.
	decrease = 0.8
	// minPause is the shortest time between two decreases, since answers that are late
	// together have one cause.
	minPause = 50 * time.Millisecond
)

// Limiter adapts the number of requests that run concurrently (additive increase,
// multiplicative decrease): it is lowered after answers that are late while the
// servers are overloaded, and raised by about one for each round of as many answers in
// time as the limit allows. It is meant for requests that each need many servers: with
// short queues at all of them, the slowest of many parts is late, though no single
// wait is long. It is safe for concurrent use. The zero value is usable.
type Limiter struct {
	mutex sync.Mutex
	// routes has at most MaxRoutes entries.
	routes map[ebonyworks.RouteID]*route
}

type route struct {
	// inFlight is the number of running requests.
	inFlight int
	// limit is zero until the first late answer, and at least 1 from then on.
	limit        float64
	nextDecrease time.Time
}

// TryAcquire reports whether one more request may run, and counts it if so. Call Release once
// for each request that may run. The limit only applies if overloaded is set.
func (l *Limiter) TryAcquire(id ebonyworks.RouteID, overloaded bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.getOrCreate(id)
	if known == nil {
		return true
	}
	if !known.allows(overloaded) {
		return false
	}
	known.inFlight++
	return true
}

// Allows reports whether TryAcquire would allow one more request now, without counting it.
func (l *Limiter) Allows(id ebonyworks.RouteID, overloaded bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.routes[id]
	return known == nil || known.allows(overloaded)
}

func (r *route) allows(overloaded bool) bool {
	return !overloaded || r.limit <= 0 || float64(r.inFlight) < r.limit
}

// Release ends a request that TryAcquire allowed, and adapts the limit to whether its answer
// was late.
func (l *Limiter) Release(id ebonyworks.RouteID, overloaded, late bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.routes[id]
	if known == nil || known.inFlight == 0 {
		return
	}
	now := time.Now()
	switch {
	case late && overloaded && !now.Before(known.nextDecrease):
		running := float64(known.inFlight)
		if known.limit > 0 {
			running = min(running, known.limit)
		}
		known.limit = max(1, decrease*running)
		known.nextDecrease = now.Add(minPause)
	case !late && known.limit > 0 && float64(known.inFlight) >= known.limit/2:
		known.limit += 1 / known.limit
	}
	known.inFlight--
}

// Retain drops the state of routes that aren't in named.
func (l *Limiter) Retain(named map[ebonyworks.RouteID]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.routes, func(id ebonyworks.RouteID, _ *route) bool { return !named[id] })
}

func (l *Limiter) getOrCreate(id ebonyworks.RouteID) *route {
	known := l.routes[id]
	if known != nil || len(l.routes) >= MaxRoutes {
		return known
	}
	if l.routes == nil {
		l.routes = make(map[ebonyworks.RouteID]*route)
	}
	known = &route{}
	l.routes[id] = known
	return known
}
