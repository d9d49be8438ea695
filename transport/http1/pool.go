// Package http1 runs single HTTP/1.1 exchanges over kept-alive connections. It
// never resends a request, and it shows what net/http's client hides: whether any
// byte of the request was sent, and bytes that belong to no response.
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
)

const (
	// DialTimeout bounds the opening of a connection. It is many round trips
	// between the domains that are farthest apart, and short enough to try
	// another server within usual deadlines.
	DialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose peer didn't say how
	// long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the peer's timeout a connection is dropped.
	idleMargin = 300 * time.Millisecond
	// maxIdle bounds the kept connections to one address.
	maxIdle = 16
	// Probes show within 3 s that a connection went silent without a reset.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readBuffer        = 4 << 10
)

// Pool keeps connections to servers. It is safe for concurrent use. The zero
// value is usable.
type Pool struct {
	// Budget bounds the bytes of responses that are read at a time; nil means no
	// bound. It isn't changed after the first use.
	Budget ebonyworks.MemoryBudget

	mutex sync.Mutex
	// idle holds the kept connections, the last used one last.
	idle map[netip.AddrPort][]*connection
	// opened counts the connections that were opened.
	opened uint64
}

// connection is used by one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// budget may be nil.
	budget ebonyworks.MemoryBudget
	// lines is scratch space for heads, at most MaxHeadBytes bytes.
	lines []byte
	// keepFor is how long the peer keeps the connection when it is idle.
	keepFor time.Duration
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// reused is set after the first exchange, and lastID is the id of the last one.
	reused bool
	lastID string
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Retain closes the kept connections to addresses that aren't named, and those
// that have been idle for too long.
func (p *Pool) Retain(named map[netip.AddrPort]bool) {
	now := time.Now()
	var closing []*connection
	p.mutex.Lock()
	for address, kept := range p.idle {
		left := kept[:0]
		for _, conn := range kept {
			if !named[address] || conn.expired(now) {
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

// get returns a kept connection that is sound, or opens one.
func (p *Pool) get(ctx context.Context, request *Request) (*connection, error) {
	for {
		conn := p.takeIdle(request.To)
		if conn == nil {
			return p.open(ctx, request.To, request.Deadline)
		}
		// A late copy of the last response would pass for the one to a request with
		// the same id.
		repeats := request.IDHeader != "" && conn.lastID == request.ID
		if !repeats && !conn.expired(time.Now()) && conn.quiet() {
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
	dialer := net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "open connection")
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), keepFor: defaultIdle, budget: p.Budget}, nil
}

// put keeps a connection after a complete exchange.
func (p *Pool) put(address netip.AddrPort, conn *connection) {
	// An expired deadline would make the connection look broken when it is
	// checked before its next use.
	if err := conn.SetDeadline(time.Time{}); err != nil {
		conn.discard()
		return
	}
	conn.reused = true
	conn.idleSince = time.Now()
	p.mutex.Lock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*connection)
	}
	full := len(p.idle[address]) >= maxIdle
	if !full {
		p.idle[address] = append(p.idle[address], conn)
	}
	p.mutex.Unlock()
	if full {
		conn.discard()
	}
}

func (c *connection) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > c.keepFor-idleMargin
}

// quiet reports whether the peer has neither closed the connection nor sent
// bytes that belong to no request.
func (c *connection) quiet() bool {
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
	sound := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		sound = errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && sound
}

// discard closes the connection; an error of closing says nothing more.
func (c *connection) discard() { _ = c.Close() }
