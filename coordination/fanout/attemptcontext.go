package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// attemptContext is a context that ends when an attempt is stopped, or at its
// deadline. A request has an attempt for each of many shards, and most of them
// never wait for their context, so it has no parent, and allocates a channel or a
// timer only if something waits for it.
type attemptContext struct {
	// deadline is zero if there is none. It is set before the first use.
	deadline time.Time
	// purpose is why the attempt is made. It is set before the first use.
	purpose ebonyworks.TrafficPurpose

	mutex sync.Mutex
	err   error
	done  chan struct{}
	timer *time.Timer
	// afterFuncs are called, each in its own goroutine, when the context ends.
	// Stopped ones are nil.
	afterFuncs []func()
}

var _ context.Context = (*attemptContext)(nil)

// cancel ends the context with the error.
func (c *attemptContext) cancel(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	if c.done != nil {
		close(c.done)
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	for _, call := range c.afterFuncs {
		if call != nil {
			go call()
		}
	}
	c.afterFuncs = nil
}

// Deadline returns the time at which the context expires.
func (c *attemptContext) Deadline() (time.Time, bool) { return c.deadline, !c.deadline.IsZero() }

// Done returns a channel that is closed when the context ends.
func (c *attemptContext) Done() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.done != nil {
		return c.done
	}
	c.done = make(chan struct{})
	if c.err != nil {
		close(c.done)
	} else {
		c.startTimer()
	}
	return c.done
}

// startTimer cancels the context at its deadline. The caller holds the mutex.
func (c *attemptContext) startTimer() {
	if c.timer == nil && !c.deadline.IsZero() {
		c.timer = time.AfterFunc(time.Until(c.deadline), func() { c.cancel(context.DeadlineExceeded) })
	}
}

// Err returns why the context has ended, or nil.
func (c *attemptContext) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return context.DeadlineExceeded
	}
	return c.err
}

// sleep waits for the duration. It returns false at once if the deadline is
// earlier, and as soon as the context ends otherwise.
func (c *attemptContext) sleep(duration time.Duration) bool {
	if deadline, ok := c.Deadline(); ok && time.Until(deadline) <= duration {
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.Err() == nil
	case <-c.Done():
		return false
	}
}

// Value returns the purpose of the attempt. It has no other values.
func (c *attemptContext) Value(key any) any {
	if key == (ebonyworks.TrafficPurposeKey{}) {
		return c.purpose
	}
	return nil
}

// AfterFunc calls the function when the context ends, unless it is stopped
// before. context.AfterFunc calls this method.
func (c *attemptContext) AfterFunc(call func()) (stop func() bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err != nil {
		go call()
		return func() bool { return false }
	}
	c.startTimer()
	index := len(c.afterFuncs)
	c.afterFuncs = append(c.afterFuncs, call)
	return func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if index >= len(c.afterFuncs) || c.afterFuncs[index] == nil {
			return false
		}
		c.afterFuncs[index] = nil
		return true
	}
}
