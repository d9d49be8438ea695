// Package hedgedelay estimates when an attempt has taken longer than usual for
// its route and should be hedged.
package hedgedelay

import (
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/latency"
)

const (
	// MaxRoutes bounds the routes with state; others use the initial delay.
	MaxRoutes = 1024

	// percentile leaves one attempt in ten to be hedged, half of a repeat
	// budget of 20%. The other half is for faults.
	percentile = 90
	median     = 50
	// minSamples is one fan-out to 20 shards.
	minSamples = 20
	// refreshInterval bounds how often the percentile is computed.
	refreshInterval = 100 * time.Millisecond
	// minDelay is a round trip between the domains that are farthest apart.
	minDelay = 3 * time.Millisecond
	// initialPart and largestPart are parts of the target latency. A hedge that
	// is sent later has little time left.
	initialPart = 0.25
	largestPart = 0.33
	// medianFactor and medianSlack bound the delay by the median. While some
	// servers of a route are slow, the percentile is their latency.
	medianFactor = 2
	medianSlack  = 2 * time.Millisecond
	// overloadFactor is how far the median rises above its floor when queues
	// stand at most servers of a route. Hedges would then lengthen the queues.
	overloadFactor = 4
	// overloadSlack is a rise of the median that is never taken as overload.
	overloadSlack = 10 * time.Millisecond
	// floorTime is how long the smallest median counts at least.
	floorTime = 30 * time.Second
)

// Estimator holds the recent latencies of attempts by route. It is safe for
// concurrent use. The zero value is usable.
type Estimator struct {
	mutex sync.Mutex
	// routes has at most MaxRoutes entries.
	routes map[ebonyworks.RouteID]*route
	// distribution is scratch space to compute percentiles.
	distribution latency.Distribution
}

type route struct {
	recent  *latency.Window
	refresh time.Time
	// usual and high are the median and the percentile; zero if unknown.
	usual, high time.Duration
	// floor and lastFloor are the smallest medians of this and the last floorTime.
	floor, lastFloor time.Duration
	floorEnd         time.Time
}

// Observe learns the latency of an attempt that was served, or the time after
// which it was given up.
func (e *Estimator) Observe(id ebonyworks.RouteID, took time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.open(id)
	if known == nil {
		return
	}
	known.recent.Rotate(time.Now())
	known.recent.Record(took)
}

// Delay returns how long to wait for an attempt before a hedge, and false if
// the route's servers are overloaded, so that hedges would add to their queues.
func (e *Estimator) Delay(id ebonyworks.RouteID, target time.Duration) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	initial := part(target, initialPart)
	known := e.routes[id]
	if known == nil {
		return max(initial, minDelay), true
	}
	e.update(known, time.Now())
	if known.high == 0 {
		return max(initial, minDelay), true
	}
	bound := min(medianFactor*known.usual+medianSlack, part(target, largestPart))
	return max(min(known.high, bound), minDelay), !known.overloaded()
}

// Usual returns the median latency of the route's attempts, and the smallest
// one of the last minute, which is that without queues. Both are zero if unknown.
func (e *Estimator) Usual(id ebonyworks.RouteID) (usual, unloaded time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.routes[id]
	if known == nil {
		return 0, 0
	}
	e.update(known, time.Now())
	return known.usual, known.smallest()
}

// Retain drops the state of routes that aren't named.
func (e *Estimator) Retain(named map[ebonyworks.RouteID]bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	maps.DeleteFunc(e.routes, func(id ebonyworks.RouteID, _ *route) bool { return !named[id] })
}

func (e *Estimator) open(id ebonyworks.RouteID) *route {
	known := e.routes[id]
	if known != nil || len(e.routes) >= MaxRoutes {
		return known
	}
	if e.routes == nil {
		e.routes = make(map[ebonyworks.RouteID]*route)
	}
	known = &route{recent: latency.NewWindow()}
	e.routes[id] = known
	return known
}

func (e *Estimator) update(known *route, now time.Time) {
	if now.Before(known.refresh) {
		return
	}
	known.refresh = now.Add(refreshInterval)
	known.recent.Rotate(now)
	if known.recent.Count() < minSamples {
		return
	}
	e.distribution.Load(known.recent)
	known.high = e.distribution.Percentile(percentile)
	known.usual = e.distribution.Percentile(median)
	known.learnFloor(now)
}

func (r *route) learnFloor(now time.Time) {
	if now.After(r.floorEnd) {
		r.lastFloor = r.floor
		r.floor = 0
		r.floorEnd = now.Add(floorTime)
	}
	if r.floor == 0 || r.usual < r.floor {
		r.floor = r.usual
	}
}

// smallest returns the smallest median of this and the last floorTime.
func (r *route) smallest() time.Duration {
	if r.lastFloor > 0 {
		return min(r.floor, r.lastFloor)
	}
	return r.floor
}

func (r *route) overloaded() bool {
	floor := r.smallest()
	return r.usual > overloadFactor*floor && r.usual > floor+overloadSlack
}

func part(target time.Duration, of float64) time.Duration {
	return time.Duration(float64(target) * of)
}
