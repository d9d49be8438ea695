package server

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// door is a listener that enforces the connection cap of a server.
type door struct {
	net.Listener
	cap         int
	connectTime time.Duration
	gate        *gate

	mu    sync.Mutex
	open  int
	turns int
}

// Accept returns the next connection within the cap. Others are closed at once.
func (d *door) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !d.enter() {
			_ = conn.Close()
			continue
		}
		return &visit{
			Conn:   conn,
			door:   d,
			opened: time.Now(),
			host:   conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
			closed: make(chan struct{}),
		}, nil
	}
}

func (d *door) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.cap {
		d.turns++
		return false
	}
	d.open++
	return true
}

func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// connections returns the open connections and those closed beyond the cap.
func (d *door) connections() (open, turnedAway int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, d.turns
}

// visit is a connection whose first byte is read after the connect time and
// whose traffic stops while the server is frozen.
type visit struct {
	net.Conn
	door   *door
	opened time.Time
	host   netip.Addr

	once   sync.Once
	closed chan struct{}
	// connected is used by the reading goroutine only.
	connected bool
}

// Read reads after the connect time has passed.
func (v *visit) Read(buffer []byte) (int, error) {
	n, err := v.Conn.Read(buffer)
	if !v.connected && n > 0 {
		v.connected = true
		v.pause(time.Until(v.opened.Add(v.door.connectTime)))
	}
	v.door.gate.pass(v.closed)
	return n, err
}

func (v *visit) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-v.closed:
	}
}

// Write writes unless the server is frozen.
func (v *visit) Write(buffer []byte) (int, error) {
	v.door.gate.pass(v.closed)
	return v.Conn.Write(buffer)
}

// Close closes the connection and frees its place under the cap.
func (v *visit) Close() error {
	v.once.Do(func() {
		close(v.closed)
		v.door.leave()
	})
	return v.Conn.Close()
}

// visitKey is the context key of the visit of a request.
type visitKey struct{}

func withVisit(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, visitKey{}, conn)
}

// visitOf returns the connection of a request, or nil if the handler is used
// without the listener.
func visitOf(ctx context.Context) *visit {
	found, _ := ctx.Value(visitKey{}).(*visit)
	return found
}
