package fanout

import (
	"context"
	"sync"
	"time"
)

// attemptContext is a context that ends when an attempt is stopped, or at its
// deadline. A request has an attempt for each of many shards, and most of them
// never wait for their context, so it has no parent, and allocates a channel or a
// timer only if something waits for it.
type attemptContext struct {
	// deadline is zero if there is none. It is set before the first use.
	deadline time.Time

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
func (u *attemptContext) cancel(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.err != nil {
		return
	}
	u.err = err
	if u.done != nil {
		close(u.done)
	}
	if u.timer != nil {
		u.timer.Stop()
	}
	for _, call := range u.afterFuncs {
		if call != nil {
			go call()
		}
	}
	u.afterFuncs = nil
}

// Deadline returns the time at which the context expires.
func (u *attemptContext) Deadline() (time.Time, bool) { return u.deadline, !u.deadline.IsZero() }

// Done returns a channel that is closed when the context ends.
func (u *attemptContext) Done() <-chan struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.done != nil {
		return u.done
	}
	u.done = make(chan struct{})
	if u.err != nil {
		close(u.done)
	} else {
		u.startTimer()
	}
	return u.done
}

// startTimer cancels the context at its deadline. The caller holds the mutex.
func (u *attemptContext) startTimer() {
	if u.timer == nil && !u.deadline.IsZero() {
		u.timer = time.AfterFunc(time.Until(u.deadline), func() { u.cancel(context.DeadlineExceeded) })
	}
}

// Err returns why the context has ended, or nil.
func (u *attemptContext) Err() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.err == nil && !u.deadline.IsZero() && !time.Now().Before(u.deadline) {
		return context.DeadlineExceeded
	}
	return u.err
}

// sleep waits for the duration. It returns false at once if the deadline is
// earlier, and as soon as the context ends otherwise.
func (u *attemptContext) sleep(duration time.Duration) bool {
	if deadline, ok := u.Deadline(); ok && time.Until(deadline) <= duration {
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return u.Err() == nil
	case <-u.Done():
		return false
	}
}

// Value returns nil: an attempt has no values.
func (u *attemptContext) Value(any) any { return nil }

// AfterFunc calls the function when the context ends, unless it is stopped
// before. context.AfterFunc calls this method.
func (u *attemptContext) AfterFunc(call func()) (stop func() bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.err != nil {
		go call()
		return func() bool { return false }
	}
	u.startTimer()
	index := len(u.afterFuncs)
	u.afterFuncs = append(u.afterFuncs, call)
	return func() bool {
		u.mutex.Lock()
		defer u.mutex.Unlock()
		if index >= len(u.afterFuncs) || u.afterFuncs[index] == nil {
			return false
		}
		u.afterFuncs[index] = nil
		return true
	}
}
