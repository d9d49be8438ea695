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

	// hedgePercentile leaves one attempt in ten to be hedged, which is half of a retry
	// budget of 20%. The other half is for failed attempts.
	hedgePercentile  = 90
	medianPercentile = 50
	// minSamples is the number of attempts of one fan-out to 20 shards.
	minSamples = 20
	// refreshInterval is the shortest time between two computations of the
	// percentiles.
	refreshInterval = 100 * time.Millisecond
	// minDelay is a round trip between the failure domains that are farthest apart.
	minDelay = 3 * time.Millisecond
	// initialFraction and maxFraction are fractions of the target latency. A hedge
	// that is sent later has little time left.
	initialFraction = 0.25
	maxFraction     = 0.33
	// medianFactor and medianSlack bound the delay by the median, since the percentile
	// is the latency of slow servers while some servers of a route are slow.
	medianFactor = 2
	medianSlack  = 2 * time.Millisecond
	// overloadFactor is how far the median rises above its floor when there are queues
	// at most servers of a route. Hedges would then lengthen the queues.
	overloadFactor = 4
	// overloadSlack is a rise of the median that never counts as overload.
	overloadSlack = 10 * time.Millisecond
	// floorWindow is the shortest time for which the smallest median is used as the
	// floor.
	floorWindow = 30 * time.Second
)

// Estimator holds the recent latencies of attempts by route. It is safe for
// concurrent use. The zero value is usable.
type Estimator struct {
	mutex sync.Mutex
	// routes has at most MaxRoutes entries.
	routes map[ebonyworks.RouteID]*route
	// distribution is scratch space for the computation of percentiles.
	distribution latency.Distribution
}

type route struct {
	recent      *latency.Window
	nextRefresh time.Time
	// median and high are the percentiles 50 and 90 of recent; zero if unknown.
	median, high time.Duration
	// floor and previousFloor are the smallest medians of the current and the previous
	// floorWindow.
	floor, previousFloor time.Duration
	floorEnd             time.Time
}

// Observe records the latency of an attempt that was served, or the time after which
// it was abandoned.
func (e *Estimator) Observe(id ebonyworks.RouteID, elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.getOrCreate(id)
	if known == nil {
		return
	}
	known.recent.Rotate(time.Now())
	known.recent.Record(elapsed)
}

// Delay returns how long to wait for an attempt before a hedge. It returns false if
// the route's servers are overloaded, since hedges would add to their queues.
func (e *Estimator) Delay(id ebonyworks.RouteID, target time.Duration) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	initial := scale(target, initialFraction)
	known := e.routes[id]
	if known == nil {
		return max(initial, minDelay), true
	}
	known.update(&e.distribution, time.Now())
	if known.high == 0 {
		return max(initial, minDelay), true
	}
	bound := min(medianFactor*known.median+medianSlack, scale(target, maxFraction))
	return max(min(known.high, bound), minDelay), !known.overloaded()
}

// MedianLatency returns the median latency of the route's attempts, and the smallest median of
// the last minute, which is the latency without queues. Both are zero if unknown.
func (e *Estimator) MedianLatency(id ebonyworks.RouteID) (median, unloaded time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.routes[id]
	if known == nil {
		return 0, 0
	}
	known.update(&e.distribution, time.Now())
	return known.median, known.smallestMedian()
}

// PeekMedianLatency returns what the next call of MedianLatency would return. It doesn't
// change when the percentiles are computed again.
func (e *Estimator) PeekMedianLatency(id ebonyworks.RouteID) (median, unloaded time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.routes[id]
	if known == nil {
		return 0, 0
	}
	copied := *known
	copied.recent = known.recent.Clone()
	copied.update(&latency.Distribution{}, time.Now())
	return copied.median, copied.smallestMedian()
}

// Retain drops the state of routes that aren't in named.
func (e *Estimator) Retain(named map[ebonyworks.RouteID]bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	maps.DeleteFunc(e.routes, func(id ebonyworks.RouteID, _ *route) bool { return !named[id] })
}

func (e *Estimator) getOrCreate(id ebonyworks.RouteID) *route {
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

// update computes the percentiles again if that is due. The distribution is scratch space.
func (r *route) update(distribution *latency.Distribution, now time.Time) {
	if now.Before(r.nextRefresh) {
		return
	}
	r.nextRefresh = now.Add(refreshInterval)
	r.recent.Rotate(now)
	if r.recent.Count() < minSamples {
		return
	}
	distribution.Load(r.recent)
	r.high = distribution.Percentile(hedgePercentile)
	r.median = distribution.Percentile(medianPercentile)
	r.updateFloor(now)
}

func (r *route) updateFloor(now time.Time) {
	if now.After(r.floorEnd) {
		r.previousFloor = r.floor
		r.floor = 0
		r.floorEnd = now.Add(floorWindow)
	}
	if r.floor == 0 || r.median < r.floor {
		r.floor = r.median
	}
}

// smallestMedian returns the smallest median of the current and the previous
// floorWindow.
func (r *route) smallestMedian() time.Duration {
	if r.previousFloor > 0 {
		return min(r.floor, r.previousFloor)
	}
	return r.floor
}

func (r *route) overloaded() bool {
	floor := r.smallestMedian()
	return r.median > overloadFactor*floor && r.median > floor+overloadSlack
}

func scale(target time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(target) * fraction)
}
