// Package connections tracks the open connections of an HTTP server, so that the
// server can be shut down without dropping requests. Shutdown of an http.Server drops,
// without a response, the requests that it reads after the call, and doesn't wait for
// accepted connections that it hasn't registered yet. A server that waits until all
// connections are idle before it calls Shutdown drops none.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// idlePollInterval is the interval at which WaitIdle checks the connections.
const idlePollInterval = 2 * time.Millisecond

// Tracker tracks the open connections of one or more servers. The zero value is usable.
type Tracker struct {
	mutex sync.Mutex
	// busy holds the open connections, and whether a request may be arriving or
	// running on each: when the connection is new, and from the first byte of a
	// request to the end of its response.
	busy map[net.Conn]bool
	// announced counts the calls of AddPending, and started the connections
	// that the servers have reported as new.
	announced, started int
}

// AddPending counts a connection that is about to be handed to a server. Without it,
// a connection counts only from when the server reports it.
func (c *Tracker) AddPending() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.announced++
}

// ConnState updates the state of a connection. It is meant for the field ConnState of
// http.Server.
func (c *Tracker) ConnState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.busy == nil {
		c.busy = make(map[net.Conn]bool)
	}
	switch state {
	case http.StateNew:
		c.started++
		c.busy[conn] = true
	case http.StateActive:
		c.busy[conn] = true
	case http.StateIdle:
		c.busy[conn] = false
	case http.StateClosed, http.StateHijacked:
		delete(c.busy, conn)
	}
}

// Count returns the number of open connections, including announced ones.
func (c *Tracker) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.announced-c.started) + len(c.busy)
}

// Idle reports whether no request may be arriving or running.
func (c *Tracker) Idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.started < c.announced {
		return false
	}
	for _, busy := range c.busy {
		if busy {
			return false
		}
	}
	return true
}

// WaitIdle waits until no request may be arriving or running, or the context ends.
func (c *Tracker) WaitIdle(ctx context.Context) {
	for !c.Idle() && wakeup.Wait(ctx, idlePollInterval, nil) {
	}
}
