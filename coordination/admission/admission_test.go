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

func newController() *admission.Controller {
	return admission.New(mathrand.New(mathrand.NewPCG(21, 22)))
}

// saturate takes all of the route's capacity for a customer.
func saturate(t *testing.T, c *admission.Controller, route ebonyworks.Route, customer ebonyworks.CustomerID) []ebonyworks.AdmissionPermit {
	var permits []ebonyworks.AdmissionPermit
	for {
		inFlight, _, limit := c.Load(route.ID)
		if inFlight >= limit {
			return permits
		}
		permit, refusal := c.Admit(t.Context(), route, customer, time.Now().Add(time.Minute))
		require.Nil(t, refusal)
		permits = append(permits, permit)
	}
}

// warmUp runs requests of the given duration, so that the controller has a mean.
func warmUp(t *testing.T, c *admission.Controller, route ebonyworks.Route, duration time.Duration) {
	for range 40 {
		permit, refusal := c.Admit(t.Context(), route, "teacher", time.Now().Add(time.Minute))
		require.Nil(t, refusal)
		time.Sleep(duration)
		permit.Done()
	}
}

// Guards against queueing of requests that can't complete in time, and against
// refusals of those that can.
func TestPredictedWait(t *testing.T) {
	tests := []struct {
		name     string
		full     bool
		deadline time.Duration
		code     ebonyworks.RefusalCode
		wait     time.Duration
	}{
		{"free, enough time", false, time.Second, "", 0},
		{"free, may be in time", false, 60 * time.Millisecond, "", 0},
		{"free, can't be in time", false, 40 * time.Millisecond, ebonyworks.RefusedOverload, 0},
		{"deadline passed", false, 0, ebonyworks.RefusedDeadline, 0},
		{"full, no time left to wait", true, 110 * time.Millisecond, ebonyworks.RefusedOverload, 0},
		{"full, no permit in time", true, 300 * time.Millisecond, ebonyworks.RefusedOverload, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newController()
				warmUp(t, c, searches, 100*time.Millisecond)
				if test.full {
					saturate(t, c, searches, "other")
				}
				start := time.Now()
				_, refusal := c.Admit(t.Context(), searches, "house", start.Add(test.deadline))
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

// Guards against disconnected callers that take or keep capacity, and against a second
// Done that has an effect.
func TestCapacityIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController()
		permits := saturate(t, c, searches, "other")
		ctx, cancel := context.WithCancel(t.Context())
		refusals := make(chan *ebonyworks.Refusal, 2)
		for range 2 {
			go func() {
				_, refusal := c.Admit(ctx, searches, "gone", time.Now().Add(time.Minute))
				refusals <- refusal
			}()
		}
		synctest.Wait()
		cancel()
		permits[0].Done()
		for range 2 {
			assert.Equal(t, ebonyworks.RefusedDeadline, (<-refusals).Code)
		}
		for _, permit := range permits {
			permit.Done()
			permit.Done()
		}
		inFlight, queued, _ := c.Load(searches.ID)
		assert.Zero(t, inFlight)
		assert.Zero(t, queued)
	})
}

// Guards against a burst of searches that starves reservations.
func TestRoutesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController()
		saturate(t, c, searches, "house")
		_, refusal := c.Admit(t.Context(), reservations, "house", time.Now().Add(time.Millisecond))
		assert.Nil(t, refusal)
	})
}

// offerLoad sends requests of each customer at a fixed rate to a route whose requests
// take 200 ms. It returns the fraction of each customer's requests that were admitted,
// and the longest wait of one.
func offerLoad(t *testing.T, c *admission.Controller, perSecond []int) ([]float64, []time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	counts := make([]float64, len(perSecond))
	longest := make([]time.Duration, len(perSecond))
	for customer, rate := range perSecond {
		for i := range 10 * rate {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
				start := time.Now()
				permit, refusal := c.Admit(t.Context(), searches, ebonyworks.CustomerID(strconv.Itoa(customer)), start.Add(time.Second))
				if refusal != nil {
					return
				}
				mutex.Lock()
				counts[customer] += 1 / float64(10*rate)
				longest[customer] = max(longest[customer], time.Since(start))
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
				permit.Done()
			})
		}
	}
	group.Wait()
	return counts, longest
}

// Guards against one customer that takes the capacity of the others. The first limit
// of 8 admits 40 requests a second, 10 for each customer, and only one of the
// customers sends more.
func TestCustomersShareFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts, longest := offerLoad(t, newController(), []int{3000, 8, 5, 2})
		t.Log(counts, longest)
		assert.Less(t, counts[0], 0.6)
		for customer := 1; customer < len(counts); customer++ {
			assert.InDelta(t, 1, counts[customer], 1e-9)
			assert.Less(t, longest[customer], 200*time.Millisecond, "more than the duration of one request")
		}
	})
}

// Guards against a flooding customer that fills the whole queue, and against a queue
// that grows without bound.
func TestQueueIsBoundedAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController()
		permits := saturate(t, c, searches, "flood")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 2 * admission.MaxQueue {
			go c.Admit(ctx, searches, "flood", time.Now().Add(time.Minute))
		}
		synctest.Wait()
		_, queued, _ := c.Load(searches.ID)
		assert.Equal(t, admission.MaxQueue, queued)
		got := make(chan *ebonyworks.Refusal)
		go func() {
			_, refusal := c.Admit(ctx, searches, "quiet", time.Now().Add(time.Minute))
			got <- refusal
		}()
		synctest.Wait()
		_, queued, _ = c.Load(searches.ID)
		assert.Equal(t, admission.MaxQueue, queued)
		permits[0].Done()
		permits[1].Done()
		assert.Nil(t, <-got)
	})
}

// Guards against refused callers that retry all at once or ever more often: the
// Retry-After time grows with the refusal rate, has jitter, and falls without further
// requests.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController()
		warmUp(t, c, searches, 200*time.Millisecond)
		saturate(t, c, searches, "other")
		refusals := func(count int) (times []time.Duration) {
			for range count {
				_, refusal := c.Admit(t.Context(), searches, "house", time.Now().Add(210*time.Millisecond))
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

// Guards against requests that end at once, for example because of a later refusal,
// and lower the mean duration, so that normal requests count as slow.
func TestShortRequestsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController()
		for range 1000 {
			permit, _ := c.Admit(t.Context(), searches, "house", time.Now().Add(time.Second))
			permit.Done()
		}
		_, _, before := c.Load(searches.ID)
		offerLoad(t, c, []int{60})
		_, _, after := c.Load(searches.ID)
		assert.GreaterOrEqual(t, after, before)
	})
}

// Guards against state that grows with the number of route names.
func TestRoutesAreBounded(t *testing.T) {
	c := newController()
	admit := func(id string) *ebonyworks.Refusal {
		_, refusal := c.Admit(t.Context(), ebonyworks.Route{ID: ebonyworks.RouteID(id)}, "house", time.Now().Add(time.Minute))
		return refusal
	}
	for i := range admission.MaxRoutes {
		require.Nil(t, admit(strconv.Itoa(i)))
	}
	assert.Equal(t, ebonyworks.RefusedOverload, admit("one too many").Code)
	c.Retain(&ebonyworks.Configuration{Routes: []ebonyworks.Route{{ID: "7"}}})
	assert.Nil(t, admit("one too many"))
	inFlight, _, _ := c.Load("7")
	assert.Equal(t, 1, inFlight)
}
