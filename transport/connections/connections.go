// Package connections knows the open connections of an HTTP server. Shutdown of an
// http.Server drops requests that it reads from then on without an answer, and
// doesn't wait for connections that it is about to learn of; a server that waits
// until its connections are quiet drops none.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// quietPoll is the time between two looks at the connections.
const quietPoll = 2 * time.Millisecond

// Tracker tracks the open connections of one or more servers. The zero value is usable.
type Tracker struct {
	mutex sync.Mutex
	// awaited holds the open connections, and whether a request may be on its way
	// or running on them: from the start, and from its first byte to the end of
	// its answer.
	awaited map[net.Conn]bool
	// opened counts the connections handed to servers, and begun those of them
	// that the servers have reported.
	opened, begun int
}

// AddPending counts a connection that is about to be handed to a server. Without it,
// a connection counts only from when the server reports it.
func (c *Tracker) AddPending() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.opened++
}

// ConnState is an http.Server's ConnState.
func (c *Tracker) ConnState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.awaited == nil {
		c.awaited = make(map[net.Conn]bool)
	}
	switch state {
	case http.StateNew:
		c.begun++
		c.awaited[conn] = true
	case http.StateActive:
		c.awaited[conn] = true
	case http.StateIdle:
		c.awaited[conn] = false
	case http.StateClosed, http.StateHijacked:
		delete(c.awaited, conn)
	}
}

// Count returns the number of open connections.
func (c *Tracker) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.opened-c.begun) + len(c.awaited)
}

// Idle reports whether no request is on its way or running.
func (c *Tracker) Idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.begun < c.opened {
		return false
	}
	for _, awaited := range c.awaited {
		if awaited {
			return false
		}
	}
	return true
}

// WaitIdle returns once no request is on its way or running, or the context ends.
func (c *Tracker) WaitIdle(ctx context.Context) {
	for !c.Idle() && wakeup.Wait(ctx, quietPoll, nil) {
	}
}
