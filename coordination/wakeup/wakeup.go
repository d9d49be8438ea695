// Package wakeup waits for a duration, or for a signal that ends the wait early.
package wakeup

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait returns true after the duration or the signal, or false if the context ended. A
// nil signal never comes.
func Wait(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	// Go 1.26 sometimes crashes when a timer of zero ends in a synctest bubble under
	// the race detector.
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-signal:
		return true
	}
}

// Jitter returns a random duration between three and five quarters of d, so that hosts
// don't act at the same time. If random is nil, it returns d.
func Jitter(d time.Duration, random *rand.Rand) time.Duration {
	if random == nil {
		return d
	}
	return time.Duration(float64(d) * (0.75 + random.Float64()/2))
}

// Signal ends the current or the next wait for the channel, which must have a buffer
// of one. Several signals before a wait count as one.
func Signal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
