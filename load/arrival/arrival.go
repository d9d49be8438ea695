// Package arrival generates the times at which requests are due.
package arrival

import (
	"math/rand/v2"
	"time"
)

// Process is a Poisson process: the times between arrivals are independent and
// exponentially distributed. It isn't safe for concurrent use.
type Process struct {
	generator *rand.Rand
	perSecond float64
	next      time.Duration
}

// New returns a process with the given rate. Equal generators give equal
// arrivals. A rate that isn't positive gives no arrivals.
func New(generator *rand.Rand, perSecond float64) *Process {
	return &Process{generator: generator, perSecond: perSecond}
}

// Next returns the time of the next arrival since the start of the process, or
// false if there is none before the end.
func (p *Process) Next(end time.Duration) (time.Duration, bool) {
	if p.perSecond <= 0 {
		return 0, false
	}
	gap := p.generator.ExpFloat64() / p.perSecond * float64(time.Second)
	// The comparison is done before the conversion, which would overflow.
	if gap >= float64(end-p.next) {
		return 0, false
	}
	p.next += time.Duration(gap)
	return p.next, true
}
