// Package gateway assembles a host that forwards opaque requests. It reaches
// the outside through the interfaces of the root package only.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
	"github.com/ebonyworks/ebonyworks/coordination/discovery"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
	"github.com/ebonyworks/ebonyworks/coordination/hedgedelay"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
	"github.com/ebonyworks/ebonyworks/coordination/priorityshedding"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/coordination/routelimit"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/coordination/storerelay"
	"github.com/ebonyworks/ebonyworks/coordination/storesource"
	"github.com/ebonyworks/ebonyworks/coordination/subset"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

const (
	// tidyInterval is the time between two looks at kept connections and at
	// servers whose entries didn't come back, and countInterval that between two
	// counts of the hosts.
	cleanupInterval   = 500 * time.Millisecond
	hostCountInterval = 150 * time.Millisecond
	// gracePart is the part of the time in which a leaving server has to be without
	// new work for which it may still get requests that no other server takes.
	drainGraceDivisor = 3
	// farFactor lets a far server have an attempt only if the near one has at
	// least two in flight or is that much slower.
	crossDomainFactor = 2.5
)

// ConnectionPool is a backend that keeps connections.
type ConnectionPool interface {
	// Retain closes the connections to addresses that aren't named.
	Retain(named map[netip.AddrPort]bool)
	// Opened returns the number of connections that were opened so far.
	Opened() uint64
}

// Options are what a gateway needs. Recorder, Observer and Connections may be
// nil.
type Options struct {
	Self ebonyworks.Host
	// Seeds are peers' addresses of some hosts.
	Seeds []netip.AddrPort
	// Peer sends messages to other hosts.
	Peer ebonyworks.Peer
	// ForwardPeer runs requests on larger hosts. Nil means that all run here.
	ForwardPeer ebonyworks.ForwardPeer
	// StorePeer reads the store through other hosts. Nil means that this host
	// reads it itself.
	StorePeer   ebonyworks.StorePeer
	Store       ebonyworks.StoreReader
	Backend     ebonyworks.ForwardBackend
	Connections ConnectionPool
	// FirstStart is set if the whole fleet starts for the first time, so that no
	// caller waits for this host yet.
	FirstStart bool
	// RetryBudget bounds the repeats of all hosts together.
	RetryBudget retrybudget.Bound
	// ApplyTime is the time in which changes of the store have to be in force.
	// Zero means three seconds.
	ApplyTime time.Duration
	// DrainTime is the time after which a server that said that it is leaving gets
	// no more requests. Zero means at once.
	DrainTime time.Duration
	Recorder  ebonyworks.EventRecorder
	Observer  fanout.Observer
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Gateway is a host that forwards opaque requests. Use New, then Run.
type Gateway struct {
	options          Options
	storeSource      *storesource.FailoverReader
	follower         *discovery.Follower
	storeRelay       *storerelay.Relay
	registry         *serverregistry.Directory
	serverStates     *serverstate.Register
	quota            *quota.Table
	retryBudget      *retrybudget.Budget
	latencyEstimator *hedgedelay.Estimator
	priorityShedder  *priorityshedding.Shedder
	routeLimiter     *routelimit.Limiter
	forwarder        *fanout.Forwarder
	cluster          *membership.Cluster
	quarantine       *quarantine.Controller
	reporter         *quarantine.Reporter
	subsetChooser    subset.Chooser
	hostCount        hostCounter
	stopping         atomic.Bool
}

var _ ebonyworks.Forwarder = (*Gateway)(nil)

// Streams separate the random choices of the parts.
const (
	serverStateStream = iota + 1
	selectionStream
	discoveryStream
	membershipStream
	delegationStream
	hostStateStream
	storeSourceStream
)

// New assembles a gateway.
func New(options Options) *Gateway {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	g := &Gateway{
		options:  options,
		registry: &serverregistry.Directory{},
		serverStates: &serverstate.Register{
			Random:         random(serverStateStream),
			Recorder:       options.Recorder,
			ProbeByRequest: true,
			LeavingGrace:   options.DrainTime / drainGraceDivisor,
		},
		quota:            quota.NewExclusive(assumedHosts),
		retryBudget:      retrybudget.New(options.RetryBudget, assumedHosts),
		latencyEstimator: &hedgedelay.Estimator{},
		priorityShedder:  &priorityshedding.Shedder{},
		routeLimiter:     &routelimit.Limiter{},
		subsetChooser:    subset.Chooser{Host: options.Self.ID, Domain: options.Self.Domain},
		hostCount:        hostCounter{single: !seedsNameOthers(options.Self.Address, options.Seeds)},
	}
	g.cluster = membership.New(membership.Config{
		Self:                options.Self,
		MayRaiseIncarnation: true,
		Seeds:               options.Seeds,
		Peer:                options.Peer,
		Random:              random(membershipStream),
		Recorder:            options.Recorder,
	})
	g.reporter = quarantine.NewReporter(options.Peer, g.cluster.Alive)
	g.quarantine = &quarantine.Controller{Publish: g.reporter.Publish, Recorder: options.Recorder}
	g.cluster.Attach(storeGossip{g})
	g.cluster.Attach(membership.CrashGossip{Store: g.quarantine})
	g.storeSource = &storesource.FailoverReader{
		Self:       options.Self,
		Store:      options.Store,
		Peers:      options.StorePeer,
		Alive:      g.cluster.Alive,
		FirstStart: options.FirstStart,
		Seed:       !seedsNameOthers(options.Self.Address, options.Seeds) || slices.Contains(options.Seeds, options.Self.Address),
		ApplyTime:  options.ApplyTime,
		Recorder:   options.Recorder,
		Random:     random(storeSourceStream),
	}
	g.follower = &discovery.Follower{
		Store:               g.storeSource,
		Registry:            g.registry,
		ApplyTime:           options.ApplyTime,
		Recorder:            options.Recorder,
		Random:              random(discoveryStream),
		Changed:             g.pruneState,
		RegistrationChanged: g.registrationChanged,
	}
	g.storeRelay = storerelay.New(g.follower, g.storeSource)
	g.forwarder = &fanout.Forwarder{
		Domain:           options.Self.Domain,
		Table:            g.follower.Table,
		Registry:         g.registry,
		ServerStates:     candidateSource{g},
		Selection:        sameDomainSelector(random(selectionStream)),
		Quota:            g.quota,
		RetryBudget:      g.retryBudget,
		LatencyEstimator: g.latencyEstimator,
		PriorityShedder:  g.priorityShedder,
		RouteLimiter:     g.routeLimiter,
		Backend:          options.Backend,
		Quarantine:       g.quarantine,
		Observer:         options.Observer,
		Recorder:         options.Recorder,
	}
	if options.ForwardPeer != nil {
		g.forwarder.Delegator = &delegation.Delegator{
			Self:         options.Self,
			Alive:        g.cluster.Alive,
			Peer:         options.ForwardPeer,
			Selection:    selection.New(random(delegationStream)),
			HostStates:   &serverstate.Register{Random: random(hostStateStream), ProbeByRequest: true},
			OnDrainState: g.serverStates.Announce,
			Recorder:     options.Recorder,
		}
	}
	return g
}

// nearSelector prefers near servers more than searches do: bytes between
// domains are paid for, and the servers of a shard have slots to spare.
func sameDomainSelector(random *rand.Rand) *selection.Selector {
	selector := selection.New(random)
	selector.CrossDomainFactor = crossDomainFactor
	return selector
}

// Run follows the store and the other hosts until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){g.follower.Run, g.cluster.Run, g.reporter.Run} {
		loops.Go(func() { loop(ctx) })
	}
	g.updateHostCount()
	hostCount := time.NewTicker(hostCountInterval)
	defer hostCount.Stop()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			loops.Wait()
			return
		case <-hostCount.C:
			g.updateHostCount()
		case <-cleanup.C:
			g.follower.Expire()
			g.pruneConnections()
		}
	}
}

// Forward answers an opaque request.
func (g *Gateway) Forward(ctx context.Context, request *ebonyworks.ForwardRequest) ebonyworks.ForwardReply {
	return g.forwarder.Forward(ctx, request)
}

// Limits returns the callers' limits in force.
func (g *Gateway) Limits() ebonyworks.CallerLimits {
	table := g.follower.Table()
	if table == nil {
		return ebonyworks.CallerLimits{}
	}
	return table.Configuration().Limits
}

// Ready reports whether the host takes requests: it knows routes and servers,
// and isn't about to stop.
func (g *Gateway) Ready() bool { return !g.Stopping() && g.follower.Ready() }

// SetRetryBudget changes the bound of the repeats of all hosts together.
func (g *Gateway) SetRetryBudget(bound retrybudget.Bound) { g.retryBudget.SetBound(bound) }

// Leave tells the other hosts that this one is stopping.
func (g *Gateway) Leave(ctx context.Context) { g.cluster.Leave(ctx) }

// BeginStop makes the host not ready. Requests that arrive are still answered.
func (g *Gateway) BeginStop() {
	if !g.stopping.Swap(true) {
		g.storeRelay.Stop()
	}
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// departed passes the life and the departure of a server on to the register.
func (g *Gateway) registrationChanged(change serverregistry.Change) {
	g.serverStates.Depart(ebonyworks.DrainState{
		Server:      change.Registration.Server.ID,
		Incarnation: change.Registration.Incarnation,
		Draining:    !change.Usable,
	})
}

// retain drops the state of what is no longer known.
func (g *Gateway) pruneState() {
	named := g.registry.Servers()
	g.serverStates.RetainServers(named)
	g.quota.RetainServers(named)
	if table := g.follower.Table(); table != nil {
		g.pruneRoutes(table)
	}
	g.pruneConnections()
}

func (g *Gateway) pruneRoutes(table *routing.Table) {
	routes := make(map[ebonyworks.RouteID]bool)
	services := make(map[ebonyworks.ServiceID]bool)
	for i := range table.Configuration().Routes {
		route := &table.Configuration().Routes[i]
		routes[route.ID] = true
		for _, shard := range route.Shards {
			services[shard] = true
		}
		for _, backend := range route.Backends {
			services[backend.Service] = true
		}
	}
	g.latencyEstimator.Retain(routes)
	g.routeLimiter.Retain(routes)
	g.retryBudget.Retain(services)
	g.priorityShedder.Retain(services)
}

func (g *Gateway) pruneConnections() {
	if g.options.Connections != nil {
		g.options.Connections.Retain(g.registry.Addresses())
	}
}

// servers lists the candidates of attempts.
type candidateSource struct {
	gateway *Gateway
}

// Candidates returns the servers that may get an attempt.
func (s candidateSource) Candidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate {
	route := ebonyworks.Route{Kind: ebonyworks.ReservationRoute}
	if idempotent {
		route.Kind = ebonyworks.SearchRoute
	}
	g := s.gateway
	candidates := g.serverStates.Candidates(service, route, g.options.Self.Domain, g.quota)
	if chosen := g.subsetChooser.Choose(candidates, service.ConnectionCap, g.hostCount.WithHeadroom()); chosen > 0 {
		return candidates[:chosen]
	}
	return candidates
}

// Availability tells whether the server may be sent a request now.
func (s candidateSource) Availability(server ebonyworks.ServerID) ebonyworks.Availability {
	return s.gateway.serverStates.Clearance(server)
}

// Unavailable returns the servers that get no request now, or nil if there are none.
func (s candidateSource) Unavailable() map[ebonyworks.ServerID]bool {
	return s.gateway.serverStates.Avoided()
}

// Observe learns from an ended attempt.
func (s candidateSource) Observe(record ebonyworks.AttemptRecord) {
	s.gateway.serverStates.Observe(record)
}
