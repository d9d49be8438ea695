package fanout

import (
	"context"
	"sync"
	"time"
)

// use is a context that ends with the use of an attempt, or at its deadline. A
// request has an attempt for each of many shards, and most of them never wait for
// their context, so it has no parent, and takes a channel or a timer only if
// somebody waits for it.
type attemptContext struct {
	// deadline is zero if there is none. It is set before the first use.
	deadline time.Time

	mutex sync.Mutex
	err   error
	done  chan struct{}
	timer *time.Timer
	// after are called, in goroutines of their own, when the use ends. Ended ones
	// are nil.
	afterFuncs []func()
}

var _ context.Context = (*attemptContext)(nil)

// end ends the use.
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

// Deadline returns the time at which the use ends by itself.
func (u *attemptContext) Deadline() (time.Time, bool) { return u.deadline, !u.deadline.IsZero() }

// Done returns a channel that is closed when the use ends.
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

// startTimer ends the use at its deadline. The mutex is held.
func (u *attemptContext) startTimer() {
	if u.timer == nil && !u.deadline.IsZero() {
		u.timer = time.AfterFunc(time.Until(u.deadline), func() { u.cancel(context.DeadlineExceeded) })
	}
}

// Err returns why the use has ended.
func (u *attemptContext) Err() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.err == nil && !u.deadline.IsZero() && !time.Now().Before(u.deadline) {
		return context.DeadlineExceeded
	}
	return u.err
}

// sleep waits for the time. It returns false at once if the use ends before, and
// otherwise if it ends meanwhile.
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

// Value returns nothing: no values belong to an attempt.
func (u *attemptContext) Value(any) any { return nil }

// AfterFunc calls the function when the use ends, unless it is stopped before. It
// is what context.AfterFunc calls.
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
