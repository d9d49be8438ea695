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

// model is a closed model of hosts in front of one service with slots and a
// queue without a bound. The service finishes work whose caller has left, and
// callers try again at once after a timeout, so that nothing but admission
// keeps an overload from sustaining itself.
type model struct {
	mutex  sync.Mutex
	random *mathrand.Rand
	gates  []ebonyworks.Admission
	slots  chan struct{}
	group  sync.WaitGroup
	// good are the requests that were answered in time.
	good []reply
	// refusals counts those of all tries.
	refusals int
}

// reply is an answer in time.
type reply struct {
	at, latency time.Duration
}

// open is an admission that refuses nothing, for comparison.
type open struct{}

func (open) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	return open{}, nil
}

func (open) Done() {}

func newModel(seed uint64, gates int, guarded bool) *model {
	m := &model{random: mathrand.New(mathrand.NewPCG(seed, 1)), slots: make(chan struct{}, modelSlots)}
	for i := range gates {
		var gate ebonyworks.Admission = open{}
		if guarded {
			gate = admission.New(mathrand.New(mathrand.NewPCG(seed, uint64(i))))
		}
		m.gates = append(m.gates, gate)
	}
	return m
}

func (m *model) exponential(mean time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Duration(float64(mean) * m.random.ExpFloat64())
}

// load lets callers arrive at a part of the capacity for a time.
func (m *model) load(part float64, duration time.Duration, start time.Time) {
	end := time.Now().Add(duration)
	for i := 0; ; i++ {
		time.Sleep(m.exponential(time.Duration(float64(time.Second) / (part * modelCapacity))))
		if !time.Now().Before(end) {
			return
		}
		m.group.Go(func() { m.call(i, start) })
	}
}

// call is one caller, who tries again after refusals and timeouts.
func (m *model) call(number int, start time.Time) {
	house := ebonyworks.CustomerID(strconv.Itoa(number % 10))
	for try := range modelTries {
		begin := time.Now()
		deadline := begin.Add(modelTimeout)
		admittance, refusal := m.gates[(number+try)%len(m.gates)].Admit(context.Background(), ebonyworks.Route{ID: "r"}, house, deadline)
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
			admittance.Done()
			close(done)
		})
		select {
		case <-done:
			m.mutex.Lock()
			m.good = append(m.good, reply{at: time.Since(start), latency: time.Since(begin)})
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
	for _, good := range m.good {
		if good.at >= from && good.at < to {
			latencies = append(latencies, good.latency)
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

// Guards against an overload that lowers goodput or that sustains itself by
// retries after its cause has gone: 30 s at half of the capacity, 10 s at
// twice the capacity, and 30 s at half of it again. The run without admission
// shows that the model does collapse.
func TestOverload(t *testing.T) {
	tests := []struct {
		name    string
		gates   int
		guarded bool
		seeds   uint64
	}{
		{"one host", 1, true, 2}, {"four hosts", 4, true, 2}, {"eight hosts", 8, true, 2}, {"without admission", 1, false, 1},
	}
	for _, test := range tests {
		for seed := uint64(1); seed <= test.seeds; seed++ {
			t.Run(test.name+" seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(seed, test.gates, test.guarded)
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
					if !test.guarded {
						// No answer is in time at the end, 30 s after the cause.
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
