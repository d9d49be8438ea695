// Package refusalrate measures the fraction of requests that are refused and derives
// the Retry-After time of refused requests from it.
package refusalrate

import (
	"math"
	"time"
)

const (
	// weight is the weight of one decision in the moving average: about the last 50
	// decisions count.
	weight = 0.02
	// decay is the time in which the rate falls to 1/e without decisions.
	decay = 2 * time.Second

	// MinRetryAfter is the shortest Retry-After time before jitter. Servers that shed
	// load have usually worked off some of their queues by then.
	MinRetryAfter = 100 * time.Millisecond
	// maxRefused bounds the growth of the Retry-After time with the refusal rate to a
	// factor of 4. With a factor of 20, refused callers of a short overload came back
	// over the next 9 s and kept the service full.
	maxRefused = 0.75
)

// Rate is the recent fraction of refusals among decisions. The zero value is usable.
// It isn't safe for concurrent use; its owner must guard it.
type Rate struct {
	// value is the rate at the time at, from 0 to 1.
	value float64
	at    time.Time
}

// Add records whether one request was refused.
func (r *Rate) Add(now time.Time, refused bool) {
	r.value = r.Value(now) * (1 - weight)
	if refused {
		r.value += weight
	}
	r.at = now
}

// Value returns the rate at the time now, from 0 to 1.
func (r *Rate) Value(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(decay))
}

// RetryAfter returns how long a refused caller should wait before a retry: the time
// after which there is capacity again, and longer the higher the refusal rate is,
// since each retry that comes too early adds to the load. The random value, from 0 to
// 1, spreads the time by half in both directions, since callers that are refused
// together would otherwise retry together.
func RetryAfter(untilCapacity time.Duration, refused, random float64) time.Duration {
	base := float64(max(untilCapacity, MinRetryAfter)) / (1 - min(refused, maxRefused))
	return time.Duration((0.5 + random) * base)
}
