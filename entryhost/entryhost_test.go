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

// run calls the test with a ready site on the paused clock.
func run(t *testing.T, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, fleetSize)
		s.awaitReady()
		test(t, s)
		// Probes of slow servers end with the deadline of their search.
		time.Sleep(time.Second)
		s.close()
	})
}

// search sends a search to a host and checks the answer against the contents.
func (s *site) search(host int, filters ...ebonyworks.Field) ebonyworks.SearchOutcome {
	return s.searchKeys(host, ebonyworks.KeyRange{}, filters...)
}

func (s *site) searchKeys(host int, keys ebonyworks.KeyRange, filters ...ebonyworks.Field) ebonyworks.SearchOutcome {
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

func (s *site) check(request ebonyworks.RequestID, answer ebonyworks.Answer) {
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

// reserve takes a ticket at one host and uses it at others.
func (s *site) reserve(key string, issuer int, users ...int) []ebonyworks.Outcome {
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

// Guards against incomplete answers while each shard has one working replica.
func TestCompleteUnderSingleFaults(t *testing.T) {
	faults := map[string]func(s *site){
		"none": func(*site) {},
		"one replica of each service lost": func(s *site) {
			s.each(kitakaze.StockFinder, func(index int, server *backend) {
				if index == 0 {
					server.downUntil = time.Now().Add(time.Hour)
				}
			})
		},
		"one straggler in each service": func(s *site) {
			s.each(kitakaze.StockFinder, func(index int, server *backend) { server.slow = index == 1 })
		},
		"one replica of each service leaving": func(s *site) {
			s.each(kitakaze.StockFinder, func(index int, server *backend) {
				server.leaving = index == 0
				server.drained = time.Now()
			})
		},
		"platform down": func(s *site) { s.values.SetOutage(true) },
		"host cut off":  func(s *site) { s.network.Cut(address(1), true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, s *site) {
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

// Guards against new work for a leaving server past the bound of 3 s, on hosts
// that talked to it and on hosts that did not.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		s.each(kitakaze.StockFinder, func(index int, server *backend) {
			server.leaving = index == 0
			server.drained = time.Now()
		})
		for i := range 500 {
			time.Sleep(20 * time.Millisecond)
			s.search(i % fleetSize)
		}
		assert.Empty(t, s.lateWork)
	})
}

// Guards against a crash-causing request that is sent again to every host.
func TestCrashingRequestFellsTwoServers(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		for i := range 30 {
			outcome := s.search(i%fleetSize, ebonyworks.Field{Name: "Shade", Value: poison})
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

// Guards against a straggler that goes on getting its share of the searches, and
// against one that gets none after it has recovered.
func TestStragglersAreAvoidedUntilTheyRecover(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		// slowShare searches for a while and returns the share of the first
		// replicas in the requests that servers ran.
		slowShare := func(searches int) float64 {
			var first, all int
			s.each(kitakaze.StockFinder, func(_ int, server *backend) { server.started = 0 })
			for i := range searches {
				time.Sleep(20 * time.Millisecond)
				s.search(i % fleetSize)
			}
			s.each(kitakaze.StockFinder, func(index int, server *backend) {
				all += server.started
				if index == 0 {
					first += server.started
				}
			})
			return float64(first) / float64(all)
		}
		slowShare(100)
		s.each(kitakaze.StockFinder, func(index int, server *backend) { server.slow = index == 0 })
		slowShare(250)
		assert.Less(t, slowShare(250), 0.1)
		s.each(kitakaze.StockFinder, func(_ int, server *backend) { server.slow = false })
		slowShare(1500)
		assert.Greater(t, slowShare(250), 0.25)
	})
}

// Guards against refusing searches that completed before, and against missed
// shards, when servers go away for other reasons while they run them.
func TestCrashesForOtherReasonsRefuseNothing(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		ask := func(i int) ebonyworks.SearchOutcome {
			if i%2 == 0 {
				return s.search(i%fleetSize, ebonyworks.Field{Name: "Shade", Value: "7N"})
			}
			// The key is in a shard of the same domain for every host.
			return s.searchKeys(i%fleetSize, ebonyworks.KeyRange{From: "", To: "0"}, ebonyworks.Field{Name: "Shade", Value: "7N"})
		}
		// Useful requests earn the retries that the fault will need.
		for i := range 100 * fleetSize {
			require.Nil(t, ask(i).Refusal)
		}
		s.each(kitakaze.StockFinder, func(index int, server *backend) { server.loses = index == 0 })
		time.AfterFunc(200*time.Millisecond, func() {
			s.each(kitakaze.StockFinder, func(_ int, server *backend) {
				if server.loses {
					server.loses = false
					server.incarnation++
				}
			})
		})
		for i := range 500 {
			time.Sleep(10 * time.Millisecond)
			outcome := ask(i)
			require.Nil(t, outcome.Refusal, "search %d: %v", i, outcome.Refusal)
			assert.Empty(t, outcome.Answer.Coverage.Missed, "search %d", i)
		}
	})
}

// Guards against reservations that run twice, and against outcomes that differ
// between copies or from what servers did.
func TestReservationsRunAtMostOnce(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		for i, outcome := range s.reserve("plain", 0, 0, 1, 2) {
			assert.Equal(t, ebonyworks.OutcomeRan, outcome.Kind, "copy %d: %v", i, outcome)
		}
		assert.Equal(t, 1, s.executions["plain"])

		s.each(kitakaze.FittingDesk, func(_ int, server *backend) { server.loses = true })
		for i, outcome := range s.reserve("lost", 0, 0, 1, 2) {
			assert.Equal(t, ebonyworks.OutcomeUnknown, outcome.Kind, "copy %d: %v", i, outcome)
		}
		assert.Equal(t, 1, s.executions["lost"])

		s.each(kitakaze.FittingDesk, func(_ int, server *backend) {
			server.loses = false
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

// Guards against a planned stop that leaves callers with unknown outcomes.
func TestPlannedStopHandsOverTheLedger(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
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

// Guards against hosts that stay on an older configuration for longer than 5 s
// or go back to one, with the platform up, down for all hosts but one, and
// with a host that is cut off and comes back.
func TestConfigurationInForceEverywhere(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		base := s.hosts[0].host.Status().Version
		s.network.Cut(address(2), true)
		for revision := ebonyworks.Revision(2); revision < 6; revision++ {
			base = s.publish(revision, base)
			time.Sleep(5 * time.Second)
			assert.Equal(t, base, s.hosts[0].host.Status().Version)
			assert.Equal(t, base, s.hosts[1].host.Status().Version)
			// From revision 5 on only host 1 can read the platform.
			s.hosts[0].blind.Store(revision >= 4)
			s.hosts[2].blind.Store(revision >= 4)
			s.network.Cut(address(2), revision < 4)
		}
		assert.Equal(t, base, s.hosts[2].host.Status().Version)
	})
}

// Guards against reservations that go by a partition that is published but not
// yet taken up by the servers.
func TestReservationsFollowTheServersPartition(t *testing.T) {
	run(t, func(t *testing.T, s *site) {
		catalogue, _ := s.configuration.Catalogue(kitakaze.FittingDesk)
		before := catalogue.Partitions[0].Shards[0].ID
		s.plan.Repartition(kitakaze.FittingDesk, configplan.NextPartition(catalogue.Partitions[0]).
			Split(before, "a", "fitting-desk-shard-upper", catalogue.Services[0].ID))
		s.publish(2, s.hosts[0].host.Status().Version)
		time.Sleep(5 * time.Second)
		s.reserve("bundle-1", 0, 0)
		s.change(func() {
			s.epoch = 2
			s.newest += retained
		})
		time.Sleep(5 * time.Second)
		s.reserve("bundle-2", 0, 0)
		assert.Equal(t, []ebonyworks.ShardID{before, "fitting-desk-shard-upper"}, s.shards)
	})
}
