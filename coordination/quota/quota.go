// Package quota bounds the attempts that this host has in flight at each
// backend server.
package quota

import (
	"container/heap"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/adaptivelimit"
)

const (
	// MaxServers bounds the servers with state. Attempts at further servers are
	// refused until Retain drops others.
	MaxServers = 8192
	// MaxWaiters bounds the attempts that wait for a permit for one server. With 2
	// slots and 10 ms for each attempt, the last of 128 would wait for 640 ms, which
	// is longer than the usual deadlines.
	MaxWaiters = 128

	// queueAllowance is how many attempts each host may have queued at a server in
	// addition to its part of the slots, so that a free slot doesn't stay idle until a
	// host sends its next request.
	queueAllowance = 1
	// slotsFactor bounds the limit: a single host may occupy all slots and have as
	// many attempts queued.
	slotsFactor = 2
)

// Table holds the concurrency limit and the waiters of each server. It is safe for
// concurrent use. The zero value is usable and assumes a single host.
type Table struct {
	mutex sync.RWMutex
	// hosts is the number of hosts that share the servers; zero means one.
	hosts int
	// exclusive is set if each attempt needs a connection of its own.
	exclusive bool
	// servers has at most MaxServers entries.
	servers map[ebonyworks.ServerID]*server
}

// New returns a table for the given number of hosts.
func New(hosts int) *Table {
	return &Table{hosts: hosts}
}

// NewExclusive returns a table for the given number of hosts, where each attempt needs
// a connection of its own. The limit of a server is at most this host's share of the
// connections that the server accepts.
func NewExclusive(hosts int) *Table {
	return &Table{hosts: hosts, exclusive: true}
}

// SetHosts changes the number of hosts. It sets the initial limit of servers that have
// not been used; the limits of the others have adapted by themselves, and only their
// maximum changes.
func (t *Table) SetHosts(hosts int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.hosts = hosts
}

// Retain drops the state of servers that the configuration no longer has. Attempts in
// flight at them continue and end as usual.
func (t *Table) Retain(configuration *ebonyworks.Configuration) {
	t.RetainServers(configuration.ServerIDs())
}

// RetainServers drops the state of servers that aren't in named. Attempts in flight at
// them continue and end as usual.
func (t *Table) RetainServers(named map[ebonyworks.ServerID]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.servers, func(id ebonyworks.ServerID, _ *server) bool { return !named[id] })
}

// Acquire waits for a permit until the context ends. Waiters get permits in the order
// of their deadlines. It returns false if the context ended first, and at once if too
// many attempts are waiting.
func (t *Table) Acquire(ctx context.Context, service *ebonyworks.Service, id ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	target := t.getOrCreate(service, id)
	if target == nil || ctx.Err() != nil {
		return nil, false
	}
	if atLimit, ok := target.tryAcquire(); ok {
		return &permit{server: target, atLimit: atLimit}, true
	}
	waiter := target.enqueue(ctx)
	if waiter == nil {
		return nil, false
	}
	select {
	case <-waiter.granted:
	case <-ctx.Done():
	}
	atLimit, ok := target.finishWait(waiter)
	if !ok {
		return nil, false
	}
	return &permit{server: target, atLimit: atLimit}, true
}

// Load returns the attempts in flight at a server and its limit.
func (t *Table) Load(service *ebonyworks.Service, id ebonyworks.ServerID) (inFlight, limit int) {
	t.mutex.RLock()
	known := t.servers[id]
	hosts := t.hosts
	t.mutex.RUnlock()
	if known == nil {
		initial, _ := t.bounds(service, hosts)
		return 0, int(initial)
	}
	return known.load()
}

// PredictedWait returns how long a new attempt would wait for a permit, if
// attempts take as long as recently. It is zero if a permit is free.
func (t *Table) PredictedWait(id ebonyworks.ServerID) time.Duration {
	t.mutex.RLock()
	known := t.servers[id]
	t.mutex.RUnlock()
	if known == nil {
		return 0
	}
	known.mutex.Lock()
	defer known.mutex.Unlock()
	limit := known.limit.Value()
	if known.inFlight < limit && len(known.waiters) == 0 {
		return 0
	}
	return time.Duration(len(known.waiters)+1) * known.limit.MeanLatency() / time.Duration(limit)
}

func (t *Table) getOrCreate(service *ebonyworks.Service, id ebonyworks.ServerID) *server {
	t.mutex.RLock()
	known := t.servers[id]
	hosts := t.hosts
	t.mutex.RUnlock()
	if known != nil {
		initial, maxLimit := t.bounds(service, hosts)
		known.setBounds(service, initial, maxLimit)
		return known
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.servers == nil {
		t.servers = make(map[ebonyworks.ServerID]*server)
	}
	if t.servers[id] == nil && len(t.servers) < MaxServers {
		initial, maxLimit := t.bounds(service, t.hosts)
		t.servers[id] = newServer(service, initial, maxLimit)
	}
	return t.servers[id]
}

// bounds returns the initial and the maximum limit for a server of the service.
func (t *Table) bounds(service *ebonyworks.Service, hosts int) (initial, maxLimit float64) {
	hosts = max(hosts, 1)
	initial = float64(max(1, (service.Slots+hosts-1)/hosts) + queueAllowance)
	maxLimit = max(initial, float64(slotsFactor*service.Slots))
	if t.exclusive && service.ConnectionCap > 0 {
		share := float64(max(1, service.ConnectionCap/hosts))
		return min(initial, share), min(maxLimit, share)
	}
	return initial, maxLimit
}

// server is the limit and the waiters of one server.
type server struct {
	mutex sync.Mutex
	limit adaptivelimit.Limit
	// slots and cap are those of the service when the bounds of the limit were set.
	slots, cap int
	// inFlight is the number of permits that were granted and not released.
	inFlight int
	// waiters is a heap with at most MaxWaiters entries. It is empty whenever
	// inFlight is below the limit.
	waiters waiters
	// lastSequence is the sequence number of the newest waiter.
	lastSequence uint64
}

func newServer(service *ebonyworks.Service, initial, maxLimit float64) *server {
	return &server{
		limit: adaptivelimit.Limit{Initial: initial, Min: 1, Max: maxLimit},
		slots: service.Slots,
		cap:   service.ConnectionCap,
	}
}

// setBounds updates the bounds of the limit if the slots or the connections of the
// service, or the number of hosts, have changed.
func (s *server) setBounds(service *ebonyworks.Service, initial, maxLimit float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.slots == service.Slots && s.cap == service.ConnectionCap && s.limit.Max == maxLimit {
		return
	}
	s.slots = service.Slots
	s.cap = service.ConnectionCap
	s.limit.Initial = initial
	s.limit.Max = maxLimit
	s.grant()
}

func (s *server) load() (inFlight, limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inFlight, s.limit.Value()
}

// tryAcquire takes a permit if one is free and there are no waiters.
func (s *server) tryAcquire() (atLimit, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiters) > 0 || s.inFlight >= s.limit.Value() {
		return false, false
	}
	s.inFlight++
	return s.inFlight >= s.limit.Value(), true
}

// enqueue adds a waiter, or returns nil if the queue is full. The waiter may have its
// permit already.
func (s *server) enqueue(ctx context.Context) *waiter {
	entry := &waiter{ctx: ctx, granted: make(chan struct{}), index: notQueued}
	entry.deadline, entry.hasDeadline = ctx.Deadline()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiters) >= MaxWaiters {
		s.dropEnded()
	}
	if len(s.waiters) >= MaxWaiters {
		return nil
	}
	s.lastSequence++
	entry.sequence = s.lastSequence
	heap.Push(&s.waiters, entry)
	s.grant()
	return entry
}

// finishWait ends the wait. It returns false if the waiter has no permit or its
// context has ended; a permit of an ended context goes to the next waiter.
func (s *server) finishWait(ended *waiter) (atLimit, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ended.index != notQueued {
		heap.Remove(&s.waiters, ended.index)
		return false, false
	}
	if !ended.hasPermit {
		return false, false
	}
	if ended.ctx.Err() != nil {
		s.inFlight--
		s.grant()
		return false, false
	}
	return s.inFlight >= s.limit.Value(), true
}

// release returns a permit and adapts the limit.
func (s *server) release(record ebonyworks.AttemptRecord, atLimit bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.adapt(record, atLimit)
	s.inFlight--
	s.grant()
}

func (s *server) adapt(record ebonyworks.AttemptRecord, atLimit bool) {
	now := time.Now()
	switch record.Result {
	case ebonyworks.AttemptServed:
		s.limit.RecordLatency(now, record.Latency, atLimit)
	case ebonyworks.AttemptCanceled:
		s.limit.RecordMinLatency(now, record.Latency, atLimit)
	case ebonyworks.AttemptShed, ebonyworks.AttemptTimeout:
		s.limit.RecordOverload(now)
	default:
		// The other results say nothing about the load of the server.
	}
}

// grant gives permits to the waiters with the earliest deadlines, as far as
// the limit allows, and drops those whose context has ended.
func (s *server) grant() {
	for len(s.waiters) > 0 && s.inFlight < s.limit.Value() {
		next := heap.Pop(&s.waiters).(*waiter)
		if next.ctx.Err() == nil {
			next.hasPermit = true
			s.inFlight++
		}
		close(next.granted)
	}
}

// dropEnded removes the waiters whose context has ended but whose goroutines have not
// run since.
func (s *server) dropEnded() {
	for i := len(s.waiters) - 1; i >= 0; i-- {
		if i < len(s.waiters) && s.waiters[i].ctx.Err() != nil {
			heap.Remove(&s.waiters, i)
		}
	}
}

// permit allows one attempt at a server.
type permit struct {
	once   sync.Once
	server *server
	// atLimit is set if the limit was reached when the permit was granted.
	atLimit bool
}

// Release returns the permit; the limit is adapted to the record. Only the first call
// has an effect.
func (p *permit) Release(record ebonyworks.AttemptRecord) {
	p.once.Do(func() { p.server.release(record, p.atLimit) })
}
