package server

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// clock waits until a time; it returns false if the context ends first.
type clock interface {
	wait(ctx context.Context, until time.Time) bool
}

// runtimeClock uses the runtime's timers.
type runtimeClock struct{}

func (runtimeClock) wait(ctx context.Context, until time.Time) bool {
	return wakeup.Wait(ctx, time.Until(until), nil)
}

// fineStep bounds each sleep of the fine clock and with it the delay of an
// alarm that is set while it sleeps.
const fineStep = 200 * time.Microsecond

// fineClock wakes waiters by sleeping in a thread of its own. The runtime's
// timers of an otherwise idle process fire up to 1 ms late, as much as the
// delays between failure domains that the stand-in models.
type fineClock struct {
	mu     sync.Mutex
	alarms alarms
	// set tells the sleeper of the first alarm.
	set  chan struct{}
	done chan struct{}
	end  chan struct{}
}

type alarm struct {
	at   time.Time
	ring chan struct{}
	// index is the position in the heap, or -1.
	index int
}

// alarms is a heap ordered by time.
type alarms []*alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index = i
	a[j].index = j
}

// Push adds an alarm.
func (a *alarms) Push(x any) {
	added := x.(*alarm)
	added.index = len(*a)
	*a = append(*a, added)
}

// Pop removes the last alarm.
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = nil
	*a = (*a)[:len(*a)-1]
	last.index = -1
	return last
}

func newFineClock() *fineClock {
	c := &fineClock{set: make(chan struct{}, 1), done: make(chan struct{}), end: make(chan struct{})}
	go c.run()
	return c
}

func (c *fineClock) close() {
	close(c.end)
	<-c.done
}

func (c *fineClock) wait(ctx context.Context, until time.Time) bool {
	if !until.After(time.Now()) {
		return ctx.Err() == nil
	}
	mine := &alarm{at: until, ring: make(chan struct{})}
	c.mu.Lock()
	heap.Push(&c.alarms, mine)
	c.mu.Unlock()
	select {
	case c.set <- struct{}{}:
	default:
	}
	select {
	case <-mine.ring:
		return true
	case <-ctx.Done():
	case <-c.end:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if mine.index >= 0 {
		heap.Remove(&c.alarms, mine.index)
	}
	return false
}

func (c *fineClock) run() {
	defer close(c.done)
	for {
		pause, waiting := c.ringDue()
		if !waiting {
			select {
			case <-c.set:
			case <-c.end:
				return
			}
			continue
		}
		select {
		case <-c.end:
			return
		default:
			nap(min(pause, fineStep))
		}
	}
}

// ringDue rings all alarms that are due and returns the time to the next.
func (c *fineClock) ringDue() (pause time.Duration, waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.alarms) > 0 {
		next := c.alarms[0]
		if next.at.After(now) {
			return next.at.Sub(now), true
		}
		heap.Pop(&c.alarms)
		close(next.ring)
	}
	return 0, false
}
