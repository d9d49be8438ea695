package search_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// defaultSchedules is the number of random fault schedules unless
	// EBONYWORKS_SCHEDULES sets another.
	defaultSchedules = 1000
	services         = 4
)

func snapshot(number ebonyworks.SnapshotNumber, epoch ebonyworks.PartitionEpoch) ebonyworks.Snapshot {
	return ebonyworks.Snapshot{Number: number, Epoch: epoch}
}

func runSearch(f *fakeCluster, route ebonyworks.RouteID, timeout time.Duration) ebonyworks.SearchOutcome {
	request := ebonyworks.Search{Request: "r1", Route: route, Customer: "h", Deadline: time.Now().Add(timeout)}
	return f.coordinator().Search(context.Background(), request)
}

// checkAnswer compares an answer with the expected rows of its snapshot.
func checkAnswer(t require.TestingT, f *fakeCluster, request ebonyworks.RequestID, answer ebonyworks.Answer) {
	require.Equal(t, request, answer.Request)
	partition, ok := f.configuration.Catalogues[0].Partition(answer.Snapshot.Epoch)
	require.True(t, ok)
	var listed []ebonyworks.ShardID
	listed = append(listed, answer.Coverage.Covered...)
	for _, miss := range answer.Coverage.Missed {
		listed = append(listed, miss.Shard)
		require.NotEmpty(t, miss.Reason)
	}
	var needed []ebonyworks.ShardID
	var rows []ebonyworks.Row
	for _, shard := range partition.Shards {
		needed = append(needed, shard.ID)
		if slices.Contains(answer.Coverage.Covered, shard.ID) {
			rows = append(rows, expectedRows(answer.Snapshot, shard.Keys)...)
		}
	}
	require.ElementsMatch(t, needed, listed, "each shard of the partition is listed once")
	require.Equal(t, rows, answer.Rows)
}

// Guards against each way in which a faulty reply could end up in an answer, cause a
// shard to be missed that a second replica could serve, or be left out of the coverage.
func TestSingleFaults(t *testing.T) {
	for planned := noFault; planned < faultCount; planned++ {
		for _, everywhere := range []bool{false, true} {
			t.Run(fmt.Sprintf("fault %d everywhere %v", planned, everywhere), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeCluster(1)
					f.reportAll(snapshot(3, 1))
					f.plan = func(server ebonyworks.ServerID, _ ebonyworks.SubSearch) fault {
						if server == "stock-finder-01a" || (everywhere && server == "stock-finder-01b") {
							return planned
						}
						return noFault
					}
					outcome := runSearch(f, routeID, 400*time.Millisecond)
					require.Nil(t, outcome.Refusal)
					checkAnswer(t, f, "r1", outcome.Answer)
					wantComplete := !everywhere || planned == noFault || planned == slow
					assert.Equal(t, wantComplete, outcome.Answer.Coverage.Complete())
				})
			})
		}
	}
}

// Guards against waiting for the deadline although no further reply is possible.
func TestAllServersLostDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(1)
		f.reportAll(snapshot(3, 1))
		f.plan = func(ebonyworks.ServerID, ebonyworks.SubSearch) fault { return lost }
		start := time.Now()
		outcome := runSearch(f, routeID, time.Minute)
		require.Nil(t, outcome.Refusal)
		assert.Len(t, outcome.Answer.Coverage.Missed, services)
		assert.Less(t, time.Since(start), time.Second)
		assert.Len(t, f.attempts, services, "a request is not retried without proof that it is safe")
	})
}

// Guards against fanning out a request that crashes servers before one server has
// completed it.
func TestUntestedRequestRunsOnOneServerFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(1)
		f.reportAll(snapshot(3, 1))
		f.verdict = ebonyworks.VerdictUntested
		f.plan = func(ebonyworks.ServerID, ebonyworks.SubSearch) fault { return lost }
		outcome := runSearch(f, routeID, time.Minute)
		require.NotNil(t, outcome.Refusal)
		assert.Equal(t, ebonyworks.RefusedCrashSuspect, outcome.Refusal.Code)
		assert.True(t, outcome.Refusal.Ran)
		assert.Len(t, f.attempts, 2)
		f.plan = func(ebonyworks.ServerID, ebonyworks.SubSearch) fault { return noFault }
		f.crashes = 0
		outcome = runSearch(f, routeID, time.Minute)
		require.Nil(t, outcome.Refusal)
		checkAnswer(t, f, "r1", outcome.Answer)
		assert.Len(t, f.attempts, 2+services, "the reply of the first server is used")
	})
}

// Guards against a wrong choice among snapshots that only some of the servers hold.
func TestSnapshotChoice(t *testing.T) {
	type holding struct {
		server    ebonyworks.ServerID
		snapshots []ebonyworks.Snapshot
	}
	cases := []struct {
		name    string
		route   ebonyworks.RouteID
		base    []ebonyworks.Snapshot
		changes []holding
		want    ebonyworks.Snapshot
		missed  int
	}{
		{name: "newest", route: routeID, base: []ebonyworks.Snapshot{snapshot(1, 1), snapshot(2, 1)}, want: snapshot(2, 1)},
		{name: "replica without the newest", route: routeID, base: []ebonyworks.Snapshot{snapshot(1, 1), snapshot(2, 1)},
			changes: []holding{{"stock-finder-00a", []ebonyworks.Snapshot{snapshot(1, 1), snapshot(3, 1)}}},
			want:    snapshot(1, 1)},
		{name: "unknown partition", route: routeID, base: []ebonyworks.Snapshot{snapshot(1, 1), snapshot(2, 9)}, want: snapshot(1, 1)},
		{name: "next partition", route: routeID, base: []ebonyworks.Snapshot{snapshot(1, 1), snapshot(2, 2)}, want: snapshot(2, 2)},
		{name: "coverage takes the older", route: routeID, base: []ebonyworks.Snapshot{snapshot(2, 1)},
			changes: []holding{
				{"stock-finder-00a", []ebonyworks.Snapshot{snapshot(3, 1)}},
				{"stock-finder-00b", []ebonyworks.Snapshot{snapshot(3, 1)}},
			}, want: snapshot(2, 1), missed: 1},
		{name: "latency takes the newest that most have", route: "search-fast", base: []ebonyworks.Snapshot{snapshot(2, 1), snapshot(3, 1)},
			changes: []holding{
				{"stock-finder-00a", []ebonyworks.Snapshot{snapshot(2, 1), snapshot(4, 1)}},
				{"stock-finder-00b", []ebonyworks.Snapshot{snapshot(4, 1)}},
				{"stock-finder-01a", []ebonyworks.Snapshot{snapshot(4, 1)}},
				{"stock-finder-01b", []ebonyworks.Snapshot{snapshot(4, 1)}},
				{"stock-finder-02a", []ebonyworks.Snapshot{snapshot(4, 1)}},
			}, want: snapshot(4, 1), missed: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster(1)
				f.reportAll(tc.base...)
				for _, change := range tc.changes {
					f.report(change.server, change.snapshots...)
				}
				outcome := runSearch(f, tc.route, time.Second)
				require.Nil(t, outcome.Refusal)
				checkAnswer(t, f, "r1", outcome.Answer)
				assert.Equal(t, tc.want, outcome.Answer.Snapshot)
				assert.Len(t, outcome.Answer.Coverage.Missed, tc.missed)
			})
		})
	}
}

// Guards against an answer that mixes snapshots when servers drop a snapshot during a
// search: the whole search has to start again on another snapshot.
func TestRestartsWhenSnapshotIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(1)
		f.reportAll(snapshot(2, 1), snapshot(3, 2))
		f.plan = func(server ebonyworks.ServerID, sub ebonyworks.SubSearch) fault {
			if sub.Snapshot.Number == 3 && (server == "stock-finder-02a" || server == "stock-finder-02b") {
				return snapshotGone
			}
			return noFault
		}
		outcome := runSearch(f, routeID, time.Second)
		require.Nil(t, outcome.Refusal)
		checkAnswer(t, f, "r1", outcome.Answer)
		assert.Equal(t, snapshot(2, 1), outcome.Answer.Snapshot)
		assert.True(t, outcome.Answer.Coverage.Complete())
	})
}

// Guards against waiting past the deadline when servers hang.
func TestAnswersAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(1)
		f.reportAll(snapshot(3, 1))
		f.plan = func(server ebonyworks.ServerID, _ ebonyworks.SubSearch) fault {
			if server[:15] == "stock-finder-01" {
				return hang
			}
			return noFault
		}
		start := time.Now()
		outcome := runSearch(f, routeID, 100*time.Millisecond)
		require.Nil(t, outcome.Refusal)
		checkAnswer(t, f, "r1", outcome.Answer)
		assert.LessOrEqual(t, time.Since(start), 100*time.Millisecond)
		assert.Equal(t, []ebonyworks.MissedShard{{Shard: "s01", Reason: ebonyworks.MissTimeout}}, outcome.Answer.Coverage.Missed)
	})
}

// Guards against answers with rows of several snapshots, wrong coverage and answers to
// the wrong caller under random combinations of faults and concurrent searches.
func TestRandomFaultSchedules(t *testing.T) {
	schedules := defaultSchedules
	if text := os.Getenv("EBONYWORKS_SCHEDULES"); text != "" {
		parsed, err := strconv.Atoi(text)
		require.NoError(t, err)
		schedules = parsed
	}
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("EBONYWORKS_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seed = parsed
	}
	t.Logf("EBONYWORKS_SEED=%d EBONYWORKS_SCHEDULES=%d", seed, schedules)
	for i := range schedules {
		synctest.Test(t, func(t *testing.T) { randomSchedule(t, seed+uint64(i)) })
	}
}

func randomSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	f := newFakeCluster(seed)
	f.reportAll(snapshot(1, 1))
	rate := random.IntN(100)
	if random.IntN(2) == 0 {
		f.verdict = ebonyworks.VerdictUntested
	}
	f.plan = func(ebonyworks.ServerID, ebonyworks.SubSearch) fault {
		if f.random.IntN(100) >= rate {
			return noFault
		}
		return fault(f.random.IntN(int(faultCount)))
	}
	for _, service := range f.configuration.Catalogues[0].Services {
		for _, server := range service.Servers {
			first := ebonyworks.SnapshotNumber(1 + random.IntN(3))
			held := []ebonyworks.Snapshot{snapshot(first, 1), snapshot(first+1, 1+ebonyworks.PartitionEpoch(random.IntN(2)))}
			f.report(server.ID, held...)
		}
	}
	coordinator := f.coordinator()
	type answered struct {
		request ebonyworks.RequestID
		outcome ebonyworks.SearchOutcome
	}
	const callers = 3
	answers := make(chan answered, callers)
	for caller := range callers {
		request := ebonyworks.Search{
			Request:  ebonyworks.RequestID(fmt.Sprintf("r%d", caller)),
			Route:    []ebonyworks.RouteID{routeID, "search-fast"}[random.IntN(2)],
			Deadline: time.Now().Add(time.Duration(5+random.IntN(200)) * time.Millisecond),
		}
		go func() { answers <- answered{request.Request, coordinator.Search(context.Background(), request)} }()
	}
	for range callers {
		answer := <-answers
		if answer.outcome.Refusal == nil {
			checkAnswer(t, f, answer.request, answer.outcome.Answer)
		}
	}
}

// busyServerStates reports servers without free permits until free is set.
type busyServerStates struct {
	fakeServerStates
	free atomic.Bool
}

func (s *busyServerStates) Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	candidates := s.fakeServerStates.Candidates(service, route)
	for i := range candidates {
		if !s.free.Load() {
			candidates[i].InFlight = candidates[i].Limit
		}
	}
	return candidates
}

// Guards against hedges that lengthen the queues of an overloaded service, and against
// a slow attempt that still gets no hedge after a permit becomes free.
func TestHedgesWaitForFreePermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(1)
		f.reportAll(snapshot(3, 1))
		f.plan = func(server ebonyworks.ServerID, _ ebonyworks.SubSearch) fault {
			if server == "stock-finder-01a" {
				return hang
			}
			return noFault
		}
		full := &busyServerStates{}
		coordinator := f.coordinator()
		coordinator.Servers = full
		answers := make(chan ebonyworks.SearchOutcome, 1)
		go func() {
			answers <- coordinator.Search(t.Context(), ebonyworks.Search{Request: "r1", Route: routeID, Deadline: time.Now().Add(time.Second)})
		}()
		time.Sleep(10 * hedgeDelay)
		f.mu.Lock()
		assert.Len(t, f.attempts, services, "no hedge while all permits are in use")
		f.mu.Unlock()
		full.free.Store(true)
		outcome := <-answers
		require.Nil(t, outcome.Refusal)
		assert.True(t, outcome.Answer.Coverage.Complete())
	})
}
