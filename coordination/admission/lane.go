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
	// startLimit is small, since 8 hosts that start together share few slots;
	// it doubles within a few rounds of requests when there is capacity.
	startLimit = 8
	maxLimit   = 256
	// minSample is the shortest time of a request that reached a backend
	// server. Requests that end earlier were refused by a later check and say
	// nothing about capacity.
	minSample = time.Millisecond
	// interval is how long a house's queue may stand before it counts as
	// overload and not as a burst; it is CoDel's usual value.
	interval = 100 * time.Millisecond
	// target is the longest wait while a queue stands.
	target = 20 * time.Millisecond
)

// waiterState tells what was decided on a waiter.
type waiterState int

const (
	waiting waiterState = iota
	admitted
	refused
)

// waiter is one request.
type waiter struct {
	ctx      context.Context
	lane     *lane
	house    *house
	deadline time.Time
	// patience is how long the request may wait.
	patience time.Duration
	// decided is closed when the state isn't waiting any more.
	decided chan struct{}
	state   waiterState
	// started is when the request was admitted.
	started time.Time
	// charged is the slot time that the house was charged in advance.
	charged time.Duration
	// inUse is set if the limit was reached when the request was admitted.
	inUse bool
}

// house is the state of one house with requests that wait or run.
type house struct {
	id ebonyworks.CustomerID
	// used is the house's virtual time: the slot time it was charged.
	used     time.Duration
	inFlight int
	// queue is in order of arrival.
	queue []*waiter
	// standing is when the queue was last empty.
	standing time.Time
}

// lane is the limit and the queues of one route. The gate guards it.
type lane struct {
	limit    adaptivelimit.Limit
	inFlight int
	// queued is the sum of the queues' lengths, at most MaxQueue.
	queued int
	// houses holds the houses with requests that wait or run, so it is bounded
	// by the limit and MaxQueue.
	houses map[ebonyworks.CustomerID]*house
	// virtual is the virtual time of the house that was served last. Houses
	// that come back start from it and can't claim capacity that they left
	// unused.
	virtual time.Duration
	// pressure is the recent share of refused requests.
	pressure refusalrate.Rate
}

func newLane() *lane {
	return &lane{
		limit:  adaptivelimit.Limit{Initial: startLimit, Min: 1, Max: maxLimit},
		houses: make(map[ebonyworks.CustomerID]*house),
	}
}

// patience returns how long a new request of the house may wait, or false if
// it must be refused at once.
func (l *lane) patience(id ebonyworks.CustomerID, deadline, now time.Time) (time.Duration, bool) {
	left := deadline.Sub(now) - l.limit.MeanLatency()
	if l.queued == 0 && l.inFlight < l.limit.Value() {
		// Without a queue a request is refused only if it has little chance;
		// some requests take half the mean.
		return max(0, left), left >= -l.limit.MeanLatency()/2
	}
	patience := min(left, l.tolerated(id, now))
	return patience, l.predictedWait(id) <= patience
}

// tolerated returns the longest wait that the house's queue allows now. The
// first request of each house may use its whole deadline, so that a house
// with little traffic isn't refused because of the queues of others.
func (l *lane) tolerated(id ebonyworks.CustomerID, now time.Time) time.Duration {
	known := l.houses[id]
	if known == nil || len(known.queue) == 0 {
		return math.MaxInt64
	}
	// A slow route with a low limit needs one waiting request at least to
	// keep its slots busy.
	slow := 2 * l.slotTime()
	// Requests that began together end together, so a queue that is gone after
	// one round isn't a standing one.
	burst := max(interval, slow, l.limit.MeanLatency())
	if now.Sub(known.standing) > burst {
		return max(target, slow)
	}
	return burst
}

// slotTime returns the mean time between two ends of requests at the limit.
func (l *lane) slotTime() time.Duration {
	return l.limit.MeanLatency() / time.Duration(l.limit.Value())
}

// predictedWait returns how long a new request of the house would wait, if
// houses take turns and requests take as long as recently.
func (l *lane) predictedWait(id ebonyworks.CustomerID) time.Duration {
	own := 0
	if known := l.houses[id]; known != nil {
		own = len(known.queue)
	}
	ahead := own
	for otherID, other := range l.houses {
		if otherID != id {
			ahead += min(len(other.queue), own+1)
		}
	}
	return time.Duration(ahead+1) * l.slotTime()
}

// pushOut makes room by refusing the newest request of the house with the
// longest queue. It returns false if that is the arriving house itself.
func (l *lane) pushOut(arriving ebonyworks.CustomerID, now time.Time) bool {
	var longest *house
	for _, other := range l.houses {
		if longest == nil || len(other.queue) > len(longest.queue) {
			longest = other
		}
	}
	own := 0
	if known := l.houses[arriving]; known != nil {
		own = len(known.queue)
	}
	if longest == nil || own+1 >= len(longest.queue) {
		return false
	}
	last := longest.queue[len(longest.queue)-1]
	l.remove(last)
	last.decide(refused, now)
	return true
}

func (l *lane) push(id ebonyworks.CustomerID, entering *waiter, now time.Time) {
	known := l.houses[id]
	if known == nil {
		known = &house{id: id}
		l.houses[id] = known
	}
	if len(known.queue) == 0 {
		known.standing = now
		known.used = max(known.used, l.virtual)
	}
	entering.house = known
	known.queue = append(known.queue, entering)
	l.queued++
}

// dispatch admits waiting requests as far as the limit allows: each time the
// first one of the house that has used the least.
func (l *lane) dispatch(now time.Time) {
	for l.queued > 0 && l.inFlight < l.limit.Value() {
		next := l.leastUsed()
		first := next.queue[0]
		l.remove(first)
		if first.ctx.Err() != nil || !now.Before(first.deadline) {
			first.decide(refused, now)
			continue
		}
		l.virtual = next.used
		l.start(first, now)
	}
}

func (l *lane) leastUsed() *house {
	var least *house
	for _, known := range l.houses {
		if len(known.queue) == 0 {
			continue
		}
		if least == nil || known.before(least) {
			least = known
		}
	}
	return least
}

// before reports whether the house is served before another one.
func (h *house) before(other *house) bool {
	if h.used != other.used {
		return h.used < other.used
	}
	if h.inFlight != other.inFlight {
		return h.inFlight < other.inFlight
	}
	return h.id < other.id
}

func (l *lane) start(next *waiter, now time.Time) {
	l.inFlight++
	next.inUse = l.inFlight >= l.limit.Value()
	next.house.inFlight++
	l.houses[next.house.id] = next.house
	next.charged = max(l.limit.MeanLatency(), minSample)
	next.house.used += next.charged
	next.decide(admitted, now)
}

// finish ends an admitted request and learns from its duration.
func (l *lane) finish(ended *waiter, now time.Time) {
	duration := now.Sub(ended.started)
	switch {
	case duration < minSample:
	case ended.ctx.Err() != nil:
		l.limit.RecordMinLatency(now, duration, ended.inUse)
	default:
		l.limit.RecordLatency(now, duration, ended.inUse)
	}
	ended.house.used += max(duration, minSample) - ended.charged
	l.leave(ended, now)
}

// abandon ends an admitted request whose caller left before it began.
func (l *lane) abandon(ended *waiter, now time.Time) {
	ended.house.used -= ended.charged
	l.leave(ended, now)
}

func (l *lane) leave(ended *waiter, now time.Time) {
	l.inFlight--
	ended.house.inFlight--
	l.forget(ended.house)
	l.dispatch(now)
}

// remove takes a waiting request out of its queue.
func (l *lane) remove(leaving *waiter) {
	queue := leaving.house.queue
	for i := range queue {
		if queue[i] != leaving {
			continue
		}
		copy(queue[i:], queue[i+1:])
		queue[len(queue)-1] = nil
		leaving.house.queue = queue[:len(queue)-1]
		l.queued--
		break
	}
	l.forget(leaving.house)
}

// forget drops the state of a house without requests.
func (l *lane) forget(known *house) {
	if len(known.queue) == 0 && known.inFlight == 0 {
		delete(l.houses, known.id)
	}
}

// wait returns when the waiter is decided on, or when its context or patience
// has ended.
func (w *waiter) wait() {
	select {
	case <-w.decided:
		return
	default:
	}
	timer := time.NewTimer(w.patience)
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
