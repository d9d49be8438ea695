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

// event is a request or a repeat of the whole fleet.
type event struct {
	at     time.Duration
	repeat bool
}

// Guards against a fleet whose hosts each keep to their part and exceed the
// bound together: uneven load, bursts, and hosts that lose their counts and
// start again. The bound is checked in every window over the events of all
// hosts.
func TestFleetKeepsBound(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			const hosts = 8
			ledgers := make([]*retrybudget.Budget, hosts)
			for i := range ledgers {
				ledgers[i] = retrybudget.New(bound, hosts)
			}
			begin := time.Now()
			var events []event
			for step := range 4000 {
				time.Sleep(10 * time.Millisecond)
				host := random.IntN(hosts) * random.IntN(2)
				if random.IntN(400) == 0 {
					ledgers[host] = retrybudget.New(bound, hosts)
				}
				burst := 1 + 4*((step/700)%2)
				for range random.IntN(burst + 1) {
					ledgers[host].Count(service)
					events = append(events, event{at: time.Since(begin)})
				}
				// Every host asks for as many repeats as it can get.
				for i := range ledgers {
					if took(ledgers[i]) {
						events = append(events, event{at: time.Since(begin), repeat: true})
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
		if !events[from].repeat {
			continue
		}
		requests, repeats := 0, 0
		start := events[from].at
		for _, later := range events[from:] {
			if later.at >= start+bound.Window {
				break
			}
			if later.repeat {
				repeats++
			}
		}
		for _, other := range events {
			if !other.repeat && other.at >= start && other.at < start+bound.Window {
				requests++
			}
		}
		earlier := 0
		for _, other := range events {
			if !other.repeat && other.at >= start-bound.Window && other.at < start {
				earlier++
			}
		}
		allowed := bound.Ratio*float64(max(requests, earlier)) + bound.Slack
		if float64(repeats) > allowed {
			t.Fatalf("%d repeats in the window from %s, allowed %.1f for %d requests", repeats, start, allowed, requests)
		}
	}
}

// Guards against a process that spends its slack a second time after a
// restart, and against one that never gets it.
func TestSlackAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := retrybudget.New(bound, 8)
		assert.False(t, took(ledger))
		time.Sleep(bound.Window)
		last, ok := ledger.Take(service)
		taken := 0
		for charge := last; ok; charge, ok = ledger.Take(service) {
			last = charge
			taken++
		}
		assert.Equal(t, 7, taken)
		ledger.Return(service, last)
		assert.True(t, took(ledger))
	})
}

// Guards against repeats without a bound from the settings.
func TestZeroValueGrantsNothing(t *testing.T) {
	var ledger retrybudget.Budget
	ledger.Count(service)
	assert.False(t, took(&ledger))
	assert.Zero(t, ledger.Left(service))
}

// took takes a repeat.
func took(ledger *retrybudget.Budget) bool {
	_, ok := ledger.Take(service)
	return ok
}

// Guards against a repeat that is given back to a later time than it was taken from,
// where it hides another one.
func TestReturnCountsForItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := retrybudget.New(retrybudget.Bound{Slack: 2, Window: 10 * time.Second}, 1)
		time.Sleep(10 * time.Second)
		early, ok := ledger.Take(service)
		assert.True(t, ok)
		time.Sleep(9 * time.Second)
		assert.True(t, took(ledger))
		ledger.Return(service, early)
		assert.InDelta(t, 1, ledger.Left(service), 1e-9)
		time.Sleep(1600 * time.Millisecond)
		assert.InDelta(t, 1, ledger.Left(service), 1e-9, "the second repeat is 1.6 s old")
		assert.True(t, took(ledger))
		ledger.Return(service, early)
		ledger.Return(service, retrybudget.Charge{})
		assert.InDelta(t, 0, ledger.Left(service), 1e-9, "the first one has left the window")
	})
}
