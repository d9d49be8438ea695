// Package leastoutstanding selects the replica with the fewest attempts in flight. It is
// a baseline for experiments and ignores latency and failure domains.
package leastoutstanding

import (
	mathrand "math/rand/v2"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// Selector selects the candidate with the fewest attempts of this host in flight, and a
// random one of several. It is safe for concurrent use. The zero value is usable and has
// a fixed seed.
type Selector struct {
	mutex sync.Mutex
	// random is guarded by mutex.
	random *mathrand.Rand
}

// New returns a selector that draws from random, which must not be shared.
func New(random *mathrand.Rand) *Selector {
	return &Selector{random: random}
}

// Select returns the index of the candidate with the fewest attempts in flight, or false
// if there are no candidates.
func (l *Selector) Select(candidates []ebonyworks.Candidate) (int, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.random == nil {
		l.random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	best := -1
	equal := 0
	for i := range candidates {
		switch {
		case best < 0 || candidates[i].InFlight < candidates[best].InFlight:
			best = i
			equal = 1
		case candidates[i].InFlight == candidates[best].InFlight:
			equal++
			if l.random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return max(best, 0), best >= 0
}
