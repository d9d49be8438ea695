package http1

import (
	"context"
	"net/netip"
	"time"
)

// maxReplacing bounds the replacements that are being opened at a time in one pool, so that
// requests don't wait for processor time or descriptors because of them.
const maxReplacing = 64

// ReplaceCanceled enables or disables the replacement of connections. While it is enabled,
// a connection that closes because the context of its exchange ended is replaced in the
// background by an idle one, so that the next exchange doesn't open a connection. Replaced
// are only connections to addresses that were in use in the last call of Retain, have no
// idle connection, and for which MayReconnect returns true. An error has no effect. No
// opening takes longer than DialTimeout, and none begins or is kept once it is disabled. It
// is disabled at first.
func (p *Pool) ReplaceCanceled(enabled bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replaces = enabled
}

// Replaced returns the number of connections that were opened in advance since start, as
// replacements. Opened includes them.
func (p *Pool) Replaced() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.replaced
}

// replace opens a replacement for the connection of a canceled exchange in the background.
// The closed connection had the idle timeout.
func (p *Pool) replace(request *Request, idleTimeout time.Duration) {
	if request.MayReconnect != nil && !request.MayReconnect() || !p.claimReplacement(request.To) {
		return
	}
	go p.openReplacement(request.To, idleTimeout)
}

// claimReplacement reports whether a replacement may be opened now. If so, the caller opens
// it.
func (p *Pool) claimReplacement(address netip.AddrPort) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.mayReplace(address) || p.replacing[address] || len(p.replacing) >= maxReplacing || p.hasIdle(address) {
		return false
	}
	if p.replacing == nil {
		p.replacing = make(map[netip.AddrPort]bool)
	}
	p.replacing[address] = true
	return true
}

// mayReplace reports whether connections to the address are replaced. The caller holds the
// mutex.
func (p *Pool) mayReplace(address netip.AddrPort) bool { return p.replaces && p.used[address] }

// hasIdle reports whether an idle connection to the address can still be used. The caller
// holds the mutex.
func (p *Pool) hasIdle(address netip.AddrPort) bool {
	kept := p.idle[address]
	return len(kept) > 0 && !kept[len(kept)-1].expired(time.Now())
}

// openReplacement opens the replacement and keeps it, if connections to the address are
// still replaced then. It has carried no exchange, so that put doesn't apply. A server may
// close such a connection earlier than one that has, so the idle timeout of the closed one
// only shortens the default.
func (p *Pool) openReplacement(address netip.AddrPort, idleTimeout time.Duration) {
	conn, err := p.open(context.Background(), address, time.Now().Add(DialTimeout))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.replacing, address)
	if err != nil {
		return
	}
	p.replaced++
	conn.idleTimeout = min(conn.idleTimeout, idleTimeout)
	if !p.mayReplace(address) || !p.keep(address, conn) {
		conn.discard()
	}
}
