// Package idletimeout closes connections of an HTTP server that have been idle for too
// long. It replaces IdleTimeout of http.Server where connections speak HTTP/2: net/http of
// Go 1.26 restarts that timer when it ends the streams of a closed connection, and so
// holds the connection and its buffers, about 40 kB, until the timer fires.
package idletimeout

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes idle connections. The zero value closes none. Methods are safe for
// concurrent use.
//
// The connection is closed at once, without GOAWAY. So Timeout has to be longer than the
// time after which clients no longer send on an idle connection.
type Closer struct {
	// Timeout is how long a connection may be idle; zero means no bound. It isn't changed
	// after the first use.
	Timeout time.Duration

	mutex sync.Mutex
	// idle holds the connections that are idle, and no other.
	idle map[net.Conn]*idleState
}

// idleState is the time in which a connection is idle.
type idleState struct{ timer *time.Timer }

// ConnState updates the state of a connection. It is meant for the field ConnState of
// http.Server.
func (c *Closer) ConnState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if previous := c.idle[conn]; previous != nil {
		previous.timer.Stop()
		delete(c.idle, conn)
	}
	if state != http.StateIdle || c.Timeout <= 0 {
		return
	}
	if c.idle == nil {
		c.idle = make(map[net.Conn]*idleState)
	}
	current := &idleState{}
	current.timer = time.AfterFunc(c.Timeout, func() { c.close(conn, current) })
	c.idle[conn] = current
}

// close closes the connection, unless it has been used since the timer was started.
func (c *Closer) close(conn net.Conn, state *idleState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle[conn] == state {
		delete(c.idle, conn)
		// The server notices the close, and reports it.
		_ = conn.Close()
	}
}
