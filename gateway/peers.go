package gateway

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

var (
	_ ebonyworks.PeerHandler        = (*Gateway)(nil)
	_ ebonyworks.ForwardPeerHandler = (*Gateway)(nil)
	_ ebonyworks.StorePeerHandler   = (*Gateway)(nil)
	_ ebonyworks.PermitPeerHandler  = (*Gateway)(nil)
	_ ebonyworks.FailurePeerHandler = (*Gateway)(nil)
)

var (
	errNoReservations = errors.New("a gateway keeps no reservations")
	errNoDocuments    = errors.New("a gateway keeps no documents")
)

// HandlePing answers a ping of another host.
func (g *Gateway) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return g.cluster.HandlePing(ctx, message)
}

// HandleIndirectPing pings the target for another host.
func (g *Gateway) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	return g.cluster.HandleIndirectPing(ctx, target)
}

// HandleFollow returns the changes of the store after the revision, as far as this host
// knows them. Without a change, it returns after the wait.
func (g *Gateway) HandleFollow(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreReport, error) {
	g.cluster.CheckPause()
	return g.storeRelay.Follow(ctx, after, wait)
}

// StoreEra returns the era of the store that this host has applied.
func (g *Gateway) StoreEra() ebonyworks.StoreEra { return g.follower.AsOf().Era() }

// HandleForward runs a request that a smaller host delegated. It declines if this host
// is stopping or has another configuration active.
func (g *Gateway) HandleForward(ctx context.Context, request *ebonyworks.ForwardRequest, delegation ebonyworks.Delegation) (ebonyworks.ForwardReply, bool) {
	if g.Stopping() {
		return ebonyworks.ForwardReply{}, false
	}
	return g.forwarder.ForwardDelegated(ctx, request, delegation)
}

// HandleTakePermits issues permits for rate-limited servers, or declines if another
// host issues them.
func (g *Gateway) HandleTakePermits(_ context.Context, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	g.cluster.CheckPause()
	return g.permits.Handle(request), nil
}

// mayIssuePermits reports whether this host knows the other hosts well enough to issue
// permits, and hasn't told them that it is stopping.
func (g *Gateway) mayIssuePermits() bool {
	known := g.hostCount.Stable() || time.Since(g.startedAt) > decreaseDelay
	return known && !g.left.Load()
}

// HandleFetchManifest fails, because a gateway gets its configuration from the store
// and has no manifest.
func (g *Gateway) HandleFetchManifest(context.Context) ([]byte, error) { return nil, errNoDocuments }

// HandleFetchPart fails for the same reason as HandleFetchManifest.
func (g *Gateway) HandleFetchPart(context.Context, ebonyworks.Digest) ([]byte, error) {
	return nil, errNoDocuments
}

// HandleReserve refuses, because gateways issue no tickets.
func (g *Gateway) HandleReserve(context.Context, ebonyworks.Host, ebonyworks.Reservation) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Code: ebonyworks.CodeUnknownRoute, Message: errNoReservations.Error()}
}

// HandleOutcome returns no outcome for any ticket.
func (g *Gateway) HandleOutcome(context.Context, ebonyworks.Host, string) ebonyworks.Outcome {
	return ebonyworks.Outcome{Code: ebonyworks.CodeRecordDropped, Message: errNoReservations.Error()}
}

// HandleTransferLedger fails, because gateways keep no ledgers.
func (g *Gateway) HandleTransferLedger(context.Context, ebonyworks.ClosedLedger) error {
	return errNoReservations
}

// HandleReportCrashes merges the crash reports of another host.
func (g *Gateway) HandleReportCrashes(_ context.Context, reports []ebonyworks.CrashReport) error {
	g.quarantine.Merge(reports)
	return nil
}

// HandleReportFailures counts the failed requests of another host.
func (g *Gateway) HandleReportFailures(_ context.Context, report ebonyworks.FailureReport) error {
	g.serverStates.MergeFailures(report)
	return nil
}

// updateHostCount adapts this host's shares of connections, retries and hedges to the
// number of hosts.
func (g *Gateway) updateHostCount() {
	alive := g.cluster.Alive()
	g.aliveShare.update(len(alive)+1, time.Now())
	if !g.hostCount.update(shareCount(g.options.Self, alive), time.Now()) {
		return
	}
	hosts := g.hostCount.Hosts()
	g.quota.SetHosts(g.hostCount.WithHeadroom())
	g.retryBudget.SetHosts(hosts)
	if g.options.Recorder != nil {
		g.options.Recorder.Record(event.New(event.HostCountEstimated,
			event.Attribute("Known", strconv.Itoa(len(alive)+1)),
			event.Attribute("Assumed", strconv.Itoa(hosts))))
	}
}

// storeGossip exchanges with peers the newest revision of the store that each host
// knows.
type storeGossip struct {
	gateway *Gateway
}

// Contribute adds the newest revision of the store that this host knows. The
// configuration version of a gateway has no digest.
func (s storeGossip) Contribute(message *ebonyworks.GossipMessage, _ int) {
	revision := s.gateway.follower.LatestKnownRevision()
	message.Version.Revision, message.StoreEra = ebonyworks.Revision(revision.InEra()), revision.Era()
	_, message.Synced = s.gateway.storeSource.Age()
	message.RateLimitsKnown = s.gateway.serverStates.AnyLimited()
}

// Receive learns of newer revisions, and that the sender may serve as a source of the
// store.
func (s storeGossip) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	// Hosts of an earlier version state the era within the revision, or don't know it.
	revision := ebonyworks.StoreRevision(message.Version.Revision)
	if revision.Era() == 0 {
		revision = ebonyworks.NewStoreRevision(message.StoreEra, uint64(revision))
	}
	s.gateway.follower.ObservePeerRevision(revision)
	if message.Synced {
		s.gateway.storeSource.SuggestSource(message.From)
	}
	if message.RateLimitsKnown {
		s.gateway.permits.Suggest()
	}
}

// MarkStale stops this host from relaying its copy of the store until a source has
// confirmed it, and queries a source immediately.
func (s storeGossip) MarkStale() {
	s.gateway.storeSource.MarkStale()
	s.gateway.follower.RestartWatch()
	s.gateway.permits.Reset()
}
