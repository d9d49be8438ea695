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
	// MaxServices bounds the services with state; requests of other services get no
	// retries and hedges.
	MaxServices = 4096
	// buckets divide the window. A retry or hedge counts for up to one bucket longer
	// than the window, so the budget is never exceeded.
	buckets = 20
	// margin is the fraction of the ratio that is spent. The rest covers requests that
	// this host counts for one bucket longer than the window.
	margin = 0.95
)

// Bound is the number of retries and hedges that all hosts together may send to a
// service within any window: Ratio times the requests, plus Slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget grants this host's part of the bound: Ratio times its own requests, and an
// equal part of Slack. The sum over all hosts keeps the bound without communication
// between them, since the bound is linear in the requests. It is safe for concurrent
// use. The zero value grants nothing.
type Budget struct {
	mutex sync.Mutex
	bound Bound
	// origin is when bucket 0 starts, and generation the number of times that origin
	// was changed.
	origin     time.Time
	generation uint32
	// hosts is the number of hosts that share the slack, at least 1.
	hosts int
	// services has at most MaxServices entries.
	services map[ebonyworks.ServiceID]*account
}

// Charge is one retry or hedge that was taken from the budget. The zero value stands
// for none. Each attempt has a charge and its own service, so the charge doesn't name
// the service.
type Charge struct {
	// bucket is the number of the bucket that counts it, in the given generation of
	// the budget.
	bucket     int64
	generation uint32
	taken      bool
}

// Taken reports whether the charge stands for a retry or hedge.
func (c Charge) Taken() bool { return c.taken }

// account counts the requests, and the retries and hedges, of one service.
type account struct {
	// bucket is the number of the newest bucket.
	bucket   int64
	requests [buckets + 1]int
	extra    [buckets + 1]int
}

// New returns a budget for one of the given number of hosts.
func New(bound Bound, hosts int) *Budget {
	return &Budget{bound: bound, origin: time.Now(), hosts: max(hosts, 1)}
}

// SetBound changes the bound. A different window resets all counts.
func (b *Budget) SetBound(bound Bound) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if bound.Window != b.bound.Window {
		b.services = nil
		b.origin = time.Now()
		b.generation++
	}
	b.bound = bound
}

// SetHosts changes the number of hosts that share the slack.
func (b *Budget) SetHosts(hosts int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.hosts = max(hosts, 1)
}

// RecordRequest records a request of a caller for the service, which raises the bound.
func (b *Budget) RecordRequest(service ebonyworks.ServiceID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if counts := b.getOrCreate(service); counts != nil {
		counts.requests[counts.advance(b.currentBucket())]++
	}
}

// Take takes one retry or hedge from the budget, or returns false if none is left.
func (b *Budget) Take(service ebonyworks.ServiceID) (Charge, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.getOrCreate(service)
	if counts == nil {
		return Charge{}, false
	}
	index := counts.advance(b.currentBucket())
	if b.remaining(counts) < 1 {
		return Charge{}, false
	}
	counts.extra[index]++
	return Charge{bucket: counts.bucket, generation: b.generation, taken: true}, true
}

// Remaining returns how many retries and hedges can be taken now. It is negative after
// the budget has shrunk below what was taken.
func (b *Budget) Remaining(service ebonyworks.ServiceID) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.getOrCreate(service)
	if counts == nil {
		return 0
	}
	counts.advance(b.currentBucket())
	return b.remaining(counts)
}

// Return gives back a retry or hedge that reached no server of the service. The count
// of the bucket that it was taken from is lowered: lowering a later bucket would hide
// a retry that stays in the window for longer.
func (b *Budget) Return(service ebonyworks.ServiceID, charge Charge) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.services[service]
	if counts == nil || !charge.taken || charge.generation != b.generation {
		return
	}
	counts.advance(b.currentBucket())
	index := charge.bucket % (buckets + 1)
	if counts.bucket-charge.bucket <= buckets && counts.extra[index] > 0 {
		counts.extra[index]--
	}
}

// Retain drops the counts of services that aren't in named.
func (b *Budget) Retain(named map[ebonyworks.ServiceID]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	maps.DeleteFunc(b.services, func(id ebonyworks.ServiceID, _ *account) bool { return !named[id] })
}

func (b *Budget) remaining(counts *account) float64 {
	requests, extra := counts.totals()
	return margin*b.bound.Ratio*float64(requests) + b.slack() - float64(extra)
}

// slack returns this host's part of Slack. It is zero for the first window, since the
// process may have spent its part just before a restart.
func (b *Budget) slack() float64 {
	if time.Since(b.origin) < b.bound.Window {
		return 0
	}
	return b.bound.Slack / float64(max(b.hosts, 1))
}

func (b *Budget) getOrCreate(service ebonyworks.ServiceID) *account {
	if b.bound.Window <= 0 {
		return nil
	}
	counts := b.services[service]
	if counts != nil || len(b.services) >= MaxServices {
		return counts
	}
	if b.services == nil {
		b.services = make(map[ebonyworks.ServiceID]*account)
	}
	counts = &account{bucket: b.currentBucket()}
	b.services[service] = counts
	return counts
}

// currentBucket returns the number of the current bucket.
func (b *Budget) currentBucket() int64 {
	return int64(time.Since(b.origin) / (b.bound.Window / buckets))
}

// advance moves the account to the current bucket and returns its index.
func (a *account) advance(now int64) int {
	for steps := 0; a.bucket < now && steps <= buckets; steps++ {
		a.bucket++
		index := int(a.bucket % (buckets + 1))
		a.requests[index] = 0
		a.extra[index] = 0
	}
	a.bucket = max(a.bucket, now)
	return int(a.bucket % (buckets + 1))
}

func (a *account) totals() (requests, extra int) {
	for i := range a.requests {
		requests += a.requests[i]
		extra += a.extra[i]
	}
	return requests, extra
}
