package gateway

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/protocol/bundle"
)

var (
	_ ebonyworks.PeerHandler        = (*Gateway)(nil)
	_ ebonyworks.ForwardPeerHandler = (*Gateway)(nil)
)

// viewTime bounds the fetching of a peer's view of the store.
const viewTime = time.Second

var errNoReservations = errors.New("a gateway keeps no reservations")

// HandleExchange answers the probe of another host.
func (g *Gateway) HandleExchange(ctx context.Context, message ebonyworks.Exchange) (ebonyworks.Exchange, error) {
	return g.guild.HandleExchange(ctx, message)
}

// HandleRelay probes a host for another host.
func (g *Gateway) HandleRelay(ctx context.Context, target netip.AddrPort) (bool, error) {
	return g.guild.HandleRelay(ctx, target)
}

// HandleFetchHead returns what this host knows of the store.
func (g *Gateway) HandleFetchHead(context.Context) ([]byte, error) {
	return bundle.Encode(g.follower.View())
}

// HandleForward runs the request of a smaller host, unless this host is about to
// stop or has another configuration in force.
func (g *Gateway) HandleForward(ctx context.Context, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) (ebonyworks.ForwardReply, bool) {
	if g.Stopping() {
		return ebonyworks.ForwardReply{}, false
	}
	return g.forwarder.ForwardFor(ctx, request, terms)
}

// HandleFetchPart fails: the view has no parts.
func (g *Gateway) HandleFetchPart(context.Context, ebonyworks.Digest) ([]byte, error) {
	return nil, errors.New("the view of the store has no parts")
}

// HandleReserve refuses: no ticket is issued here.
func (g *Gateway) HandleReserve(context.Context, ebonyworks.Host, ebonyworks.Reservation) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Code: ebonyworks.CodeUnknownRoute, Message: errNoReservations.Error()}
}

// HandleOutcome knows nothing of any ticket.
func (g *Gateway) HandleOutcome(context.Context, ebonyworks.Host, string) ebonyworks.Outcome {
	return ebonyworks.Outcome{Code: ebonyworks.CodeRecordDropped, Message: errNoReservations.Error()}
}

// HandleHandOver refuses ledgers.
func (g *Gateway) HandleHandOver(context.Context, ebonyworks.ClosedLedger) error {
	return errNoReservations
}

// HandleReport learns the crash reports of another host.
func (g *Gateway) HandleReport(_ context.Context, reports []ebonyworks.CrashReport) error {
	g.inspector.Merge(reports)
	return nil
}

// learnFleet adapts the shares of this host to the number of hosts.
func (g *Gateway) learnFleet() {
	alive := g.guild.Alive()
	if !g.fleet.learn(sharers(g.options.Self, alive), time.Now()) {
		return
	}
	hosts := g.fleet.Hosts()
	g.quota.SetHosts(g.fleet.WithSpares())
	g.repeats.SetHosts(hosts)
	if g.options.Recorder != nil {
		g.options.Recorder.Record(event.New(event.FleetEstimated,
			event.Attribute("Known", strconv.Itoa(len(alive)+1)),
			event.Attribute("Assumed", strconv.Itoa(hosts))))
	}
}

// viewCarrier tells peers how new this host's view of the store is, and asks
// them for theirs while the store doesn't answer.
type viewCarrier struct {
	gateway *Gateway
}

// Contribute adds the revision of the store up to which this host knows all
// changes. The mark of a gateway has no digest.
func (c viewCarrier) Contribute(message *ebonyworks.Exchange, _ int) {
	message.Mark.Revision = ebonyworks.Revision(c.gateway.follower.AsOf())
}

// Receive fetches the view of a peer that knows more.
func (c viewCarrier) Receive(message ebonyworks.Exchange, _ time.Time) {
	asOf := ebonyworks.StoreRevision(message.Mark.Revision)
	c.gateway.follower.Heard(asOf)
	if c.gateway.follower.Wants(asOf) {
		go c.gateway.fetchView(message.From)
	}
}

// MarkStale does nothing: the follower notices by itself that calls failed.
func (c viewCarrier) MarkStale() {}

func (g *Gateway) fetchView(from ebonyworks.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), viewTime)
	defer cancel()
	encoded, err := g.options.Peer.FetchHead(ctx, from.Address)
	if err != nil {
		g.viewFailed(from, err)
		return
	}
	view, err := bundle.Decode(encoded)
	if err != nil {
		g.viewFailed(from, err)
		return
	}
	g.follower.Learn(view, from.ID)
}

func (g *Gateway) viewFailed(from ebonyworks.Host, err error) {
	if g.options.Recorder != nil {
		g.options.Recorder.Record(event.New(event.ViewFailed,
			event.Attribute("Peer", string(from.ID)),
			event.Attribute("Error", err.Error())))
	}
}
