package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFaults are what a link does to its connections: delay holds every piece
// up, reset ends connections at once, and the others swallow the bytes of both or
// of one way. A connection that lost bytes stays silent for good.
var linkFaults = []string{"delay", "reset", "silent", "silent-out", "silent-back"}

// linkDelay is how long a link with the fault delay holds each piece up.
const linkDelay = 40 * time.Millisecond

// link is a proxy on the loopback network between two processes.
type link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault string
	conns map[net.Conn]bool
	// changed is when a fault last began or ended, and used when bytes last came from
	// the near side.
	changed, used time.Time
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		l.set("reset")
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// set begins a fault, or ends it with an empty name.
func (l *link) set(fault string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fault != fault {
		l.changed = time.Now()
	}
	l.fault = fault
	if fault != "reset" {
		return
	}
	for conn := range l.conns {
		abort(conn)
	}
}

// abort closes the connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// cleanSince reports whether the link has had no fault since the time.
func (l *link) cleanSince(at time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault == "" && l.changed.Before(at)
}

// usedSince reports whether bytes came from the near side since the time.
func (l *link) usedSince(at time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.used.After(at)
}

func (l *link) use() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.used = time.Now()
}

func (l *link) current() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.current() == "reset" {
			abort(conn)
			continue
		}
		go l.carry(conn)
	}
}

// carry joins the connection with one to the target until either ends.
func (l *link) carry(conn net.Conn) {
	onward, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(conn)
		return
	}
	l.mutex.Lock()
	l.conns[conn], l.conns[onward] = true, true
	l.mutex.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { l.copy(onward, conn, "silent-out", l.use) })
	ways.Go(func() { l.copy(conn, onward, "silent-back", func() {}) })
	ways.Wait()
	l.mutex.Lock()
	delete(l.conns, conn)
	delete(l.conns, onward)
	l.mutex.Unlock()
}

// copy moves bytes one way until the connection ends, and calls read for each piece.
func (l *link) copy(to, from net.Conn, silence string, read func()) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			read()
			switch fault := l.current(); fault {
			case "silent", silence:
				lost = true
			case "delay":
				time.Sleep(linkDelay)
			}
			if !lost {
				if _, failed := to.Write(buffer[:n]); failed != nil {
					abort(from)
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
