package daemon

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/settings"
	"github.com/ebonyworks/ebonyworks/state/memorybudget"
	"github.com/ebonyworks/ebonyworks/transport/callerlimit"
)

// limitLogInterval is the least time between two log lines about closed connections, or
// about streams that were reset.
const limitLogInterval = time.Second

// limiters bound what the connections of each listener hold.
type limiters struct {
	callers, peers, admin callerlimit.Limiter

	mutex sync.Mutex
	// closeLoggedAt and resetLoggedAt are when a closed connection, and a stream that was
	// reset, was last logged.
	closeLoggedAt, resetLoggedAt time.Time
}

// limit sets the limits of the process from its settings.
func (p *process) limit() {
	limits := p.settings.Limits
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(memorybudget.SoftLimit(limits.MemoryBytes(1)))
	}
	l := &p.limiters
	l.callers.Memory = limits.MemoryBytes(shareOf(limits.CallerMemoryPercent, settings.DefaultCallerMemoryPercent))
	l.callers.MaxConnections = int(callerlimit.CallerDescriptorShare * float64(limits.MaxDescriptors))
	l.callers.MaxHeadLines = limits.HeadLines
	l.callers.WriteTimeout = writeTimeout
	l.peers.Memory = limits.MemoryBytes(shareOf(limits.PeerMemoryPercent, settings.DefaultPeerMemoryPercent))
	l.peers.MaxConnections = int(callerlimit.PeerDescriptorShare * float64(limits.MaxDescriptors))
	l.peers.Streams = true
	l.admin.Memory = limits.MemoryBytes(callerlimit.AuxiliaryMemoryShare)
	l.admin.MaxConnections = int(callerlimit.AuxiliaryDescriptorShare * float64(limits.MaxDescriptors))
	l.admin.MaxHeadLines = limits.HeadLines
	l.admin.WriteTimeout = writeTimeout
	for name, limiter := range map[string]*callerlimit.Limiter{"callers": &l.callers, "peers": &l.peers, "admin": &l.admin} {
		limiter.OnClose = func() {
			p.recordLimit(&l.closeLoggedAt, event.CallerConnectionsClosed, name, limiter, "Closed", limiter.Closed())
		}
		limiter.OnReset = func() {
			p.recordLimit(&l.resetLoggedAt, event.CallerStreamsReset, name, limiter, "Reset", limiter.Resets())
		}
	}
}

// shareOf returns the share of a percentage, or of the default if it is zero.
func shareOf(percent, unset int) float64 {
	if percent == 0 {
		percent = unset
	}
	return float64(percent) / 100
}

// headerBytes returns the bound of a head in bytes.
func (p *process) headerBytes() int {
	if p.settings.Limits.HeaderBytes > 0 {
		return p.settings.Limits.HeaderBytes
	}
	return settings.DefaultHeaderBytes
}

// limited makes a server keep the limits.
func (p *process) limited(server *http.Server, limiter *callerlimit.Limiter) *http.Server {
	server.MaxHeaderBytes = p.headerBytes()
	limiter.Configure(server)
	return server
}

// recordLimit logs that a connection was closed, or a stream reset, because of a limit,
// unless loggedAt is less than limitLogInterval ago.
func (p *process) recordLimit(loggedAt *time.Time, id ebonyworks.EventID, name string, limiter *callerlimit.Limiter, counter string, count uint64) {
	p.limiters.mutex.Lock()
	defer p.limiters.mutex.Unlock()
	if now := time.Now(); now.Sub(*loggedAt) >= limitLogInterval {
		*loggedAt = now
		p.recorder.Record(event.New(id, event.Attribute("Listener", name),
			event.Attribute(counter, strconv.FormatUint(count, 10)), event.Attribute("HeldBytes", strconv.FormatInt(limiter.Held(), 10))))
	}
}
