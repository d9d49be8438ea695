package peerrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
	"github.com/ebonyworks/ebonyworks/state/traffic"
)

// WithTraffic counts the bytes of a client's connections to hosts of other failure
// domains than the given one.
func WithTraffic(domain ebonyworks.DomainID, counter *traffic.Counter) Option {
	return func(o *options) { o.domain, o.traffic = domain, counter }
}

// trafficPurpose returns the purpose of a call. Gateways make no other calls.
func trafficPurpose(procedure string) ebonyworks.TrafficPurpose {
	switch procedure {
	case peerv1connect.PeerServiceForwardProcedure:
		return ebonyworks.TrafficDelegation
	case peerv1connect.PeerServiceFollowProcedure:
		return ebonyworks.TrafficStore
	case peerv1connect.PeerServiceTakePermitsProcedure:
		return ebonyworks.TrafficPermits
	default:
		return ebonyworks.TrafficMembership
	}
}

// trafficMeter counts the bytes of connections to other hosts. A nil trafficMeter counts
// nothing.
type trafficMeter struct {
	domain  ebonyworks.DomainID
	counter *traffic.Counter

	mutex sync.Mutex
	// peers has at most maxClients entries, by address.
	peers map[string]*peerTraffic
}

// peerTraffic counts the bytes exchanged with one address. Several calls share its
// connection. The bytes of messages are counted for their call; all others, which are
// headers and frames of HTTP/2, for the call that ends next.
type peerTraffic struct {
	meter *trafficMeter

	mutex sync.Mutex
	// known is set once the domain of the host is known, and crosses if it is another
	// domain than the meter's. The bytes before that are in pending.
	known, crosses bool
	pending        traffic.Counter
	// unassigned are the bytes by direction that belong to no call yet. They are
	// negative while a message that was read hasn't been sent.
	unassigned [ebonyworks.TrafficDirections]int
}

// newTrafficMeter returns nil if there is no counter.
func newTrafficMeter(o options) *trafficMeter {
	if o.traffic == nil {
		return nil
	}
	return &trafficMeter{domain: o.domain, counter: o.traffic, peers: make(map[string]*peerTraffic)}
}

// peer returns the counts of the host at the address.
func (m *trafficMeter) peer(address string) *peerTraffic {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if peer, found := m.peers[address]; found {
		return peer
	}
	if len(m.peers) >= maxClients {
		clear(m.peers)
	}
	peer := &peerTraffic{meter: m}
	m.peers[address] = peer
	return peer
}

// learn records the failure domain of the host at the address. The empty domain is
// unknown.
func (m *trafficMeter) learn(address netip.AddrPort, domain ebonyworks.DomainID) {
	if m == nil || domain == "" {
		return
	}
	peer := m.peer(address.String())
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.crosses = domain != m.domain
	if peer.known {
		return
	}
	peer.known = true
	for purpose := range ebonyworks.TrafficPurpose(ebonyworks.TrafficPurposes) {
		for direction := range ebonyworks.TrafficDirection(ebonyworks.TrafficDirections) {
			peer.count(purpose, direction, int(peer.pending.Bytes(purpose, direction)))
		}
	}
}

// count counts bytes of a call. The caller holds the mutex.
func (p *peerTraffic) count(purpose ebonyworks.TrafficPurpose, direction ebonyworks.TrafficDirection, bytes int) {
	switch {
	case !p.known:
		p.pending.Add(purpose, direction, bytes)
	case p.crosses:
		p.meter.counter.Add(purpose, direction, bytes)
	default:
	}
}

// transferred records bytes of a connection.
func (p *peerTraffic) transferred(direction ebonyworks.TrafficDirection, bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unassigned[direction] += bytes
}

// assign counts bytes of a message for its call.
func (p *peerTraffic) assign(purpose ebonyworks.TrafficPurpose, direction ebonyworks.TrafficDirection, bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unassigned[direction] -= bytes
	p.count(purpose, direction, bytes)
}

// endCall counts the bytes that belong to no message for the call.
func (p *peerTraffic) endCall(purpose ebonyworks.TrafficPurpose) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for direction := range ebonyworks.TrafficDirection(ebonyworks.TrafficDirections) {
		if bytes := p.unassigned[direction]; bytes > 0 {
			p.unassigned[direction] = 0
			p.count(purpose, direction, bytes)
		}
	}
}

// wrapDial returns a function that counts the bytes of the connections that it opens.
func (m *trafficMeter) wrapDial(dial DialFunc) DialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, peer: m.peer(address)}, nil
	}
}

// wrapTransport returns a transport that assigns the bytes of messages to their calls.
func (m *trafficMeter) wrapTransport(next http.RoundTripper) http.RoundTripper {
	if m == nil {
		return next
	}
	return meteredTransport{next: next, meter: m}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	peer *peerTraffic
}

// Read counts the bytes received.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.peer.transferred(ebonyworks.TrafficReceived, count)
	return count, err
}

// Write counts the bytes sent.
func (c *meteredConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.peer.transferred(ebonyworks.TrafficSent, count)
	return count, err
}

type meteredTransport struct {
	next  http.RoundTripper
	meter *trafficMeter
}

// RoundTrip sends the request.
func (t meteredTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	peer, purpose := t.meter.peer(request.URL.Host), trafficPurpose(request.URL.Path)
	if request.Body != nil && request.Body != http.NoBody {
		metered := *request
		metered.Body = &meteredBody{ReadCloser: request.Body, peer: peer, purpose: purpose, direction: ebonyworks.TrafficSent}
		request = &metered
	}
	response, err := t.next.RoundTrip(request)
	if err != nil {
		peer.endCall(purpose)
		return nil, err
	}
	response.Body = &meteredBody{ReadCloser: response.Body, peer: peer, purpose: purpose, direction: ebonyworks.TrafficReceived}
	return response, nil
}

// meteredBody is the body of a call. The call ends when the body of its response is
// closed.
type meteredBody struct {
	io.ReadCloser
	peer      *peerTraffic
	purpose   ebonyworks.TrafficPurpose
	direction ebonyworks.TrafficDirection
}

// Read counts the bytes of the message.
func (b *meteredBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.peer.assign(b.purpose, b.direction, count)
	return count, err
}

// Close ends the call if the body is that of the response.
func (b *meteredBody) Close() error {
	err := b.ReadCloser.Close()
	if b.direction == ebonyworks.TrafficReceived {
		b.peer.endCall(b.purpose)
	}
	return err
}
