package connections_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/transport/connections"
)

// Guards against a server that is shut down while a request may be arriving or
// running: on a connection that was announced, that hasn't received a byte yet, or
// whose request is being answered.
func TestIdle(t *testing.T) {
	var c connections.Tracker
	first, second := new(net.TCPConn), new(net.TCPConn)
	assert.True(t, c.Idle())
	c.AddPending()
	assert.False(t, c.Idle(), "connection announced")
	for _, step := range []struct {
		conn  net.Conn
		state http.ConnState
		idle  bool
		count int
	}{
		{first, http.StateNew, false, 1},
		{first, http.StateActive, false, 1},
		{first, http.StateIdle, true, 1},
		{first, http.StateActive, false, 1},
		{second, http.StateNew, false, 2},
		{first, http.StateIdle, false, 2},
		{second, http.StateClosed, true, 1},
		{first, http.StateHijacked, true, 0},
	} {
		c.ConnState(step.conn, step.state)
		assert.Equal(t, step.idle, c.Idle(), step.state)
		assert.Equal(t, step.count, c.Count(), step.state)
	}
}

// Guards against a shutdown that a caller's open connection delays forever.
func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c connections.Tracker
		conn := new(net.TCPConn)
		c.ConnState(conn, http.StateNew)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		c.WaitIdle(ctx)
		assert.Equal(t, time.Second, time.Since(begin))
		c.ConnState(conn, http.StateClosed)
		c.WaitIdle(t.Context())
		assert.Equal(t, time.Second, time.Since(begin))
	})
}
