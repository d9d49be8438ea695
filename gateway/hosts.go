package gateway

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
)

const (
	// assumedHosts is the number of hosts that share connections, retries and hedges
	// while this host doesn't know the actual number. It is above the 400 hosts of the
	// design size, because all of them may start together.
	assumedHosts = 512
	// stabilizationTime is how long the number of known hosts must not have grown
	// before a newly started host trusts it. Hosts that start together discover each
	// other one by one, and each would use the shares of those that it doesn't know yet.
	stabilizationTime = 450 * time.Millisecond
	// headroomFactor leaves connections for hosts that haven't been discovered yet.
	headroomFactor = 1.25
	// decreaseDelay is how long the estimate stays at an earlier, larger number. Failed
	// hosts come back, and hosts that are only unreachable still use their shares.
	decreaseDelay = 30 * time.Second
)

// hostCounter estimates how many hosts share the connections to servers and the budget
// of retries and hedges. The zero value assumes assumedHosts.
type hostCounter struct {
	// single is set if the seeds name no other host.
	single bool
	// hosts is the estimate; zero before the first update.
	hosts atomic.Int64
	// largest is the largest recent number, last counted at largestAt. The fields from
	// here on belong to the goroutine that calls update.
	largest   int
	largestAt time.Time
	// stable is set once the number of hosts hasn't grown for stabilizationTime, since
	// grownAt. It is never cleared.
	stable  atomic.Bool
	grownAt time.Time
}

// Hosts returns the estimated number of hosts, this one included.
func (c *hostCounter) Hosts() int {
	if hosts := c.hosts.Load(); hosts > 0 {
		return int(hosts)
	}
	return assumedHosts
}

// update records the number of hosts that are known now, this one included, and
// reports whether the estimate changed.
func (c *hostCounter) update(known int, now time.Time) bool {
	if known <= 1 && !c.single && c.largest == 0 {
		return false
	}
	if known > c.largest {
		c.grownAt = now
	}
	if known >= c.largest || now.Sub(c.largestAt) > decreaseDelay {
		c.largest = known
		c.largestAt = now
	}
	if c.single || now.Sub(c.grownAt) >= stabilizationTime {
		c.stable.Store(true)
	}
	hosts := c.largest
	if !c.stable.Load() {
		hosts = max(hosts, assumedHosts)
	}
	return c.hosts.Swap(int64(hosts)) != int64(hosts)
}

// Stable reports whether the number of hosts is trusted.
func (c *hostCounter) Stable() bool { return c.stable.Load() }

// WithHeadroom returns the estimate plus a reserve for hosts that are starting.
func (c *hostCounter) WithHeadroom() int {
	hosts := c.Hosts()
	if hosts == 1 {
		return 1
	}
	return int(math.Ceil(headroomFactor * float64(hosts)))
}

// largeHostsShare is the fraction of the connections, retries and hedges that belongs
// to the larger hosts, which run delegated fan-outs. The smaller hosts use the rest for
// requests to single servers, and for fan-outs whose larger host doesn't answer.
const largeHostsShare = 0.7

// shareCount returns the divisor that gives this host's share of the servers'
// capacity. It is the number of hosts if all have the same capacity. If larger hosts
// run the fan-outs of smaller ones, the larger hosts get larger shares.
func shareCount(self ebonyworks.Host, others []ebonyworks.Host) int {
	largest := self
	for _, host := range others {
		if host.Capacity > largest.Capacity {
			largest = host
		}
	}
	small, large := 0, 0
	for _, host := range append([]ebonyworks.Host{self}, others...) {
		if delegation.Larger(largest, host) {
			small++
		} else {
			large++
		}
	}
	if small == 0 {
		return large
	}
	if delegation.Larger(largest, self) {
		return int(math.Ceil(float64(small) / (1 - largeHostsShare)))
	}
	return int(math.Ceil(float64(large) / largeHostsShare))
}

// seedsNameOthers reports whether the seeds contain an address of another host.
func seedsNameOthers(self netip.AddrPort, seeds []netip.AddrPort) bool {
	for _, seed := range seeds {
		if seed != self {
			return true
		}
	}
	return false
}

// aliveShare is the fraction of the hosts that this host sees alive. Of a limit for all
// hosts together, it leaves the rest to those that it doesn't see: they may run behind a
// partition. The zero value assumes that all are alive.
type aliveShare struct {
	// share holds the bits of the fraction, or zero for 1.
	share atomic.Uint64
	// largest is the largest recent number of hosts, last counted at largestAt. Both
	// belong to the goroutine that calls update.
	largest   int
	largestAt time.Time
}

// update records the number of hosts that are alive now, this one included.
func (a *aliveShare) update(alive int, now time.Time) {
	if alive >= a.largest || now.Sub(a.largestAt) > decreaseDelay {
		a.largest, a.largestAt = alive, now
	}
	a.share.Store(math.Float64bits(float64(alive) / float64(a.largest)))
}

// Share returns the fraction, above 0 and up to 1.
func (a *aliveShare) Share() float64 {
	if bits := a.share.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}
