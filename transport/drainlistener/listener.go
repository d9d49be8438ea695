// Package drainlistener has a TCP listener that can be stopped without resetting the
// connections in its accept queue: closing a listening socket resets the connections
// that the kernel has established and the process hasn't accepted. On Linux, a socket
// filter drops new handshakes before the last connections are accepted, so that none is
// established between the last accept and the close.
package drainlistener

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// A draining listener drops new handshakes after idleTimeout without a new connection,
	// and after drainTimeout in any case.
	idleTimeout  = 20 * time.Millisecond
	drainTimeout = 300 * time.Millisecond
	// handshakeTimeout is the time that handshakes in flight then have to end: the round
	// trip of a caller in the region. A caller whose handshake is dropped repeats it after
	// 1 s, and is then refused, so a longer time delays more callers than it serves.
	handshakeTimeout = 25 * time.Millisecond
)

// Listener is a listening socket. Accept is called by one goroutine.
type Listener struct {
	*net.TCPListener

	// drainDeadline is when the listener drops new handshakes at the latest, in Unix
	// nanoseconds; zero before Drain.
	drainDeadline atomic.Int64
	// drained is closed when Accept is called again after it has returned the last
	// connection. once guards against closing it twice.
	drained chan struct{}
	once    sync.Once
	// closeAt is when the listener stops; zero until new handshakes are dropped. That is
	// only during Drain, which doesn't return before the socket is closed. Only Accept uses
	// closeAt, remaining and stopped.
	closeAt time.Time
	// remaining are the connections that were in the accept queue when the listener
	// stopped.
	remaining []net.Conn
	stopped   bool
	// drainError is set before drained is closed.
	drainError error
}

// Listen listens at the address.
func Listen(address netip.AddrPort) (*Listener, error) {
	var config net.ListenConfig
	// Sockets of Multipath TCP, the default of package net, take no filter on Linux.
	config.SetMultipathTCP(false)
	socket, err := config.Listen(context.Background(), "tcp", net.TCPAddrFromAddrPort(address).String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	tcp, ok := socket.(*net.TCPListener)
	if !ok {
		_ = socket.Close()
		return nil, errors.Errorf("listen on %s: not a TCP socket: %T", address, socket)
	}
	return &Listener{TCPListener: tcp, drained: make(chan struct{})}, nil
}

// Accept returns the next connection. It returns net.ErrClosed after Close, and once
// a draining listener has no connection left.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.stopped {
		draining := l.drainDeadline.Load() != 0
		if draining && !l.prepareLastAccepts() {
			l.stop()
			break
		}
		conn, err := l.TCPListener.Accept()
		var timeout net.Error
		switch {
		case err == nil:
			return conn, nil
		case errors.As(err, &timeout) && timeout.Timeout():
			if draining && l.closeAt.IsZero() && !l.dropHandshakes() {
				l.stop()
			}
		case errors.Is(err, net.ErrClosed):
			l.stop()
		default:
			return nil, errors.Wrap(err, "accept")
		}
	}
	if len(l.remaining) == 0 {
		l.once.Do(func() { close(l.drained) })
		return nil, net.ErrClosed
	}
	conn := l.remaining[0]
	l.remaining = l.remaining[1:]
	return conn, nil
}

// prepareLastAccepts sets the deadline of the next accept while the listener drains. It
// reports false if the listener has to stop.
func (l *Listener) prepareLastAccepts() bool {
	now := time.Now()
	if l.closeAt.IsZero() && now.UnixNano() >= l.drainDeadline.Load() && !l.dropHandshakes() {
		return false
	}
	if l.closeAt.IsZero() {
		return l.SetDeadline(now.Add(idleTimeout)) == nil
	}
	return now.Before(l.closeAt) && l.SetDeadline(l.closeAt) == nil
}

// dropHandshakes drops new handshakes until the listener stops. It reports false where
// the system doesn't support that; then connections that arrive between the last accept
// and the close are reset.
func (l *Listener) dropHandshakes() bool {
	raw, err := l.SyscallConn()
	if err != nil || dropSYN(raw) != nil {
		return false
	}
	l.closeAt = time.Now().Add(handshakeTimeout)
	return true
}

// stop accepts all connections in the accept queue and closes the socket at once
// afterwards, since connections that are established in between are reset.
func (l *Listener) stop() {
	l.stopped = true
	// The error is ignored, because closing twice reports only that the socket is
	// closed already.
	defer func() { _ = l.Close() }()
	raw, err := l.SyscallConn()
	if err != nil {
		l.drainError = errors.Wrap(err, "accept the last connections")
		return
	}
	var descriptors []int
	controlError := raw.Control(func(fd uintptr) {
		for {
			descriptor, _, err := syscall.Accept(int(fd))
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				break
			}
			descriptors = append(descriptors, descriptor)
		}
		// The error is ignored, because Close stops the listening a little later.
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	if controlError != nil && !errors.Is(controlError, net.ErrClosed) {
		l.drainError = errors.Wrap(controlError, "accept the last connections")
	}
	for _, descriptor := range descriptors {
		conn, err := newConn(descriptor)
		if err != nil {
			l.drainError = err
			continue
		}
		l.remaining = append(l.remaining, conn)
	}
}

// newConn returns the connection of an accepted file descriptor.
func newConn(descriptor int) (net.Conn, error) {
	if err := syscall.SetNonblock(descriptor, true); err != nil {
		_ = syscall.Close(descriptor)
		return nil, errors.Wrap(err, "accept")
	}
	file := os.NewFile(uintptr(descriptor), "accepted")
	// The file is closed, because FileConn duplicates the descriptor.
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	return conn, nil
}

// Drain stops the listener after the pending connections have been accepted. It
// returns once Accept has returned all of them and was called again, or the context
// ends; the socket is closed in either case. An error means that connections may have
// been reset.
func (l *Listener) Drain(ctx context.Context) error {
	l.drainDeadline.Store(time.Now().Add(drainTimeout).UnixNano())
	// The deadline makes an Accept in progress return, so that it sees drainDeadline.
	if err := l.SetDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "drain listener")
	}
	select {
	case <-l.drained:
		return l.drainError
	case <-ctx.Done():
		// The socket may drop handshakes, so it must not stay open. The error is ignored,
		// because closing twice reports only that the socket is closed already.
		_ = l.Close()
		return errors.Wrap(ctx.Err(), "drain listener")
	}
}
