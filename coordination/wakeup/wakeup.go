// Package wakeup waits for a time that a signal can cut short.
package wakeup

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for the time or the signal, or returns false if the context
// ended. A nil signal never comes.
func Wait(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	// Go 1.26 crashes now and then when a timer of zero ends in a synctest
	// bubble under the race detector.
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

// Jitter returns a duration between three and five quarters of the given one, so
// that hosts don't act at the same time. A nil random returns the given one.
func Jitter(d time.Duration, random *rand.Rand) time.Duration {
	if random == nil {
		return d
	}
	return time.Duration(float64(d) * (0.75 + random.Float64()/2))
}

// Signal ends the current or the next wait for the channel, which has a buffer
// of one. Signals that nobody has taken yet count once.
func Signal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
