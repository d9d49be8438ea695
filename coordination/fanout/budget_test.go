package fanout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

// Guards against extra attempts that exceed the retry budget of a service in some
// window because two hosts run the same requests. Messages are delayed or lost,
// and hosts freeze.
func TestHostsShareRetryBudget(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, b *testbed) { checkRetryBudget(t, b, seed) })
		})
	}
}

func checkRetryBudget(t *testing.T, b *testbed, seed uint64) {
	bound := retrybudget.Bound{Ratio: 0.2, Slack: 6, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(seed, 1))
	table := b.Table()
	tables := func() *routing.Table { return table }
	b.setBehavior(func(id ebonyworks.ServerID, request *ebonyworks.ForwardRequest) behavior {
		return faultFor(seed, id, request.ID)
	})
	larger := b.forwarder(&delayedBackend{testbed: b, random: rand.New(rand.NewPCG(seed, 2))}, tables, rand.New(rand.NewPCG(seed, 3)), 8, 2)
	smaller := b.forwarder(&delayedBackend{testbed: b, random: rand.New(rand.NewPCG(seed, 4))}, tables, rand.New(rand.NewPCG(seed, 5)), 8, 2)
	larger.Registry, smaller.Registry = partialRegistry(b, random), partialRegistry(b, random)
	larger.RetryBudget, smaller.RetryBudget = retrybudget.New(bound, 2), retrybudget.New(bound, 2)
	larger.Quarantine, smaller.Quarantine, smaller.Domain = nil, nil, "b"
	smaller.Delegator = newDelegator("b", &lossyLink{larger: larger, random: rand.New(rand.NewPCG(seed, 6))}, nil)
	time.Sleep(bound.Window)
	var sent []time.Time
	for i := range 900 {
		host := smaller
		if i%3 == 0 {
			host = larger
		}
		id := ebonyworks.RequestID(fmt.Sprintf("%d-%d", seed, i))
		sent = append(sent, time.Now())
		go host.Forward(context.Background(), &ebonyworks.ForwardRequest{
			ID: id, Host: "h", Method: "GET", Target: "/all/" + string(id), Arrival: time.Now(), CallerTimeout: timeout,
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(10 * timeout)
	extra := b.extraAttempts(seed)
	assert.NotEmpty(t, extra)
	for shard, times := range extra {
		for i, end := range times {
			count := i + 1 - countBefore(times, end.Add(-bound.Window))
			requestCount := 0
			for _, earlier := range []time.Duration{0, bound.Window / 2, bound.Window} {
				from, to := end.Add(-earlier-bound.Window), end.Add(-earlier)
				requestCount = max(requestCount, countBefore(sent, to)-countBefore(sent, from))
			}
			assert.LessOrEqual(t, float64(count), bound.Ratio*float64(requestCount)+bound.Slack, "%s at %s", shard, end)
		}
	}
}

// extraAttempts returns, for each shard and in order, when a request reached the
// shard again.
func (b *testbed) extraAttempts(seed uint64) map[string][]time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	seen := make(map[string]bool)
	attempts := make(map[string][]time.Time)
	for _, one := range b.arrivals {
		if faultFor(seed, one.server, one.request).result == ebonyworks.AttemptUnreachable {
			continue
		}
		shard := string(one.server[:len("shard-00")])
		key := shard + string(one.request)
		if seen[key] {
			attempts[shard] = append(attempts[shard], one.at)
		}
		seen[key] = true
	}
	return attempts
}

// countBefore returns how many of the ordered times are before the given one.
func countBefore(times []time.Time, limit time.Time) int {
	count := 0
	for _, at := range times {
		if at.Before(limit) {
			count++
		}
	}
	return count
}

// Guards against an extra attempt that isn't charged to the budget: a request
// reached a first server, finds the second one unreachable, and is sent to a
// third.
func TestExtraAttemptAfterUnreachableServerIsCounted(t *testing.T) {
	for _, test := range []struct {
		name string
		// first is the result of the first attempt.
		first behavior
	}{
		{"failed, then unreachable", behavior{latency: time.Millisecond, result: ebonyworks.AttemptFailed, status: 500}},
		{"refused, then unreachable", behavior{latency: time.Millisecond, result: ebonyworks.AttemptShed}},
		{"failed after a hedge was unreachable", behavior{latency: target, result: ebonyworks.AttemptFailed, status: 500}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, b *testbed) {
				b.warmUp()
				b.Registry = partialRegistry(b, rand.New(rand.NewPCG(1, 1)))
				state := ebonyworks.ServerID("")
				b.setBehavior(func(id ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
					switch state {
					case "":
						state = id
						return test.first
					case "unreachable":
						return served(workTime)
					default:
						state = "unreachable"
						return behavior{latency: 2 * target, result: ebonyworks.AttemptUnreachable}
					}
				})
				budget := &countingBudget{Budget: retrybudget.New(retrybudget.Bound{Slack: 1, Window: time.Second}, 1)}
				time.Sleep(time.Second)
				b.RetryBudget = budget
				b.send("/one/1")
				b.mutex.Lock()
				defer b.mutex.Unlock()
				// Of the arrivals, one is the first attempt and one is at an
				// unreachable server, which isn't charged.
				assert.Equal(t, len(b.arrivals)-2, budget.taken)
			})
		})
	}
}

// countingBudget counts the attempts that are taken and not given back.
type countingBudget struct {
	*retrybudget.Budget
	taken int
}

func (r *countingBudget) Take(service ebonyworks.ServiceID) (retrybudget.Charge, bool) {
	charge, ok := r.Budget.Take(service)
	if ok {
		r.taken++
	}
	return charge, ok
}

func (r *countingBudget) Return(service ebonyworks.ServiceID, charge retrybudget.Charge) {
	r.Budget.Return(service, charge)
	if charge.Taken() {
		r.taken--
	}
}
