package reservation_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/reservation"
)

// scenario stubs the dependencies of a runner with the fixed behavior of one test case.
type scenario struct {
	*node
	results                                             []ebonyworks.AttemptResult
	otherShard, noBudget, admissionRefuses, quarantined bool
	acquireTime, deadline                               time.Duration
	sent                                                []ebonyworks.SubReservation
	servers                                             []ebonyworks.ServerID
}

type scenarioBackend struct {
	ebonyworks.Backend
	*scenario
}

func (s scenarioBackend) Reserve(_ context.Context, _ *ebonyworks.Service, server ebonyworks.Server, sent ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	s.sent = append(s.sent, sent)
	s.servers = append(s.servers, server.ID)
	time.Sleep(time.Millisecond)
	reply := ebonyworks.SubReservationReply{Result: s.results[len(s.sent)-1], Request: sent.Request, Shard: sent.Shard}
	if s.otherShard {
		reply.Shard = "old"
	}
	return reply
}

func (s *scenario) AllowRetry(ebonyworks.ServiceID) bool { return !s.noBudget }

func (s *scenario) Acquire(context.Context, *ebonyworks.Service, ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	time.Sleep(s.acquireTime)
	return s.node, true
}

func (s *scenario) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	if s.admissionRefuses {
		return nil, &ebonyworks.Refusal{RetryAfter: time.Second}
	}
	return s.node, nil
}

func (s *scenario) Check(ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	if s.quarantined {
		return ebonyworks.VerdictQuarantined, &ebonyworks.Refusal{RetryAfter: time.Second}
	}
	return ebonyworks.VerdictSafe, nil
}

func withRandomSources() context.Context {
	random := rand.New(rand.NewPCG(1, 1))
	return context.WithValue(context.Background(), randKey{}, &randSources{copy: random, run: rand.New(rand.NewPCG(2, 2))})
}

// Guards against outcomes that claim more than the results of the attempts prove, and
// against a second attempt after one that may have run the reservation.
func TestOutcomes(t *testing.T) {
	results := func(r ...ebonyworks.AttemptResult) []ebonyworks.AttemptResult { return r }
	const ran, notRun, unknown = ebonyworks.OutcomeRan, ebonyworks.OutcomeNotRun, ebonyworks.OutcomeUnknown
	cases := []struct {
		name     string
		scenario scenario
		route    ebonyworks.RouteID
		kind     ebonyworks.OutcomeKind
		code     ebonyworks.OutcomeCode
		sends    int
	}{
		{"served", scenario{results: results(ebonyworks.AttemptServed)}, "reserve", ran, ebonyworks.CodeDone, 1},
		{"shed, then served", scenario{results: results(ebonyworks.AttemptShed, ebonyworks.AttemptServed)}, "reserve", ran, ebonyworks.CodeDone, 2},
		{"refused by all", scenario{results: results(ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable, ebonyworks.AttemptShed)}, "reserve", notRun, ebonyworks.CodeRefused, 3},
		{"no retry budget", scenario{results: results(ebonyworks.AttemptShed), noBudget: true}, "reserve", notRun, ebonyworks.CodeRefused, 1},
		{"malformed", scenario{results: results(ebonyworks.AttemptRejected)}, "reserve", notRun, ebonyworks.CodeRefused, 1},
		{"expired at the server", scenario{results: results(ebonyworks.AttemptExpired)}, "reserve", notRun, ebonyworks.CodeDeadline, 1},
		{"lost", scenario{results: results(ebonyworks.AttemptLost)}, "reserve", unknown, ebonyworks.CodeLost, 1},
		{"shed, then lost", scenario{results: results(ebonyworks.AttemptShed, ebonyworks.AttemptLost)}, "reserve", unknown, ebonyworks.CodeLost, 2},
		{"timeout", scenario{results: results(ebonyworks.AttemptTimeout)}, "reserve", unknown, ebonyworks.CodeTimeout, 1},
		{"ended by the host", scenario{results: results(ebonyworks.AttemptCanceled)}, "reserve", unknown, ebonyworks.CodeTimeout, 1},
		{"invalid reply", scenario{results: results(ebonyworks.AttemptInvalid)}, "reserve", unknown, ebonyworks.CodeInvalidReply, 1},
		{"reply for another shard", scenario{results: results(ebonyworks.AttemptServed), otherShard: true}, "reserve", unknown, ebonyworks.CodeInvalidReply, 1},
		{"unknown route", scenario{}, "other", notRun, ebonyworks.CodeUnknownRoute, 0},
		{"refused by admission", scenario{admissionRefuses: true}, "reserve", notRun, ebonyworks.CodeOverloaded, 0},
		{"suspected", scenario{quarantined: true}, "reserve", notRun, ebonyworks.CodeCrashSuspect, 0},
		{"paused past the deadline", scenario{acquireTime: 17 * time.Second, deadline: 3 * time.Second}, "reserve", notRun, ebonyworks.CodeDeadline, 0},
		{"paused past the expiry", scenario{acquireTime: 19 * time.Second}, "reserve", notRun, ebonyworks.CodeTicketExpired, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.scenario.node = newCluster(1, faults{}).nodes[0]
				settings := test.scenario.settings()
				settings.Backend = scenarioBackend{scenario: &test.scenario}
				settings.Quota, settings.Admission, settings.Quarantine, settings.Hedging = &test.scenario, &test.scenario, &test.scenario, &test.scenario
				runner := reservation.New(settings)
				token, _, _ := runner.IssueTicket(context.Background())
				time.Sleep(12 * time.Second)
				request := ebonyworks.Reservation{Request: "r", Ticket: token, Route: test.route, Key: "k", Deadline: time.Now().Add(cmp.Or(test.scenario.deadline, 20*time.Second))}
				first := runner.Reserve(withRandomSources(), request)
				if first.Code == ebonyworks.CodeRunning {
					time.Sleep(time.Minute)
					first = runner.Outcome(withRandomSources(), token)
				}
				assert.Equal(t, test.kind, first.Kind)
				assert.Equal(t, test.code, first.Code)
				assert.Len(t, test.scenario.sent, test.sends)
				for i, sent := range test.scenario.sent {
					assert.Equal(t, ebonyworks.ShardID("new"), sent.Shard, "the newest partition decides")
					assert.NotContains(t, test.scenario.servers[:i], test.scenario.servers[i])
				}
				assert.Equal(t, first, runner.Reserve(withRandomSources(), request), "a second copy gets the same outcome")
				assert.Equal(t, first, runner.Outcome(withRandomSources(), token))
				assert.Len(t, test.scenario.sent, test.sends)
				request.Key = "another"
				other := runner.Reserve(withRandomSources(), request)
				require.NotNil(t, other.Refusal)
				assert.Equal(t, ebonyworks.RefusedConflict, other.Refusal.Code)
			})
		})
	}
}

// Guards against runs that are canceled when the caller disconnects.
func TestDisconnectedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stubs := &scenario{node: newCluster(1, faults{}).nodes[0], results: []ebonyworks.AttemptResult{ebonyworks.AttemptServed}, acquireTime: 500 * time.Millisecond}
		settings := stubs.settings()
		settings.Backend, settings.Quota = scenarioBackend{scenario: stubs}, stubs
		runner := reservation.New(settings)
		token, _, _ := runner.IssueTicket(context.Background())
		ctx, cancel := context.WithCancel(withRandomSources())
		cancel()
		outcome := runner.Reserve(ctx, ebonyworks.Reservation{Ticket: token, Route: "reserve", Key: "k"})
		assert.Equal(t, ebonyworks.CodeRunning, outcome.Code)
		time.Sleep(2 * time.Second)
		assert.Equal(t, ebonyworks.OutcomeRan, runner.Outcome(withRandomSources(), token).Kind)
	})
}

// Guards against wrong outcomes when the host that issued the ticket has stopped,
// restarted or crashed.
func TestUnavailableOwner(t *testing.T) {
	cases := []struct {
		name         string
		stop, crash  bool
		used, unused ebonyworks.OutcomeCode
	}{
		{"alive", false, false, ebonyworks.CodeDone, ebonyworks.CodeRevokedByQuery},
		{"planned stop", true, true, ebonyworks.CodeDone, ebonyworks.CodeHostClosed},
		{"crash", false, true, ebonyworks.CodeOwnerUnreachable, ebonyworks.CodeOwnerUnreachable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(2, faults{})
				owner, other := c.nodes[0], c.nodes[1]
				used, claims, _ := owner.runner.IssueTicket(context.Background())
				unused, _, _ := owner.runner.IssueTicket(context.Background())
				c.expiries["used"] = claims.Expiry
				request := ebonyworks.Reservation{Request: "r", Ticket: used, Route: "reserve", Key: "used:body", Deadline: time.Now().Add(time.Second)}
				assert.Equal(t, ebonyworks.CodeDone, other.runner.Reserve(withRandomSources(), request).Code)
				if test.stop {
					require.NoError(t, owner.runner.Close(withRandomSources()))
					_, _, refusal := owner.runner.IssueTicket(context.Background())
					assert.NotNil(t, refusal)
				}
				if test.crash {
					owner.set(true, 0)
					c.replace(0)
				}
				assert.Equal(t, test.used, other.runner.Outcome(withRandomSources(), used).Code)
				assert.Equal(t, test.used, other.runner.Reserve(withRandomSources(), request).Code)
				assert.Equal(t, test.unused, c.nodes[2].runner.Outcome(withRandomSources(), unused).Code)
				request.Key = "used:other body"
				for _, node := range c.nodes {
					other := node.runner.Reserve(withRandomSources(), request)
					assert.Equal(t, test.stop || !test.crash, other.Refusal != nil && other.Refusal.Code == ebonyworks.RefusedConflict)
				}
				assert.Equal(t, 1, c.executions["used"])
				assert.Empty(t, c.failures)
			})
		})
	}
}

// Guards against a planned stop without a retry of the transfer to a peer that fails
// for a moment, as on a busy machine: with three hosts, both others have to hold the
// ledger.
func TestTransferLedgerToFailingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, faults{})
		c.partitioned, c.healed = 1, time.Now().Add(500*time.Millisecond)
		begin := time.Now()
		require.NoError(t, c.nodes[0].runner.Close(withRandomSources()))
		assert.Less(t, time.Since(begin), time.Second)
		assert.Empty(t, c.failures)
	})
}
