// Package retrybudget bounds the retries and hedges that all hosts together send
// to each service, without state shared between the hosts.
package retrybudget

import (
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxServices bounds the services with state; others get no repeats.
	MaxServices = 4096
	// buckets divide the window. A repeat counts for up to one bucket longer
	// than the window, which errs on the safe side.
	buckets = 20
	// margin is the part of the ratio that is spent. The rest covers requests
	// that this host counts for one bucket longer than the window.
	margin = 0.95
)

// Bound is what all hosts together may add to a service's requests within any
// window: Ratio of the requests, and Slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget grants this host's part of the bound: the ratio of its own requests
// and an equal part of the slack. The sum over all hosts keeps the bound
// without any exchange, since it is linear in the requests. It is safe for
// concurrent use. The zero value grants nothing.
type Budget struct {
	mutex sync.Mutex
	bound Bound
	// origin is when the buckets are counted from, and generation the number of times
	// that this was changed.
	origin     time.Time
	generation uint32
	// hosts is the number of hosts that share the slack, at least 1.
	hosts int
	// services has at most MaxServices entries.
	services map[ebonyworks.ServiceID]*account
}

// Charge is a repeat that was taken. The zero value is none. Each attempt has one, so
// it doesn't name the service.
type Charge struct {
	// slot is the number of the bucket that it was taken from, in that generation of
	// the ledger.
	slot       int64
	generation uint32
	taken      bool
}

// Taken reports whether the charge stands for a repeat.
func (c Charge) Taken() bool { return c.taken }

// account counts requests and repeats of one service.
type account struct {
	// slot is the number of the newest bucket.
	slot     int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// New returns a ledger for one of the given number of hosts.
func New(bound Bound, hosts int) *Budget {
	return &Budget{bound: bound, origin: time.Now(), hosts: max(hosts, 1)}
}

// SetBound changes the bound. Another window starts the counts anew.
func (l *Budget) SetBound(bound Bound) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if bound.Window != l.bound.Window {
		l.services = nil
		l.origin = time.Now()
		l.generation++
	}
	l.bound = bound
}

// SetHosts changes the number of hosts that share the slack.
func (l *Budget) SetHosts(hosts int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hosts = max(hosts, 1)
}

// Count counts a request of a caller for the service.
func (l *Budget) Count(service ebonyworks.ServiceID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.open(service); known != nil {
		known.requests[known.index(l.now())]++
	}
}

// Take takes one repeat from the allowance, or returns false.
func (l *Budget) Take(service ebonyworks.ServiceID) (Charge, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.open(service)
	if known == nil {
		return Charge{}, false
	}
	index := known.index(l.now())
	if l.left(known) < 1 {
		return Charge{}, false
	}
	known.repeats[index]++
	return Charge{slot: known.slot, generation: l.generation, taken: true}, true
}

// Left returns the repeats that can be taken now. Negative values mean that
// the allowance has shrunk.
func (l *Budget) Left(service ebonyworks.ServiceID) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.open(service)
	if known == nil {
		return 0
	}
	known.index(l.now())
	return l.left(known)
}

// Return gives back a repeat that reached no server of the service. It counts for the time at which
// it was taken: given to a later one, it would hide a repeat that stays in the window
// for longer.
func (l *Budget) Return(service ebonyworks.ServiceID, charge Charge) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.services[service]
	if known == nil || !charge.taken || charge.generation != l.generation {
		return
	}
	known.index(l.now())
	place := charge.slot % (buckets + 1)
	if known.slot-charge.slot <= buckets && known.repeats[place] > 0 {
		known.repeats[place]--
	}
}

// Retain drops the accounts of services that aren't named.
func (l *Budget) Retain(named map[ebonyworks.ServiceID]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.services, func(id ebonyworks.ServiceID, _ *account) bool { return !named[id] })
}

func (l *Budget) left(known *account) float64 {
	requests, repeats := known.sums()
	return margin*l.bound.Ratio*float64(requests) + l.slack() - float64(repeats)
}

// slack returns this host's part. An earlier life of the host may have spent
// it within the first window.
func (l *Budget) slack() float64 {
	if time.Since(l.origin) < l.bound.Window {
		return 0
	}
	return l.bound.Slack / float64(max(l.hosts, 1))
}

func (l *Budget) open(service ebonyworks.ServiceID) *account {
	if l.bound.Window <= 0 {
		return nil
	}
	known := l.services[service]
	if known != nil || len(l.services) >= MaxServices {
		return known
	}
	if l.services == nil {
		l.services = make(map[ebonyworks.ServiceID]*account)
	}
	known = &account{slot: l.now()}
	l.services[service] = known
	return known
}

// now returns the number of the current bucket.
func (l *Budget) now() int64 {
	return int64(time.Since(l.origin) / (l.bound.Window / buckets))
}

// index moves the account to the current bucket and returns its place.
func (a *account) index(now int64) int {
	for steps := 0; a.slot < now && steps <= buckets; steps++ {
		a.slot++
		place := int(a.slot % (buckets + 1))
		a.requests[place] = 0
		a.repeats[place] = 0
	}
	a.slot = max(a.slot, now)
	return int(a.slot % (buckets + 1))
}

func (a *account) sums() (requests, repeats int) {
	for i := range a.requests {
		requests += a.requests[i]
		repeats += a.repeats[i]
	}
	return requests, repeats
}
