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
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
)

var (
	searches     = ebonyworks.Route{ID: "searches", Kind: ebonyworks.SearchRoute}
	reservations = ebonyworks.Route{ID: "reservations", Kind: ebonyworks.ReservationRoute}
)

func newGate() *admission.Controller {
	return admission.New(mathrand.New(mathrand.NewPCG(21, 22)))
}

// fill takes all of the route's capacity for a house.
func fill(t *testing.T, g *admission.Controller, route ebonyworks.Route, house ebonyworks.CustomerID) []ebonyworks.AdmissionPermit {
	var taken []ebonyworks.AdmissionPermit
	for {
		inFlight, _, limit := g.Load(route.ID)
		if inFlight >= limit {
			return taken
		}
		admittance, refusal := g.Admit(t.Context(), route, house, time.Now().Add(time.Minute))
		require.Nil(t, refusal)
		taken = append(taken, admittance)
	}
}

// teach lets requests of the given duration pass, so that the gate knows it.
func teach(t *testing.T, g *admission.Controller, route ebonyworks.Route, duration time.Duration) {
	for range 40 {
		admittance, refusal := g.Admit(t.Context(), route, "teacher", time.Now().Add(time.Minute))
		require.Nil(t, refusal)
		time.Sleep(duration)
		admittance.Done()
	}
}

// Guards against requests that wait although they can't be done in time, and
// against refusals of those that can.
func TestPredictedWait(t *testing.T) {
	tests := []struct {
		name     string
		full     bool
		deadline time.Duration
		code     ebonyworks.RefusalCode
		wait     time.Duration
	}{
		{"free, enough time", false, time.Second, "", 0},
		{"free, some chance", false, 60 * time.Millisecond, "", 0},
		{"free, no chance", false, 40 * time.Millisecond, ebonyworks.RefusedOverload, 0},
		{"deadline passed", false, 0, ebonyworks.RefusedDeadline, 0},
		{"full, no time left to wait", true, 110 * time.Millisecond, ebonyworks.RefusedOverload, 0},
		{"full, wait in vain", true, 300 * time.Millisecond, ebonyworks.RefusedOverload, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGate()
				teach(t, g, searches, 100*time.Millisecond)
				if test.full {
					fill(t, g, searches, "other")
				}
				start := time.Now()
				_, refusal := g.Admit(t.Context(), searches, "house", start.Add(test.deadline))
				assert.Equal(t, test.wait, time.Since(start))
				if test.code == "" {
					assert.Nil(t, refusal)
					return
				}
				require.NotNil(t, refusal)
				assert.Equal(t, test.code, refusal.Code)
				assert.Equal(t, test.code == ebonyworks.RefusedOverload, refusal.RetryAfter > 0)
			})
		})
	}
}

// Guards against callers who have gone and still take or keep capacity, and
// against Done that counts twice.
func TestCapacityIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		taken := fill(t, g, searches, "other")
		ctx, cancel := context.WithCancel(t.Context())
		refusals := make(chan *ebonyworks.Refusal, 2)
		for range 2 {
			go func() {
				_, refusal := g.Admit(ctx, searches, "gone", time.Now().Add(time.Minute))
				refusals <- refusal
			}()
		}
		synctest.Wait()
		cancel()
		taken[0].Done()
		for range 2 {
			assert.Equal(t, ebonyworks.RefusedDeadline, (<-refusals).Code)
		}
		for _, admittance := range taken {
			admittance.Done()
			admittance.Done()
		}
		inFlight, queued, _ := g.Load(searches.ID)
		assert.Zero(t, inFlight)
		assert.Zero(t, queued)
	})
}

// Guards against a burst of searches that starves reservations.
func TestRoutesHaveSeparateShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		fill(t, g, searches, "house")
		_, refusal := g.Admit(t.Context(), reservations, "house", time.Now().Add(time.Millisecond))
		assert.Nil(t, refusal)
	})
}

// answered lets houses send requests at fixed rates to a route whose requests
// take 200 ms, and returns the share of each house's requests that were
// admitted and the longest wait of one.
func answered(t *testing.T, g *admission.Controller, perSecond []int) ([]float64, []time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	counts := make([]float64, len(perSecond))
	longest := make([]time.Duration, len(perSecond))
	for house, rate := range perSecond {
		for i := range 10 * rate {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
				start := time.Now()
				admittance, refusal := g.Admit(t.Context(), searches, ebonyworks.CustomerID(strconv.Itoa(house)), start.Add(time.Second))
				if refusal != nil {
					return
				}
				mutex.Lock()
				counts[house] += 1 / float64(10*rate)
				longest[house] = max(longest[house], time.Since(start))
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
				admittance.Done()
			})
		}
	}
	group.Wait()
	return counts, longest
}

// Guards against one house that takes the capacity of the others. The first
// limit of 8 admits 40 requests a second, 10 for each house, and only one of
// the houses sends more.
func TestHousesShareFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, longest := answered(t, newGate(), []int{3000, 8, 5, 2})
		t.Log(counts, longest)
		assert.Less(t, counts[0], 0.6)
		for house := 1; house < len(counts); house++ {
			assert.InDelta(t, 1, counts[house], 1e-9)
			assert.Less(t, longest[house], 200*time.Millisecond, "more than one round of requests")
		}
	})
}

// Guards against a flooding house that fills the whole queue, and against a
// queue that grows without bound.
func TestQueueIsBoundedAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		taken := fill(t, g, searches, "flood")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 2 * admission.MaxQueue {
			go g.Admit(ctx, searches, "flood", time.Now().Add(time.Minute))
		}
		synctest.Wait()
		_, queued, _ := g.Load(searches.ID)
		assert.Equal(t, admission.MaxQueue, queued)
		got := make(chan *ebonyworks.Refusal)
		go func() {
			_, refusal := g.Admit(ctx, searches, "quiet", time.Now().Add(time.Minute))
			got <- refusal
		}()
		synctest.Wait()
		_, queued, _ = g.Load(searches.ID)
		assert.Equal(t, admission.MaxQueue, queued)
		taken[0].Done()
		taken[1].Done()
		assert.Nil(t, <-got)
	})
}

// Guards against callers who come back all at once or ever more often: the
// time grows with the share of refusals, is spread, and falls by itself.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		teach(t, g, searches, 200*time.Millisecond)
		fill(t, g, searches, "other")
		refusals := func(count int) (times []time.Duration) {
			for range count {
				_, refusal := g.Admit(t.Context(), searches, "house", time.Now().Add(210*time.Millisecond))
				require.NotNil(t, refusal)
				times = append(times, refusal.RetryAfter)
			}
			slices.Sort(times)
			return times
		}
		first := refusals(3)
		refusals(400)
		later := refusals(100)
		time.Sleep(30 * time.Second)
		calm := refusals(3)
		assert.InDelta(t, float64(200*time.Millisecond), float64(first[1]), float64(120*time.Millisecond))
		assert.InDelta(t, float64(800*time.Millisecond), float64(later[50]), float64(200*time.Millisecond))
		assert.Greater(t, later[90]-later[10], 400*time.Millisecond)
		assert.Less(t, calm[1], 330*time.Millisecond)
	})
}

// Guards against requests that end at once, for example by a later refusal,
// and make the gate believe that normal ones are slow.
func TestShortRequestsTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		for range 1000 {
			admittance, _ := g.Admit(t.Context(), searches, "house", time.Now().Add(time.Second))
			admittance.Done()
		}
		_, _, before := g.Load(searches.ID)
		answered(t, g, []int{60})
		_, _, after := g.Load(searches.ID)
		assert.GreaterOrEqual(t, after, before)
	})
}

// Guards against state that grows with route names.
func TestRoutesAreBounded(t *testing.T) {
	g := newGate()
	admit := func(id string) *ebonyworks.Refusal {
		_, refusal := g.Admit(t.Context(), ebonyworks.Route{ID: ebonyworks.RouteID(id)}, "house", time.Now().Add(time.Minute))
		return refusal
	}
	for i := range admission.MaxRoutes {
		require.Nil(t, admit(strconv.Itoa(i)))
	}
	assert.Equal(t, ebonyworks.RefusedOverload, admit("one too many").Code)
	g.Retain(&ebonyworks.Configuration{Routes: []ebonyworks.Route{{ID: "7"}}})
	assert.Nil(t, admit("one too many"))
	inFlight, _, _ := g.Load("7")
	assert.Equal(t, 1, inFlight)
}
