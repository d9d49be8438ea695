package entryhost

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

var _ ebonyworks.PeerHandler = (*Host)(nil)

// HandlePing answers a ping of another host.
func (h *Host) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return h.cluster.HandlePing(ctx, message)
}

// HandleIndirectPing pings the target for another host.
func (h *Host) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	return h.cluster.HandleIndirectPing(ctx, target)
}

// HandleFetchManifest returns the bytes of the active manifest.
func (h *Host) HandleFetchManifest(ctx context.Context) ([]byte, error) {
	return h.configSync.HandleFetchManifest(ctx)
}

// HandleFetchPart returns the bytes of a part of the active configuration.
func (h *Host) HandleFetchPart(ctx context.Context, digest ebonyworks.Digest) ([]byte, error) {
	return h.configSync.HandleFetchPart(ctx, digest)
}

// HandleReserve runs a reservation that another host forwarded to this one.
func (h *Host) HandleReserve(ctx context.Context, to ebonyworks.Host, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	return h.reservations.HandleReserve(ctx, to, reservation)
}

// HandleOutcome answers a query for an outcome that another host forwarded.
func (h *Host) HandleOutcome(ctx context.Context, to ebonyworks.Host, ticket string) ebonyworks.Outcome {
	return h.reservations.HandleOutcome(ctx, to, ticket)
}

// HandleTransferLedger takes over the ledger of a host that stops.
func (h *Host) HandleTransferLedger(ctx context.Context, ledger ebonyworks.ClosedLedger) error {
	return h.reservations.HandleTransferLedger(ctx, ledger)
}

// HandleReportCrashes merges the crash reports of another host.
func (h *Host) HandleReportCrashes(_ context.Context, reports []ebonyworks.CrashReport) error {
	h.quarantine.Merge(reports)
	return nil
}

// staleMarker marks the server states as stale after a pause of the process. It takes
// no part in gossip.
type staleMarker struct {
	host *Host
}

// Contribute adds nothing to gossip messages.
func (m staleMarker) Contribute(*ebonyworks.GossipMessage, int) {}

// Receive ignores gossip messages.
func (m staleMarker) Receive(ebonyworks.GossipMessage, time.Time) {}

// MarkStale marks the server states as stale.
func (m staleMarker) MarkStale() { m.host.serverStates.MarkStale(time.Now()) }
