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
)

var (
	errNoReservations = errors.New("a gateway keeps no reservations")
	errNoDocuments    = errors.New("a gateway keeps no documents")
)

// HandlePing answers the probe of another host.
func (g *Gateway) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return g.cluster.HandlePing(ctx, message)
}

// HandleIndirectPing probes a host for another host.
func (g *Gateway) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	return g.cluster.HandleIndirectPing(ctx, target)
}

// HandleFollow tells what this host knows of the store.
func (g *Gateway) HandleFollow(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreReport, error) {
	g.cluster.CheckPause()
	return g.storeRelay.Follow(ctx, after, wait)
}

// HandleForward runs the request of a smaller host, unless this host is about to
// stop or has another configuration in force.
func (g *Gateway) HandleForward(ctx context.Context, request *ebonyworks.ForwardRequest, delegation ebonyworks.Delegation) (ebonyworks.ForwardReply, bool) {
	if g.Stopping() {
		return ebonyworks.ForwardReply{}, false
	}
	return g.forwarder.ForwardDelegated(ctx, request, delegation)
}

// HandleFetchManifest fails: what the store holds is followed.
func (g *Gateway) HandleFetchManifest(context.Context) ([]byte, error) { return nil, errNoDocuments }

// HandleFetchPart fails, too.
func (g *Gateway) HandleFetchPart(context.Context, ebonyworks.Digest) ([]byte, error) {
	return nil, errNoDocuments
}

// HandleReserve refuses: no ticket is issued here.
func (g *Gateway) HandleReserve(context.Context, ebonyworks.Host, ebonyworks.Reservation) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Code: ebonyworks.CodeUnknownRoute, Message: errNoReservations.Error()}
}

// HandleOutcome knows nothing of any ticket.
func (g *Gateway) HandleOutcome(context.Context, ebonyworks.Host, string) ebonyworks.Outcome {
	return ebonyworks.Outcome{Code: ebonyworks.CodeRecordDropped, Message: errNoReservations.Error()}
}

// HandleTransferLedger refuses ledgers.
func (g *Gateway) HandleTransferLedger(context.Context, ebonyworks.ClosedLedger) error {
	return errNoReservations
}

// HandleReportCrashes learns the crash reports of another host.
func (g *Gateway) HandleReportCrashes(_ context.Context, reports []ebonyworks.CrashReport) error {
	g.quarantine.Merge(reports)
	return nil
}

// learnFleet adapts the shares of this host to the number of hosts.
func (g *Gateway) updateHostCount() {
	alive := g.cluster.Alive()
	if !g.hostCount.update(shareCount(g.options.Self, alive), time.Now()) {
		return
	}
	hosts := g.hostCount.Hosts()
	g.quota.SetHosts(g.hostCount.WithHeadroom())
	g.retryBudget.SetHosts(hosts)
	if g.options.Recorder != nil {
		g.options.Recorder.Record(event.New(event.FleetEstimated,
			event.Attribute("Known", strconv.Itoa(len(alive)+1)),
			event.Attribute("Assumed", strconv.Itoa(hosts))))
	}
}

// viewCarrier tells peers how new this host's view of the store is, and learns
// how new theirs is.
type storeGossip struct {
	gateway *Gateway
}

// Contribute adds the newest revision of the store that this host knows of. The mark
// of a gateway has no digest.
func (c storeGossip) Contribute(message *ebonyworks.GossipMessage, _ int) {
	message.Version.Revision = ebonyworks.Revision(c.gateway.follower.LatestKnownRevision())
	_, message.Synced = c.gateway.storeSource.Age()
}

// Receive notices that there is more to know.
func (c storeGossip) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	c.gateway.follower.ObservePeerRevision(ebonyworks.StoreRevision(message.Version.Revision))
	if message.Synced {
		c.gateway.storeSource.SuggestSource(message.From)
	}
}

// MarkStale keeps what this host knows from being passed on until a source has
// confirmed it, and asks one at once.
func (c storeGossip) MarkStale() {
	c.gateway.storeSource.MarkStale()
	c.gateway.follower.RestartWatch()
}
