// Package drainlistener accepts connections and stops without resetting those
// that are still in the accept queue: closing a listening socket resets the
// connections that the kernel has completed and the process hasn't accepted.
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
	// quietTime without a new connection ends the listening; drainTime ends it in
	// any case.
	quietTime = 20 * time.Millisecond
	drainTime = 300 * time.Millisecond
)

// Listener is a listening socket. Accept is called by one goroutine.
type Listener struct {
	*net.TCPListener

	// drainBy is when the listening ends, in nanoseconds of Unix time; zero before
	// Drain.
	drainBy atomic.Int64
	// drained is closed, once, when Accept has returned the last connection and was
	// called again.
	drained chan struct{}
	once    sync.Once
	// last are the connections that were found when the listening ended. Only
	// Accept uses it.
	last  []net.Conn
	ended bool
	// endError is set before drained is closed.
	endError error
}

// Listen listens at the address.
func Listen(address netip.AddrPort) (*Listener, error) {
	socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: socket, drained: make(chan struct{})}, nil
}

// Accept returns the next connection, or net.ErrClosed after Close and once a
// listener that drains has no connection left.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.ended {
		drainBy := l.drainBy.Load()
		if now := time.Now(); drainBy != 0 {
			if now.UnixNano() >= drainBy {
				l.end()
				break
			}
			if err := l.SetDeadline(now.Add(quietTime)); err != nil {
				l.end()
				break
			}
		}
		conn, err := l.TCPListener.Accept()
		var timeout net.Error
		switch {
		case err == nil:
			return conn, nil
		case errors.As(err, &timeout) && timeout.Timeout():
			if drainBy != 0 {
				l.end()
			}
		case errors.Is(err, net.ErrClosed):
			l.end()
		default:
			return nil, errors.Wrap(err, "accept")
		}
	}
	if len(l.last) == 0 {
		l.once.Do(func() { close(l.drained) })
		return nil, net.ErrClosed
	}
	conn := l.last[0]
	l.last = l.last[1:]
	return conn, nil
}

// end takes the connections that wait in the kernel and closes the socket right
// after, in the shortest time that is possible.
func (l *Listener) end() {
	l.ended = true
	// A second close reports that the socket is closed, which is what was wanted.
	defer func() { _ = l.Close() }()
	raw, err := l.SyscallConn()
	if err != nil {
		l.endError = errors.Wrap(err, "accept the last connections")
		return
	}
	var taken []int
	controlError := raw.Control(func(fd uintptr) {
		for {
			one, _, err := syscall.Accept(int(fd))
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				break
			}
			taken = append(taken, one)
		}
		// If this fails, Close ends the listening, a little later.
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	if controlError != nil && !errors.Is(controlError, net.ErrClosed) {
		l.endError = errors.Wrap(controlError, "accept the last connections")
	}
	for _, one := range taken {
		conn, err := connection(one)
		if err != nil {
			l.endError = err
			continue
		}
		l.last = append(l.last, conn)
	}
}

// connection returns the connection of an accepted descriptor.
func connection(descriptor int) (net.Conn, error) {
	if err := syscall.SetNonblock(descriptor, true); err != nil {
		_ = syscall.Close(descriptor)
		return nil, errors.Wrap(err, "accept")
	}
	file := os.NewFile(uintptr(descriptor), "accepted")
	// FileConn duplicates the descriptor.
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	return conn, nil
}

// Drain accepts what callers have opened, and returns once Accept has returned all
// of it and was called again, or the context ends. An error tells that connections
// may have been cut off.
func (l *Listener) Drain(ctx context.Context) error {
	l.drainBy.Store(time.Now().Add(drainTime).UnixNano())
	// The deadline makes an Accept in progress return.
	if err := l.SetDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "drain listener")
	}
	select {
	case <-l.drained:
		return l.endError
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain listener")
	}
}
