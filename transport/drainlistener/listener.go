// Package drainlistener has a TCP listener that can be stopped without resetting the
// connections in its accept queue: closing a listening socket resets the connections
// that the kernel has established and the process hasn't accepted.
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
	// A draining listener stops after idleTimeout without a new connection, and after
	// drainTimeout in any case.
	idleTimeout  = 20 * time.Millisecond
	drainTimeout = 300 * time.Millisecond
)

// Listener is a listening socket. Accept is called by one goroutine.
type Listener struct {
	*net.TCPListener

	// drainDeadline is when the listener stops at the latest, in Unix nanoseconds; zero
	// before Drain.
	drainDeadline atomic.Int64
	// drained is closed when Accept is called again after it has returned the last
	// connection. once guards against closing it twice.
	drained chan struct{}
	once    sync.Once
	// remaining are the connections that were in the accept queue when the listener
	// stopped. Only Accept uses remaining and stopped.
	remaining []net.Conn
	stopped   bool
	// drainError is set before drained is closed.
	drainError error
}

// Listen listens at the address.
func Listen(address netip.AddrPort) (*Listener, error) {
	socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: socket, drained: make(chan struct{})}, nil
}

// Accept returns the next connection. It returns net.ErrClosed after Close, and once
// a draining listener has no connection left.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.stopped {
		drainDeadline := l.drainDeadline.Load()
		if now := time.Now(); drainDeadline != 0 {
			if now.UnixNano() >= drainDeadline {
				l.stop()
				break
			}
			if err := l.SetDeadline(now.Add(idleTimeout)); err != nil {
				l.stop()
				break
			}
		}
		conn, err := l.TCPListener.Accept()
		var timeout net.Error
		switch {
		case err == nil:
			return conn, nil
		case errors.As(err, &timeout) && timeout.Timeout():
			if drainDeadline != 0 {
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

// stop accepts all connections in the accept queue and closes the socket at once
// afterwards, since connections that arrive in between are reset.
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
// ends. An error means that connections may have been reset.
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
		return errors.Wrap(ctx.Err(), "drain listener")
	}
}
