// Package refusalrate measures the fraction of requests that are refused and
// derives the Retry-After time of refused requests from it.
package refusalrate

import (
	"math"
	"time"
)

const (
	// weight is the weight of one decision: about the last 50 count.
	weight = 0.02
	// decay is the time in which the share falls to 1/e without decisions.
	decay = 2 * time.Second

	// MinRetryAfter is the shortest advice before its spread. Servers that shed
	// load have usually worked off some of their queues by then.
	MinRetryAfter = 100 * time.Millisecond
	// maxRefused bounds the growth of the advice by the share of refusals to a
	// factor of 4. With a factor of 20, refused callers of a short overload came
	// back over the next 9 s and kept the service full.
	maxRefused = 0.75
)

// Rate is the recent share of refusals among decisions. The zero value is
// usable. It isn't safe for concurrent use; its owner guards it.
type Rate struct {
	// value is the share as of at, from 0 to 1.
	value float64
	at    time.Time
}

// Add counts a decision.
func (s *Rate) Add(now time.Time, refused bool) {
	s.value = s.Value(now) * (1 - weight)
	if refused {
		s.value += weight
	}
	s.at = now
}

// Value returns the share as of now, from 0 to 1.
func (s *Rate) Value(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now.Sub(s.at))/float64(decay))
}

// RetryAfter returns when a refused caller should come back: after the time in
// which there is room again, and later the larger the refused share is, since each
// caller that comes back too early adds to the load. The chance, from 0 to 1,
// spreads the time by half in both directions: callers that are refused together
// would return together.
func RetryAfter(room time.Duration, refused, chance float64) time.Duration {
	base := float64(max(room, MinRetryAfter)) / (1 - min(refused, maxRefused))
	return time.Duration((0.5 + chance) * base)
}
