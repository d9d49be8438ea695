package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
)

// simulatedFleet holds hosts and the number of hosts that each of them estimates.
type simulatedFleet struct {
	hosts    []ebonyworks.Host
	counters []hostCounter
}

func newSimulatedFleet(small, large int) *simulatedFleet {
	o := &simulatedFleet{}
	for i := range small + large {
		host := ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprint(i)), Domain: ebonyworks.DomainID(fmt.Sprint(i % 6)), Capacity: 0.2}
		if i < large {
			host.Capacity = 0.8
		}
		o.hosts = append(o.hosts, host)
	}
	o.counters = make([]hostCounter, len(o.hosts))
	return o
}

// observe updates the estimate of host i with the hosts that are visible to it.
func (o *simulatedFleet) observe(i int, now time.Time, visible func(j int) bool) {
	var others []ebonyworks.Host
	for j, host := range o.hosts {
		if j != i && visible(j) {
			others = append(others, host)
		}
	}
	o.counters[i].update(shareCount(o.hosts[i], others), now)
}

// shares returns the sum of all hosts' shares; 1 is what all hosts together may use.
func (o *simulatedFleet) shares() float64 {
	var sum float64
	for i := range o.counters {
		sum += 1 / float64(o.counters[i].Hosts())
	}
	return sum
}

const observeInterval = 150 * time.Millisecond

// Guards against hosts that together use more than the shared budget of connections,
// retries and hedges, because they start together and discover each other one by one,
// fail or are partitioned for a while, or disagree on their number.
func TestSharesOfAllHosts(t *testing.T) {
	for _, size := range []struct{ small, large int }{{8, 0}, {51, 16}, {277, 18}} {
		t.Run(fmt.Sprint(size.small+size.large), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			o := newSimulatedFleet(size.small, size.large)
			now := time.Now()
			interval := observeInterval
			observeAll := func(visible func(i, j int) bool) {
				now = now.Add(interval)
				for i := range o.hosts {
					o.observe(i, now, func(j int) bool { return visible(i, j) })
				}
			}
			assert.LessOrEqual(t, o.shares(), 1.0, "no other host is known")
			metAt := make([]time.Duration, len(o.hosts))
			for i := range metAt {
				metAt[i] = time.Duration(random.Int64N(int64(2 * time.Second)))
			}
			for step := range 20 {
				age := time.Duration(step) * observeInterval
				observeAll(func(_, j int) bool { return metAt[j] <= age })
				assert.LessOrEqual(t, o.shares(), 1.0, "%s after the start", age)
			}
			everyHost := func(int, int) bool { return true }
			observeAll(everyHost)
			assert.InDelta(t, 1, o.shares(), 0.05, "all are known, and nothing is left unused")
			interval = time.Second
			for range 27 {
				// One domain is partitioned for 27 s, and a third of the hosts has failed.
				observeAll(func(i, j int) bool { return i%6 == j%6 || i%6 != 1 && j%6 != 1 && j%3 != 0 })
			}
			assert.LessOrEqual(t, o.shares(), 1.05, "hosts are partitioned")
			observeAll(everyHost)
			for range 10 {
				observeAll(func(i, j int) bool { return (i+j)%10 != 0 })
			}
			assert.LessOrEqual(t, o.shares(), 1.05, "each host fails to see some others")
			all := o.counters
			o.counters = make([]hostCounter, len(o.hosts))
			for i := range all {
				if i%2 == 0 {
					o.counters[i].hosts.Store(all[i].hosts.Load())
					o.counters[i].largest, o.counters[i].largestAt = all[i].largest, all[i].largestAt
					o.counters[i].stable.Store(true)
				}
			}
			assert.LessOrEqual(t, o.shares(), 1.05, "half of the hosts have just started")
		})
	}
}

// Guards against a host that never trusts the number of hosts that it knows, and so
// uses only a small part of its share.
func TestHostCountStabilizes(t *testing.T) {
	var counter hostCounter
	now := time.Now()
	assert.False(t, counter.update(1, now), "no other host is known, although the seeds name some")
	for range 5 {
		now = now.Add(observeInterval)
		counter.update(8, now)
	}
	assert.Equal(t, 8, counter.Hosts())
	counter.update(9, now)
	assert.Equal(t, 9, counter.Hosts(), "a host that joins later")
	var singleHost hostCounter
	singleHost.single = true
	singleHost.update(1, now)
	assert.Equal(t, 1, singleHost.Hosts())
}

// Guards against hosts that issue more than the whole of a limit together, because they
// are partitioned and each side issues for all, and against a part that is lost for good.
func TestAliveShare(t *testing.T) {
	var left, right aliveShare
	now := time.Now()
	assert.InDelta(t, 1, left.Share(), 1e-9, "before the first update")
	left.update(10, now)
	right.update(10, now)
	assert.InDelta(t, 1, left.Share(), 1e-9)
	for range 20 {
		now = now.Add(time.Second)
		left.update(7, now)
		right.update(3, now)
		assert.InDelta(t, 1, left.Share()+right.Share(), 1e-9, "partitioned")
	}
	left.update(12, now)
	assert.InDelta(t, 1, left.Share(), 1e-9, "healed, and grown")
	for range 40 {
		now = now.Add(time.Second)
		left.update(8, now)
	}
	assert.InDelta(t, 1, left.Share(), 1e-9, "the others don't come back")
}
