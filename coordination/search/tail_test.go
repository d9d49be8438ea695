//go:build unix

package search_test

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/fixed"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/never"
)

// tailVariable is the environment variable with the number of searches for the table
// of docs/CAPACITY.md.
const tailVariable = "EBONYWORKS_TAIL"

// tailLimit is the time within which 99 in 100 queries must complete.
const tailLimit = 56 * time.Millisecond

// lateDelay is above the 99.9th percentile of the normal service time, so that almost
// only slow replies are hedged after it.
const lateDelay = 20 * time.Millisecond

// tailCase is a distribution of service times: log-normal like that of the stand-in
// (mean 4 ms, sigma 0.5), with a share of slow replies.
type tailCase struct {
	name  string
	share float64
	slow  time.Duration
}

var tailCases = []tailCase{
	{name: "log-normal, mean 4 ms, sigma 0.5"},
	{name: "and 1 in 10,000 takes 80 ms longer", share: 0.0001, slow: 80 * time.Millisecond},
	{name: "and 1 in 1,000 takes 80 ms longer", share: 0.001, slow: 80 * time.Millisecond},
	{name: "and 1 in 100 takes 80 ms longer", share: 0.01, slow: 80 * time.Millisecond},
	{name: "and 6 in 100 take 80 ms longer", share: 0.06, slow: 80 * time.Millisecond},
}

// latencies returns a generator of service times that is safe for concurrent use.
func (c tailCase) latencies(seed uint64) func() time.Duration {
	const mean, sigma = float64(4 * time.Millisecond), 0.5
	random := rand.New(rand.NewPCG(seed, 9))
	var mutex sync.Mutex
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		drawn := time.Duration(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
		if random.Float64() < c.share {
			drawn += c.slow
		}
		return drawn
	}
}

// measureTail runs searches one after another on the fake clock of synctest. It returns
// their latencies in increasing order and the ratio of extra attempts to needed ones.
func measureTail(t *testing.T, c tailCase, shards, searches int, budget ebonyworks.Hedging) ([]time.Duration, float64) {
	var elapsed []time.Duration
	attempts := 0
	synctest.Test(t, func(t *testing.T) {
		f := newLargeCluster(shards)
		draw := c.latencies(1)
		var mutex sync.Mutex
		f.latency = func() time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			attempts++
			return draw()
		}
		coordinator := f.coordinator(budget)
		// The first searches warm up the hedging delay and aren't counted.
		warmup := 50
		for i := range warmup + searches {
			if i == warmup {
				attempts = 0
			}
			start := time.Now()
			request := ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h", Deadline: start.Add(time.Second)}
			outcome := coordinator.Search(t.Context(), request)
			require.Nil(t, outcome.Refusal)
			require.True(t, outcome.Answer.Coverage.Complete())
			if i >= warmup {
				elapsed = append(elapsed, time.Since(start))
			}
			synctest.Wait()
		}
	})
	slices.Sort(elapsed)
	return elapsed, float64(attempts)/float64(shards*searches) - 1
}

// Guards against hedging that exceeds its budget, or with which the slowest of many
// shards still decides the latency of most searches. With EBONYWORKS_TAIL=searches it
// prints the table of docs/CAPACITY.md.
func TestTailOfFanOut(t *testing.T) {
	searches := 100
	sizes := []int{100}
	cases := tailCases[3:4]
	if text, found := os.LookupEnv(tailVariable); found {
		number, err := strconv.Atoi(text)
		require.NoError(t, err)
		searches, sizes, cases = number, []int{20, 100, 350}, tailCases
	}
	for _, c := range cases {
		for _, shards := range sizes {
			alone, _ := measureTail(t, c, shards, searches, never.Hedging{})
			hedged, extra := measureTail(t, c, shards, searches, &hedging.Budget{})
			late, extraLate := measureTail(t, c, shards, searches, fixed.Delay(lateDelay))
			within := func(times []time.Duration) float64 {
				index, _ := slices.BinarySearch(times, tailLimit+1)
				return 100 * float64(index) / float64(len(times))
			}
			at := func(times []time.Duration, share float64) time.Duration {
				return times[int(share*float64(len(times)))].Round(100 * time.Microsecond)
			}
			t.Logf("| %s | %d | %s | %s | %.1f%% | %s | %s | %.1f%% | %.1f%% | %s | %.1f%% | %.1f%% |", c.name, shards,
				at(alone, 0.5), at(alone, 0.99), within(alone), at(hedged, 0.5), at(hedged, 0.99), within(hedged), 100*extra,
				at(late, 0.99), within(late), 100*extraLate)
			// The budget is 5% and the balance at the start, at most 50.
			assert.LessOrEqual(t, extra, 0.05+50/float64(shards*searches), "extra attempts")
			// Where most searches have no slow shard, the median isn't the tail.
			if c.share >= 0.01 && c.share < 0.05 && shards >= 100 {
				assert.Less(t, at(hedged, 0.5), at(alone, 0.5))
			}
		}
	}
}
