// Package backendclient sends sub-searches and reservations to backend servers
// over HTTP/2 without TLS.
package backendclient

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

const (
	defaultDialTimeout  = time.Second
	defaultIdleTimeout  = 10 * time.Minute
	defaultPingInterval = 5 * time.Second
	defaultPingTimeout  = 2 * time.Second
	// defaultDeadline bounds attempts whose context has no deadline.
	defaultDeadline = 10 * time.Second
	// hostsPerCap is the number of hosts that share the connection cap of a
	// server: 8 hosts, and 8 more while they are being replaced.
	hostsPerCap = 16
	// maxHeaderBytes bounds the header of a reply. It can be small, because the
	// protocol has no header fields of its own.
	maxHeaderBytes = 16 << 10
	// streamWindow is the flow-control window of one reply.
	streamWindow = 1 << 20
	// connectionWindow is the flow-control window of all replies on a connection.
	connectionWindow = 4<<20 - 1
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// Codec encodes requests and decodes replies; it sets the size limit of replies.
	Codec backendjson.Codec
	// ConnectionsPerServer is the maximum number of connections to each server,
	// 1 by default. It is reduced to a sixteenth of the server's connection
	// cap, so that 16 hosts can share the cap, but not below 1.
	ConnectionsPerServer int
	// DialTimeout bounds the time to open a connection and receive the first byte
	// of the server.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open.
	IdleTimeout time.Duration
	// PingInterval is the time without received frames after which a connection is
	// checked with a PING, and PingTimeout is how long the reply may take.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// LocalAddress is the address from which connections are opened. The zero
	// value lets the operating system choose.
	LocalAddress netip.Addr
	// Recorder receives events; nil discards them.
	Recorder ebonyworks.EventRecorder
}

// Client is an ebonyworks.Backend over HTTP/2. It sends each request at most
// once and follows neither redirects nor proxy settings.
type Client struct {
	options   Options
	transport *http.Transport

	// dialContext is the parent of all dials. Close cancels it.
	dialContext context.Context
	cancelDials context.CancelFunc

	mu sync.Mutex
	// pools has an entry for each server that was used and not removed by Retain
	// since.
	pools  map[endpoint]*serverPool
	closed bool
}

// endpoint is a server at one address. A server whose address changes gets new
// connections.
type endpoint struct {
	server  ebonyworks.ServerID
	address string
}

var _ ebonyworks.Backend = (*Client)(nil)

// NewClient returns a client. Close releases its connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	dialContext, cancel := context.WithCancel(context.Background())
	return &Client{
		options:     options,
		transport:   newTransport(options),
		dialContext: dialContext,
		cancelDials: cancel,
		pools:       make(map[endpoint]*serverPool),
	}
}

func (o Options) withDefaults() Options {
	o.ConnectionsPerServer = max(o.ConnectionsPerServer, 1)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	o.PingInterval = orDefault(o.PingInterval, defaultPingInterval)
	o.PingTimeout = orDefault(o.PingTimeout, defaultPingTimeout)
	return o
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Search runs a sub-search on one server.
func (c *Client) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	encode := func(remaining time.Duration) []byte {
		return c.options.Codec.EncodeSearch(backendjson.SearchRequest{Search: search, Remaining: remaining})
	}
	exchange := c.exchange(ctx, service, server, call{method: http.MethodPost, path: backendjson.SearchPath, encode: encode})
	if exchange.result != ebonyworks.AttemptServed {
		return ebonyworks.SubSearchReply{Result: exchange.result}
	}
	reply := c.options.Codec.DecodeSearchReply(exchange.reply, search, server.ID)
	exchange.recordIfInvalid(reply.Result)
	return reply
}

// Reserve runs a reservation on one server.
func (c *Client) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	encode := func(remaining time.Duration) []byte {
		return c.options.Codec.EncodeReservation(backendjson.ReserveRequest{Reservation: reservation, Remaining: remaining})
	}
	exchange := c.exchange(ctx, service, server, call{method: http.MethodPost, path: backendjson.ReservePath, encode: encode})
	if exchange.result != ebonyworks.AttemptServed {
		return ebonyworks.SubReservationReply{Result: exchange.result}
	}
	reply := c.options.Codec.DecodeReservationReply(exchange.reply, reservation, server.ID)
	exchange.recordIfInvalid(reply.Result)
	return reply
}

// Status requests the load and state report of a server.
func (c *Client) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	exchange := c.exchange(ctx, service, server, call{method: http.MethodGet, path: backendjson.StatusPath})
	if exchange.result != ebonyworks.AttemptServed {
		return ebonyworks.ServerReport{}, exchange.result
	}
	report, result := c.options.Codec.DecodeReport(exchange.reply, server.ID)
	exchange.recordIfInvalid(result)
	return report, result
}

// Retain closes the connections to all servers that aren't listed, once their
// requests in flight have ended.
func (c *Client) Retain(servers []ebonyworks.Server) {
	kept := make(map[endpoint]struct{}, len(servers))
	for _, server := range servers {
		kept[endpointOf(server)] = struct{}{}
	}
	for _, removed := range c.remove(kept) {
		removed.closeWhenUnused()
	}
}

// Close interrupts all requests and closes all connections. Later requests
// end as AttemptUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancelDials()
	for _, removed := range c.remove(nil) {
		removed.close()
	}
	c.transport.CloseIdleConnections()
}

// remove removes the pools of all endpoints that aren't kept, and returns them.
func (c *Client) remove(kept map[endpoint]struct{}) []*serverPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*serverPool
	for endpoint, candidate := range c.pools {
		if _, ok := kept[endpoint]; !ok {
			removed = append(removed, candidate)
			delete(c.pools, endpoint)
		}
	}
	return removed
}

// pool returns the pool of the server, or nil if the client is closed.
func (c *Client) pool(service *ebonyworks.Service, server ebonyworks.Server) *serverPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	endpoint := endpointOf(server)
	found, ok := c.pools[endpoint]
	if !ok {
		found = newServerPool(c, endpoint, c.connectionsPerServer(service))
		c.pools[endpoint] = found
	}
	return found
}

// connectionsPerServer returns the limit on connections to one server of the service.
func (c *Client) connectionsPerServer(service *ebonyworks.Service) int {
	return min(c.options.ConnectionsPerServer, max(1, service.ConnectionCap/hostsPerCap))
}

func endpointOf(server ebonyworks.Server) endpoint {
	return endpoint{server: server.ID, address: server.Address.String()}
}
