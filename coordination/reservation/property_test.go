package reservation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// defaultSchedules is the number of schedules with all kinds of faults together;
	// each kind alone gets a tenth of it.
	defaultSchedules = 3000
	// batchSchedules is the number of schedules that run in one synctest bubble.
	batchSchedules = 250
)

// Guards against violations of the guarantees to callers under faults: at most one
// execution per ticket, OutcomeNotRun means that there is none and never will be,
// OutcomeRan means exactly one, and there are no two different final outcomes. Set
// SCHEDULES for a longer run, and SEED with SCHEDULES=1 to repeat one schedule.
func TestAtMostOnce(t *testing.T) {
	all := faults{name: "all", refusals: true, losses: true, slow: true, invalid: true, crashes: true, pauses: true, partitions: true, plannedStops: true, messages: true}
	single := []faults{
		{name: "none"}, {name: "refusals", refusals: true}, {name: "server losses", losses: true},
		{name: "slow servers", slow: true}, {name: "invalid replies", invalid: true}, {name: "host crashes", crashes: true},
		{name: "pauses", pauses: true}, {name: "partitions", partitions: true}, {name: "planned stops", plannedStops: true},
		{name: "lost and repeated messages", messages: true},
	}
	schedules := defaultSchedules
	if text := os.Getenv("SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	first := rand.Uint64() >> 16
	if text := os.Getenv("SEED"); text != "" {
		var err error
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for _, injected := range append(single, all) {
		count := max(schedules/10, 1)
		if injected.name == "all" {
			count = schedules
		}
		t.Run(injected.name, func(t *testing.T) { runBatches(t, injected, first, count) })
	}
}

// runBatches runs the schedules in parallel batches. It also logs the shares of callers
// whose first outcome of a reservation and whose last outcome of a query was unknown.
func runBatches(t *testing.T, injected faults, seed uint64, count int) {
	var mu sync.Mutex
	var first, last outcomeCounts
	t.Run("batch", func(t *testing.T) {
		for done := 0; done < count; done += batchSchedules {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f, l := runSchedules(t, injected, seed+uint64(done), min(batchSchedules, count-done))
					mu.Lock()
					defer mu.Unlock()
					first.add(f)
					last.add(l)
				})
			})
		}
	})
	t.Logf("%d schedules from seed %d, Unknown: first answers %v; last answers %v", count, seed, &first, &last)
}

func runSchedules(t *testing.T, injected faults, start uint64, count int) (first, last outcomeCounts) {
	for seed := start; seed < start+uint64(count); seed++ {
		c := newCluster(seed, injected)
		c.run()
		c.check()
		require.Empty(t, c.failures, "repeat with SEED=%d SCHEDULES=1 and -run %s", seed, strings.SplitN(t.Name(), "/batch", 2)[0])
		first.add(c.first)
		last.add(c.last)
	}
	return first, last
}

// run runs one schedule: host faults, and callers that lose replies, resend requests to
// any host and query outcomes.
func (c *cluster) run() {
	for slot := range c.nodes {
		random := rand.New(rand.NewPCG(c.seed, uint64(100+slot)))
		c.work.Go(func() { c.injectFaults(slot, random) })
	}
	for number := range 4 {
		random := rand.New(rand.NewPCG(c.seed, uint64(200+number)))
		c.work.Go(func() { c.caller(fmt.Sprintf("ticket-%d", number), random) })
	}
	c.work.Wait()
	// Runs that are still active after their callers left end by their deadlines.
	time.Sleep(time.Hour)
	synctest.Wait()
}

// injectFaults crashes, pauses, partitions and stops one host, mostly while
// reservations are running.
func (c *cluster) injectFaults(slot int, random *rand.Rand) {
	for range 3 {
		time.Sleep(upTo(random, 40*time.Second))
		if chance(random, 10) {
			time.Sleep(upTo(random, 15*time.Minute))
		}
		target := c.node(slot)
		switch kind := random.IntN(4); {
		case kind == 0 && c.faults.crashes:
			target.set(true, 0)
			time.Sleep(upTo(random, 10*time.Second))
			c.replace(slot)
		case kind == 1 && c.faults.pauses:
			target.set(false, upTo(random, 20*time.Minute))
		case kind == 2 && c.faults.partitions:
			c.mu.Lock()
			c.partitioned, c.healed = slot, time.Now().Add(upTo(random, time.Minute))
			c.mu.Unlock()
		case kind == 3 && c.faults.plannedStops:
			sources := &randSources{copy: rand.New(rand.NewPCG(random.Uint64(), 0)), run: rand.New(rand.NewPCG(random.Uint64(), 0))}
			ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), randKey{}, sources), 20*time.Second)
			_ = target.runner.Close(ctx)
			cancel()
			target.set(true, 0)
			c.replace(slot)
		}
	}
}

// caller gets one ticket, sends copies of a reservation and outcome queries with it,
// and finally queries the outcome once more.
func (c *cluster) caller(name string, random *rand.Rand) {
	time.Sleep(upTo(random, 30*time.Second))
	issuer := c.node(random.IntN(len(c.nodes)))
	token, claims, refusal := issuer.runner.IssueTicket(context.Background())
	if refusal != nil || issuer.isDead() {
		return
	}
	c.mu.Lock()
	c.expiries[name] = claims.Expiry
	c.mu.Unlock()
	var copies sync.WaitGroup
	var answered sync.Once
	for number := range 1 + random.IntN(4) {
		after := upTo(random, 35*time.Second)
		if chance(random, 20) {
			after = time.Until(claims.Expiry) - upTo(random, time.Second)
		}
		callRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(number)))
		copies.Go(func() {
			time.Sleep(after)
			query := chance(callRandom, 30)
			outcome, ok := c.sendCopy(name, token, callRandom, query)
			if !ok || query {
				return
			}
			answered.Do(func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.first.count(outcome)
			})
		})
	}
	copies.Wait()
	time.Sleep(upTo(random, 12*time.Minute))
	last, ok := c.sendCopy(name, token, random, true)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last.count(last)
}

// sendCopy sends one reservation or outcome query to a random host, and returns false
// if that host crashed meanwhile. Some callers disconnect early, which cancels the
// context.
func (c *cluster) sendCopy(name, token string, random *rand.Rand, query bool) (ebonyworks.Outcome, bool) {
	entryNode := c.node(random.IntN(len(c.nodes)))
	sources := &randSources{copy: rand.New(rand.NewPCG(random.Uint64(), 1)), run: rand.New(rand.NewPCG(random.Uint64(), 2))}
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), randKey{}, sources))
	defer cancel()
	if c.faults.messages && chance(random, 20) {
		defer time.AfterFunc(upTo(random, time.Second), cancel).Stop()
	}
	request := ebonyworks.Reservation{
		Request: ebonyworks.RequestID(fmt.Sprintf("%s/%d", name, random.Uint32())), Ticket: token, Route: "reserve", Customer: "house",
		Key: name + ":body", Deadline: time.Now().Add(50*time.Millisecond + upTo(random, 10*time.Second)),
	}
	if chance(random, 10) {
		request.Key = name + ":other body"
	}
	if entryNode.isDead() {
		return ebonyworks.Outcome{}, false
	}
	entryNode.waitWhilePaused()
	var outcome ebonyworks.Outcome
	if query {
		outcome = entryNode.runner.Outcome(ctx, token)
	} else {
		outcome = entryNode.runner.Reserve(ctx, request)
	}
	entryNode.waitWhilePaused()
	if entryNode.isDead() {
		return ebonyworks.Outcome{}, false
	}
	if !query && outcome.Kind == ebonyworks.OutcomeRan && outcome.Result[0].Value != request.Key {
		c.fail("%s has the outcome of another body", name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported[name] = append(c.reported[name], outcome)
	return outcome, true
}
