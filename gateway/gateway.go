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
	"github.com/ebonyworks/ebonyworks/coordination/failurereports"
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
	"github.com/ebonyworks/ebonyworks/state/evacuation"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
	"github.com/ebonyworks/ebonyworks/state/traffic"
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
	// ReplaceCanceled enables or disables the replacement of connections that close
	// because their attempt was canceled. Only connections to the addresses of the last
	// call of Retain are replaced. It is disabled at first.
	ReplaceCanceled(enabled bool)
	// Replaced returns the number of replacements opened since the start.
	Replaced() uint64
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
	PermitPeer ebonyworks.PermitPeer
	// FailurePeer reports failed requests to other hosts. Nil means that this host
	// reports none.
	FailurePeer ebonyworks.FailurePeer
	Store       ebonyworks.StoreReader
	Backend     ebonyworks.ForwardBackend
	Connections ConnectionPool
	// Traffic counts the bytes exchanged with other failure domains. Nil counts none.
	Traffic *traffic.Counter
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
	// KeepInDomain keeps requests in the failure domain of the host unless they leave it
	// for a reason.
	KeepInDomain bool
	// EvacuateTime is the time after which the servers of an evacuated failure domain get
	// no more requests. Zero means that the host obeys no evacuations.
	EvacuateTime time.Duration
	// WarmupOvershoot is the factor by which the requests of a cold server may exceed the
	// rate of its service in any second. Zero means 1.5.
	WarmupOvershoot float64
	// WarmupSlack is the number of requests in any second by which a cold server may get
	// more than that. Zero means 5.
	WarmupSlack float64
	// LearnCapacity makes the choice of servers depend on what the host learns about their
	// capacity, where they report their slots.
	LearnCapacity bool
	Recorder      ebonyworks.EventRecorder
	Observer      fanout.Observer
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Gateway is a host that forwards opaque requests. Use New, then Run.
type Gateway struct {
	options          Options
	storeSource      *storesource.FailoverReader
	failureReporter  failurereports.Reporter
	follower         *discovery.Follower
	storeRelay       *storerelay.Relay
	registry         *serverregistry.Registry
	serverStates     *serverstate.Table
	evacuations      *evacuation.Domains
	quota            *quota.Table
	retryBudget      *retrybudget.Budget
	latencyEstimator *hedgedelay.Estimator
	priorityShedder  *priorityshedding.Shedder
	routeLimiter     *routelimit.Limiter
	selector         *selection.Selector
	forwarder        *fanout.Forwarder
	cluster          *membership.Cluster
	quarantine       *quarantine.Controller
	reporter         *quarantine.Reporter
	subsetChooser    subset.Chooser
	hostCount        hostCounter
	aliveShare       aliveShare
	permits          *permits.Client
	// withheld counts the attempts that weren't sent because of an evacuation.
	withheld atomic.Uint64
	// startedAt is when New returned.
	startedAt time.Time
	stopping  atomic.Bool
	// answerBy is the time by which all requests must be answered; nil until a planned
	// stop has begun.
	answerBy atomic.Pointer[time.Time]
	// left is set once the other hosts are told that this one is stopping.
	left atomic.Bool
}

var (
	_ ebonyworks.Forwarder = (*Gateway)(nil)
	_ ebonyworks.Explainer = (*Gateway)(nil)
)

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
		options:     options,
		startedAt:   time.Now(),
		registry:    &serverregistry.Registry{},
		evacuations: &evacuation.Domains{},
		serverStates: &serverstate.Table{
			Random:         random(serverStateStream),
			Recorder:       options.Recorder,
			ProbeByRequest: true,
			DrainGrace:     options.DrainTime / drainGraceDivisor,
			KeepInDomain:   options.KeepInDomain,
			LearnCapacity:  options.LearnCapacity,
		},
		quota:            quota.NewExclusive(assumedHosts),
		retryBudget:      retrybudget.New(options.RetryBudget, assumedHosts),
		latencyEstimator: &hedgedelay.Estimator{},
		priorityShedder:  &priorityshedding.Shedder{},
		routeLimiter:     &routelimit.Limiter{},
		selector:         sameDomainSelector(random(selectionStream)),
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
		Urgent:     g.boundsColdServers,
		LearnHeld:  options.EvacuateTime > 0,
		Recorder:   options.Recorder,
		Random:     random(storeSourceStream),
	}
	g.follower = &discovery.Follower{
		Store:               g.storeSource,
		SourceWaiter:        g.storeSource,
		Registry:            g.registry,
		ApplyTime:           options.ApplyTime,
		Recorder:            options.Recorder,
		Random:              random(discoveryStream),
		Changed:             g.pruneState,
		RegistrationChanged: g.registrationChanged,
		EvacuationChanged:   g.evacuationChanged,
	}
	if options.EvacuateTime > 0 {
		g.follower.Evacuations = g.evacuations
	}
	g.permits = &permits.Client{
		Self:     options.Self,
		Alive:    g.cluster.Alive,
		Ready:    g.mayIssuePermits,
		Peer:     options.PermitPeer,
		Limits:   g.serverStates,
		Issuer:   &permitissuer.Issuer{Limits: g.serverStates, Share: g.aliveShare.Share, WarmupOvershoot: options.WarmupOvershoot, WarmupSlack: options.WarmupSlack},
		Recorder: options.Recorder,
	}
	g.serverStates.OnRateLimitChange = g.permits.LimitChanged
	g.serverStates.OnOutage = g.permits.OutageBegan
	g.serverStates.Warmup = g.warmup
	g.failureReporter = failurereports.Reporter{
		Self:     options.Self,
		Alive:    g.cluster.Alive,
		Peer:     options.FailurePeer,
		Eligible: g.comparesFailureRates,
	}
	g.serverStates.OnFailure = g.failureReporter.Record
	g.storeRelay = storerelay.New(g.follower, g.storeSource)
	g.forwarder = &fanout.Forwarder{
		Domain:           options.Self.Domain,
		Table:            g.follower.Table,
		Sourceless:       g.follower.OutageLength,
		Registry:         g.registry,
		ServerStates:     candidateSource{g},
		Selection:        g.selector,
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
		OnWithheld:       func() { g.withheld.Add(1) },
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
	for _, loop := range []func(context.Context){g.follower.Run, g.cluster.Run, g.reporter.Run, g.permits.Run, g.failureReporter.Run} {
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
			if g.options.Connections != nil {
				g.options.Connections.ReplaceCanceled(false)
			}
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

// Explain tells what would happen to the request now, without sending it and without a
// change of the host's state.
func (g *Gateway) Explain(request *ebonyworks.ForwardRequest) ebonyworks.Explanation {
	return g.forwarder.Explain(request)
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
		if !change.Renewed {
			g.serverStates.RecordRegistration(change.Registration.Server.ID, change.Registration.Incarnation)
		}
		g.serverStates.RecordWarmup(change.Registration)
	}
}

// evacuationChanged starts a slow start of the servers of a failure domain that is used
// again, since they may be cold.
func (g *Gateway) evacuationChanged(change ebonyworks.Evacuation) {
	if !change.Active {
		g.serverStates.BeginSlowStart(g.registry.ServersWhere(func(domain ebonyworks.DomainID) bool { return domain == change.Domain }))
	}
}

// warmup returns how long servers of the service stay cold, and the requests a second
// that they accept meanwhile.
func (g *Gateway) warmup(id ebonyworks.ServiceID) (time.Duration, ebonyworks.RequestRate) {
	table := g.follower.Table()
	if table == nil {
		return 0, 0
	}
	service, _ := table.Service(id)
	return service.Warmup, service.WarmupRate
}

// comparesFailureRates reports whether the service has enough servers for a choice between
// them by their failure rates.
func (g *Gateway) comparesFailureRates(id ebonyworks.ServiceID) bool {
	service := g.registry.Service(id)
	return service != nil && len(service.Servers) >= serverstate.MinReplicasForFailureRate
}

// boundsColdServers reports whether any service bounds the requests to its cold servers.
func (g *Gateway) boundsColdServers() bool {
	table := g.follower.Table()
	return table != nil && slices.ContainsFunc(table.Configuration().Services, func(service ebonyworks.ForwardService) bool {
		return service.Warmup > 0 && service.WarmupRate > 0
	})
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
	g.updateReplacement()
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
	return s.candidates(service, idempotent, s.gateway.serverStates.Candidates)
}

// PeekCandidates returns what the next call of Candidates would return, without a change of
// the state.
func (s candidateSource) PeekCandidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate {
	return s.candidates(service, idempotent, s.gateway.serverStates.PeekCandidates)
}

// candidatesFunc is Candidates or PeekCandidates of a table of server states.
type candidatesFunc func(*ebonyworks.Service, ebonyworks.Route, ebonyworks.DomainID, ebonyworks.Quota) []ebonyworks.Candidate

func (s candidateSource) candidates(service *ebonyworks.Service, idempotent bool, from candidatesFunc) []ebonyworks.Candidate {
	route := ebonyworks.Route{Kind: ebonyworks.ReservationRoute}
	if idempotent {
		route.Kind = ebonyworks.SearchRoute
	}
	g := s.gateway
	candidates := from(g.evacuations.Without(service), route, g.options.Self.Domain, g.quota)
	if chosen := g.subsetChooser.Choose(candidates, service.ConnectionCap, g.hostCount.WithHeadroom()); chosen > 0 {
		return candidates[:chosen]
	}
	return candidates
}

// Availability tells whether the server may be sent a request now.
func (s candidateSource) Availability(server ebonyworks.Server) ebonyworks.Availability {
	availability := s.gateway.serverStates.Availability(server.ID)
	availability.Evacuated = s.gateway.evacuations.Contains(server.Domain)
	return availability
}

// RateLimited returns the servers that need a permit, or nil if there are none.
func (s candidateSource) RateLimited() map[ebonyworks.ServerID]bool {
	return s.gateway.serverStates.RateLimited()
}

// Unavailable returns the servers that get no request now, or nil if there are none.
func (s candidateSource) Unavailable() map[ebonyworks.ServerID]bool {
	unavailable := s.gateway.serverStates.Unavailable()
	if s.gateway.evacuations.Count() == 0 {
		return unavailable
	}
	if unavailable == nil {
		unavailable = make(map[ebonyworks.ServerID]bool)
	}
	for _, server := range s.gateway.registry.ServersWhere(s.gateway.evacuations.Contains) {
		unavailable[server] = true
	}
	return unavailable
}

// Observe updates the state of a server from a finished attempt.
func (s candidateSource) Observe(record ebonyworks.AttemptRecord) {
	s.gateway.serverStates.Observe(record)
}
