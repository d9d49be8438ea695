package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
)

const service ebonyworks.ServiceID = "shard"

var bound = retrybudget.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// event is a request, or a retry or hedge, of any host.
type event struct {
	at    time.Duration
	extra bool
}

// Guards against hosts that each keep to their part and exceed the bound together,
// because of uneven load, bursts, or hosts that lose their counts in a restart. The
// bound is checked in every window over the events of all hosts.
func TestAllHostsKeepBound(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			const hosts = 8
			budgets := make([]*retrybudget.Budget, hosts)
			for i := range budgets {
				budgets[i] = retrybudget.New(bound, hosts)
			}
			begin := time.Now()
			var events []event
			for step := range 4000 {
				time.Sleep(10 * time.Millisecond)
				host := random.IntN(hosts) * random.IntN(2)
				if random.IntN(400) == 0 {
					budgets[host] = retrybudget.New(bound, hosts)
				}
				burst := 1 + 4*((step/700)%2)
				for range random.IntN(burst + 1) {
					budgets[host].RecordRequest(service)
					events = append(events, event{at: time.Since(begin)})
				}
				// Every host takes a retry whenever its budget has one.
				for i := range budgets {
					if tryTake(budgets[i]) {
						events = append(events, event{at: time.Since(begin), extra: true})
					}
				}
			}
			assertBound(t, events)
		})
	}
}

func assertBound(t *testing.T, events []event) {
	t.Helper()
	for from := range events {
		if !events[from].extra {
			continue
		}
		requests, extras := 0, 0
		start := events[from].at
		for _, later := range events[from:] {
			if later.at >= start+bound.Window {
				break
			}
			if later.extra {
				extras++
			}
		}
		for _, other := range events {
			if !other.extra && other.at >= start && other.at < start+bound.Window {
				requests++
			}
		}
		earlier := 0
		for _, other := range events {
			if !other.extra && other.at >= start-bound.Window && other.at < start {
				earlier++
			}
		}
		allowed := bound.Ratio*float64(max(requests, earlier)) + bound.Slack
		if float64(extras) > allowed {
			t.Fatalf("%d retries in the window from %s, allowed %.1f for %d requests", extras, start, allowed, requests)
		}
	}
}

// Guards against a process that spends its slack a second time after a restart, and
// against one that never gets it.
func TestSlackAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retrybudget.New(bound, 8)
		assert.False(t, tryTake(budget))
		time.Sleep(bound.Window)
		last, ok := budget.Take(service)
		taken := 0
		for charge := last; ok; charge, ok = budget.Take(service) {
			last = charge
			taken++
		}
		assert.Equal(t, 7, taken)
		budget.Return(service, last)
		assert.True(t, tryTake(budget))
	})
}

// Guards against retries and hedges while the settings have no bound.
func TestZeroValueGrantsNothing(t *testing.T) {
	var budget retrybudget.Budget
	budget.RecordRequest(service)
	assert.False(t, tryTake(&budget))
	assert.Zero(t, budget.Remaining(service))
}

// tryTake takes one retry and reports whether the budget had one.
func tryTake(budget *retrybudget.Budget) bool {
	_, ok := budget.Take(service)
	return ok
}

// Guards against a retry that is given back to a later bucket than it was taken from,
// which hides another retry.
func TestReturnLowersOriginalBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retrybudget.New(retrybudget.Bound{Slack: 2, Window: 10 * time.Second}, 1)
		time.Sleep(10 * time.Second)
		early, ok := budget.Take(service)
		assert.True(t, ok)
		time.Sleep(9 * time.Second)
		assert.True(t, tryTake(budget))
		budget.Return(service, early)
		assert.InDelta(t, 1, budget.Remaining(service), 1e-9)
		time.Sleep(1600 * time.Millisecond)
		assert.InDelta(t, 1, budget.Remaining(service), 1e-9, "the second retry is 1.6 s old")
		assert.True(t, tryTake(budget))
		budget.Return(service, early)
		budget.Return(service, retrybudget.Charge{})
		assert.InDelta(t, 0, budget.Remaining(service), 1e-9, "the first one has left the window")
	})
}
