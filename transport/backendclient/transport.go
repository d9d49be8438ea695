package backendclient

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

func newTransport(options Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:              protocols,
		DialContext:            newDial(options.LocalAddress),
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests:   true,
			SendPingTimeout:               options.PingInterval,
			PingTimeout:                   options.PingTimeout,
			WriteByteTimeout:              options.PingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
}

// firstReadKey is the context key of the firstRead that the dial function passes
// to the connection that it opens.
type firstReadKey struct{}

// firstRead signals that a new connection has received its first byte or failed.
type firstRead struct {
	once sync.Once
	done chan struct{}
	// err is set before done is closed.
	err error
}

func (g *firstRead) finish(err error) {
	g.once.Do(func() {
		g.err = err
		close(g.done)
	})
}

// firstReadConn is a connection that reports the result of its first read.
type firstReadConn struct {
	net.Conn
	firstRead *firstRead
}

// Read reads from the connection and reports the first byte or error.
func (c *firstReadConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.firstRead.finish(nil)
	} else if err != nil {
		c.firstRead.finish(err)
	}
	return n, err
}

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDial returns a function that opens connections, from the local address if it
// is valid. Each connection reports its first byte to the firstRead in the context.
func newDial(local netip.Addr) dialFunc {
	var dialer net.Dialer
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &firstReadConn{Conn: conn, firstRead: ctx.Value(firstReadKey{}).(*firstRead)}, nil
	}
}

// open dials a server and waits for its first byte. A server closes connections
// beyond its cap without sending a byte, and a request that was already written to
// such a connection would have an unknown outcome.
func open(ctx context.Context, transport *http.Transport, address string, timeout time.Duration) (*http.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	firstRead := &firstRead{done: make(chan struct{})}
	conn, err := transport.NewClientConn(context.WithValue(ctx, firstReadKey{}, firstRead), "http", address)
	if err != nil {
		return nil, err
	}
	select {
	case <-firstRead.done:
		err = firstRead.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
