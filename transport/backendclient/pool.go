package backendclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// extraDialInterval is the minimum time between failed dials of an additional
// connection to a server that already has an open one. Dials are limited because a
// server at its connection cap closes each additional connection.
const extraDialInterval = time.Second

// invalidEventInterval is the minimum time between events about invalid replies of
// one server.
const invalidEventInterval = time.Second

var errServerRemoved = errors.New("server was removed from the configuration")

// serverPool is the pool of connections to one server.
type serverPool struct {
	client   *Client
	endpoint endpoint
	slots    []*slot

	mu      sync.Mutex
	closing bool
	// failing is set if the last dial failed.
	failing bool
	// lastInvalid is the time of the last event about an invalid reply.
	lastInvalid time.Time
}

// slot holds one connection of a serverPool and is guarded by its mutex. When the
// server closes a connection with GOAWAY, requests in flight finish on it while the
// slot already holds its replacement.
type slot struct {
	pooled  *pooledConn
	pending *pendingDial
	// retryAt is the earliest time of the next dial after a failed one, while
	// another slot has a connection.
	retryAt time.Time
}

// pooledConn is an open connection that several attempts share. It is guarded by
// the mutex of its serverPool.
type pooledConn struct {
	conn    *http.ClientConn
	users   int
	closing bool
}

// pendingDial is a dial in progress that several attempts can wait for.
type pendingDial struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

func newServerPool(client *Client, endpoint endpoint, connections int) *serverPool {
	s := &serverPool{client: client, endpoint: endpoint}
	for range connections {
		s.slots = append(s.slots, &slot{})
	}
	return s
}

// acquire returns an open connection, and dials one if there is none. The caller
// must release the connection.
func (s *serverPool) acquire(ctx context.Context) (*pooledConn, error) {
	for {
		found, dial, err := s.tryAcquire()
		if found != nil || err != nil {
			return found, err
		}
		select {
		case <-dial.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if dial.err != nil {
			return nil, dial.err
		}
	}
}

// tryAcquire returns the open connection with the fewest users. If that one is in
// use and a slot is empty, tryAcquire also opens an additional connection in the
// background. If no connection is open, it returns a dial to wait for.
func (s *serverPool) tryAcquire() (*pooledConn, *pendingDial, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil, nil, errServerRemoved
	}
	used, empty := s.scanSlots()
	if used == nil {
		return nil, s.startDial(empty), nil
	}
	if used.pooled.users > 0 && empty != nil && !time.Now().Before(empty.retryAt) {
		s.startDial(empty)
	}
	used.pooled.users++
	return used.pooled, nil, nil
}

// scanSlots removes closed connections. It returns the slot whose connection has
// the fewest users and the first empty slot; either can be nil.
func (s *serverPool) scanSlots() (used, empty *slot) {
	for _, candidate := range s.slots {
		if candidate.pooled != nil && candidate.pooled.conn.Err() != nil {
			candidate.pooled.closeWhenUnused()
			candidate.pooled = nil
		}
		switch {
		case candidate.pooled == nil && empty == nil:
			empty = candidate
		case candidate.pooled != nil && (used == nil || candidate.pooled.users < used.pooled.users):
			used = candidate
		}
	}
	return used, empty
}

// startDial returns the dial in progress of the slot, and starts one if there is
// none.
func (s *serverPool) startDial(target *slot) *pendingDial {
	if target.pending == nil {
		target.pending = &pendingDial{done: make(chan struct{})}
		go s.dial(target, target.pending)
	}
	return target.pending
}

// dial opens the connection of a slot. It ends at the latest at the dial timeout or
// when the client is closed.
func (s *serverPool) dial(target *slot, current *pendingDial) {
	conn, err := open(s.client.dialContext, s.client.transport, s.endpoint.address, s.client.options.DialTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.closing {
		_ = conn.Close()
		err = errServerRemoved
	}
	if err == nil {
		target.pooled = &pooledConn{conn: conn}
	} else {
		target.retryAt = time.Now().Add(extraDialInterval)
	}
	s.recordDialResult(err)
	target.pending = nil
	current.err = err
	close(current.done)
}

func (s *serverPool) release(used *pooledConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used.users--
	if used.closing && used.users == 0 {
		_ = used.conn.Close()
	}
}

// closeWhenUnused closes each connection once it has no users, and prevents new
// ones.
func (s *serverPool) closeWhenUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, each := range s.slots {
		if each.pooled != nil {
			each.pooled.closeWhenUnused()
			each.pooled = nil
		}
	}
}

// closeWhenUnused closes the connection once it has no users.
func (l *pooledConn) closeWhenUnused() {
	l.closing = true
	if l.users == 0 {
		_ = l.conn.Close()
	}
}

// close closes all connections at once.
func (s *serverPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, each := range s.slots {
		if each.pooled != nil {
			_ = each.pooled.conn.Close()
			each.pooled = nil
		}
	}
}

// recordDialResult records an event when dials start to fail and when they succeed
// again.
func (s *serverPool) recordDialResult(err error) {
	switch {
	case err != nil && !s.failing && !s.closing:
		s.failing = true
		s.client.record(event.ServerUnreachable, s.endpoint, event.Attribute("Error", err.Error()))
	case err == nil && s.failing:
		s.failing = false
		s.client.record(event.ServerReachable, s.endpoint)
	}
}

// recordInvalidReply records an event about an invalid reply, at most once per
// invalidEventInterval.
func (s *serverPool) recordInvalidReply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastInvalid) < invalidEventInterval {
		return
	}
	s.lastInvalid = now
	s.client.record(event.ServerReplyInvalid, s.endpoint)
}

func (c *Client) record(id ebonyworks.EventID, endpoint endpoint, attributes ...ebonyworks.Attribute) {
	if c.options.Recorder == nil {
		return
	}
	attributes = append(attributes, event.Attribute("Server", string(endpoint.server)), event.Attribute("Address", endpoint.address))
	c.options.Recorder.Record(event.New(id, attributes...))
}
