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
	// MaxServers bounds the servers with state. Attempts at further ones are
	// refused until Retain makes room.
	MaxServers = 8192
	// MaxWaiters bounds the attempts that wait for one server. With 2 slots
	// and 10 ms for each attempt, the last of 128 would wait for 640 ms, which
	// is beyond the usual deadlines.
	MaxWaiters = 128

	// queueAllowance is how many attempts each host may have queued at an idle
	// server, so that a slot doesn't wait for the next request of a host.
	queueAllowance = 1
	// slotsFactor bounds the limit: one host alone may occupy all slots and
	// have as many attempts queued.
	slotsFactor = 2
)

// Table holds the quota of each server. It is safe for concurrent use. The
// zero value is usable and assumes a single host.
type Table struct {
	mutex sync.RWMutex
	// hosts is the number of hosts that share the servers, zero means one.
	hosts int
	// exclusive is set if each attempt needs a connection of its own.
	exclusive bool
	// servers has at most MaxServers entries.
	servers map[ebonyworks.ServerID]*server
}

// New returns a table for a fleet with the given number of hosts.
func New(hosts int) *Table {
	return &Table{hosts: hosts}
}

// NewExclusive returns a table for a fleet whose attempts each need a
// connection of their own. A server gets at most this host's share of the
// connections that it accepts.
func NewExclusive(hosts int) *Table {
	return &Table{hosts: hosts, exclusive: true}
}

// SetHosts changes the number of hosts. It sets the start of servers that
// have not been used; the others have adapted by themselves, up to the largest
// limit for that number.
func (t *Table) SetHosts(hosts int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.hosts = hosts
}

// Retain drops the state of servers that the configuration no longer names.
// Attempts in flight at them end as usual.
func (t *Table) Retain(configuration *ebonyworks.Configuration) {
	t.RetainServers(configuration.ServerIDs())
}

// RetainServers drops the state of servers that aren't named. Attempts in
// flight at them end as usual.
func (t *Table) RetainServers(named map[ebonyworks.ServerID]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.servers, func(id ebonyworks.ServerID, _ *server) bool { return !named[id] })
}

// Acquire waits for a permit until the context ends. Waiters get permits in
// the order of their deadlines. It returns false if the context ended first,
// and at once if too many attempts wait already.
func (t *Table) Acquire(ctx context.Context, service *ebonyworks.Service, id ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	target := t.open(service, id)
	if target == nil || ctx.Err() != nil {
		return nil, false
	}
	if inUse, ok := target.take(); ok {
		return &permit{server: target, inUse: inUse}, true
	}
	waiter := target.enter(ctx)
	if waiter == nil {
		return nil, false
	}
	select {
	case <-waiter.granted:
	case <-ctx.Done():
	}
	inUse, ok := target.settle(waiter)
	if !ok {
		return nil, false
	}
	return &permit{server: target, inUse: inUse}, true
}

// Load returns the attempts in flight at a server and its limit.
func (t *Table) Load(service *ebonyworks.Service, id ebonyworks.ServerID) (inFlight, limit int) {
	t.mutex.RLock()
	known := t.servers[id]
	hosts := t.hosts
	t.mutex.RUnlock()
	if known == nil {
		start, _ := t.bounds(service, hosts)
		return 0, int(start)
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

func (t *Table) open(service *ebonyworks.Service, id ebonyworks.ServerID) *server {
	t.mutex.RLock()
	known := t.servers[id]
	hosts := t.hosts
	t.mutex.RUnlock()
	if known != nil {
		start, largest := t.bounds(service, hosts)
		known.setBounds(service, start, largest)
		return known
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.servers == nil {
		t.servers = make(map[ebonyworks.ServerID]*server)
	}
	if t.servers[id] == nil && len(t.servers) < MaxServers {
		start, largest := t.bounds(service, t.hosts)
		t.servers[id] = newServer(service, start, largest)
	}
	return t.servers[id]
}

// bounds returns the first and the largest limit for a server of the service.
func (t *Table) bounds(service *ebonyworks.Service, hosts int) (start, largest float64) {
	hosts = max(hosts, 1)
	start = float64(max(1, (service.Slots+hosts-1)/hosts) + queueAllowance)
	largest = max(start, float64(slotsFactor*service.Slots))
	if t.exclusive && service.ConnectionCap > 0 {
		share := float64(max(1, service.ConnectionCap/hosts))
		return min(start, share), min(largest, share)
	}
	return start, largest
}

// server is the quota of one server.
type server struct {
	mutex sync.Mutex
	limit adaptivelimit.Limit
	// slots and cap are those of the service when the limit's bounds were set.
	slots, cap int
	// inFlight counts permits that were granted and not returned.
	inFlight int
	// waiters is a heap with at most MaxWaiters entries. It is empty whenever
	// inFlight is below the limit.
	waiters waiters
	// arrivals numbers the waiters.
	arrivals uint64
}

func newServer(service *ebonyworks.Service, start, largest float64) *server {
	return &server{
		limit: adaptivelimit.Limit{Initial: start, Min: 1, Max: largest},
		slots: service.Slots,
		cap:   service.ConnectionCap,
	}
}

// setBounds follows a configuration that changes the slots or the connections
// of the service, and the number of hosts.
func (s *server) setBounds(service *ebonyworks.Service, start, largest float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.slots == service.Slots && s.cap == service.ConnectionCap && s.limit.Max == largest {
		return
	}
	s.slots = service.Slots
	s.cap = service.ConnectionCap
	s.limit.Initial = start
	s.limit.Max = largest
	s.grant()
}

func (s *server) load() (inFlight, limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inFlight, s.limit.Value()
}

// take returns a permit if one is free and nobody waits.
func (s *server) take() (inUse, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiters) > 0 || s.inFlight >= s.limit.Value() {
		return false, false
	}
	s.inFlight++
	return s.inFlight >= s.limit.Value(), true
}

// enter queues a waiter, or returns nil if the queue is full. The waiter may
// have its permit already.
func (s *server) enter(ctx context.Context) *waiter {
	entering := &waiter{ctx: ctx, granted: make(chan struct{}), index: notQueued}
	entering.deadline, entering.hasDeadline = ctx.Deadline()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiters) >= MaxWaiters {
		s.dropEnded()
	}
	if len(s.waiters) >= MaxWaiters {
		return nil
	}
	s.arrivals++
	entering.arrival = s.arrivals
	heap.Push(&s.waiters, entering)
	s.grant()
	return entering
}

// settle ends the waiting. It returns false if the waiter has no permit or
// its context has ended; a permit of an ended context goes to the next waiter.
func (s *server) settle(settling *waiter) (inUse, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if settling.index != notQueued {
		heap.Remove(&s.waiters, settling.index)
		return false, false
	}
	if !settling.holds {
		return false, false
	}
	if settling.ctx.Err() != nil {
		s.inFlight--
		s.grant()
		return false, false
	}
	return s.inFlight >= s.limit.Value(), true
}

// release returns a permit and adapts the limit.
func (s *server) release(record ebonyworks.AttemptRecord, inUse bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.learn(record, inUse)
	s.inFlight--
	s.grant()
}

func (s *server) learn(record ebonyworks.AttemptRecord, inUse bool) {
	now := time.Now()
	switch record.Result {
	case ebonyworks.AttemptServed:
		s.limit.RecordLatency(now, record.Latency, inUse)
	case ebonyworks.AttemptCanceled:
		s.limit.RecordMinLatency(now, record.Latency, inUse)
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
			next.holds = true
			s.inFlight++
		}
		close(next.granted)
	}
}

// dropEnded removes the waiters whose context has ended but who have not run
// since.
func (s *server) dropEnded() {
	for i := len(s.waiters) - 1; i >= 0; i-- {
		if i < len(s.waiters) && s.waiters[i].ctx.Err() != nil {
			heap.Remove(&s.waiters, i)
		}
	}
}

// permit is the right to one attempt at a server.
type permit struct {
	once   sync.Once
	server *server
	// inUse is set if the limit was reached when the permit was granted.
	inUse bool
}

// Release returns the permit; the record adapts the limit. Only the first
// call counts.
func (p *permit) Release(record ebonyworks.AttemptRecord) {
	p.once.Do(func() { p.server.release(record, p.inUse) })
}
