// Package callerlimit bounds what the callers of a listener make a process hold: their
// connections, request heads while they are read, bodies and unread responses. The bound
// is on all connections together. When it is reached, the connection that has been idle
// or incomplete for longest is closed.
package callerlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Costs of what a connection holds, in bytes. They include garbage that isn't collected
// yet: 600 heads of 4,000 short fields take 300 kB each in net/http.
const (
	// connectionBytes covers two buffers of 4 kB, the goroutine and the structures of
	// one connection.
	connectionBytes = 20 << 10
	// multiplexedBytes is connectionBytes of an HTTP/2 connection, with its frame buffer
	// and its header table.
	multiplexedBytes = 32 << 10
	// streamBytes covers the goroutine and the structures of one HTTP/2 stream.
	streamBytes = 24 << 10
	// lineBytes is the cost of one line of a head, besides its bytes.
	lineBytes = 128
	// copies is how often each byte of a head or a body is held: once as it is used, and
	// once in a buffer that grows by doubling.
	copies = 2
)

// DefaultHeadLines is the default of MaxHeadLines. A head of 16 KiB can't reach it: the
// shortest field takes three bytes, with a bare line feed at its end.
const DefaultHeadLines = 8192

// garbageShare is the part of Memory, one eighth, that closed connections and answered
// requests may hold beyond it. The garbage collector is run when they may have left as much.
const garbageShare = 8

// checksPerGarbage is how often the cycles of the garbage collector are read while garbage
// of an eighth of Memory is counted.
const checksPerGarbage = 8

// defaultMaxStreams is how many streams net/http (Go 1.26) allows a connection if its server
// doesn't set a number.
const defaultMaxStreams = 250

// maxQueuedPerStream bounds the streams whose handlers net/http (Go 1.26) hasn't started, in
// multiples of the streams that it allows. It closes a connection that exceeds the bound.
const maxQueuedPerStream = 4

// settleDelay is the time in which the handler of a stream that was reset usually begins. A
// handler that begins later is charged again.
const settleDelay = time.Second

// maxAcceptDelay bounds the wait before a connection is accepted, or a part of a head is
// parsed.
const maxAcceptDelay = 250 * time.Millisecond

// errClosed is returned for a connection that was closed because of a bound.
var errClosed = errors.Wrap(net.ErrClosed, "limits of callers")

// Limiter bounds the connections of one or more listeners. Its exported fields aren't
// changed after the first use. The zero value bounds only the lines of a head. Methods
// are safe for concurrent use.
type Limiter struct {
	// Memory bounds the bytes that all connections hold; zero means no bound.
	Memory int64
	// MaxConnections bounds the open connections; zero means no bound.
	MaxConnections int
	// MaxHeadLines bounds the lines of a request's head, the request line included; zero
	// means DefaultHeadLines.
	MaxHeadLines int
	// Streams is set if connections carry many requests at a time, as in HTTP/2. Then the
	// server bounds the heads, and a connection waits while no complete request runs.
	Streams bool
	// WriteTimeout bounds each write to a caller; zero means that the server does.
	WriteTimeout time.Duration
	// OnClose is called after connections were closed because of a bound; it may be nil.
	OnClose func()
	// OnReset is called after a stream was reset because its response wasn't read and the
	// bound was reached; it may be nil.
	OnReset func()

	// maxStreams is how many streams a connection may have; set by Configure if Streams is.
	maxStreams int

	closed, resets atomic.Uint64
	mutex          sync.Mutex
	// held is the sum of what the open connections hold, in bytes.
	held  int64
	count int
	// closing is what closed connections hold until the server has closed them, too, and
	// the handlers of their requests have returned.
	closing int64
	// uncollected is what answered requests, and connections that were closed because of a
	// bound, held, and what the garbage collector may not have freed.
	uncollected int64
	// checked is the part of uncollected that was counted when the garbage collector had
	// completed checkedCycles cycles. It is freed when two more are completed, because one
	// may have been running. The cycles are read when uncollected reaches nextCheck.
	checked, nextCheck int64
	checkedCycles      uint64
	// collecting is set while the garbage collector runs for the limiter.
	collecting bool
	// roomMade is closed when hasRoom becomes true; nil if nobody waits.
	roomMade chan struct{}
	// waiting holds the connections that no complete request runs on, and those that wait
	// for their caller to read. The first has waited for longest.
	waiting list.List
	// unread holds the responses of streams that wait for their caller to read. The first
	// has waited for longest.
	unread list.List
}

// Wrap returns the connection with its limits. It returns an error, and closes the
// connection unread, if there is no room for it.
func (l *Limiter) Wrap(conn net.Conn) (net.Conn, error) {
	c := &limitedConn{
		Conn:     conn,
		limiter:  l,
		received: frameReader{skip: prefaceBytes},
		open:     map[uint32]struct{}{},
		handlers: map[*http.Request]struct{}{},
		done:     make(chan struct{}),
	}
	l.awaitRoom(c)
	l.mutex.Lock()
	l.count++
	c.startWaiting()
	fits := l.charge(c, l.connectionCost())
	l.mutex.Unlock()
	if !fits {
		_ = c.Close()
		return nil, errClosed
	}
	return c, nil
}

// connectionCost returns the cost of a connection without its requests.
func (l *Limiter) connectionCost() int64 {
	if l.Streams {
		return multiplexedBytes
	}
	return connectionBytes
}

// awaitRoom waits until the server has released enough of the closed connections, and the
// garbage collector has freed them and the answered requests, so that their memory and that
// of the open connections together stay near the bound. It reports whether the connection
// is still open.
//
// The soft limit of the garbage collector isn't enough: when it takes more than half of the
// CPU time, the runtime lets the heap grow instead. On a busy machine, heads of 600 callers
// have brought a process with a limit of 64 MB to 125 MB.
func (l *Limiter) awaitRoom(c *limitedConn) bool {
	var timeout *time.Timer
	for {
		l.mutex.Lock()
		if c.closed || l.hasRoom() {
			open := !c.closed
			l.mutex.Unlock()
			return open
		}
		if !l.collecting && l.uncollected >= l.Memory/garbageShare {
			l.collecting = true
			go l.collect(l.uncollected)
		}
		if l.roomMade == nil {
			l.roomMade = make(chan struct{})
		}
		roomMade := l.roomMade
		l.mutex.Unlock()
		if timeout == nil {
			timeout = time.NewTimer(maxAcceptDelay)
			defer timeout.Stop()
		}
		select {
		case <-roomMade:
		case <-c.done:
			return false
		case <-timeout.C:
			return true
		}
	}
}

// hasRoom reports whether closed connections and answered requests hold little, or fit
// beside the open connections. The mutex is held.
func (l *Limiter) hasRoom() bool {
	return l.Memory <= 0 || l.closing+l.uncollected <= max(l.Memory-l.held, l.Memory/garbageShare)
}

// discard counts memory that is no longer in use, and that the garbage collector has yet to
// free. The mutex is held.
func (l *Limiter) discard(count int64) {
	if l.Memory <= 0 || count <= 0 {
		return
	}
	l.uncollected += count
	if l.uncollected >= l.nextCheck && !l.collecting {
		if cycles := completedCycles(); cycles >= l.checkedCycles+2 {
			l.uncollected -= l.checked
			l.checked, l.checkedCycles = l.uncollected, cycles
		}
		l.nextCheck = l.uncollected + l.Memory/garbageShare/checksPerGarbage
	}
	l.tellRoom()
}

// completedCycles returns how often the garbage collector has run.
func completedCycles() uint64 {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}

// collect runs the garbage collector, which frees count bytes of those not collected.
func (l *Limiter) collect(count int64) {
	runtime.GC()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.collecting = false
	l.uncollected -= count
	l.checked, l.checkedCycles = l.uncollected, completedCycles()
	l.nextCheck = 0
	l.tellRoom()
}

// tellRoom wakes those that wait for room, if there is some or the garbage collector has to
// run. The mutex is held.
func (l *Limiter) tellRoom() {
	if l.roomMade != nil && (l.hasRoom() || !l.collecting && l.uncollected >= l.Memory/garbageShare) {
		close(l.roomMade)
		l.roomMade = nil
	}
}

// Listener returns a listener whose connections have the limits.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	return limitedListener{Listener: listener, limiter: l}
}

// Held returns the bytes that the open connections hold by the limiter's count.
func (l *Limiter) Held() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.held
}

// Closing returns the bytes that closed connections hold until the server has closed
// them, too, and the handlers of their requests have returned.
func (l *Limiter) Closing() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closing
}

// Closed returns how many connections were closed because of a bound.
func (l *Limiter) Closed() uint64 { return l.closed.Load() }

// Resets returns how many streams were reset because their responses weren't read and the
// bound was reached.
func (l *Limiter) Resets() uint64 { return l.resets.Load() }

// Configure makes a server keep the limits: it must serve connections of Wrap or
// Listener only. It is called before the server serves.
func (l *Limiter) Configure(server *http.Server) {
	server.Handler = handler{next: server.Handler, limiter: l}
	if l.Streams {
		l.maxStreams = defaultMaxStreams
		if server.HTTP2 != nil && server.HTTP2.MaxConcurrentStreams > 0 {
			l.maxStreams = server.HTTP2.MaxConcurrentStreams
		}
	}
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		return withConn(ctx, conn)
	}
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if limited, ok := conn.(*limitedConn); ok && state == http.StateIdle && !l.Streams {
			limited.beginHead()
		}
		if next != nil {
			next(conn, state)
		}
	}
}

// charge adds to what the connection holds, and closes connections while a bound is
// exceeded. It reports whether this connection is still open. The mutex is held.
func (l *Limiter) charge(c *limitedConn, count int64) bool {
	if c.closed {
		return false
	}
	c.held += count
	l.held += count
	for l.exceeded() {
		if front := l.waiting.Front(); front != nil {
			l.close(front.Value.(*limitedConn))
		} else if !l.abortUnread() {
			break
		}
	}
	return !c.closed
}

// abortUnread ends the stream whose response has waited for longest to be read, on a
// connection that other calls keep open. It reports whether that lowers the sum of what
// exceeds a bound. The mutex is held.
func (l *Limiter) abortUnread() bool {
	front := l.unread.Front()
	if front == nil || l.Memory <= 0 || l.held <= l.Memory {
		return false
	}
	response := front.Value.(*streamResponse)
	response.conn.releaseResponse(response)
	response.aborting.Go(response.abort)
	l.resets.Add(1)
	if l.OnReset != nil {
		// The callback may take locks of its own.
		go l.OnReset()
	}
	return true
}

func (l *Limiter) exceeded() bool {
	return l.Memory > 0 && l.held > l.Memory || l.MaxConnections > 0 && l.count > l.MaxConnections
}

// close closes a connection because of a bound. The mutex is held.
func (l *Limiter) close(c *limitedConn) {
	c.forBound = true
	l.markClosed(c)
	l.closed.Add(1)
	// Without lingering, the kernel drops what the caller hasn't read.
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	if l.OnClose != nil {
		// The callback may take locks of its own.
		go l.OnClose()
	}
}

// releaseClosed releases what a closed connection holds, except for its requests.
func (l *Limiter) releaseClosed(c *limitedConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.markClosed(c)
	count := c.closing - c.requestsHeld
	if count <= 0 {
		return
	}
	l.releaseClosing(c, count)
	if !c.forBound {
		// The server reuses the buffers of a connection.
		count -= l.connectionCost()
	}
	l.discard(count)
}

// markClosed counts the connection as closed. The mutex is held.
func (l *Limiter) markClosed(c *limitedConn) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	l.count--
	l.held -= c.held
	c.closing = c.held
	l.closing += c.closing
	c.held = 0
	c.stopWaiting()
}

// releaseClosing subtracts from what a closed connection holds. The mutex is held.
func (l *Limiter) releaseClosing(c *limitedConn, count int64) {
	count = min(count, c.closing)
	c.closing -= count
	l.closing -= count
	l.tellRoom()
}

// maxQueued returns how many streams of a connection net/http may hold without having
// started their handlers.
func (l *Limiter) maxQueued() int { return maxQueuedPerStream*l.maxStreams + 1 }

func (l *Limiter) maxHeadLines() int {
	if l.MaxHeadLines > 0 {
		return l.MaxHeadLines
	}
	return DefaultHeadLines
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited, err := l.limiter.Wrap(conn); err == nil {
			return limited, nil
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
