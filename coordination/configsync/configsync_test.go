package configsync_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/configsync"
)

const bound = 5 * time.Second

// Guards against hosts that stay behind: with the service up, with the service
// reachable for one host only, and across a partition that heals.
func TestNewestEverywhereWithinBound(t *testing.T) {
	for _, size := range []int{2, 3, 8, 16} {
		for seed := range uint64(10) {
			bubble(t, seed, size, 0.01, func(f *fleet) {
				f.startAll()
				first := f.publish(1, "one")
				time.Sleep(10 * time.Second)
				f.expect(first, "first configuration")

				second := f.publish(2, "two")
				time.Sleep(bound)
				f.expect(second, "service up")

				f.arrange(func(i int, n *node) { n.cutOff = i != int(seed)%size })
				time.Sleep(10 * time.Second)
				third := f.publish(3, "three")
				time.Sleep(bound)
				f.expect(third, "one host reaches the service")

				f.arrange(func(i int, n *node) { n.cutOff, n.group = i%2 == 1, i%2 })
				time.Sleep(30 * time.Second)
				fourth := f.publish(4, "four")
				time.Sleep(10 * time.Second)
				f.arrange(func(_ int, n *node) { n.group = 0 })
				time.Sleep(bound)
				f.expect(fourth, "healed partition")
			})
		}
	}
}

// arrange changes what the nodes can reach.
func (f *fleet) arrange(change func(i int, n *node)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.nodes {
		change(i, n)
	}
	f.wake()
}

func (f *fleet) expect(mark ebonyworks.ConfigurationVersion, phase string) {
	if lagging := f.lagging(mark); len(lagging) > 0 {
		f.fail("%s: revision %d isn't in force on %v", phase, mark.Revision, lagging)
	}
	for _, n := range f.nodes {
		if l := n.current(); l != nil && !l.ready() {
			f.fail("%s: %s isn't ready: %v %v", phase, n.host.ID, l.guild.Readiness().Reasons, l.bulletin.Readiness().Reasons)
		}
	}
}

// Guards against operators who race: the larger digest must win on every host
// and in every order, without the smaller one in force in between, and the
// loser must be named with a reason.
func TestRacingOperators(t *testing.T) {
	for order, contents := range [][]string{{"left", "right"}, {"right", "left"}} {
		bubble(t, uint64(order), 5, 0, func(f *fleet) {
			f.startAll()
			f.publish(1, "one")
			time.Sleep(10 * time.Second)
			one := f.publish(2, contents[0])
			time.Sleep(150 * time.Millisecond)
			other := f.publish(2, contents[1])
			winner, loser := one, other
			if other.Compare(one) > 0 {
				winner, loser = other, one
			}
			time.Sleep(time.Minute)
			f.expect(winner, "after the race")
			for _, n := range f.nodes {
				if n.held(time.Now()) != winner || len(n.markHistory) > 3 {
					f.fail("%s had %v in force", n.host.ID, n.markHistory)
				}
				if n.current().bulletin.Stale() {
					f.fail("%s is stale although the service shows the sibling that lost", n.host.ID)
				}
			}
			refused := 0
			for _, n := range f.nodes {
				refusal, found := n.current().edition.Refused(loser.Digest)
				if found && refusal.Problems[0].Path == "Revision" {
					refused++
				}
			}
			if refused == 0 {
				f.fail("no host refused the loser")
			}
		})
	}
}

// Guards against a configuration that is accepted in part, or one that is
// refused and blocks the next.
func TestInvalidIsRefusedAsAWhole(t *testing.T) {
	bubble(t, 1, 4, 0, func(f *fleet) {
		f.startAll()
		first := f.publish(1, "one")
		time.Sleep(10 * time.Second)
		second := f.publish(2, "invalid")
		time.Sleep(time.Minute)
		f.expect(first, "invalid part")
		watchers := 0
		for _, n := range f.nodes {
			l := n.current()
			if refusal, found := l.edition.Refused(second.Digest); found && refusal.Problems[0].Path == "routes" {
				watchers++
			}
			if l.bulletin.Stale() {
				f.fail("%s is stale although the newest head is refused", n.host.ID)
			}
		}
		if watchers < 3 {
			f.fail("only %d hosts refused", watchers)
		}
		f.arrange(func(int, *node) {
			value := f.live[headKey]
			// Nodes read the map without the lock once they have it.
			f.live = maps.Clone(f.live)
			f.live[headKey] = ebonyworks.ConfigurationValue{Key: headKey, Version: value.Version + 1, Bytes: []byte("garbage")}
		})
		time.Sleep(time.Minute)
		f.expect(first, "garbage")
		third := f.publish(3, "three")
		time.Sleep(bound)
		f.expect(third, "after garbage")
	})
}

// Guards against a host that calls the platform without bound.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 0)
		meter := configsync.NewRateLimitedPlatform(platform{f.nodes[0]})
		failed := 0
		for range 500 {
			if _, err := meter.Read(t.Context(), headKey); err != nil {
				require.ErrorIs(t, err, configsync.ErrTooManyCalls)
				failed++
			}
		}
		made, refused := meter.Calls()
		assert.Equal(t, f.calls, int(made))
		assert.Equal(t, failed, int(refused))
		assert.Less(t, made, uint64(80))
		time.Sleep(time.Second)
		_, err := meter.Hosts(t.Context())
		assert.NoError(t, err)
	})
}
