package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
)

func servers(ids ...string) []ebonyworks.Server {
	var made []ebonyworks.Server
	for _, id := range ids {
		made = append(made, ebonyworks.Server{ID: ebonyworks.ServerID(id)})
	}
	return made
}

func without(all []ebonyworks.Server, id ebonyworks.ServerID) []ebonyworks.Server {
	return slices.DeleteFunc(slices.Clone(all), func(s ebonyworks.Server) bool { return s.ID == id })
}

// Guards against a wrong verdict after each history of a fingerprint.
func TestVerdicts(t *testing.T) {
	report := func(server string, incarnation ebonyworks.Incarnation, age time.Duration, cleared bool) ebonyworks.CrashReport {
		return ebonyworks.CrashReport{Fingerprint: 1, Server: ebonyworks.ServerID(server), Incarnation: incarnation, Age: age, Cleared: cleared}
	}
	merge := func(reports ...ebonyworks.CrashReport) func(*quarantine.Controller) {
		return func(i *quarantine.Controller) { i.Merge(reports) }
	}
	cases := []struct {
		name string
		do   func(i *quarantine.Controller)
		want ebonyworks.Verdict
	}{
		{"unknown", func(*quarantine.Controller) {}, ebonyworks.VerdictUntested},
		{"completed", func(i *quarantine.Controller) { i.RecordSuccess(1) }, ebonyworks.VerdictSafe},
		{"completed long ago", func(i *quarantine.Controller) { i.RecordSuccess(1); time.Sleep(10 * time.Minute) }, ebonyworks.VerdictUntested},
		{"one death", func(i *quarantine.Controller) { i.RecordCrash(1, "a", 1) }, ebonyworks.VerdictUntested},
		{"death after it completed", func(i *quarantine.Controller) { i.RecordSuccess(1); i.RecordCrash(1, "a", 1) }, ebonyworks.VerdictSafe},
		{"two deaths after it completed", func(i *quarantine.Controller) { i.RecordSuccess(1); i.RecordCrash(1, "a", 1); i.RecordCrash(1, "b", 1) }, ebonyworks.VerdictQuarantined},
		{"two deaths", func(i *quarantine.Controller) { i.RecordCrash(1, "a", 1); i.RecordCrash(1, "b", 1) }, ebonyworks.VerdictQuarantined},
		{"two lives of one server", func(i *quarantine.Controller) { i.RecordCrash(1, "a", 1); i.RecordCrash(1, "a", 2) }, ebonyworks.VerdictQuarantined},
		{"one death seen twice", func(i *quarantine.Controller) { i.RecordCrash(1, "a", 1); i.RecordCrash(1, "a", 1) }, ebonyworks.VerdictUntested},
		{"one death, once without its life", merge(report("a", 0, 0, false), report("a", 3, 0, false)), ebonyworks.VerdictUntested},
		{"cleared by a success", func(i *quarantine.Controller) { i.RecordCrash(1, "a", 1); i.RecordSuccess(1) }, ebonyworks.VerdictSafe},
		{"cleared by a peer", merge(report("a", 1, 0, false), report("a", 1, 0, true)), ebonyworks.VerdictUntested},
		{"a peer's clearing arrives first", merge(report("a", 1, 0, true), report("a", 1, 0, false), report("b", 1, 0, false)), ebonyworks.VerdictUntested},
		{"a minute after two deaths", func(i *quarantine.Controller) {
			i.RecordCrash(1, "a", 1)
			i.RecordCrash(1, "b", 1)
			time.Sleep(time.Minute)
		}, ebonyworks.VerdictUntested},
		{"less than a minute after the second", func(i *quarantine.Controller) {
			i.RecordCrash(1, "a", 1)
			time.Sleep(59 * time.Second)
			i.RecordCrash(1, "b", 1)
			time.Sleep(59 * time.Second)
		}, ebonyworks.VerdictQuarantined},
		{"old reports", merge(report("a", 1, time.Hour, false), report("b", 1, time.Hour, false)), ebonyworks.VerdictUntested},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var inspector quarantine.Controller
				test.do(&inspector)
				verdict, refusal := inspector.Check(1)
				assert.Equal(t, test.want, verdict)
				assert.Equal(t, verdict == ebonyworks.VerdictQuarantined, refusal != nil)
				if refusal != nil {
					assert.Equal(t, ebonyworks.RefusedCrashSuspect, refusal.Code)
					assert.False(t, refusal.Ran, "this copy didn't run")
					assert.Positive(t, refusal.RetryAfter)
				}
			})
		})
	}
}

// Guards against a second attempt that could take the last server of a shard.
func TestSecondAttempt(t *testing.T) {
	pair, trio, far := servers("a", "b"), servers("a", "b", "c"), servers("x", "y")
	shard := func(id string, all, usable []ebonyworks.Server) ebonyworks.ShardReplicas {
		return ebonyworks.ShardReplicas{Shard: ebonyworks.ShardID(id), All: all, Usable: usable}
	}
	cases := []struct {
		name    string
		shards  func(dead ebonyworks.ServerID) []ebonyworks.ShardReplicas
		allowed bool
		far     bool
	}{
		{"one shard, one server left", func(dead ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, dead))}
		}, false, false},
		{"one shard, the server is back", func(ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, pair)}
		}, true, false},
		{"one shard, two servers left", func(dead ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", trio, without(trio, dead))}
		}, true, false},
		{"another shard", func(dead ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, dead)), shard("t", far, far)}
		}, true, true},
		{"another shard with one server left", func(dead ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, dead)), shard("t", far, far[:1])}
		}, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var inspector quarantine.Controller
				first, refusal := inspector.ChooseCanary(1, []ebonyworks.ShardReplicas{shard("s", pair, pair)})
				require.Nil(t, refusal)
				inspector.RecordCrash(1, first.Server.ID, 1)
				second, refusal := inspector.ChooseCanary(1, test.shards(first.Server.ID))
				assert.Equal(t, test.allowed, refusal == nil)
				if refusal != nil {
					assert.True(t, refusal.Ran)
					assert.Positive(t, refusal.RetryAfter)
					return
				}
				assert.Equal(t, test.far, second.Shard == "t")
				inspector.RecordCrash(1, second.Server.ID, 2)
				_, refusal = inspector.ChooseCanary(1, test.shards(first.Server.ID))
				assert.NotNil(t, refusal, "no third attempt")
			})
		})
	}
}

// Guards against first attempts on the last server of a shard while another
// shard has more, and against refusals where only that server is left.
func TestFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inspector quarantine.Controller
		worn := ebonyworks.ShardReplicas{Shard: "s", All: servers("a", "b"), Usable: servers("a")}
		whole := ebonyworks.ShardReplicas{Shard: "t", All: servers("x", "y"), Usable: servers("x", "y")}
		for fingerprint := range ebonyworks.Fingerprint(50) {
			chosen, refusal := inspector.ChooseCanary(fingerprint, []ebonyworks.ShardReplicas{worn, whole})
			require.Nil(t, refusal)
			assert.Equal(t, ebonyworks.ShardID("t"), chosen.Shard)
			inspector.EndCanary(fingerprint)
			chosen, refusal = inspector.ChooseCanary(fingerprint, []ebonyworks.ShardReplicas{worn})
			require.Nil(t, refusal)
			assert.Equal(t, ebonyworks.ServerID("a"), chosen.Server.ID)
		}
	})
}

// Guards against attempts of one fingerprint that run together on one host,
// against waits without an end, and against an attempt that is sent after a
// report arrived.
func TestAttemptsAreSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inspector quarantine.Controller
		pair := servers("a", "b")
		shards := []ebonyworks.ShardReplicas{{Shard: "s", All: pair, Usable: pair}}
		start := time.Now()
		waited := func(end func()) time.Duration {
			first, refusal := inspector.ChooseCanary(1, shards)
			require.Nil(t, refusal)
			assert.True(t, inspector.StillAllowed(1, first))
			begin := time.Now()
			time.AfterFunc(100*time.Millisecond, end)
			_, _ = inspector.ChooseCanary(1, shards)
			inspector.EndCanary(1)
			return time.Since(begin)
		}
		assert.Equal(t, 100*time.Millisecond, waited(func() { inspector.EndCanary(1) }))
		assert.Equal(t, time.Second, waited(func() {}), "an attempt that nobody ends")
		assert.Equal(t, 100*time.Millisecond, waited(func() { inspector.RecordCrash(1, "a", 1) }))
		chosen, _ := inspector.ChooseCanary(1, shards)
		inspector.Merge([]ebonyworks.CrashReport{{Fingerprint: 1, Server: "b", Incarnation: 1}})
		assert.False(t, inspector.StillAllowed(1, chosen))
		inspector.RecordSuccess(2)
		_, _ = inspector.ChooseCanary(2, shards)
		_, _ = inspector.ChooseCanary(2, shards)
		assert.Less(t, time.Since(start), 2*time.Second, "known as safe: no wait")
	})
}

// Guards against a state that depends on the order or number of messages, and
// against unbounded memory and messages.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		for range 300 {
			var reports []ebonyworks.CrashReport
			for range 6 {
				reports = append(reports, ebonyworks.CrashReport{
					Fingerprint: 1, Server: ebonyworks.ServerID(fmt.Sprint(random.IntN(3))), Incarnation: ebonyworks.Incarnation(random.IntN(2)),
					Age: time.Duration(random.IntN(150)) * time.Second, Cleared: random.IntN(4) == 0,
				})
			}
			var one, two quarantine.Controller
			one.Merge(reports)
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			two.Merge(reports)
			two.Merge(one.Reports())
			two.Merge(two.Reports())
			assert.ElementsMatch(t, one.Reports(), two.Reports())
		}
		var full quarantine.Controller
		full.RecordCrash(1, "a", 1)
		full.RecordCrash(1, "b", 1)
		for n := range 5000 {
			full.Merge([]ebonyworks.CrashReport{{Fingerprint: ebonyworks.Fingerprint(n + 10), Server: "a", Incarnation: 1}})
		}
		assert.LessOrEqual(t, len(full.Reports()), 64)
		verdict, _ := full.Check(1)
		assert.Equal(t, ebonyworks.VerdictQuarantined, verdict, "blocked fingerprints go last")
	})
}

// reports is a peer connection that counts crash reports.
type reports struct {
	ebonyworks.Peer
	mu   sync.Mutex
	sent int
}

func (r *reports) ReportCrashes(_ context.Context, _ netip.AddrPort, batch []ebonyworks.CrashReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += len(batch)
	return nil
}

// Guards against deaths that peers learn of only by the next exchange.
func TestReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &reports{}
		reporter := quarantine.NewReporter(peer, func() []ebonyworks.Host { return make([]ebonyworks.Host, 3) })
		inspector := quarantine.Controller{Publish: reporter.Publish}
		ctx, cancel := context.WithCancel(context.Background())
		go reporter.Run(ctx)
		inspector.RecordCrash(1, "a", 1)
		inspector.RecordSuccess(1)
		synctest.Wait()
		assert.Equal(t, 6, peer.sent)
		cancel()
	})
}
