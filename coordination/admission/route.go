package admission

import (
	"context"
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/adaptivelimit"
	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

const (
	// startLimit is small, since 8 hosts that start together share few slots; it
	// doubles within a few request durations when there is capacity.
	startLimit = 8
	maxLimit   = 256
	// minSample is the shortest duration of a request that reached a backend server.
	// Requests that end earlier were refused by a later check and say nothing about
	// capacity.
	minSample = time.Millisecond
	// interval is how long a customer's queue may be non-empty before it counts as
	// overload and not as a burst; it is CoDel's usual value.
	interval = 100 * time.Millisecond
	// target is the longest queueing delay while a queue has been non-empty for longer
	// than interval.
	target = 20 * time.Millisecond
)

// waiterState tells whether a waiter is still queued, and otherwise what was decided.
type waiterState int

const (
	waiting waiterState = iota
	admitted
	refused
)

// waiter is one queued or running request.
type waiter struct {
	ctx      context.Context
	route    *routeState
	customer *customer
	deadline time.Time
	// maxWait is how long the request may be queued.
	maxWait time.Duration
	// decided is closed when the state is no longer waiting.
	decided chan struct{}
	state   waiterState
	// started is when the request was admitted.
	started time.Time
	// charged is the slot time that was added to the customer's virtual time in
	// advance.
	charged time.Duration
	// atLimit is set if the limit was reached when the request was admitted.
	atLimit bool
}

// customer is the state of one customer with queued or running requests.
type customer struct {
	id ebonyworks.CustomerID
	// virtualTime is the total slot time that the customer was charged, as in fair
	// queueing.
	virtualTime time.Duration
	inFlight    int
	// queue is in order of arrival.
	queue []*waiter
	// lastEmpty is when the queue was last empty.
	lastEmpty time.Time
}

// routeState is the limit and the queues of one route. The mutex of the Controller
// guards it.
type routeState struct {
	limit    adaptivelimit.Limit
	inFlight int
	// queued is the sum of the queues' lengths, at most MaxQueue.
	queued int
	// customers holds the customers with queued or running requests, so it is bounded
	// by the limit and MaxQueue.
	customers map[ebonyworks.CustomerID]*customer
	// virtualTime is that of the customer that was served last. Customers that return
	// after a pause start from it, so that they can't claim capacity that they left
	// unused.
	virtualTime time.Duration
	// refusalRate is the recent fraction of refused requests.
	refusalRate refusalrate.Rate
}

func newRouteState() *routeState {
	return &routeState{
		limit:     adaptivelimit.Limit{Initial: startLimit, Min: 1, Max: maxLimit},
		customers: make(map[ebonyworks.CustomerID]*customer),
	}
}

// maxWait returns how long a new request of the customer may be queued, or false if it
// must be refused at once.
func (r *routeState) maxWait(id ebonyworks.CustomerID, deadline, now time.Time) (time.Duration, bool) {
	left := deadline.Sub(now) - r.limit.MeanLatency()
	if r.queued == 0 && r.inFlight < r.limit.Value() {
		// Without a queue a request is refused only if it is unlikely to complete in
		// time; some requests take half the mean.
		return max(0, left), left >= -r.limit.MeanLatency()/2
	}
	maxWait := min(left, r.maxQueueDelay(id, now))
	return maxWait, r.predictedWait(id) <= maxWait
}

// maxQueueDelay returns the longest queueing delay that the customer's queue allows
// now. The first request of each customer may use its whole deadline, so that a
// customer with little traffic isn't refused because of the queues of others.
func (r *routeState) maxQueueDelay(id ebonyworks.CustomerID, now time.Time) time.Duration {
	known := r.customers[id]
	if known == nil || len(known.queue) == 0 {
		return math.MaxInt64
	}
	// A slow route with a low limit needs at least one queued request to keep its
	// slots busy.
	twoSlots := 2 * r.slotTime()
	// Requests that began together end together, so a queue that drains within one
	// mean duration is a burst and not a standing queue.
	burst := max(interval, twoSlots, r.limit.MeanLatency())
	if now.Sub(known.lastEmpty) > burst {
		return max(target, twoSlots)
	}
	return burst
}

// slotTime returns the mean time between completions when the limit is reached.
func (r *routeState) slotTime() time.Duration {
	return r.limit.MeanLatency() / time.Duration(r.limit.Value())
}

// predictedWait returns how long a new request of the customer would be queued, if
// customers take turns and requests take as long as recently.
func (r *routeState) predictedWait(id ebonyworks.CustomerID) time.Duration {
	own := 0
	if known := r.customers[id]; known != nil {
		own = len(known.queue)
	}
	ahead := own
	for otherID, other := range r.customers {
		if otherID != id {
			ahead += min(len(other.queue), own+1)
		}
	}
	return time.Duration(ahead+1) * r.slotTime()
}

// evictNewest makes room by refusing the newest request of the customer with the
// longest queue. It returns false if that is the customer of the new request itself.
func (r *routeState) evictNewest(added ebonyworks.CustomerID, now time.Time) bool {
	var longest *customer
	for _, other := range r.customers {
		if longest == nil || len(other.queue) > len(longest.queue) {
			longest = other
		}
	}
	own := 0
	if known := r.customers[added]; known != nil {
		own = len(known.queue)
	}
	if longest == nil || own+1 >= len(longest.queue) {
		return false
	}
	last := longest.queue[len(longest.queue)-1]
	r.remove(last)
	last.decide(refused, now)
	return true
}

func (r *routeState) enqueue(id ebonyworks.CustomerID, entry *waiter, now time.Time) {
	known := r.customers[id]
	if known == nil {
		known = &customer{id: id}
		r.customers[id] = known
	}
	if len(known.queue) == 0 {
		known.lastEmpty = now
		known.virtualTime = max(known.virtualTime, r.virtualTime)
	}
	entry.customer = known
	known.queue = append(known.queue, entry)
	r.queued++
}

// dispatch admits queued requests as far as the limit allows, each time the first one
// of the customer with the lowest virtual time.
func (r *routeState) dispatch(now time.Time) {
	for r.queued > 0 && r.inFlight < r.limit.Value() {
		next := r.nextCustomer()
		first := next.queue[0]
		r.remove(first)
		if first.ctx.Err() != nil || !now.Before(first.deadline) {
			first.decide(refused, now)
			continue
		}
		r.virtualTime = next.virtualTime
		r.start(first, now)
	}
}

func (r *routeState) nextCustomer() *customer {
	var least *customer
	for _, known := range r.customers {
		if len(known.queue) == 0 {
			continue
		}
		if least == nil || known.before(least) {
			least = known
		}
	}
	return least
}

// before reports whether the customer is served before another one.
func (c *customer) before(other *customer) bool {
	if c.virtualTime != other.virtualTime {
		return c.virtualTime < other.virtualTime
	}
	if c.inFlight != other.inFlight {
		return c.inFlight < other.inFlight
	}
	return c.id < other.id
}

func (r *routeState) start(next *waiter, now time.Time) {
	r.inFlight++
	next.atLimit = r.inFlight >= r.limit.Value()
	next.customer.inFlight++
	r.customers[next.customer.id] = next.customer
	next.charged = max(r.limit.MeanLatency(), minSample)
	next.customer.virtualTime += next.charged
	next.decide(admitted, now)
}

// finish ends an admitted request and adapts the limit to its duration.
func (r *routeState) finish(ended *waiter, now time.Time) {
	duration := now.Sub(ended.started)
	switch {
	case duration < minSample:
	case ended.ctx.Err() != nil:
		r.limit.RecordMinLatency(now, duration, ended.atLimit)
	default:
		r.limit.RecordLatency(now, duration, ended.atLimit)
	}
	ended.customer.virtualTime += max(duration, minSample) - ended.charged
	r.release(ended, now)
}

// cancel ends an admitted request whose caller disconnected before it began.
func (r *routeState) cancel(ended *waiter, now time.Time) {
	ended.customer.virtualTime -= ended.charged
	r.release(ended, now)
}

func (r *routeState) release(ended *waiter, now time.Time) {
	r.inFlight--
	ended.customer.inFlight--
	r.dropIfIdle(ended.customer)
	r.dispatch(now)
}

// remove takes a waiter out of its queue.
func (r *routeState) remove(removed *waiter) {
	queue := removed.customer.queue
	for i := range queue {
		if queue[i] != removed {
			continue
		}
		copy(queue[i:], queue[i+1:])
		queue[len(queue)-1] = nil
		removed.customer.queue = queue[:len(queue)-1]
		r.queued--
		break
	}
	r.dropIfIdle(removed.customer)
}

// dropIfIdle drops the state of a customer without requests.
func (r *routeState) dropIfIdle(known *customer) {
	if len(known.queue) == 0 && known.inFlight == 0 {
		delete(r.customers, known.id)
	}
}

// wait returns when the waiter is decided on, when its context ends, or after maxWait.
func (w *waiter) wait() {
	select {
	case <-w.decided:
		return
	default:
	}
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	select {
	case <-w.decided:
	case <-w.ctx.Done():
	case <-timer.C:
	}
}

func (w *waiter) decide(state waiterState, now time.Time) {
	w.state = state
	w.started = now
	close(w.decided)
}
