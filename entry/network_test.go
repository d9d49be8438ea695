package entry_test

import (
	"context"
	"net/netip"

	"github.com/ebonyworks/ebonyworks"
)

// link is the network of one host to the others.
type link struct {
	*member
}

var _ ebonyworks.Peer = link{}

// reach waits for the network and returns the host at the address, unless one
// of both is cut off or nothing runs there.
func (m link) reach(ctx context.Context, to netip.AddrPort) (*member, error) {
	if err := travel(ctx, networkDelay); err != nil {
		return nil, err
	}
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	for _, other := range m.site.hosts {
		if other.address == to && !other.cut && !m.cut {
			return other, nil
		}
	}
	return nil, errUnreachable
}

// Exchange probes a host.
func (m link) Exchange(ctx context.Context, to netip.AddrPort, message ebonyworks.Exchange) (ebonyworks.Exchange, error) {
	other, err := m.reach(ctx, to)
	if err != nil {
		return ebonyworks.Exchange{}, err
	}
	return other.host.HandleExchange(ctx, message)
}

// Relay asks a host to probe another.
func (m link) Relay(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	other, err := m.reach(ctx, via)
	if err != nil {
		return false, err
	}
	return other.host.HandleRelay(ctx, target)
}

// FetchHead returns the head of a host.
func (m link) FetchHead(ctx context.Context, from netip.AddrPort) ([]byte, error) {
	other, err := m.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return other.host.HandleFetchHead(ctx)
}

// FetchPart returns a part of a host.
func (m link) FetchPart(ctx context.Context, from netip.AddrPort, digest ebonyworks.Digest) ([]byte, error) {
	other, err := m.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return other.host.HandleFetchPart(ctx, digest)
}

// Reserve forwards a reservation.
func (m link) Reserve(ctx context.Context, to ebonyworks.Host, reservation ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	other, err := m.reach(ctx, to.Address)
	if err != nil {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	return other.host.HandleReserve(ctx, to, reservation), ebonyworks.Delivered
}

// Outcome forwards a query.
func (m link) Outcome(ctx context.Context, to ebonyworks.Host, token string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	other, err := m.reach(ctx, to.Address)
	if err != nil {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	return other.host.HandleOutcome(ctx, to, token), ebonyworks.Delivered
}

// HandOver gives a ledger to a host.
func (m link) HandOver(ctx context.Context, to ebonyworks.Host, ledger ebonyworks.ClosedLedger) error {
	other, err := m.reach(ctx, to.Address)
	if err != nil {
		return err
	}
	return other.host.HandleHandOver(ctx, ledger)
}

// Report sends crash reports.
func (m link) Report(ctx context.Context, to netip.AddrPort, reports []ebonyworks.CrashReport) error {
	other, err := m.reach(ctx, to)
	if err != nil {
		return err
	}
	return other.host.HandleReport(ctx, reports)
}
