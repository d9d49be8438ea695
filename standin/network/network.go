// Package network connects entry hosts within one process, for tests and
// programs that run whole hosts without sockets.
package network

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// ErrUnreachable is returned if no host answers at an address, or if one of
// both hosts is cut off.
var ErrUnreachable = errors.New("host unreachable")

// Network carries messages between hosts, each after the delay. The zero value
// has no hosts and no delay. It is safe for concurrent use.
type Network struct {
	// Delay is the one-way time of a message. It isn't changed after the first
	// message.
	Delay time.Duration

	mu       sync.Mutex
	handlers map[netip.AddrPort]ebonyworks.PeerHandler
	cut      map[netip.AddrPort]bool
}

// Join makes the handler answer at the address, in place of an earlier one.
func (n *Network) Join(address netip.AddrPort, handler ebonyworks.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[netip.AddrPort]ebonyworks.PeerHandler)
	}
	n.handlers[address] = handler
}

// Leave removes what answers at the address.
func (n *Network) Leave(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// Cut cuts the host at the address off from all others, or ends that.
func (n *Network) Cut(address netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[netip.AddrPort]bool)
	}
	n.cut[address] = cut
}

// PermitLink returns the client for permits of the host at the address.
func (n *Network) PermitLink(address netip.AddrPort) ebonyworks.PermitPeer {
	return link{network: n, address: address}
}

// FailureLink returns the client for failure reports of the host at the address.
func (n *Network) FailureLink(address netip.AddrPort) ebonyworks.FailurePeer {
	return link{network: n, address: address}
}

// Link returns the client of the host at the address.
func (n *Network) Link(address netip.AddrPort) ebonyworks.Peer {
	return link{network: n, address: address}
}

// link is the network as one host uses it.
type link struct {
	network *Network
	address netip.AddrPort
}

// reach waits for the message to arrive and returns what answers there.
func (l link) reach(ctx context.Context, to netip.AddrPort) (ebonyworks.PeerHandler, error) {
	select {
	case <-time.After(l.network.Delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	handler, ok := l.network.handlers[to]
	if !ok || l.network.cut[to] || l.network.cut[l.address] {
		return nil, ErrUnreachable
	}
	return handler, nil
}

func (l link) Ping(ctx context.Context, to netip.AddrPort, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	handler, err := l.reach(ctx, to)
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	return handler.HandlePing(ctx, message)
}

func (l link) IndirectPing(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	handler, err := l.reach(ctx, via)
	if err != nil {
		return false, err
	}
	return handler.HandleIndirectPing(ctx, target)
}

func (l link) FetchManifest(ctx context.Context, from netip.AddrPort) ([]byte, error) {
	handler, err := l.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return handler.HandleFetchManifest(ctx)
}

func (l link) FetchPart(ctx context.Context, from netip.AddrPort, digest ebonyworks.Digest) ([]byte, error) {
	handler, err := l.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return handler.HandleFetchPart(ctx, digest)
}

func (l link) Reserve(ctx context.Context, to ebonyworks.Host, reservation ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	handler, err := l.reach(ctx, to.Address)
	if err != nil {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	return handler.HandleReserve(ctx, to, reservation), ebonyworks.Delivered
}

func (l link) Outcome(ctx context.Context, to ebonyworks.Host, ticket string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	handler, err := l.reach(ctx, to.Address)
	if err != nil {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	return handler.HandleOutcome(ctx, to, ticket), ebonyworks.Delivered
}

func (l link) TransferLedger(ctx context.Context, to ebonyworks.Host, ledger ebonyworks.ClosedLedger) error {
	handler, err := l.reach(ctx, to.Address)
	if err != nil {
		return err
	}
	return handler.HandleTransferLedger(ctx, ledger)
}

func (l link) ReportCrashes(ctx context.Context, to netip.AddrPort, reports []ebonyworks.CrashReport) error {
	handler, err := l.reach(ctx, to)
	if err != nil {
		return err
	}
	return handler.HandleReportCrashes(ctx, reports)
}

// TakePermits takes permits from the host.
func (l link) TakePermits(ctx context.Context, from ebonyworks.Host, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	handler, err := l.reach(ctx, from.Address)
	if err != nil {
		return ebonyworks.PermitReply{}, err
	}
	issuer, ok := handler.(ebonyworks.PermitPeerHandler)
	if !ok {
		return ebonyworks.PermitReply{Declined: true}, nil
	}
	return issuer.HandleTakePermits(ctx, request)
}

// ReportFailures sends a failure report to the host, which may not use it.
func (l link) ReportFailures(ctx context.Context, to ebonyworks.Host, report ebonyworks.FailureReport) error {
	handler, err := l.reach(ctx, to.Address)
	if err != nil {
		return err
	}
	if receiver, ok := handler.(ebonyworks.FailurePeerHandler); ok {
		return receiver.HandleReportFailures(ctx, report)
	}
	return nil
}
