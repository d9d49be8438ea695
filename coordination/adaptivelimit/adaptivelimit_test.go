package adaptivelimit_test

import (
	mathrand "math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/coordination/adaptivelimit"
)

// trial feeds a limit with samples at 10 ms intervals of a server whose
// latency grows once more attempts than its slots are in flight.
type trial struct {
	limit  adaptivelimit.Limit
	now    time.Time
	random *mathrand.Rand
}

func newTrial() *trial {
	return &trial{
		limit:  adaptivelimit.Limit{Initial: 4, Min: 1, Max: 64},
		now:    time.Unix(1000, 0),
		random: mathrand.New(mathrand.NewPCG(3, 4)),
	}
}

func (f *trial) run(samples int, service time.Duration, slots int, inUse bool) {
	for range samples {
		f.now = f.now.Add(10 * time.Millisecond)
		queueing := 1.0
		if inUse {
			queueing = max(1, float64(f.limit.Value())/float64(slots))
		}
		latency := time.Duration(float64(service) * queueing * f.random.ExpFloat64())
		f.limit.RecordLatency(f.now, latency, inUse)
	}
}

func (f *trial) refuse(times int, interval time.Duration) {
	for range times {
		f.now = f.now.Add(interval)
		f.limit.RecordOverload(f.now)
	}
}

// Guards against a limit that collapses on the variance of service times,
// that grows without bound under load, that forgets the floor in a long
// overload, that shrinks while it isn't used, or that stays down for ever.
func TestLimit(t *testing.T) {
	const service = 20 * time.Millisecond
	tests := []struct {
		name      string
		run       func(f *trial)
		low, high int
	}{
		// Overload is bounded at 4 attempts for each slot, and at 6 in the long run.
		{"light load keeps the start", func(f *trial) { f.run(20000, service, 8, false) }, 4, 4},
		{"load raises the limit to the slots", func(f *trial) { f.run(5000, service, 16, true) }, 8, 50},
		{"overload is bounded", func(f *trial) { f.run(5000, service, 4, true) }, 2, 16},
		{"ten minutes of overload are bounded", func(f *trial) { f.run(60000, service, 4, true) }, 2, 16},
		{"an hour of overload is bounded", func(f *trial) { f.run(360000, service, 4, true) }, 2, 24},
		{"maximum", func(f *trial) { f.run(60000, service, 1000, true) }, 20, 64},
		{"one refusal", func(f *trial) { f.refuse(1, 0) }, 2, 2},
		{"refusals together count once", func(f *trial) { f.refuse(50, 0) }, 2, 2},
		{"refusals lower it to the minimum", func(f *trial) { f.refuse(50, time.Second) }, 1, 1},
		{"recovers from the minimum", func(f *trial) {
			f.refuse(50, time.Second)
			f.run(500, service, 16, true)
		}, 8, 50},
		{"accepts a server that stays slower", func(f *trial) {
			f.run(2000, service, 16, true)
			f.run(10000, 10*service, 16, true)
		}, 6, 50},
		{"early ends teach nothing", func(f *trial) {
			f.run(2000, service, 16, false)
			for range 1000 {
				f.limit.RecordMinLatency(f.now, time.Microsecond, true)
			}
			f.run(100, service, 16, true)
		}, 4, 30},
		{"slow attempts that ended early count", func(f *trial) {
			f.run(2000, service, 16, false)
			for range 200 {
				f.now = f.now.Add(100 * time.Millisecond)
				f.limit.RecordMinLatency(f.now, 20*service, true)
			}
		}, 1, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newTrial()
			test.run(f)
			assert.GreaterOrEqual(t, f.limit.Value(), test.low)
			assert.LessOrEqual(t, f.limit.Value(), test.high)
		})
	}
}
