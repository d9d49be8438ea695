package entryhost_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
)

const fleetSize = 3

// run calls the test with a ready deployment, on the fake clock of synctest.
func run(t *testing.T, test func(t *testing.T, s *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(t, 1, fleetSize)
		s.awaitReady()
		test(t, s)
		// Probes of slow servers end with the deadline of their search.
		time.Sleep(time.Second)
		s.close()
	})
}

// search sends a search to a host and checks that the answer has the expected rows.
func (s *deployment) search(host int, filters ...ebonyworks.Field) ebonyworks.SearchOutcome {
	return s.searchKeys(host, ebonyworks.KeyRange{}, filters...)
}

func (s *deployment) searchKeys(host int, keys ebonyworks.KeyRange, filters ...ebonyworks.Field) ebonyworks.SearchOutcome {
	request := ebonyworks.RequestID(fmt.Sprint("r", time.Now().UnixNano()))
	search := ebonyworks.Search{
		Request:  request,
		Route:    kitakaze.SearchHair,
		Customer: "fitting-room-1",
		Filters:  filters,
		Keys:     keys,
		Deadline: time.Now().Add(250 * time.Millisecond),
	}
	outcome := s.hosts[host].host.Search(context.Background(), search)
	if outcome.Refusal == nil && keys == (ebonyworks.KeyRange{}) {
		s.check(request, outcome.Answer)
	}
	return outcome
}

func (s *deployment) check(request ebonyworks.RequestID, answer ebonyworks.Answer) {
	require.Equal(s.t, request, answer.Request)
	catalogue, _ := s.configuration.Catalogue(kitakaze.StockFinder)
	partition, ok := catalogue.Partition(answer.Snapshot.Epoch)
	require.True(s.t, ok)
	var want []ebonyworks.Row
	for _, id := range answer.Coverage.Covered {
		want = append(want, rows(answer.Snapshot, findShard(s.configuration, kitakaze.StockFinder, answer.Snapshot.Epoch, id))...)
	}
	require.ElementsMatch(s.t, want, answer.Rows)
	require.Len(s.t, partition.Shards, len(answer.Coverage.Covered)+len(answer.Coverage.Missed))
}

// reserve gets a ticket from one host and uses it at other hosts.
func (s *deployment) reserve(key string, issuer int, users ...int) []ebonyworks.Outcome {
	token, _, refusal := s.hosts[issuer].host.IssueTicket(context.Background())
	require.Nil(s.t, refusal)
	var outcomes []ebonyworks.Outcome
	for _, user := range users {
		outcomes = append(outcomes, s.hosts[user].host.Reserve(context.Background(), ebonyworks.Reservation{
			Request:  "r",
			Ticket:   token,
			Route:    kitakaze.ReserveBundle,
			Customer: "fitting-room-1",
			Key:      key,
			Deadline: time.Now().Add(2 * time.Second),
		}))
	}
	return outcomes
}

// Guards against incomplete answers while each shard still has a working replica.
func TestCompleteUnderSingleFaults(t *testing.T) {
	faults := map[string]func(s *deployment){
		"none": func(*deployment) {},
		"one replica of each service lost": func(s *deployment) {
			s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) {
				if index == 0 {
					server.downUntil = time.Now().Add(time.Hour)
				}
			})
		},
		"one slow replica of each service": func(s *deployment) {
			s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) { server.slow = index == 1 })
		},
		"one replica of each service draining": func(s *deployment) {
			s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) {
				server.draining = index == 0
				server.drainStart = time.Now()
			})
		},
		"platform down":    func(s *deployment) { s.platform.SetOutage(true) },
		"host partitioned": func(s *deployment) { s.network.Cut(address(1), true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, s *deployment) {
				for i := range 20 {
					require.Nil(t, s.search(i%fleetSize).Refusal)
				}
				inject(s)
				for i := range 100 {
					time.Sleep(20 * time.Millisecond)
					outcome := s.search(i % fleetSize)
					require.Nil(t, outcome.Refusal, "%v", outcome.Refusal)
					assert.Empty(t, outcome.Answer.Coverage.Missed, "search %d", i)
				}
			})
		})
	}
}

// Guards against requests to a draining server more than 3 s after its drain began, on
// hosts that sent it requests and on hosts that did not.
func TestDrainingServersGetNoNewRequests(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) {
			server.draining = index == 0
			server.drainStart = time.Now()
		})
		for i := range 500 {
			time.Sleep(20 * time.Millisecond)
			s.search(i % fleetSize)
		}
		assert.Empty(t, s.lateRequests)
	})
}

// Guards against a caller that resends a crash-causing request to every host and so
// crashes more than two servers.
func TestCrashingRequestCrashesTwoServers(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		for i := range 30 {
			outcome := s.search(i%fleetSize, ebonyworks.Field{Name: "Shade", Value: crashValue})
			require.NotNil(t, outcome.Refusal)
			assert.Equal(t, ebonyworks.RefusedCrashSuspect, outcome.Refusal.Code)
			assert.Positive(t, outcome.Refusal.RetryAfter)
			other := s.search((i+1)%fleetSize, ebonyworks.Field{Name: "Shade", Value: "7N"})
			require.Nil(t, other.Refusal, "an unrelated search is answered")
			time.Sleep(time.Second)
		}
		assert.Equal(t, 2, s.crashes)
	})
}

// Guards against a slow server that keeps getting its share of the searches, and
// against one that still gets none after it has recovered.
func TestStragglersAreAvoidedUntilTheyRecover(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		// slowShare runs searches and returns the fraction of the servers' requests
		// that the first replicas ran.
		slowShare := func(searches int) float64 {
			var first, all int
			s.forEachServer(kitakaze.StockFinder, func(_ int, server *fakeServer) { server.startedRequests = 0 })
			for i := range searches {
				time.Sleep(20 * time.Millisecond)
				s.search(i % fleetSize)
			}
			s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) {
				all += server.startedRequests
				if index == 0 {
					first += server.startedRequests
				}
			})
			return float64(first) / float64(all)
		}
		slowShare(100)
		s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) { server.slow = index == 0 })
		slowShare(250)
		assert.Less(t, slowShare(250), 0.1)
		s.forEachServer(kitakaze.StockFinder, func(_ int, server *fakeServer) { server.slow = false })
		slowShare(1500)
		assert.Greater(t, slowShare(250), 0.25)
	})
}

// Guards against refused searches and missed shards when servers crash for other
// reasons while they run searches that have completed before.
func TestCrashesForOtherReasonsRefuseNothing(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		search := func(i int) ebonyworks.SearchOutcome {
			if i%2 == 0 {
				return s.search(i%fleetSize, ebonyworks.Field{Name: "Shade", Value: "7N"})
			}
			// For every host, the key is in a shard of the same failure domain.
			return s.searchKeys(i%fleetSize, ebonyworks.KeyRange{From: "", To: "0"}, ebonyworks.Field{Name: "Shade", Value: "7N"})
		}
		// Successful requests fill the budget of the retries that the fault requires.
		for i := range 100 * fleetSize {
			require.Nil(t, search(i).Refusal)
		}
		s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) { server.dropsReplies = index == 0 })
		time.AfterFunc(200*time.Millisecond, func() {
			s.forEachServer(kitakaze.StockFinder, func(_ int, server *fakeServer) {
				if server.dropsReplies {
					server.dropsReplies = false
					server.incarnation++
				}
			})
		})
		for i := range 500 {
			time.Sleep(10 * time.Millisecond)
			outcome := search(i)
			require.Nil(t, outcome.Refusal, "search %d: %v", i, outcome.Refusal)
			assert.Empty(t, outcome.Answer.Coverage.Missed, "search %d", i)
		}
	})
}

// Guards against reservations that run twice, and against outcomes that differ between
// copies of a reservation or from what the servers did.
func TestReservationsRunAtMostOnce(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		for i, outcome := range s.reserve("plain", 0, 0, 1, 2) {
			assert.Equal(t, ebonyworks.OutcomeRan, outcome.Kind, "copy %d: %v", i, outcome)
		}
		assert.Equal(t, 1, s.executions["plain"])

		s.forEachServer(kitakaze.FittingDesk, func(_ int, server *fakeServer) { server.dropsReplies = true })
		for i, outcome := range s.reserve("lost", 0, 0, 1, 2) {
			assert.Equal(t, ebonyworks.OutcomeUnknown, outcome.Kind, "copy %d: %v", i, outcome)
		}
		assert.Equal(t, 1, s.executions["lost"])

		s.forEachServer(kitakaze.FittingDesk, func(_ int, server *fakeServer) {
			server.dropsReplies = false
			server.downUntil = time.Now().Add(time.Second)
		})
		for i, outcome := range s.reserve("refused", 0, 0, 1, 2) {
			assert.Equal(t, ebonyworks.OutcomeNotRun, outcome.Kind, "copy %d: %v", i, outcome)
		}
		time.Sleep(time.Minute)
		assert.Zero(t, s.executions["refused"], "not run is final")

		token, _, refusal := s.hosts[0].host.IssueTicket(context.Background())
		require.Nil(t, refusal)
		s.kill(0)
		outcome := s.hosts[1].host.Outcome(context.Background(), token)
		assert.Equal(t, ebonyworks.OutcomeUnknown, outcome.Kind, "a crashed host leaves no record: %v", outcome)
	})
}

// Guards against unknown outcomes after a planned stop.
func TestPlannedStopTransfersTheLedger(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		used, _, _ := s.hosts[0].host.IssueTicket(context.Background())
		unused, _, _ := s.hosts[0].host.IssueTicket(context.Background())
		reservation := ebonyworks.Reservation{Request: "r", Ticket: used, Route: kitakaze.ReserveBundle, Customer: "h", Key: "k", Deadline: time.Now().Add(time.Second)}
		require.Equal(t, ebonyworks.OutcomeRan, s.hosts[0].host.Reserve(context.Background(), reservation).Kind)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(t, s.hosts[0].host.Stop(ctx))
		s.kill(0)
		for _, host := range []int{1, 2} {
			assert.Equal(t, ebonyworks.OutcomeRan, s.hosts[host].host.Outcome(context.Background(), used).Kind)
			assert.Equal(t, ebonyworks.OutcomeNotRun, s.hosts[host].host.Outcome(context.Background(), unused).Kind)
		}
	})
}

// Guards against hosts that keep an older configuration for longer than 5 s or revert
// to one, while the platform is reachable, while only one host can reach it, and when
// a partitioned host comes back.
func TestConfigurationInForceEverywhere(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		base := s.hosts[0].host.Status().Version
		s.network.Cut(address(2), true)
		for revision := ebonyworks.Revision(2); revision < 6; revision++ {
			base = s.publish(revision, base)
			time.Sleep(5 * time.Second)
			assert.Equal(t, base, s.hosts[0].host.Status().Version)
			assert.Equal(t, base, s.hosts[1].host.Status().Version)
			// From revision 5 on, only host 1 can reach the platform.
			s.hosts[0].platformCut.Store(revision >= 4)
			s.hosts[2].platformCut.Store(revision >= 4)
			s.network.Cut(address(2), revision < 4)
		}
		assert.Equal(t, base, s.hosts[2].host.Status().Version)
	})
}

// Guards against reservations that are routed by a partition that is published but not
// yet adopted by the servers.
func TestReservationsFollowTheServersPartition(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		catalogue, _ := s.configuration.Catalogue(kitakaze.FittingDesk)
		before := catalogue.Partitions[0].Shards[0].ID
		s.plan.Repartition(kitakaze.FittingDesk, configplan.NextPartition(catalogue.Partitions[0]).
			Split(before, "a", "fitting-desk-shard-upper", catalogue.Services[0].ID))
		s.publish(2, s.hosts[0].host.Status().Version)
		time.Sleep(5 * time.Second)
		s.reserve("bundle-1", 0, 0)
		s.update(func() {
			s.epoch = 2
			s.newest += retainedSnapshots
		})
		time.Sleep(5 * time.Second)
		s.reserve("bundle-2", 0, 0)
		assert.Equal(t, []ebonyworks.ShardID{before, "fitting-desk-shard-upper"}, s.shards)
	})
}
