package bulletin_test

import (
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
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

func (f *fleet) expect(mark ebonyworks.Mark, phase string) {
	if lagging := f.lagging(mark); len(lagging) > 0 {
		f.fail("%s: revision %d isn't in force on %v", phase, mark.Revision, lagging)
	}
	for _, n := range f.nodes {
		if l := n.current(); l != nil && !l.ready() {
			f.fail("%s: %s isn't ready: %v %v", phase, n.host.ID, l.guild.Readiness().Reasons, l.bulletin.Readiness().Reasons)
		}
	}
}
