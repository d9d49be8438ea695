package entryhost

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

var _ ebonyworks.PeerHandler = (*Host)(nil)

// HandlePing answers the probe of another host.
func (h *Host) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return h.cluster.HandlePing(ctx, message)
}

// HandleIndirectPing probes a host for another host.
func (h *Host) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	return h.cluster.HandleIndirectPing(ctx, target)
}

// HandleFetchManifest returns the bytes of the head in force.
func (h *Host) HandleFetchManifest(ctx context.Context) ([]byte, error) {
	return h.configSync.HandleFetchManifest(ctx)
}

// HandleFetchPart returns the bytes of a part in force.
func (h *Host) HandleFetchPart(ctx context.Context, digest ebonyworks.Digest) ([]byte, error) {
	return h.configSync.HandleFetchPart(ctx, digest)
}

// HandleReserve runs a reservation that another host forwarded.
func (h *Host) HandleReserve(ctx context.Context, to ebonyworks.Host, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	return h.reservations.HandleReserve(ctx, to, reservation)
}

// HandleOutcome answers a query that another host forwarded.
func (h *Host) HandleOutcome(ctx context.Context, to ebonyworks.Host, ticket string) ebonyworks.Outcome {
	return h.reservations.HandleOutcome(ctx, to, ticket)
}

// HandleTransferLedger keeps the ledger of a stopped host.
func (h *Host) HandleTransferLedger(ctx context.Context, ledger ebonyworks.ClosedLedger) error {
	return h.reservations.HandleTransferLedger(ctx, ledger)
}

// HandleReportCrashes learns the crash reports of another host.
func (h *Host) HandleReportCrashes(_ context.Context, reports []ebonyworks.CrashReport) error {
	h.quarantine.Merge(reports)
	return nil
}

// staleMarker marks the facts about servers as stale after a pause of the process.
type staleMarker struct {
	host *Host
}

// Contribute adds nothing.
func (m staleMarker) Contribute(*ebonyworks.GossipMessage, int) {}

// Receive learns nothing.
func (m staleMarker) Receive(ebonyworks.GossipMessage, time.Time) {}

// MarkStale marks what is known of servers as stale.
func (m staleMarker) MarkStale() { m.host.serverStates.MarkStale(time.Now()) }
