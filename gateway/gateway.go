// Package gateway assembles a host that forwards opaque requests to backend servers.
// A Gateway does its I/O only through the interfaces of the root package; a Server
// listens on its addresses.
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
	"github.com/ebonyworks/ebonyworks/coordination/permitissuer"
	"github.com/ebonyworks/ebonyworks/coordination/permits"
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
	// cleanupInterval is how often unused connections are closed and servers are
	// removed whose registrations didn't come back. hostCountInterval is how often
	// the hosts are counted.
	cleanupInterval   = 500 * time.Millisecond
	hostCountInterval = 150 * time.Millisecond
	// drainGraceDivisor is the drain time divided by the time for which a draining
	// server may still get requests that no other server accepts.
	drainGraceDivisor = 3
	// crossDomainFactor sends an attempt to a server of another failure domain only
	// if the server of the same domain has at least two attempts in flight or is
	// slower by this factor.
	crossDomainFactor = 2.5
)

// ConnectionPool is the pool of connections to backend servers.
type ConnectionPool interface {
	// Retain closes the connections to all other addresses.
	Retain(addresses map[netip.AddrPort]bool)
	// Opened returns the number of connections opened since the start.
	Opened() uint64
}

// Options are the settings and dependencies of a gateway. Recorder, Observer and
// Connections may be nil.
type Options struct {
	Self ebonyworks.Host
	// Seeds are the peer addresses of the hosts to contact first.
	Seeds []netip.AddrPort
	// Peer sends messages to other hosts.
	Peer ebonyworks.Peer
	// ForwardPeer delegates requests to larger hosts. Nil means that all run on this
	// host.
	ForwardPeer ebonyworks.ForwardPeer
	// StorePeer reads the store through other hosts. Nil means that this host
	// reads it itself.
	StorePeer ebonyworks.StorePeer
	// PermitPeer takes permits for rate-limited servers from other hosts. Nil means
	// that only a host that knows of no others sends requests to such servers.
	PermitPeer  ebonyworks.PermitPeer
	Store       ebonyworks.StoreReader
	Backend     ebonyworks.ForwardBackend
	Connections ConnectionPool
	// FirstStart is set if all hosts start for the first time, so that no caller
	// waits for this host yet.
	FirstStart bool
	// RetryBudget bounds the retries and hedges of all hosts together.
	RetryBudget retrybudget.Bound
	// ApplyTime is the time within which changes of the store must take effect.
	// Zero means three seconds.
	ApplyTime time.Duration
	// DrainTime is the time after which a server that reported that it is draining
	// gets no more requests. Zero means immediately.
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
	registry         *serverregistry.Registry
	serverStates     *serverstate.Table
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
	aliveShare       aliveShare
	permits          *permits.Client
	// startedAt is when New returned.
	startedAt time.Time
	stopping  atomic.Bool
	// answerBy is the time by which all requests must be answered; nil until a planned
	// stop has begun.
	answerBy atomic.Pointer[time.Time]
	// left is set once the other hosts are told that this one is stopping.
	left atomic.Bool
}

var _ ebonyworks.Forwarder = (*Gateway)(nil)

// Streams of random numbers, one for each component, so that a change in one
// component doesn't shift the random choices of the others.
const (
	serverStateStream = iota + 1
	selectionStream
	discoveryStream
	membershipStream
	delegationStream
	hostStateStream
	storeSourceStream
)

// New assembles a gateway. It sends nothing before Run.
func New(options Options) *Gateway {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	g := &Gateway{
		options:   options,
		startedAt: time.Now(),
		registry:  &serverregistry.Registry{},
		serverStates: &serverstate.Table{
			Random:         random(serverStateStream),
			Recorder:       options.Recorder,
			ProbeByRequest: true,
			DrainGrace:     options.DrainTime / drainGraceDivisor,
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
	g.permits = &permits.Client{
		Self:     options.Self,
		Alive:    g.cluster.Alive,
		Ready:    g.mayIssuePermits,
		Peer:     options.PermitPeer,
		Limits:   g.serverStates,
		Issuer:   &permitissuer.Issuer{Limits: g.serverStates, Share: g.aliveShare.Share},
		Recorder: options.Recorder,
	}
	g.serverStates.OnRateLimitChange = g.permits.LimitChanged
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
		Permits:          g.permits,
		AnswerBy:         g.answerTime,
		Observer:         options.Observer,
		Recorder:         options.Recorder,
	}
	if options.ForwardPeer != nil {
		g.forwarder.Delegator = &delegation.Delegator{
			Self:         options.Self,
			Alive:        g.cluster.Alive,
			Peer:         options.ForwardPeer,
			Selection:    selection.New(random(delegationStream)),
			HostStates:   &serverstate.Table{Random: random(hostStateStream), ProbeByRequest: true},
			OnDrainState: g.serverStates.RecordDrainAnnouncement,
			OnRateLimit:  g.serverStates.MergeRateLimit,
			Recorder:     options.Recorder,
		}
	}
	return g
}

// sameDomainSelector returns a selector that prefers servers of the same failure
// domain more strongly than that of searches: traffic between domains is billed, and
// the servers of a shard have spare slots.
func sameDomainSelector(random *rand.Rand) *selection.Selector {
	selector := selection.New(random)
	selector.CrossDomainFactor = crossDomainFactor
	return selector
}

// Run keeps the gateway up to date with the store and the other hosts until the
// context ends.
func (g *Gateway) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){g.follower.Run, g.cluster.Run, g.reporter.Run, g.permits.Run} {
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

// Forward answers an opaque request of a caller.
func (g *Gateway) Forward(ctx context.Context, request *ebonyworks.ForwardRequest) ebonyworks.ForwardReply {
	return g.forwarder.Forward(ctx, request)
}

// Limits returns the limits of callers in the active configuration; none before the
// first configuration.
func (g *Gateway) Limits() ebonyworks.CallerLimits {
	table := g.follower.Table()
	if table == nil {
		return ebonyworks.CallerLimits{}
	}
	return table.Configuration().Limits
}

// Ready reports whether the host accepts requests: it knows routes and servers, and
// no planned stop has begun.
func (g *Gateway) Ready() bool { return !g.Stopping() && g.follower.Ready() }

// SetRetryBudget changes the bound of the retries and hedges of all hosts together.
func (g *Gateway) SetRetryBudget(bound retrybudget.Bound) { g.retryBudget.SetBound(bound) }

// Leave announces to the other hosts that this one is stopping.
func (g *Gateway) Leave(ctx context.Context) {
	g.left.Store(true)
	g.cluster.Leave(ctx)
}

// BeginStop makes the host not ready. Requests that still arrive are answered.
func (g *Gateway) BeginStop() {
	if !g.stopping.Swap(true) {
		g.storeRelay.Stop()
	}
}

// AnswerBy sets the time by which all requests must be answered. Requests that may take
// longer are refused from now on.
func (g *Gateway) AnswerBy(by time.Time) { g.answerBy.Store(&by) }

// answerTime returns the time set by AnswerBy, or zero.
func (g *Gateway) answerTime() time.Time {
	if by := g.answerBy.Load(); by != nil {
		return *by
	}
	return time.Time{}
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// registrationChanged passes the registration of a usable server on to the server
// states. A server that may not be used is missing from the registry's services. The
// server states must not repeat that, since only a new incarnation ends a drain state,
// and the same incarnation may register again.
func (g *Gateway) registrationChanged(change serverregistry.Change) {
	if change.Usable && !change.Removed {
		g.serverStates.RecordRegistration(change.Registration.Server.ID, change.Registration.Incarnation)
	}
}

// pruneState drops the state of routes, services and servers that no longer exist.
func (g *Gateway) pruneState() {
	registered := g.registry.Servers()
	g.serverStates.RetainServers(registered)
	g.quota.RetainServers(registered)
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

// candidateSource gives the forwarder access to the server states.
type candidateSource struct {
	gateway *Gateway
}

// Candidates returns the servers of the service that may get an attempt. If this host
// may connect only to a subset of them, it returns only that.
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
	return s.gateway.serverStates.Availability(server)
}

// RateLimited returns the servers that need a permit, or nil if there are none.
func (s candidateSource) RateLimited() map[ebonyworks.ServerID]bool {
	return s.gateway.serverStates.RateLimited()
}

// Unavailable returns the servers that get no request now, or nil if there are none.
func (s candidateSource) Unavailable() map[ebonyworks.ServerID]bool {
	return s.gateway.serverStates.Unavailable()
}

// Observe updates the state of a server from a finished attempt.
func (s candidateSource) Observe(record ebonyworks.AttemptRecord) {
	s.gateway.serverStates.Observe(record)
}
