// Package http1 is an HTTP/1.1 client with a pool of keep-alive connections. It
// never resends a request, and it detects what the client of net/http hides: whether
// any byte of the request was sent, and bytes that belong to no response.
package http1

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/traffic"
)

const (
	// DialTimeout bounds the opening of a connection. It allows many round trips
	// between the failure domains that are farthest apart, and is short enough to try
	// another server within usual deadlines.
	DialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout applies to connections whose peer sent no timeout in a
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the peer's idle timeout a connection is closed.
	idleMargin = 300 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
	// TCP keep-alive probes detect within 3 s that the peer of a connection is gone
	// without a reset.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readBufferBytes   = 4 << 10
)

// Pool is a pool of connections to servers. It is safe for concurrent use. The zero
// value is usable.
type Pool struct {
	// Budget bounds the memory of the responses that are being read; nil means no
	// bound. It must not be changed after the first use.
	Budget ebonyworks.MemoryBudget
	// Dial opens a connection to the address; nil means TCP. It must not be changed after
	// the first use.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mutex sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle map[netip.AddrPort][]*connection
	// opened counts the connections opened since start.
	opened uint64
	// replaces is set while connections of canceled exchanges are replaced.
	replaces bool
	// used is the set of the last call of Retain. The pool doesn't change it.
	used map[netip.AddrPort]bool
	// replacing holds the addresses to which a replacement is being opened, at most
	// maxReplacing.
	replacing map[netip.AddrPort]bool
	// replaced counts the replacements that were opened since start.
	replaced uint64
}

// connection is used by one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// budget may be nil.
	budget ebonyworks.MemoryBudget
	// lines is a reused buffer for heads of at most MaxHeadBytes. Between exchanges, its
	// capacity is at most readBufferBytes.
	lines []byte
	// headReserved is set while a large head has its memory in the budget.
	headReserved bool
	// idleTimeout is how long the peer keeps an idle connection open.
	idleTimeout time.Duration
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// reused is set after the first exchange, and lastID is the id of the last one.
	reused bool
	lastID string
	// traffic counts the bytes of the running exchange for the purpose; it may be nil.
	traffic *traffic.Counter
	purpose ebonyworks.TrafficPurpose
}

// Read reads from the peer and counts the bytes.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.Add(c.purpose, ebonyworks.TrafficReceived, count)
	return count, err
}

// Write writes to the peer and counts the bytes.
func (c *connection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.traffic.Add(c.purpose, ebonyworks.TrafficSent, count)
	return count, err
}

// Opened returns the number of connections opened since start.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Retain closes the idle connections to addresses that aren't in use, and those
// whose idle timeout has passed. Only connections to addresses in use are replaced. The
// set must not be changed afterwards.
func (p *Pool) Retain(used map[netip.AddrPort]bool) {
	now := time.Now()
	var closing []*connection
	p.mutex.Lock()
	p.used = used
	for address, kept := range p.idle {
		left := kept[:0]
		for _, conn := range kept {
			if !used[address] || conn.expired(now) {
				closing = append(closing, conn)
				continue
			}
			left = append(left, conn)
		}
		p.idle[address] = left
		if len(left) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, conn := range closing {
		conn.discard()
	}
}

// get returns a healthy idle connection, or opens one.
func (p *Pool) get(ctx context.Context, request *Request) (*connection, error) {
	for {
		conn := p.takeIdle(request.To)
		if conn == nil {
			begin := time.Now()
			conn, err := p.open(ctx, request.To, request.Deadline)
			request.OpenTime = time.Since(begin)
			return conn, err
		}
		// A duplicate of the last response would pass for the response to a request
		// with the same id.
		repeats := request.IDHeader != "" && conn.lastID == request.ID
		if !repeats && !conn.expired(time.Now()) && conn.healthy() {
			return conn, nil
		}
		conn.discard()
	}
}

func (p *Pool) takeIdle(address netip.AddrPort) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	p.idle[address] = kept[:len(kept)-1]
	return conn
}

func (p *Pool) open(ctx context.Context, address netip.AddrPort, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	opened, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "open connection")
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	conn := &connection{Conn: opened, idleTimeout: defaultIdleTimeout, budget: p.Budget}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn, nil
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// put returns a connection to the pool after a complete exchange.
func (p *Pool) put(address netip.AddrPort, conn *connection) {
	// The deadline is cleared, because an expired one would make the health check
	// before the next use fail.
	if err := conn.SetDeadline(time.Time{}); err != nil {
		conn.discard()
		return
	}
	conn.reused = true
	p.mutex.Lock()
	kept := p.keep(address, conn)
	p.mutex.Unlock()
	if !kept {
		conn.discard()
	}
}

// keep adds the connection to the idle ones, and reports whether there is room for it. The
// caller holds the mutex.
func (p *Pool) keep(address netip.AddrPort, conn *connection) bool {
	if len(p.idle[address]) >= maxIdlePerAddress {
		return false
	}
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*connection)
	}
	conn.idleSince = time.Now()
	p.idle[address] = append(p.idle[address], conn)
	return true
}

func (c *connection) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > c.idleTimeout-idleMargin
}

// healthy reports whether the peer has neither closed the idle connection nor sent
// bytes that belong to no request.
func (c *connection) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		noInput = errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noInput
}

// discard closes the connection. The error of Close is ignored, since the
// connection isn't used again.
func (c *connection) discard() { _ = c.Close() }
