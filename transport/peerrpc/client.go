// Package peerrpc is the RPC client and server for messages between entry hosts. It
// uses connect-go over HTTP/2 without TLS.
package peerrpc

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
	"github.com/ebonyworks/ebonyworks/protocol/peerproto"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
)

const (
	dialTimeout = time.Second
	// idleTimeout closes idle connections. With up to 30 peers, each peer is probed
	// more often than that, so that its connection stays open.
	idleTimeout = 30 * time.Second
	// pingInterval and pingTimeout detect that the peer of a silent connection is gone
	// while a reply is awaited. Shorter times would cost more than the probes of the
	// membership themselves.
	pingInterval = 15 * time.Second
	pingTimeout  = 2 * time.Second
	// unacknowledgedTimeout closes a connection whose sent data isn't acknowledged,
	// so that calls after a network partition don't wait for a late retransmission.
	unacknowledgedTimeout = 2 * time.Second
	writeTimeout          = 5 * time.Second
	// maxClients bounds the cache of clients by address.
	maxClients = 1024
	// minCompressBytes is the minimum size of compressed replies.
	minCompressBytes = 4 << 10
)

// DialFunc opens a connection to a host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends messages to other hosts. It never resends a message. Use NewClient.
type Client struct {
	options   options
	transport *http.Transport
	http      *http.Client
	// traffic may be nil.
	traffic *trafficMeter
	mu      sync.Mutex
	// clients has at most maxClients entries.
	clients map[netip.AddrPort]peerv1connect.PeerServiceClient
	// withoutEras are the hosts whose last report had revisions without an era. It has at
	// most maxClients entries.
	withoutEras map[netip.AddrPort]bool
}

var (
	_ ebonyworks.Peer        = (*Client)(nil)
	_ ebonyworks.ForwardPeer = (*Client)(nil)
	_ ebonyworks.StorePeer   = (*Client)(nil)
	_ ebonyworks.PermitPeer  = (*Client)(nil)
	_ ebonyworks.FailurePeer = (*Client)(nil)
)

// NewClient returns a client. A nil dial opens TCP connections.
func NewClient(dial DialFunc, list ...Option) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}).DialContext
	}
	chosen := newOptions(list)
	meter := newTrafficMeter(chosen)
	transport := &http.Transport{
		DialContext:     meter.wrapDial(dial),
		Protocols:       unencryptedHTTP2(),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout},
	}
	return &Client{
		options:   chosen,
		transport: transport,
		http:      &http.Client{Transport: noResendTransport{next: meter.wrapTransport(transport)}, CheckRedirect: refuseRedirect},
		traffic:   meter,
		clients:   make(map[netip.AddrPort]peerv1connect.PeerServiceClient),

		withoutEras: make(map[netip.AddrPort]bool),
	}
}

// Close closes the idle connections. Calls in flight aren't interrupted.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Ping probes a host and exchanges gossip with it.
func (c *Client) Ping(ctx context.Context, to netip.AddrPort, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	reply, err := c.client(to).Exchange(ctx, &peerv1.ExchangeRequest{Facts: peerproto.EncodeGossipMessage(message)})
	if err != nil {
		return ebonyworks.GossipMessage{}, errors.Wrapf(err, "ping %s", to)
	}
	answer, err := peerproto.DecodeGossipMessage(reply.GetFacts())
	c.traffic.learn(to, answer.From.Domain)
	return answer, err
}

// IndirectPing asks the host at via to probe the target, and reports whether the
// target answered.
func (c *Client) IndirectPing(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	reply, err := c.client(via).Relay(ctx, &peerv1.RelayRequest{Target: peerproto.EncodeAddress(target)})
	if err != nil {
		return false, errors.Wrapf(err, "indirect ping via %s", via)
	}
	return reply.GetAnswered(), nil
}

// FetchManifest returns the bytes of the newest manifest that the host accepted.
func (c *Client) FetchManifest(ctx context.Context, from netip.AddrPort) ([]byte, error) {
	reply, err := c.client(from).FetchHead(ctx, &peerv1.FetchHeadRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "fetch manifest from %s", from)
	}
	return reply.GetHead(), nil
}

// FetchPart returns the bytes of the configuration part with the digest. The caller
// must check the digest.
func (c *Client) FetchPart(ctx context.Context, from netip.AddrPort, digest ebonyworks.Digest) ([]byte, error) {
	reply, err := c.client(from).FetchPart(ctx, &peerv1.FetchPartRequest{Digest: digest[:]})
	if err != nil {
		return nil, errors.Wrapf(err, "fetch part from %s", from)
	}
	if len(reply.GetPart()) > maxDocumentBytes {
		return nil, errors.Errorf("fetch part from %s: %d bytes are larger than %d", from, len(reply.GetPart()), maxDocumentBytes)
	}
	return reply.GetPart(), nil
}

// Reserve forwards a reservation to the host that issued its ticket.
func (c *Client) Reserve(ctx context.Context, to ebonyworks.Host, reservation ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	ctx, guard := withSendGuard(ctx)
	reply, err := c.client(to.Address).Reserve(ctx, peerproto.EncodeReservation(to, reservation, time.Now()))
	return deliveryResult(reply.GetOutcome(), err, guard)
}

// Outcome forwards a query for an outcome to a host.
func (c *Client) Outcome(ctx context.Context, to ebonyworks.Host, ticket string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	ctx, guard := withSendGuard(ctx)
	reply, err := c.client(to.Address).Outcome(ctx, &peerv1.OutcomeRequest{To: peerproto.EncodeHost(to), Ticket: ticket})
	return deliveryResult(reply.GetOutcome(), err, guard)
}

// TransferLedger sends a closed ledger to a host.
func (c *Client) TransferLedger(ctx context.Context, to ebonyworks.Host, ledger ebonyworks.ClosedLedger) error {
	_, err := c.client(to.Address).HandOver(ctx, peerproto.EncodeLedger(ledger, time.Now()))
	if err != nil {
		return errors.Wrapf(err, "transfer ledger to %s", to.ID)
	}
	return nil
}

// ReportCrashes sends crash reports to a host.
func (c *Client) ReportCrashes(ctx context.Context, to netip.AddrPort, reports []ebonyworks.CrashReport) error {
	_, err := c.client(to).Report(ctx, &peerv1.ReportRequest{Crashes: peerproto.EncodeCrashes(reports)})
	if err != nil {
		return errors.Wrapf(err, "report crashes to %s", to)
	}
	return nil
}

// ReportFailures sends a failure report to a host.
func (c *Client) ReportFailures(ctx context.Context, to ebonyworks.Host, report ebonyworks.FailureReport) error {
	c.traffic.learn(to.Address, to.Domain)
	if _, err := c.client(to.Address).Report(ctx, peerproto.EncodeFailureReport(report)); err != nil {
		return errors.Wrapf(err, "report failures to %s", to.Address)
	}
	return nil
}

// Forward runs an idempotent request on the host.
func (c *Client) Forward(ctx context.Context, to ebonyworks.Host, request *ebonyworks.ForwardRequest, delegation ebonyworks.Delegation) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	c.traffic.learn(to.Address, to.Domain)
	ctx, guard := withSendGuard(ctx)
	wire, err := c.client(to.Address).Forward(ctx, peerproto.EncodeForwardRequest(request, delegation, time.Now()))
	if err != nil {
		if guard.abortIfUnsent() {
			return ebonyworks.ForwardReply{}, ebonyworks.NotDelivered
		}
		return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
	}
	reply, accepted, err := peerproto.DecodeForwardReply(wire)
	if err != nil {
		return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
	}
	if !accepted {
		return ebonyworks.ForwardReply{}, ebonyworks.NotDelivered
	}
	return reply, ebonyworks.Delivered
}

// Follow waits for changes of the platform's store after the given revision, and
// returns the report of the host. The revisions of a host that doesn't know eras are those
// of the era of the given revision.
func (c *Client) Follow(ctx context.Context, from ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreReport, error) {
	c.traffic.learn(from.Address, from.Domain)
	knowsEras := c.knowsEras(from.Address)
	report, err := c.follow(ctx, from, after, wait, knowsEras)
	if err != nil || report.Stale {
		return report, err
	}
	c.noteEras(from.Address, !report.LacksEra)
	if report.LacksEra && knowsEras && after.Era() > 0 {
		// The host took the revision with its era for one that it doesn't know yet.
		report, err = c.follow(ctx, from, after, 0, false)
	}
	if err == nil && report.LacksEra && after.Era() > 0 {
		report.StoreListing = storereport.InEra(report.StoreListing, after.Era())
	}
	return report, err
}

// follow sends one request for a report.
func (c *Client) follow(ctx context.Context, from ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration, knowsEras bool) (ebonyworks.StoreReport, error) {
	wire, err := c.client(from.Address).Follow(ctx, peerproto.EncodeFollowRequest(after, wait, knowsEras))
	if err != nil {
		return ebonyworks.StoreReport{}, errors.Wrapf(err, "follow %s", from.ID)
	}
	report := peerproto.DecodeStoreReport(wire)
	if len(wire.GetChanges()) == 0 {
		return report, nil
	}
	listing, err := storereport.Decode(wire.GetChanges())
	if err != nil {
		return ebonyworks.StoreReport{}, errors.Wrapf(err, "follow %s", from.ID)
	}
	report.Changes, report.Held = listing.Changes, listing.Held
	return report, nil
}

// knowsEras reports whether the host may know the eras of the store.
func (c *Client) knowsEras(host netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.withoutEras[host]
}

// noteEras records whether the host knows the eras of the store.
func (c *Client) noteEras(host netip.AddrPort, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		delete(c.withoutEras, host)
		return
	}
	if len(c.withoutEras) >= maxClients {
		clear(c.withoutEras)
	}
	c.withoutEras[host] = true
}

// TakePermits takes permits for rate-limited servers from the host.
func (c *Client) TakePermits(ctx context.Context, from ebonyworks.Host, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	c.traffic.learn(from.Address, from.Domain)
	reply, err := c.client(from.Address).TakePermits(ctx, peerproto.EncodePermitRequest(request))
	if err != nil {
		return ebonyworks.PermitReply{}, errors.Wrapf(err, "take permits from %s", from.ID)
	}
	return peerproto.DecodePermitReply(reply), nil
}

// client returns the cached RPC client for the address.
func (c *Client) client(address netip.AddrPort) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, found := c.clients[address]; found {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client := peerv1connect.NewPeerServiceClient(c.http, "http://"+address.String(),
		connect.WithReadMaxBytes(maxForwardBytes),
		connect.WithSendMaxBytes(maxLedgerBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(c.options.traceCall), connect.UnaryInterceptorFunc(withTimeout)),
	)
	c.clients[address] = client
	return client
}

// deliveryResult converts the result of a non-idempotent call into an outcome and
// tells whether the call was delivered.
func deliveryResult(wire *peerv1.ReservationOutcome, err error, guard *sendGuard) (ebonyworks.Outcome, ebonyworks.Delivery) {
	if err != nil {
		if guard.abortIfUnsent() {
			return ebonyworks.Outcome{}, ebonyworks.NotDelivered
		}
		return ebonyworks.Outcome{}, ebonyworks.DeliveryUnknown
	}
	outcome, err := peerproto.DecodeOutcome(wire)
	if err != nil {
		return ebonyworks.Outcome{}, ebonyworks.DeliveryUnknown
	}
	return outcome, ebonyworks.Delivered
}

// withTimeout is an interceptor that bounds the time of a call on the client and the
// server. The deadline is sent to the server with the request.
func withTimeout(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, limitOf(request.Spec().Procedure).timeout)
		defer cancel()
		return next(ctx, request)
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func unencryptedHTTP2() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
