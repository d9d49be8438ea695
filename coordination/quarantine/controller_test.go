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
	var list []ebonyworks.Server
	for _, id := range ids {
		list = append(list, ebonyworks.Server{ID: ebonyworks.ServerID(id)})
	}
	return list
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
		return func(c *quarantine.Controller) { c.Merge(reports) }
	}
	cases := []struct {
		name string
		do   func(c *quarantine.Controller)
		want ebonyworks.Verdict
	}{
		{"unknown", func(*quarantine.Controller) {}, ebonyworks.VerdictUntested},
		{"completed", func(c *quarantine.Controller) { c.RecordSuccess(1) }, ebonyworks.VerdictSafe},
		{"completed long ago", func(c *quarantine.Controller) { c.RecordSuccess(1); time.Sleep(10 * time.Minute) }, ebonyworks.VerdictUntested},
		{"one crash", func(c *quarantine.Controller) { c.RecordCrash(1, "a", 1) }, ebonyworks.VerdictUntested},
		{"crash after it completed", func(c *quarantine.Controller) { c.RecordSuccess(1); c.RecordCrash(1, "a", 1) }, ebonyworks.VerdictSafe},
		{"two crashes after it completed", func(c *quarantine.Controller) { c.RecordSuccess(1); c.RecordCrash(1, "a", 1); c.RecordCrash(1, "b", 1) }, ebonyworks.VerdictQuarantined},
		{"two crashes", func(c *quarantine.Controller) { c.RecordCrash(1, "a", 1); c.RecordCrash(1, "b", 1) }, ebonyworks.VerdictQuarantined},
		{"two incarnations of one server", func(c *quarantine.Controller) { c.RecordCrash(1, "a", 1); c.RecordCrash(1, "a", 2) }, ebonyworks.VerdictQuarantined},
		{"one crash recorded twice", func(c *quarantine.Controller) { c.RecordCrash(1, "a", 1); c.RecordCrash(1, "a", 1) }, ebonyworks.VerdictUntested},
		{"one crash, once without its incarnation", merge(report("a", 0, 0, false), report("a", 3, 0, false)), ebonyworks.VerdictUntested},
		{"cleared by a success", func(c *quarantine.Controller) { c.RecordCrash(1, "a", 1); c.RecordSuccess(1) }, ebonyworks.VerdictSafe},
		{"cleared by a peer", merge(report("a", 1, 0, false), report("a", 1, 0, true)), ebonyworks.VerdictUntested},
		{"a peer's cleared report arrives first", merge(report("a", 1, 0, true), report("a", 1, 0, false), report("b", 1, 0, false)), ebonyworks.VerdictUntested},
		{"a minute after two crashes", func(c *quarantine.Controller) {
			c.RecordCrash(1, "a", 1)
			c.RecordCrash(1, "b", 1)
			time.Sleep(time.Minute)
		}, ebonyworks.VerdictUntested},
		{"less than a minute after the second", func(c *quarantine.Controller) {
			c.RecordCrash(1, "a", 1)
			time.Sleep(59 * time.Second)
			c.RecordCrash(1, "b", 1)
			time.Sleep(59 * time.Second)
		}, ebonyworks.VerdictQuarantined},
		{"old reports", merge(report("a", 1, time.Hour, false), report("b", 1, time.Hour, false)), ebonyworks.VerdictUntested},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var controller quarantine.Controller
				test.do(&controller)
				verdict, refusal := controller.Check(1)
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

// Guards against a second canary attempt that could crash the last usable server of a
// shard.
func TestSecondCanary(t *testing.T) {
	pair, trio, otherShard := servers("a", "b"), servers("a", "b", "c"), servers("x", "y")
	shard := func(id string, all, usable []ebonyworks.Server) ebonyworks.ShardReplicas {
		return ebonyworks.ShardReplicas{Shard: ebonyworks.ShardID(id), All: all, Usable: usable}
	}
	cases := []struct {
		name       string
		shards     func(crashed ebonyworks.ServerID) []ebonyworks.ShardReplicas
		allowed    bool
		otherShard bool
	}{
		{"one shard, one server left", func(crashed ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, crashed))}
		}, false, false},
		{"one shard, the server has restarted", func(ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, pair)}
		}, true, false},
		{"one shard, two servers left", func(crashed ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", trio, without(trio, crashed))}
		}, true, false},
		{"another shard", func(crashed ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, crashed)), shard("t", otherShard, otherShard)}
		}, true, true},
		{"another shard with one server left", func(crashed ebonyworks.ServerID) []ebonyworks.ShardReplicas {
			return []ebonyworks.ShardReplicas{shard("s", pair, without(pair, crashed)), shard("t", otherShard, otherShard[:1])}
		}, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var controller quarantine.Controller
				first, refusal := controller.ChooseCanary(1, []ebonyworks.ShardReplicas{shard("s", pair, pair)})
				require.Nil(t, refusal)
				controller.RecordCrash(1, first.Server.ID, 1)
				second, refusal := controller.ChooseCanary(1, test.shards(first.Server.ID))
				assert.Equal(t, test.allowed, refusal == nil)
				if refusal != nil {
					assert.True(t, refusal.Ran)
					assert.Positive(t, refusal.RetryAfter)
					return
				}
				assert.Equal(t, test.otherShard, second.Shard == "t")
				controller.RecordCrash(1, second.Server.ID, 2)
				_, refusal = controller.ChooseCanary(1, test.shards(first.Server.ID))
				assert.NotNil(t, refusal, "no third attempt")
			})
		})
	}
}

// Guards against first canary attempts on the last usable server of a shard while
// another shard has more, and against refusals if only that server is left.
func TestFirstCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var controller quarantine.Controller
		degraded := ebonyworks.ShardReplicas{Shard: "s", All: servers("a", "b"), Usable: servers("a")}
		healthy := ebonyworks.ShardReplicas{Shard: "t", All: servers("x", "y"), Usable: servers("x", "y")}
		for fingerprint := range ebonyworks.Fingerprint(50) {
			chosen, refusal := controller.ChooseCanary(fingerprint, []ebonyworks.ShardReplicas{degraded, healthy})
			require.Nil(t, refusal)
			assert.Equal(t, ebonyworks.ShardID("t"), chosen.Shard)
			controller.EndCanary(fingerprint)
			chosen, refusal = controller.ChooseCanary(fingerprint, []ebonyworks.ShardReplicas{degraded})
			require.Nil(t, refusal)
			assert.Equal(t, ebonyworks.ServerID("a"), chosen.Server.ID)
		}
	})
}

// Guards against attempts of one fingerprint that run concurrently on one host,
// against waits without an end, and against an attempt that is sent after a crash
// report arrived.
func TestCanariesAreSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var controller quarantine.Controller
		pair := servers("a", "b")
		shards := []ebonyworks.ShardReplicas{{Shard: "s", All: pair, Usable: pair}}
		start := time.Now()
		waited := func(end func()) time.Duration {
			first, refusal := controller.ChooseCanary(1, shards)
			require.Nil(t, refusal)
			assert.True(t, controller.StillAllowed(1, first))
			begin := time.Now()
			time.AfterFunc(100*time.Millisecond, end)
			_, _ = controller.ChooseCanary(1, shards)
			controller.EndCanary(1)
			return time.Since(begin)
		}
		assert.Equal(t, 100*time.Millisecond, waited(func() { controller.EndCanary(1) }))
		assert.Equal(t, time.Second, waited(func() {}), "an attempt without EndCanary")
		assert.Equal(t, 100*time.Millisecond, waited(func() { controller.RecordCrash(1, "a", 1) }))
		chosen, _ := controller.ChooseCanary(1, shards)
		controller.Merge([]ebonyworks.CrashReport{{Fingerprint: 1, Server: "b", Incarnation: 1}})
		assert.False(t, controller.StillAllowed(1, chosen))
		controller.RecordSuccess(2)
		_, _ = controller.ChooseCanary(2, shards)
		_, _ = controller.ChooseCanary(2, shards)
		assert.Less(t, time.Since(start), 2*time.Second, "known as safe: no wait")
	})
}

// Guards against a state that depends on the order or number of messages, and against
// unbounded memory and messages.
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
		assert.Equal(t, ebonyworks.VerdictQuarantined, verdict, "quarantined fingerprints are evicted last")
	})
}

// fakePeer is a peer connection that counts crash reports.
type fakePeer struct {
	ebonyworks.Peer
	mu   sync.Mutex
	sent int
}

func (r *fakePeer) ReportCrashes(_ context.Context, _ netip.AddrPort, batch []ebonyworks.CrashReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += len(batch)
	return nil
}

// Guards against crashes that peers learn of only by the next gossip message.
func TestReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{}
		reporter := quarantine.NewReporter(peer, func() []ebonyworks.Host { return make([]ebonyworks.Host, 3) })
		controller := quarantine.Controller{Publish: reporter.Publish}
		ctx, cancel := context.WithCancel(context.Background())
		go reporter.Run(ctx)
		controller.RecordCrash(1, "a", 1)
		controller.RecordSuccess(1)
		synctest.Wait()
		assert.Equal(t, 6, peer.sent)
		cancel()
	})
}
