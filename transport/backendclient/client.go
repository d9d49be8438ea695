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
	// maxHeaderBytes bounds the header of a reply. The protocol has no header
	// fields of its own.
	maxHeaderBytes = 16 << 10
	// streamWindow is the flow-control window of one reply.
	streamWindow = 1 << 20
	// connectionWindow is the flow-control window of all replies on a connection.
	connectionWindow = 4<<20 - 1
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// Codec has the size limits of replies.
	Codec backendjson.Codec
	// ConnectionsPerServer is the wanted number of connections to each server,
	// 1 by default. It is reduced to a sixteenth of the server's connection
	// cap, so that 16 hosts fit, but not below 1.
	ConnectionsPerServer int
	// DialTimeout bounds the opening of a connection up to the first byte that
	// the server sends.
	DialTimeout time.Duration
	// IdleTimeout is when an unused connection is closed.
	IdleTimeout time.Duration
	// PingInterval is the silence after which a connection is probed, and
	// PingTimeout is how long the answer may take.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// LocalAddress is the address from which connections are opened. The zero
	// value leaves the choice to the system.
	LocalAddress netip.Addr
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
}

// Client is an ebonyworks.Backend over HTTP/2. It sends each request at most
// once and follows neither redirects nor proxy settings.
type Client struct {
	options   Options
	transport *http.Transport

	// life ends when the client is closed and bounds all dials.
	life context.Context
	end  context.CancelFunc

	mu sync.Mutex
	// shelves holds one entry per server that was used since it was last
	// retained.
	shelves map[place]*shelf
	closed  bool
}

// place identifies a server at one address. A server that moves gets new
// connections.
type place struct {
	server  ebonyworks.ServerID
	address string
}

var _ ebonyworks.Backend = (*Client)(nil)

// NewClient returns a client. Close releases its connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	life, end := context.WithCancel(context.Background())
	return &Client{
		options:   options,
		transport: newTransport(options),
		life:      life,
		end:       end,
		shelves:   make(map[place]*shelf),
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

func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
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
	answer := c.options.Codec.DecodeSearchReply(exchange.reply, search, server.ID)
	exchange.note(answer.Result)
	return answer
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
	confirmation := c.options.Codec.DecodeReservationReply(exchange.reply, reservation, server.ID)
	exchange.note(confirmation.Result)
	return confirmation
}

// Status asks a server for its report.
func (c *Client) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	exchange := c.exchange(ctx, service, server, call{method: http.MethodGet, path: backendjson.StatusPath})
	if exchange.result != ebonyworks.AttemptServed {
		return ebonyworks.ServerReport{}, exchange.result
	}
	report, result := c.options.Codec.DecodeReport(exchange.reply, server.ID)
	exchange.note(result)
	return report, result
}

// Retain closes the connections to all servers that aren't listed, once their
// requests in flight have ended.
func (c *Client) Retain(servers []ebonyworks.Server) {
	kept := make(map[place]struct{}, len(servers))
	for _, server := range servers {
		kept[placeOf(server)] = struct{}{}
	}
	for _, removed := range c.remove(kept) {
		removed.retire()
	}
}

// Close interrupts all requests and closes all connections. Later requests
// end as AttemptUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.end()
	for _, removed := range c.remove(nil) {
		removed.close()
	}
	c.transport.CloseIdleConnections()
}

func (c *Client) remove(kept map[place]struct{}) []*shelf {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*shelf
	for where, candidate := range c.shelves {
		if _, ok := kept[where]; !ok {
			removed = append(removed, candidate)
			delete(c.shelves, where)
		}
	}
	return removed
}

// shelf returns the connections to the server, or nil if the client is closed.
func (c *Client) shelf(service *ebonyworks.Service, server ebonyworks.Server) *shelf {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	where := placeOf(server)
	found, ok := c.shelves[where]
	if !ok {
		found = newShelf(c, where, c.connections(service))
		c.shelves[where] = found
	}
	return found
}

func (c *Client) connections(service *ebonyworks.Service) int {
	return min(c.options.ConnectionsPerServer, max(1, service.ConnectionCap/hostsPerCap))
}

func placeOf(server ebonyworks.Server) place {
	return place{server: server.ID, address: server.Address.String()}
}
