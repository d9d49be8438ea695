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
	// assumedHosts is the number of hosts that share connections and repeats while
	// this one doesn't know how many there are. It is above the 400 of the design
	// size: all of them may start together.
	assumedHosts = 512
	// settleTime is how long after its start a host has to know no more others than
	// before to trust their number. Hosts that start together meet one after the
	// other, and each would take shares of those that it knows.
	stabilizationTime = 450 * time.Millisecond
	// spareFactor leaves connections for hosts that haven't been heard of yet.
	headroomFactor = 1.25
	// shrinkTime is how long a larger fleet is remembered. Hosts that were lost
	// come back, and those that can't be seen still use their shares.
	decreaseDelay = 30 * time.Second
)

// fleet estimates how many hosts share the servers and the repeats. The zero value assumes many.
type hostCounter struct {
	// alone is set if no other host was ever meant to be found.
	single bool
	hosts  atomic.Int64
	// largest was counted at largestAt, by the goroutine of learn.
	largest   int
	largestAt time.Time
	// settled is set once the number of hosts hasn't grown for settleTime, since
	// grownAt. It isn't cleared.
	stable  bool
	grownAt time.Time
}

// Hosts returns the estimate.
func (f *hostCounter) Hosts() int {
	if hosts := f.hosts.Load(); hosts > 0 {
		return int(hosts)
	}
	return assumedHosts
}

// learn takes the number of hosts that are known now, including this one, and
// reports whether the estimate changed.
func (f *hostCounter) update(known int, now time.Time) bool {
	if known <= 1 && !f.single && f.largest == 0 {
		return false
	}
	if known > f.largest {
		f.grownAt = now
	}
	if known >= f.largest || now.Sub(f.largestAt) > decreaseDelay {
		f.largest = known
		f.largestAt = now
	}
	f.stable = f.stable || f.single || now.Sub(f.grownAt) >= stabilizationTime
	hosts := f.largest
	if !f.stable {
		hosts = max(hosts, assumedHosts)
	}
	return f.hosts.Swap(int64(hosts)) != int64(hosts)
}

// WithSpares returns the estimate with room for hosts that start.
func (f *hostCounter) WithHeadroom() int {
	hosts := f.Hosts()
	if hosts == 1 {
		return 1
	}
	return int(math.Ceil(headroomFactor * float64(hosts)))
}

// runnersPart is the part of the connections and repeats of the hosts that run
// the fan-outs of others. The rest is for requests to single servers, and for
// fan-outs whose larger host doesn't answer.
const largeHostsShare = 0.7

// sharers returns the number of equal shares into which the servers' capacity
// is divided as far as this host is concerned. If larger hosts run the fan-outs
// of the smaller ones, they get larger shares.
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

// othersSeeded reports whether the seeds name an address of another host.
func seedsNameOthers(self netip.AddrPort, seeds []netip.AddrPort) bool {
	for _, seed := range seeds {
		if seed != self {
			return true
		}
	}
	return false
}
