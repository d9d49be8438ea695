package adaptivelimit_test

import (
	mathrand "math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/adaptivelimit"
)

// simulation records samples at 10 ms intervals of a server whose latency grows once
// more attempts than its slots are in flight.
type simulation struct {
	limit  adaptivelimit.Limit
	now    time.Time
	random *mathrand.Rand
}

func newSimulation() *simulation {
	return &simulation{
		limit:  adaptivelimit.Limit{Initial: 4, Min: 1, Max: 64},
		now:    time.Unix(1000, 0),
		random: mathrand.New(mathrand.NewPCG(3, 4)),
	}
}

func (s *simulation) run(samples int, service time.Duration, slots int, atLimit bool) {
	for range samples {
		s.now = s.now.Add(10 * time.Millisecond)
		queueing := 1.0
		if atLimit {
			queueing = max(1, float64(s.limit.Value())/float64(slots))
		}
		latency := time.Duration(float64(service) * queueing * s.random.ExpFloat64())
		s.limit.RecordLatency(s.now, latency, atLimit)
	}
}

func (s *simulation) refuse(times int, interval time.Duration) {
	for range times {
		s.now = s.now.Add(interval)
		s.limit.RecordOverload(s.now)
	}
}

// Guards against a limit that collapses on the variance of service times, that grows
// without bound under load, that loses the floor in a long overload, that shrinks
// while it isn't reached, or that never recovers.
func TestLimit(t *testing.T) {
	const service = 20 * time.Millisecond
	tests := []struct {
		name      string
		run       func(s *simulation)
		low, high int
	}{
		// Overload is bounded at 4 attempts for each slot, and at 6 in the long run.
		{"light load keeps the initial limit", func(s *simulation) { s.run(20000, service, 8, false) }, 4, 4},
		{"load raises the limit to the slots", func(s *simulation) { s.run(5000, service, 16, true) }, 8, 50},
		{"overload is bounded", func(s *simulation) { s.run(5000, service, 4, true) }, 2, 16},
		{"ten minutes of overload are bounded", func(s *simulation) { s.run(60000, service, 4, true) }, 2, 16},
		{"an hour of overload is bounded", func(s *simulation) { s.run(360000, service, 4, true) }, 2, 24},
		{"maximum", func(s *simulation) { s.run(60000, service, 1000, true) }, 20, 64},
		{"one refusal", func(s *simulation) { s.refuse(1, 0) }, 2, 2},
		{"simultaneous refusals count once", func(s *simulation) { s.refuse(50, 0) }, 2, 2},
		{"refusals lower it to the minimum", func(s *simulation) { s.refuse(50, time.Second) }, 1, 1},
		{"recovers from the minimum", func(s *simulation) {
			s.refuse(50, time.Second)
			s.run(500, service, 16, true)
		}, 8, 50},
		{"adapts to a server that stays slower", func(s *simulation) {
			s.run(2000, service, 16, true)
			s.run(10000, 10*service, 16, true)
		}, 6, 50},
		{"short canceled attempts are ignored", func(s *simulation) {
			s.run(2000, service, 16, false)
			for range 1000 {
				s.limit.RecordMinLatency(s.now, time.Microsecond, true)
			}
			s.run(100, service, 16, true)
		}, 4, 30},
		{"slow canceled attempts count", func(s *simulation) {
			s.run(2000, service, 16, false)
			for range 200 {
				s.now = s.now.Add(100 * time.Millisecond)
				s.limit.RecordMinLatency(s.now, 20*service, true)
			}
		}, 1, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation()
			test.run(s)
			assert.GreaterOrEqual(t, s.limit.Value(), test.low)
			assert.LessOrEqual(t, s.limit.Value(), test.high)
		})
	}
}
