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

// extraRetryInterval is the time between attempts to open a further connection
// beside an open one. A server at its connection cap closes it each time.
const extraRetryInterval = time.Second

// invalidEventInterval bounds the events about invalid replies of one server.
const invalidEventInterval = time.Second

var errRetired = errors.New("server left the configuration")

// shelf holds the connections to one server.
type shelf struct {
	client *Client
	where  place
	lanes  []*lane

	mu      sync.Mutex
	retired bool
	// failing is set while the last dial failed.
	failing bool
	// lastInvalid is the time of the last event about an invalid reply.
	lastInvalid time.Time
}

// lane is the place of one connection; its fields are guarded by shelf.mu. A
// connection that the server has ended with GOAWAY finishes its requests while
// its successor is already in the lane.
type lane struct {
	link    *link
	dialing *dialing
	// retryAt is when a failed dial may be repeated while another lane has a
	// connection.
	retryAt time.Time
}

// link is an open connection and the attempts that use it, guarded by shelf.mu.
type link struct {
	conn    *http.ClientConn
	users   int
	retired bool
}

// dialing is a dial that several attempts wait for.
type dialing struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

func newShelf(client *Client, where place, connections int) *shelf {
	s := &shelf{client: client, where: where}
	for range connections {
		s.lanes = append(s.lanes, &lane{})
	}
	return s
}

// acquire returns an open connection that the caller must release.
func (s *shelf) acquire(ctx context.Context) (*link, error) {
	for {
		found, dial, err := s.take()
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

// take returns the least used open connection. If it is in use, a further one
// is opened in the background, if the server has a lane left. If there is no
// open connection, take returns a dial to wait for.
func (s *shelf) take() (*link, *dialing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return nil, nil, errRetired
	}
	used, empty := s.survey()
	if used == nil {
		return nil, s.startDial(empty), nil
	}
	if used.link.users > 0 && empty != nil && !time.Now().Before(empty.retryAt) {
		s.startDial(empty)
	}
	used.link.users++
	return used.link, nil, nil
}

// survey drops ended connections and returns the least used lane with a
// connection and the first one without; either can be nil.
func (s *shelf) survey() (used, empty *lane) {
	for _, candidate := range s.lanes {
		if candidate.link != nil && candidate.link.conn.Err() != nil {
			candidate.link.retire()
			candidate.link = nil
		}
		switch {
		case candidate.link == nil && empty == nil:
			empty = candidate
		case candidate.link != nil && (used == nil || candidate.link.users < used.link.users):
			used = candidate
		}
	}
	return used, empty
}

// startDial returns the dial of the lane, which it starts if there is none.
func (s *shelf) startDial(target *lane) *dialing {
	if target.dialing == nil {
		target.dialing = &dialing{done: make(chan struct{})}
		go s.dial(target, target.dialing)
	}
	return target.dialing
}

// dial opens the connection of a lane. It ends by the dial timeout or with the
// client.
func (s *shelf) dial(target *lane, current *dialing) {
	conn, err := open(s.client.life, s.client.transport, s.where.address, s.client.options.DialTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.retired {
		_ = conn.Close()
		err = errRetired
	}
	if err == nil {
		target.link = &link{conn: conn}
	} else {
		target.retryAt = time.Now().Add(extraRetryInterval)
	}
	s.noteDial(err)
	target.dialing = nil
	current.err = err
	close(current.done)
}

func (s *shelf) release(used *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used.users--
	if used.retired && used.users == 0 {
		_ = used.conn.Close()
	}
}

// retire closes the connections as soon as they are unused.
func (s *shelf) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for _, each := range s.lanes {
		if each.link != nil {
			each.link.retire()
			each.link = nil
		}
	}
}

func (l *link) retire() {
	l.retired = true
	if l.users == 0 {
		_ = l.conn.Close()
	}
}

// close closes the connections at once.
func (s *shelf) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for _, each := range s.lanes {
		if each.link != nil {
			_ = each.link.conn.Close()
			each.link = nil
		}
	}
}

// noteDial records the first failure after a success and the first success
// after a failure.
func (s *shelf) noteDial(err error) {
	switch {
	case err != nil && !s.failing && !s.retired:
		s.failing = true
		s.client.record(event.ServerUnreachable, s.where, event.Attribute("Error", err.Error()))
	case err == nil && s.failing:
		s.failing = false
		s.client.record(event.ServerReachable, s.where)
	}
}

func (s *shelf) noteInvalid() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastInvalid) < invalidEventInterval {
		return
	}
	s.lastInvalid = now
	s.client.record(event.ServerReplyInvalid, s.where)
}

func (c *Client) record(id ebonyworks.EventID, where place, attributes ...ebonyworks.Attribute) {
	if c.options.Recorder == nil {
		return
	}
	attributes = append(attributes, event.Attribute("Server", string(where.server)), event.Attribute("Address", where.address))
	c.options.Recorder.Record(event.New(id, attributes...))
}
