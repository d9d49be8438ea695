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

// script makes the policies and servers around a runner answer as a case
// says.
type script struct {
	*node
	results                                 []ebonyworks.AttemptResult
	otherShard, noBudget, refuses, suspects bool
	queued, limit                           time.Duration
	sent                                    []ebonyworks.SubReservation
	servers                                 []ebonyworks.ServerID
}

type scriptedBackend struct {
	ebonyworks.Backend
	*script
}

func (s scriptedBackend) Reserve(_ context.Context, _ *ebonyworks.Service, server ebonyworks.Server, sent ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	s.sent = append(s.sent, sent)
	s.servers = append(s.servers, server.ID)
	time.Sleep(time.Millisecond)
	reply := ebonyworks.SubReservationReply{Result: s.results[len(s.sent)-1], Request: sent.Request, Shard: sent.Shard}
	if s.otherShard {
		reply.Shard = "old"
	}
	return reply
}

func (s *script) AllowRetry(ebonyworks.ServiceID) bool { return !s.noBudget }

func (s *script) Acquire(context.Context, *ebonyworks.Service, ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	time.Sleep(s.queued)
	return s.node, true
}

func (s *script) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	if s.refuses {
		return nil, &ebonyworks.Refusal{RetryAfter: time.Second}
	}
	return s.node, nil
}

func (s *script) Check(ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	if s.suspects {
		return ebonyworks.VerdictQuarantined, &ebonyworks.Refusal{RetryAfter: time.Second}
	}
	return ebonyworks.VerdictSafe, nil
}

func withDice() context.Context {
	random := rand.New(rand.NewPCG(1, 1))
	return context.WithValue(context.Background(), diceKey{}, &dice{copy: random, run: rand.New(rand.NewPCG(2, 2))})
}

// Guards against outcomes that claim more than the attempts prove, and
// against a second send after a result that proves nothing.
func TestOutcomes(t *testing.T) {
	results := func(r ...ebonyworks.AttemptResult) []ebonyworks.AttemptResult { return r }
	const ran, notRun, unknown = ebonyworks.OutcomeRan, ebonyworks.OutcomeNotRun, ebonyworks.OutcomeUnknown
	cases := []struct {
		name   string
		script script
		route  ebonyworks.RouteID
		kind   ebonyworks.OutcomeKind
		code   ebonyworks.OutcomeCode
		sends  int
	}{
		{"served", script{results: results(ebonyworks.AttemptServed)}, "reserve", ran, ebonyworks.CodeDone, 1},
		{"shed, then served", script{results: results(ebonyworks.AttemptShed, ebonyworks.AttemptServed)}, "reserve", ran, ebonyworks.CodeDone, 2},
		{"refused by all", script{results: results(ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable, ebonyworks.AttemptShed)}, "reserve", notRun, ebonyworks.CodeRefused, 3},
		{"no retry budget", script{results: results(ebonyworks.AttemptShed), noBudget: true}, "reserve", notRun, ebonyworks.CodeRefused, 1},
		{"malformed", script{results: results(ebonyworks.AttemptRejected)}, "reserve", notRun, ebonyworks.CodeRefused, 1},
		{"expired at the server", script{results: results(ebonyworks.AttemptExpired)}, "reserve", notRun, ebonyworks.CodeDeadline, 1},
		{"lost", script{results: results(ebonyworks.AttemptLost)}, "reserve", unknown, ebonyworks.CodeLost, 1},
		{"shed, then lost", script{results: results(ebonyworks.AttemptShed, ebonyworks.AttemptLost)}, "reserve", unknown, ebonyworks.CodeLost, 2},
		{"timeout", script{results: results(ebonyworks.AttemptTimeout)}, "reserve", unknown, ebonyworks.CodeTimeout, 1},
		{"ended by the host", script{results: results(ebonyworks.AttemptCanceled)}, "reserve", unknown, ebonyworks.CodeTimeout, 1},
		{"invalid reply", script{results: results(ebonyworks.AttemptInvalid)}, "reserve", unknown, ebonyworks.CodeInvalidReply, 1},
		{"reply for another shard", script{results: results(ebonyworks.AttemptServed), otherShard: true}, "reserve", unknown, ebonyworks.CodeInvalidReply, 1},
		{"unknown route", script{}, "other", notRun, ebonyworks.CodeUnknownRoute, 0},
		{"refused by admission", script{refuses: true}, "reserve", notRun, ebonyworks.CodeOverloaded, 0},
		{"suspected", script{suspects: true}, "reserve", notRun, ebonyworks.CodeCrashSuspect, 0},
		{"paused past the deadline", script{queued: 17 * time.Second, limit: 3 * time.Second}, "reserve", notRun, ebonyworks.CodeDeadline, 0},
		{"paused past the expiry", script{queued: 19 * time.Second}, "reserve", notRun, ebonyworks.CodeTicketExpired, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.script.node = newWorld(1, faults{}).nodes[0]
				settings := test.script.settings()
				settings.Backend = scriptedBackend{script: &test.script}
				settings.Quota, settings.Admission, settings.Quarantine, settings.Hedging = &test.script, &test.script, &test.script, &test.script
				runner := reservation.New(settings)
				token, _, _ := runner.IssueTicket(context.Background())
				time.Sleep(12 * time.Second)
				asked := ebonyworks.Reservation{Request: "r", Ticket: token, Route: test.route, Key: "k", Deadline: time.Now().Add(cmp.Or(test.script.limit, 20*time.Second))}
				first := runner.Reserve(withDice(), asked)
				if first.Code == ebonyworks.CodeRunning {
					time.Sleep(time.Minute)
					first = runner.Outcome(withDice(), token)
				}
				assert.Equal(t, test.kind, first.Kind)
				assert.Equal(t, test.code, first.Code)
				assert.Len(t, test.script.sent, test.sends)
				for i, sent := range test.script.sent {
					assert.Equal(t, ebonyworks.ShardID("new"), sent.Shard, "the newest partition decides")
					assert.NotContains(t, test.script.servers[:i], test.script.servers[i])
				}
				assert.Equal(t, first, runner.Reserve(withDice(), asked), "a second copy gets the same outcome")
				assert.Equal(t, first, runner.Outcome(withDice(), token))
				assert.Len(t, test.script.sent, test.sends)
				asked.Key = "another"
				other := runner.Reserve(withDice(), asked)
				require.NotNil(t, other.Refusal)
				assert.Equal(t, ebonyworks.RefusedConflict, other.Refusal.Code)
			})
		})
	}
}

// Guards against runs that end with their caller's connection.
func TestDisconnectedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acting := &script{node: newWorld(1, faults{}).nodes[0], results: []ebonyworks.AttemptResult{ebonyworks.AttemptServed}, queued: 500 * time.Millisecond}
		settings := acting.settings()
		settings.Backend, settings.Quota = scriptedBackend{script: acting}, acting
		runner := reservation.New(settings)
		token, _, _ := runner.IssueTicket(context.Background())
		ctx, cancel := context.WithCancel(withDice())
		cancel()
		outcome := runner.Reserve(ctx, ebonyworks.Reservation{Ticket: token, Route: "reserve", Key: "k"})
		assert.Equal(t, ebonyworks.CodeRunning, outcome.Code)
		time.Sleep(2 * time.Second)
		assert.Equal(t, ebonyworks.OutcomeRan, runner.Outcome(withDice(), token).Kind)
	})
}

// Guards against wrong claims when the owner has stopped, restarted or gone.
func TestOwnerAway(t *testing.T) {
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
				w := newWorld(2, faults{})
				owner, other := w.nodes[0], w.nodes[1]
				used, claims, _ := owner.runner.IssueTicket(context.Background())
				unused, _, _ := owner.runner.IssueTicket(context.Background())
				w.expiries["used"] = claims.Expiry
				asked := ebonyworks.Reservation{Request: "r", Ticket: used, Route: "reserve", Key: "used:body", Deadline: time.Now().Add(time.Second)}
				assert.Equal(t, ebonyworks.CodeDone, other.runner.Reserve(withDice(), asked).Code)
				if test.stop {
					require.NoError(t, owner.runner.Close(withDice()))
					_, _, refusal := owner.runner.IssueTicket(context.Background())
					assert.NotNil(t, refusal)
				}
				if test.crash {
					owner.set(true, 0)
					w.replace(0)
				}
				assert.Equal(t, test.used, other.runner.Outcome(withDice(), used).Code)
				assert.Equal(t, test.used, other.runner.Reserve(withDice(), asked).Code)
				assert.Equal(t, test.unused, w.nodes[2].runner.Outcome(withDice(), unused).Code)
				asked.Key = "used:other body"
				for _, entry := range w.nodes {
					other := entry.runner.Reserve(withDice(), asked)
					assert.Equal(t, test.stop || !test.crash, other.Refusal != nil && other.Refusal.Code == ebonyworks.RefusedConflict)
				}
				assert.Equal(t, 1, w.executions["used"])
				assert.Empty(t, w.failures)
			})
		})
	}
}

// Guards against a planned stop that gives up on a peer which fails for a
// moment, as on a busy machine: with three hosts both others are needed.
func TestHandOverToSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, faults{})
		w.partitioned, w.healed = 1, time.Now().Add(500*time.Millisecond)
		begin := time.Now()
		require.NoError(t, w.nodes[0].runner.Close(withDice()))
		assert.Less(t, time.Since(begin), time.Second)
		assert.Empty(t, w.failures)
	})
}
