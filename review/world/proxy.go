package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// proxy forwards connections to an address. While it is cut, it behaves like a partition
// without resets: open connections carry nothing, and new ones aren't established.
type proxy struct {
	address string
	target  string

	listener net.Listener
	mutex    sync.Mutex
	healed   *sync.Cond
	cut      bool
	// fillers keep the accept queue full during a cut, so that the kernel drops handshakes.
	fillers []net.Conn
}

// newProxy starts a proxy at a free port of the loopback address.
func newProxy(ip, target string) (*proxy, error) {
	listener, err := listenShort(ip)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener}
	p.healed = sync.NewCond(&p.mutex)
	go func() {
		for {
			p.await()
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// listenShort listens with an accept queue of one connection.
func listenShort(ip string) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "proxy")
	defer file.Close()
	address := syscall.SockaddrInet4{Addr: [4]byte(net.ParseIP(ip).To4())}
	if err := syscall.Bind(fd, &address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// fill fills the accept queue until a handshake gets no answer.
func (p *proxy) fill() {
	for range 8 {
		conn, err := net.DialTimeout("tcp", p.address, 30*time.Millisecond)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, conn)
	}
}

// setCut cuts or heals the proxy.
func (p *proxy) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.fill()
		return
	}
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
	p.fillers = nil
	p.healed.Broadcast()
}

// await waits until the proxy isn't cut.
func (p *proxy) await() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	p.await()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	go p.copy(target, conn)
	p.copy(conn, target)
}

// copy forwards what one side sends.
func (p *proxy) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		p.await()
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}
