package admission_test

import (
	"context"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
)

const (
	modelSlots   = 8
	modelService = 20 * time.Millisecond
	modelTimeout = 500 * time.Millisecond
	modelTries   = 4
	// modelCapacity is in requests per second.
	modelCapacity = float64(modelSlots) * float64(time.Second/modelService)
)

// model is a closed-loop model of hosts in front of one service with a fixed number of
// slots and an unbounded queue. The service completes requests whose caller has timed
// out, and callers retry at once after a timeout, so that nothing but admission keeps
// an overload from sustaining itself.
type model struct {
	mutex       sync.Mutex
	random      *mathrand.Rand
	controllers []ebonyworks.Admission
	slots       chan struct{}
	group       sync.WaitGroup
	// inTime are the requests that were answered before their timeout.
	inTime []reply
	// refusals counts the refusals of all tries.
	refusals int
}

// reply is an answer before the timeout.
type reply struct {
	at, latency time.Duration
}

// admitAll is an admission that refuses nothing, for comparison.
type admitAll struct{}

func (admitAll) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	return admitAll{}, nil
}

func (admitAll) Done() {}

func newModel(seed uint64, controllers int, limited bool) *model {
	m := &model{random: mathrand.New(mathrand.NewPCG(seed, 1)), slots: make(chan struct{}, modelSlots)}
	for i := range controllers {
		var controller ebonyworks.Admission = admitAll{}
		if limited {
			controller = admission.New(mathrand.New(mathrand.NewPCG(seed, uint64(i))))
		}
		m.controllers = append(m.controllers, controller)
	}
	return m
}

func (m *model) exponential(mean time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Duration(float64(mean) * m.random.ExpFloat64())
}

// load generates requests at a fraction of the capacity for the duration.
func (m *model) load(fraction float64, duration time.Duration, start time.Time) {
	end := time.Now().Add(duration)
	for i := 0; ; i++ {
		time.Sleep(m.exponential(time.Duration(float64(time.Second) / (fraction * modelCapacity))))
		if !time.Now().Before(end) {
			return
		}
		m.group.Go(func() { m.call(i, start) })
	}
}

// call is one caller, who retries after refusals and timeouts.
func (m *model) call(number int, start time.Time) {
	customer := ebonyworks.CustomerID(strconv.Itoa(number % 10))
	for try := range modelTries {
		begin := time.Now()
		deadline := begin.Add(modelTimeout)
		permit, refusal := m.controllers[(number+try)%len(m.controllers)].Admit(context.Background(), ebonyworks.Route{ID: "r"}, customer, deadline)
		if refusal != nil {
			m.mutex.Lock()
			m.refusals++
			m.mutex.Unlock()
			time.Sleep(refusal.RetryAfter)
			continue
		}
		done := make(chan struct{})
		m.group.Go(func() {
			m.serve()
			permit.Done()
			close(done)
		})
		select {
		case <-done:
			m.mutex.Lock()
			m.inTime = append(m.inTime, reply{at: time.Since(start), latency: time.Since(begin)})
			m.mutex.Unlock()
			return
		case <-time.After(time.Until(deadline)):
		}
	}
}

func (m *model) serve() {
	m.slots <- struct{}{}
	time.Sleep(m.exponential(modelService))
	<-m.slots
}

// between returns the sorted latencies of the answers between two times.
func (m *model) between(from, to time.Duration) []time.Duration {
	var latencies []time.Duration
	for _, answer := range m.inTime {
		if answer.at >= from && answer.at < to {
			latencies = append(latencies, answer.latency)
		}
	}
	slices.Sort(latencies)
	return latencies
}

func p99(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)*99/100].Round(time.Millisecond)
}

// Guards against an overload that lowers goodput, or that retries sustain after its
// cause has ended: 30 s at half of the capacity, 10 s at twice the capacity, and 30 s
// at half of it again. The run without admission shows that the model does collapse.
func TestOverload(t *testing.T) {
	tests := []struct {
		name        string
		controllers int
		limited     bool
		seeds       uint64
	}{
		{"one host", 1, true, 2}, {"four hosts", 4, true, 2}, {"eight hosts", 8, true, 2}, {"without admission", 1, false, 1},
	}
	for _, test := range tests {
		for seed := uint64(1); seed <= test.seeds; seed++ {
			t.Run(test.name+" seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(seed, test.controllers, test.limited)
					start := time.Now()
					m.load(0.5, 30*time.Second, start)
					m.load(2, 10*time.Second, start)
					m.load(0.5, 30*time.Second, start)
					m.group.Wait()
					normal := p99(m.between(5*time.Second, 30*time.Second))
					goodput := float64(len(m.between(31*time.Second, 40*time.Second))) / (9 * modelCapacity)
					after := m.between(43*time.Second, 70*time.Second)
					t.Logf("goodput %.0f%% of capacity; p99 %v before, %v from 3 s after; refusals %d",
						100*goodput, normal, p99(after), m.refusals)
					if !test.limited {
						// No answer is in time at the end, 30 s after the overload.
						assert.Empty(t, m.between(60*time.Second, 70*time.Second))
						assert.Less(t, goodput, 0.5)
						return
					}
					assert.GreaterOrEqual(t, goodput, 0.9)
					assert.LessOrEqual(t, float64(p99(after)), 1.2*float64(normal))
				})
			})
		}
	}
}
