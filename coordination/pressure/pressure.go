// Package pressure measures which share of requests is refused.
package pressure

import (
	"math"
	"time"
)

const (
	// weight is the weight of one decision: about the last 50 count.
	weight = 0.02
	// decay is the time in which the share falls to 1/e without decisions.
	decay = 2 * time.Second
)

// Share is the recent share of refusals among decisions. The zero value is
// usable. It isn't safe for concurrent use; its owner guards it.
type Share struct {
	// value is the share as of at, from 0 to 1.
	value float64
	at    time.Time
}

// Add counts a decision.
func (s *Share) Add(now time.Time, refused bool) {
	s.value = s.Value(now) * (1 - weight)
	if refused {
		s.value += weight
	}
	s.at = now
}

// Value returns the share as of now, from 0 to 1.
func (s *Share) Value(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now.Sub(s.at))/float64(decay))
}
