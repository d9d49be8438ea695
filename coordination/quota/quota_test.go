package quota_test

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
)

const server = ebonyworks.ServerID("a")

func slots(count int) *ebonyworks.Service {
	return &ebonyworks.Service{Slots: count, Servers: []ebonyworks.Server{{ID: server}}}
}

func served(latency time.Duration) ebonyworks.AttemptRecord {
	return ebonyworks.AttemptRecord{Result: ebonyworks.AttemptServed, Latency: latency}
}

// acquire returns count permits and fails the test if they aren't available.
func acquire(t *testing.T, table *quota.Table, service *ebonyworks.Service, count int) []ebonyworks.Permit {
	var permits []ebonyworks.Permit
	for range count {
		permit, ok := table.Acquire(t.Context(), service, server)
		require.True(t, ok)
		permits = append(permits, permit)
	}
	return permits
}

// Guards against hosts that together overload a server at the start, and against a
// limit of zero that blocks a server for ever.
func TestInitialLimit(t *testing.T) {
	tests := []struct{ slots, hosts, want int }{
		{2, 8, 2}, {6, 8, 2}, {6, 4, 3}, {4, 1, 5}, {0, 8, 2}, {2, 0, 3},
	}
	for _, test := range tests {
		table := quota.New(test.hosts)
		_, limit := table.Load(slots(test.slots), server)
		assert.Equal(t, test.want, limit, "before use: %+v", test)
		acquire(t, table, slots(test.slots), 1)
		inFlight, limit := table.Load(slots(test.slots), server)
		assert.Equal(t, test.want, limit, "after use: %+v", test)
		assert.Equal(t, 1, inFlight)
	}
}

// Guards against a server that keeps its limit while it sheds or times out, against a
// limit below 1, and against one above the bound that follows from the slots.
func TestLimitAdaptsToResults(t *testing.T) {
	tests := []struct {
		name      string
		result    ebonyworks.AttemptResult
		low, high int
	}{
		{"shed", ebonyworks.AttemptShed, 1, 1},
		{"timeout", ebonyworks.AttemptTimeout, 1, 1},
		{"served", ebonyworks.AttemptServed, 12, 12},
		{"draining", ebonyworks.AttemptDraining, 7, 7},
		{"ended early", ebonyworks.AttemptCanceled, 7, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, service := quota.New(1), slots(6)
				for range 100 {
					_, limit := table.Load(service, server)
					for _, permit := range acquire(t, table, service, limit) {
						permit.Release(ebonyworks.AttemptRecord{Result: test.result, Latency: time.Millisecond})
						permit.Release(ebonyworks.AttemptRecord{Result: ebonyworks.AttemptShed})
					}
					time.Sleep(30 * time.Millisecond)
				}
				inFlight, limit := table.Load(service, server)
				assert.Zero(t, inFlight)
				assert.GreaterOrEqual(t, limit, test.low)
				assert.LessOrEqual(t, limit, test.high)
			})
		})
	}
}

// Guards against waiters that get permits before waiters with earlier deadlines, and
// against permits for callers that have disconnected.
func TestWaitersOrderedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, service := quota.New(8), slots(1)
		held := acquire(t, table, service, 2)
		ended := ebonyworks.AttemptRecord{Result: ebonyworks.AttemptInvalid}
		order, left := make(chan string, 10), make(chan string, 10)
		wait := func(name string, ctx context.Context) {
			permit, ok := table.Acquire(ctx, service, server)
			if !ok {
				left <- name
				return
			}
			order <- name
			time.Sleep(time.Millisecond)
			permit.Release(ended)
		}
		go wait("no deadline", t.Context())
		for _, name := range []string{"5s", "1s", "4s", "50ms", "2s", "3s"} {
			deadline, err := time.ParseDuration(name)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			go wait(name, ctx)
		}
		canceled, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		go wait("gone", canceled)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, "50ms", <-left)
		cancel()
		held[0].Release(ended)
		assert.Equal(t, "gone", <-left)
		for _, want := range []string{"1s", "2s", "3s", "4s", "5s", "no deadline"} {
			assert.Equal(t, want, <-order)
		}
		time.Sleep(time.Second)
		inFlight, _ := table.Load(service, server)
		assert.Equal(t, 1, inFlight)
	})
}

// Guards against an unbounded queue, and against a queue that is full of waiters whose
// contexts have ended.
func TestWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, service := quota.New(8), slots(1)
		acquire(t, table, service, 2)
		ctx, cancel := context.WithCancel(t.Context())
		for range quota.MaxWaiters {
			go table.Acquire(ctx, service, server)
		}
		synctest.Wait()
		_, ok := table.Acquire(t.Context(), service, server)
		assert.False(t, ok, "the queue is full")
		cancel()
		short, done := context.WithTimeout(t.Context(), time.Second)
		defer done()
		start := time.Now()
		_, ok = table.Acquire(short, service, server)
		assert.False(t, ok)
		assert.Equal(t, time.Second, time.Since(start), "the queue has room again")
	})
}

// Guards against lost wake-ups and lost permits when contexts end at the moment of the
// grant, and against more attempts in flight than the limit.
func TestNoLostPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, service := quota.New(1), slots(2)
		random := mathrand.New(mathrand.NewPCG(5, 6))
		var inFlight, granted atomic.Int64
		var group sync.WaitGroup
		for range 3000 {
			timeout := time.Duration(random.IntN(20)) * time.Millisecond
			work := time.Duration(1+random.IntN(3)) * time.Millisecond
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				permit, ok := table.Acquire(ctx, service, server)
				if !ok {
					return
				}
				granted.Add(1)
				assert.NoError(t, ctx.Err())
				assert.LessOrEqual(t, inFlight.Add(1), int64(4))
				time.Sleep(work)
				inFlight.Add(-1)
				permit.Release(served(work))
			})
			time.Sleep(time.Duration(random.IntN(1000)) * time.Microsecond)
		}
		group.Wait()
		remaining, limit := table.Load(service, server)
		assert.Zero(t, remaining)
		assert.Greater(t, granted.Load(), int64(1000))
		acquire(t, table, service, limit)
	})
}

// Guards against state that grows with the servers of old configurations.
func TestRetain(t *testing.T) {
	table, service := quota.New(8), slots(2)
	held := acquire(t, table, service, 1)
	table.Retain(&ebonyworks.Configuration{Catalogues: []ebonyworks.Catalogue{{Services: []ebonyworks.Service{*service}}}})
	inFlight, _ := table.Load(service, server)
	assert.Equal(t, 1, inFlight)
	table.Retain(&ebonyworks.Configuration{})
	inFlight, _ = table.Load(service, server)
	assert.Zero(t, inFlight)
	held[0].Release(served(time.Millisecond))
}

// Guards against a share of the connections that stays what it was when the server was
// first used: a host that has just started assumes a large number of hosts.
func TestShareFollowsNumberOfHosts(t *testing.T) {
	service := &ebonyworks.Service{ID: "s", Slots: 4, ConnectionCap: 40}
	table := quota.NewExclusive(512)
	use := func() int {
		permit, ok := table.Acquire(t.Context(), service, "a")
		require.True(t, ok)
		permit.Release(ebonyworks.AttemptRecord{Result: ebonyworks.AttemptServed, Latency: time.Millisecond})
		_, limit := table.Load(service, "a")
		return limit
	}
	assert.Equal(t, 1, use())
	table.SetHosts(8)
	for range 200 {
		use()
	}
	held := 0
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		if _, ok := table.Acquire(ctx, service, "a"); ok {
			held++
		}
		cancel()
	}
	assert.Greater(t, held, 1)
}
