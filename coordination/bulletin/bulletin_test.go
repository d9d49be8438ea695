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

				for i, n := range f.nodes {
					n.cutOff = i != int(seed)%size
				}
				f.wake()
				time.Sleep(10 * time.Second)
				third := f.publish(3, "three")
				time.Sleep(bound)
				f.expect(third, "one host reaches the service")

				for i, n := range f.nodes {
					n.cutOff = i%2 == 1
					n.group = i % 2
				}
				f.wake()
				time.Sleep(30 * time.Second)
				fourth := f.publish(4, "four")
				time.Sleep(10 * time.Second)
				for _, n := range f.nodes {
					n.group = 0
				}
				time.Sleep(bound)
				f.expect(fourth, "healed partition")
			})
		}
	}
}

func (f *fleet) expect(mark ebonyworks.Mark, phase string) {
	if lagging := f.lagging(mark); len(lagging) > 0 {
		f.fail("%s: revision %d isn't in force on %v", phase, mark.Revision, lagging)
	}
	for _, n := range f.nodes {
		if n.up && !n.ready() {
			f.fail("%s: %s isn't ready: %v %v", phase, n.host.ID, n.guild.Readiness().Reasons, n.bulletin.Readiness().Reasons)
		}
	}
}
