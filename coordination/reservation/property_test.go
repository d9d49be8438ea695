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
	// defaultSchedules is what a normal run checks for all faults together.
	defaultSchedules = 3000
	// batchSchedules share one bubble of fake time.
	batchSchedules = 250
)

// Guards the promises to callers: at most one execution per ticket, NotRun
// means none for ever, Ran means exactly one, and no two final outcomes. Set
// SCHEDULES for a longer run, and SEED with SCHEDULES=1 to repeat one.
func TestAtMostOnce(t *testing.T) {
	all := faults{name: "all", refusals: true, losses: true, slow: true, invalid: true, crashes: true, pauses: true, splits: true, stops: true, net: true}
	single := []faults{
		{name: "none"}, {name: "refusals", refusals: true}, {name: "server losses", losses: true},
		{name: "slow servers", slow: true}, {name: "invalid replies", invalid: true}, {name: "host crashes", crashes: true},
		{name: "pauses", pauses: true}, {name: "partitions", splits: true}, {name: "planned stops", stops: true},
		{name: "lost and repeated messages", net: true},
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

// runBatches also reports the shares of callers whose first answer to a
// reservation and whose last answer to a query was Unknown.
func runBatches(t *testing.T, injected faults, seed uint64, count int) {
	var mu sync.Mutex
	var first, last tally
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

func runSchedules(t *testing.T, injected faults, start uint64, count int) (first, last tally) {
	for seed := start; seed < start+uint64(count); seed++ {
		w := newWorld(seed, injected)
		w.run()
		w.check()
		require.Empty(t, w.failures, "repeat with SEED=%d SCHEDULES=1 and -run %s", seed, strings.SplitN(t.Name(), "/batch", 2)[0])
		first.add(w.first)
		last.add(w.last)
	}
	return first, last
}

// run plays one schedule: faults on hosts, and callers that lose answers,
// resend to any host and ask for outcomes.
func (w *world) run() {
	for slot := range w.nodes {
		random := rand.New(rand.NewPCG(w.seed, uint64(100+slot)))
		w.work.Go(func() { w.disturb(slot, random) })
	}
	for number := range 4 {
		random := rand.New(rand.NewPCG(w.seed, uint64(200+number)))
		w.work.Go(func() { w.caller(fmt.Sprintf("ticket-%d", number), random) })
	}
	w.work.Wait()
	// Runs that outlived their callers end by their deadlines.
	time.Sleep(time.Hour)
	synctest.Wait()
}

// disturb crashes, pauses, cuts off and stops one host, most often while
// reservations run.
func (w *world) disturb(slot int, random *rand.Rand) {
	for range 3 {
		time.Sleep(upTo(random, 40*time.Second))
		if chance(random, 10) {
			time.Sleep(upTo(random, 15*time.Minute))
		}
		target := w.node(slot)
		switch kind := random.IntN(4); {
		case kind == 0 && w.faults.crashes:
			target.set(true, 0)
			time.Sleep(upTo(random, 10*time.Second))
			w.replace(slot)
		case kind == 1 && w.faults.pauses:
			target.set(false, upTo(random, 20*time.Minute))
		case kind == 2 && w.faults.splits:
			w.mu.Lock()
			w.partitioned, w.healed = slot, time.Now().Add(upTo(random, time.Minute))
			w.mu.Unlock()
		case kind == 3 && w.faults.stops:
			apart := &dice{copy: rand.New(rand.NewPCG(random.Uint64(), 0)), run: rand.New(rand.NewPCG(random.Uint64(), 0))}
			ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), diceKey{}, apart), 20*time.Second)
			_ = target.runner.Close(ctx)
			cancel()
			target.set(true, 0)
			w.replace(slot)
		}
	}
}

// caller takes one ticket and sends copies and queries until the last one
// ends the story.
func (w *world) caller(name string, random *rand.Rand) {
	time.Sleep(upTo(random, 30*time.Second))
	issuer := w.node(random.IntN(len(w.nodes)))
	token, claims, refusal := issuer.runner.IssueTicket(context.Background())
	if refusal != nil || issuer.gone() {
		return
	}
	w.mu.Lock()
	w.expiries[name] = claims.Expiry
	w.mu.Unlock()
	var copies sync.WaitGroup
	var answered sync.Once
	for number := range 1 + random.IntN(4) {
		after := upTo(random, 35*time.Second)
		if chance(random, 20) {
			after = time.Until(claims.Expiry) - upTo(random, time.Second)
		}
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(number)))
		copies.Go(func() {
			time.Sleep(after)
			query := chance(own, 30)
			outcome, ok := w.copy(name, token, own, query)
			if !ok || query {
				return
			}
			answered.Do(func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.first.count(outcome)
			})
		})
	}
	copies.Wait()
	time.Sleep(upTo(random, 12*time.Minute))
	last, ok := w.copy(name, token, random, true)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.count(last)
}

// copy sends one reservation or query to any host. A caller that gives up
// early ends the context.
func (w *world) copy(name, token string, random *rand.Rand, query bool) (ebonyworks.Outcome, bool) {
	entry := w.node(random.IntN(len(w.nodes)))
	apart := &dice{copy: rand.New(rand.NewPCG(random.Uint64(), 1)), run: rand.New(rand.NewPCG(random.Uint64(), 2))}
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), diceKey{}, apart))
	defer cancel()
	if w.faults.net && chance(random, 20) {
		defer time.AfterFunc(upTo(random, time.Second), cancel).Stop()
	}
	asked := ebonyworks.Reservation{
		Request: ebonyworks.RequestID(fmt.Sprintf("%s/%d", name, random.Uint32())), Ticket: token, Route: "reserve", Customer: "house",
		Key: name + ":body", Deadline: time.Now().Add(50*time.Millisecond + upTo(random, 10*time.Second)),
	}
	if chance(random, 10) {
		asked.Key = name + ":other body"
	}
	if entry.gone() {
		return ebonyworks.Outcome{}, false
	}
	entry.gate()
	var outcome ebonyworks.Outcome
	if query {
		outcome = entry.runner.Outcome(ctx, token)
	} else {
		outcome = entry.runner.Reserve(ctx, asked)
	}
	entry.gate()
	if entry.gone() {
		return ebonyworks.Outcome{}, false
	}
	if !query && outcome.Kind == ebonyworks.OutcomeRan && outcome.Result[0].Value != asked.Key {
		w.fail("%s was told that another body ran", name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told[name] = append(w.told[name], outcome)
	return outcome, true
}
