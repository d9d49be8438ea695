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
	tidyInterval  = 500 * time.Millisecond
	countInterval = 150 * time.Millisecond
	// gracePart is the part of the time in which a leaving server has to be without
	// new work for which it may still get requests that no other server takes.
	gracePart = 3
	// farFactor lets a far server have an attempt only if the near one has at
	// least two in flight or is that much slower.
	farFactor = 2.5
)

// ConnectionKeeper is a backend that keeps connections.
type ConnectionKeeper interface {
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
	Connections ConnectionKeeper
	// FirstStart is set if the whole fleet starts for the first time, so that no
	// caller waits for this host yet.
	FirstStart bool
	// Repeats bounds the repeats of all hosts together.
	Repeats retrybudget.Bound
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
	options    Options
	upstream   *storesource.FailoverReader
	follower   *discovery.Follower
	replica    *storerelay.Relay
	directory  *serverregistry.Registry
	register   *serverstate.Table
	quota      *quota.Table
	repeats    *retrybudget.Budget
	delays     *hedgedelay.Estimator
	precedence *priorityshedding.Shedder
	pacer      *routelimit.Limiter
	forwarder  *fanout.Forwarder
	guild      *membership.Cluster
	inspector  *quarantine.Controller
	reporter   *quarantine.Reporter
	subset     subset.Chooser
	fleet      fleet
	stopping   atomic.Bool
}

var _ ebonyworks.Forwarder = (*Gateway)(nil)

// Streams separate the random choices of the parts.
const (
	registerStream = iota + 1
	selectionStream
	storeStream
	guildStream
	delegationStream
	hostsStream
	upstreamStream
)

// New assembles a gateway.
func New(options Options) *Gateway {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	g := &Gateway{
		options:   options,
		directory: &serverregistry.Registry{},
		register: &serverstate.Table{
			Random:         random(registerStream),
			Recorder:       options.Recorder,
			ProbeByRequest: true,
			DrainGrace:   options.DrainTime / gracePart,
		},
		quota:      quota.NewExclusive(assumedHosts),
		repeats:    retrybudget.New(options.Repeats, assumedHosts),
		delays:     &hedgedelay.Estimator{},
		precedence: &priorityshedding.Shedder{},
		pacer:      &routelimit.Limiter{},
		subset:     subset.Chooser{Host: options.Self.ID, Domain: options.Self.Domain},
		fleet:      fleet{alone: !othersSeeded(options.Self.Address, options.Seeds)},
	}
	g.guild = membership.New(membership.Config{
		Self:                options.Self,
		MayRaiseIncarnation: true,
		Seeds:               options.Seeds,
		Peer:                options.Peer,
		Random:              random(guildStream),
		Recorder:            options.Recorder,
	})
	g.reporter = quarantine.NewReporter(options.Peer, g.guild.Alive)
	g.inspector = &quarantine.Controller{Publish: g.reporter.Publish, Recorder: options.Recorder}
	g.guild.Attach(viewCarrier{g})
	g.guild.Attach(membership.CrashGossip{Store: g.inspector})
	g.upstream = &storesource.FailoverReader{
		Self:       options.Self,
		Store:      options.Store,
		Peers:      options.StorePeer,
		Alive:      g.guild.Alive,
		FirstStart: options.FirstStart,
		Seed:       !othersSeeded(options.Self.Address, options.Seeds) || slices.Contains(options.Seeds, options.Self.Address),
		ApplyTime:  options.ApplyTime,
		Recorder:   options.Recorder,
		Random:     random(upstreamStream),
	}
	g.follower = &discovery.Follower{
		Store:               g.upstream,
		Registry:            g.directory,
		ApplyTime:           options.ApplyTime,
		Recorder:            options.Recorder,
		Random:              random(storeStream),
		Changed:             g.retain,
		RegistrationChanged: g.departed,
	}
	g.replica = storerelay.New(g.follower, g.upstream)
	g.forwarder = &fanout.Forwarder{
		Domain:           options.Self.Domain,
		Table:            g.follower.Table,
		Registry:         g.directory,
		ServerStates:     servers{g},
		Selection:        nearSelector(random(selectionStream)),
		Quota:            g.quota,
		RetryBudget:      g.repeats,
		LatencyEstimator: g.delays,
		PriorityShedder:  g.precedence,
		RouteLimiter:     g.pacer,
		Backend:          options.Backend,
		Quarantine:       g.inspector,
		Observer:         options.Observer,
		Recorder:         options.Recorder,
	}
	if options.ForwardPeer != nil {
		g.forwarder.Delegator = &delegation.Delegator{
			Self:         options.Self,
			Alive:        g.guild.Alive,
			Peer:         options.ForwardPeer,
			Selection:    selection.New(random(delegationStream)),
			HostStates:   &serverstate.Table{Random: random(hostsStream), ProbeByRequest: true},
			OnDrainState: g.register.RecordDrainAnnouncement,
			Recorder:     options.Recorder,
		}
	}
	return g
}

// nearSelector prefers near servers more than searches do: bytes between
// domains are paid for, and the servers of a shard have slots to spare.
func nearSelector(random *rand.Rand) *selection.Selector {
	selector := selection.New(random)
	selector.CrossDomainFactor = farFactor
	return selector
}

// Run follows the store and the other hosts until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){g.follower.Run, g.guild.Run, g.reporter.Run} {
		loops.Go(func() { loop(ctx) })
	}
	g.learnFleet()
	count := time.NewTicker(countInterval)
	defer count.Stop()
	tidy := time.NewTicker(tidyInterval)
	defer tidy.Stop()
	for {
		select {
		case <-ctx.Done():
			loops.Wait()
			return
		case <-count.C:
			g.learnFleet()
		case <-tidy.C:
			g.follower.Expire()
			g.retainConnections()
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

// SetRepeats changes the bound of the repeats of all hosts together.
func (g *Gateway) SetRepeats(bound retrybudget.Bound) { g.repeats.SetBound(bound) }

// Leave tells the other hosts that this one is stopping.
func (g *Gateway) Leave(ctx context.Context) { g.guild.Leave(ctx) }

// BeginStop makes the host not ready. Requests that arrive are still answered.
func (g *Gateway) BeginStop() {
	if !g.stopping.Swap(true) {
		g.replica.Stop()
	}
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// departed passes the life and the departure of a server on to the register.
func (g *Gateway) departed(change serverregistry.Change) {
	g.register.MergeDrainState(ebonyworks.DrainState{
		Server:      change.Registration.Server.ID,
		Incarnation: change.Registration.Incarnation,
		Draining:    !change.Usable,
	})
}

// retain drops the state of what is no longer known.
func (g *Gateway) retain() {
	named := g.directory.Servers()
	g.register.RetainServers(named)
	g.quota.RetainServers(named)
	if table := g.follower.Table(); table != nil {
		g.retainRoutes(table)
	}
	g.retainConnections()
}

func (g *Gateway) retainRoutes(table *routing.Table) {
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
	g.delays.Retain(routes)
	g.pacer.Retain(routes)
	g.repeats.Retain(services)
	g.precedence.Retain(services)
}

func (g *Gateway) retainConnections() {
	if g.options.Connections != nil {
		g.options.Connections.Retain(g.directory.Addresses())
	}
}

// servers lists the candidates of attempts.
type servers struct {
	gateway *Gateway
}

// Candidates returns the servers that may get an attempt.
func (s servers) Candidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate {
	route := ebonyworks.Route{Kind: ebonyworks.ReservationRoute}
	if idempotent {
		route.Kind = ebonyworks.SearchRoute
	}
	g := s.gateway
	candidates := g.register.Candidates(service, route, g.options.Self.Domain, g.quota)
	if chosen := g.subset.Choose(candidates, service.ConnectionCap, g.fleet.WithSpares()); chosen > 0 {
		return candidates[:chosen]
	}
	return candidates
}

// Availability tells whether the server may be sent a request now.
func (s servers) Availability(server ebonyworks.ServerID) ebonyworks.Availability {
	return s.gateway.register.Availability(server)
}

// Unavailable returns the servers that get no request now, or nil if there are none.
func (s servers) Unavailable() map[ebonyworks.ServerID]bool { return s.gateway.register.Unavailable() }

// Observe learns from an ended attempt.
func (s servers) Observe(record ebonyworks.AttemptRecord) { s.gateway.register.Observe(record) }
