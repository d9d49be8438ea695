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

// greetingKey is the context key under which dial finds the greeting of the
// connection that it opens.
type greetingKey struct{}

// greeting tells when a new connection has received its first byte or ended.
type greeting struct {
	once sync.Once
	done chan struct{}
	// err is set before done is closed.
	err error
}

func (g *greeting) finish(err error) {
	g.once.Do(func() {
		g.err = err
		close(g.done)
	})
}

// greetedConn reports the first read to its greeting.
type greetedConn struct {
	net.Conn
	greeting *greeting
}

// Read reads and reports the first byte or error.
func (c *greetedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.greeting.finish(nil)
	} else if err != nil {
		c.greeting.finish(err)
	}
	return n, err
}

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDial returns a function that opens connections from the local address, if
// one is given, and reports their first byte to the greeting in the context.
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
		return &greetedConn{Conn: conn, greeting: ctx.Value(greetingKey{}).(*greeting)}, nil
	}
}

// open dials a server and waits for its first byte. A server closes a
// connection beyond its cap without a byte; a request that was already written
// to it would have an unknown outcome.
func open(ctx context.Context, transport *http.Transport, address string, timeout time.Duration) (*http.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	greeting := &greeting{done: make(chan struct{})}
	conn, err := transport.NewClientConn(context.WithValue(ctx, greetingKey{}, greeting), "http", address)
	if err != nil {
		return nil, err
	}
	select {
	case <-greeting.done:
		err = greeting.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
