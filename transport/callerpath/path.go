// Package callerpath measures how long the network between a caller and this host takes.
package callerpath

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// maxRoundTrip bounds the round-trip time that is used. A longer one is due to lost
// packets or to a caller that acknowledges late.
const maxRoundTrip = 250 * time.Millisecond

// Path is the network path of one connection of a caller. A nil Path has no measurement.
// It is safe for concurrent use.
type Path struct {
	// roundTrip returns the round-trip time, or zero if it isn't known. It is nil if the
	// connection has no socket.
	roundTrip func() time.Duration
	// used is set once Transit was called for the first request.
	used atomic.Bool
}

type contextKey struct{}

// NewContext returns the context of the requests of a connection. It is meant for the
// field ConnContext of http.Server.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, newPath(conn))
}

// FromContext returns the path of the connection on which a request arrived, or nil.
func FromContext(ctx context.Context) *Path {
	path, _ := ctx.Value(contextKey{}).(*Path)
	return path
}

func newPath(conn net.Conn) *Path {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return &Path{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return &Path{}
	}
	return &Path{roundTrip: func() time.Duration { return measure(raw) }}
}

// Transit returns how much of the time that a caller waits for its response passes in the
// network: one round trip, and another one for the opening of the connection if it is the
// connection's first request. It is called once for each request, and returns zero if
// the round-trip time isn't known.
func (p *Path) Transit() time.Duration {
	if p == nil || p.roundTrip == nil {
		return 0
	}
	roundTrip := min(p.roundTrip(), maxRoundTrip)
	if p.used.CompareAndSwap(false, true) {
		return 2 * roundTrip
	}
	return roundTrip
}
