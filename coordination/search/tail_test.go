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

// tailVariable sets the number of searches for the table of docs/CAPACITY.md.
const tailVariable = "EBONYWORKS_TAIL"

// tailLimit is the time within which 99 in 100 queries must complete.
const tailLimit = 56 * time.Millisecond

// lateDelay is above the 99.9th percentile of the normal service time, so that
// hedges after it go to slow replies almost only.
const lateDelay = 20 * time.Millisecond

// tailCase is a distribution of the time that a server takes: log-normal as
// that of the stand-in (mean 4 ms, sigma 0.5), and a share of slow replies.
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

// latencies draws times, and is safe for concurrent use.
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

// tail runs searches one after the other on the paused clock and returns their
// ordered latencies and the extra attempts per useful one.
func tail(t *testing.T, c tailCase, shards, searches int, budget ebonyworks.Hedging) ([]time.Duration, float64) {
	var took []time.Duration
	attempts := 0
	synctest.Test(t, func(t *testing.T) {
		w := newWide(shards)
		draw := c.latencies(1)
		var mutex sync.Mutex
		w.latency = func() time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			attempts++
			return draw()
		}
		coordinator := w.coordinator(budget)
		// The first searches train the hedging delay and aren't counted.
		warm := 50
		for i := range warm + searches {
			if i == warm {
				attempts = 0
			}
			start := time.Now()
			request := ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h", Deadline: start.Add(time.Second)}
			outcome := coordinator.Search(t.Context(), request)
			require.Nil(t, outcome.Refusal)
			require.True(t, outcome.Answer.Coverage.Complete())
			if i >= warm {
				took = append(took, time.Since(start))
			}
			synctest.Wait()
		}
	})
	slices.Sort(took)
	return took, float64(attempts)/float64(shards*searches) - 1
}

// Guards the claim that hedging within the budget keeps the slowest of many
// shards out of the tail. With EBONYWORKS_TAIL=searches it prints the table of
// docs/CAPACITY.md.
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
			alone, _ := tail(t, c, shards, searches, never.Hedging{})
			hedged, extra := tail(t, c, shards, searches, &hedging.Budget{})
			late, extraLate := tail(t, c, shards, searches, fixed.Delay(lateDelay))
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
			// The budget is 5% and what its balance held at the start, at most 50.
			assert.LessOrEqual(t, extra, 0.05+50/float64(shards*searches), "extra attempts")
			// Where most searches have no slow shard, the median isn't the tail.
			if c.share >= 0.01 && c.share < 0.05 && shards >= 100 {
				assert.Less(t, at(hedged, 0.5), at(alone, 0.5))
			}
		}
	}
}
