// Package entryhost assembles an entry host from the coordination packages. It does
// I/O only through the interfaces of the root package, so that tests and other programs
// can run a complete host on transports of their own.
package entryhost

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
	"github.com/ebonyworks/ebonyworks/coordination/configsync"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/reservation"
	"github.com/ebonyworks/ebonyworks/coordination/search"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
	"github.com/ebonyworks/ebonyworks/state/ledger"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// Options are the settings and dependencies of a host. Tracer, Meter, Recorder and
// Observer may be nil.
type Options struct {
	Self ebonyworks.Host
	// Seeds are the peer addresses of the hosts to contact first.
	Seeds []netip.AddrPort
	// Keys sign and verify tickets; the first one signs.
	Keys     []ticket.Key
	Backend  ebonyworks.Backend
	Platform ebonyworks.Platform
	Peer     ebonyworks.Peer
	Decoder  ebonyworks.ConfigurationDecoder
	// ManifestKey is the key of the manifest in the configuration service.
	ManifestKey ebonyworks.ConfigurationKey
	// PartKey returns the key of a configuration part by its name.
	PartKey func(name string) ebonyworks.ConfigurationKey
	Policy  Policy
	// Seed makes the random choices of the host reproducible.
	Seed   uint64
	Tracer trace.Tracer
	// Meter creates the instruments for the state of the host; nil disables them.
	Meter    metric.Meter
	Recorder ebonyworks.EventRecorder
	Observer ebonyworks.Observer
}

// Host is an entry host. Use New, then Run.
type Host struct {
	options      Options
	platform     *configsync.RateLimitedPlatform
	activeConfig *activeconfig.Holder
	configSync   *configsync.Syncer
	cluster      *membership.Cluster
	drainStates  *drainstate.Tracker
	serverStates *serverstate.Table
	catalogue    *catalogue.SnapshotIndex
	quota        *quota.Table
	policy       policy
	quarantine   *quarantine.Controller
	ticketIssuer *ticket.Issuer
	searches     *search.Coordinator
	reservations *reservation.Runner
	ledger       *ledger.Ledger
	// reservationConfig is the active configuration without the partitions that no
	// server has reported yet.
	reservationConfig atomic.Pointer[ebonyworks.Configuration]
	// reporter sends crash reports to peers without waiting for the next gossip
	// message, because the caller may send the same request to another host immediately.
	reporter            *quarantine.Reporter
	hedging             *countedHedging
	refusals            metric.Int64Counter
	metricsRegistration metric.Registration
	// started is when Run was called, in nanoseconds since the Unix epoch.
	started  atomic.Int64
	stopping atomic.Bool
	// background holds the goroutines that Run waits for.
	background sync.WaitGroup
}

// New assembles a host. It fails if the options have no usable ticket key.
func New(options Options) (*Host, error) {
	h := &Host{
		options:      options,
		platform:     configsync.NewRateLimitedPlatform(options.Platform),
		activeConfig: &activeconfig.Holder{},
		catalogue:    &catalogue.SnapshotIndex{},
		ledger:       &ledger.Ledger{},
		quota:        quota.New(1),
	}
	ticketIssuer, err := ticket.NewIssuer(options.Self.ID, options.Self.Incarnation, options.Keys, h.random(ticketStream))
	if err != nil {
		return nil, errors.Wrap(err, "create the ticket issuer")
	}
	h.ticketIssuer = ticketIssuer
	h.serverStates = &serverstate.Table{Random: h.random(serverStateStream), Recorder: options.Recorder}
	h.policy = newPolicy(options.Policy, h.random(selectionStream))
	h.assembleMembership()
	h.hedging = &countedHedging{Hedging: h.policy.hedging}
	h.assembleCoordinators()
	if err := h.createInstruments(options.Meter); err != nil {
		return nil, err
	}
	return h, nil
}

// Streams of random numbers, one for each component, so that a change in one
// component doesn't shift the random choices of the others.
const (
	ticketStream = iota + 1
	serverStateStream
	selectionStream
	membershipStream
	configSyncStream
	admissionStream
)

func (h *Host) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.options.Seed, stream))
}

func (h *Host) assembleMembership() {
	h.cluster = membership.New(membership.Config{
		Self:               h.options.Self,
		Seeds:              h.options.Seeds,
		Peer:               h.options.Peer,
		Platform:           h.platform,
		Random:             h.random(membershipStream),
		Recorder:           h.options.Recorder,
		IsDesignatedReader: func() bool { return h.configSync.IsDesignatedReader() },
	})
	h.configSync = configsync.New(configsync.Config{
		Self:         h.options.Self.ID,
		ManifestKey:  h.options.ManifestKey,
		PartKey:      h.options.PartKey,
		Platform:     h.platform,
		Peer:         h.options.Peer,
		Decoder:      h.options.Decoder,
		Membership:   h.cluster,
		ActiveConfig: h.activeConfig,
		Random:       h.random(configSyncStream),
		Recorder:     h.options.Recorder,
	})
	h.drainStates = drainstate.New(drainstate.Config{
		SendNow:  h.cluster.TriggerGossip,
		Recorder: h.options.Recorder,
	})
	h.reporter = quarantine.NewReporter(h.options.Peer, h.cluster.Alive)
	h.quarantine = &quarantine.Controller{Publish: h.reporter.Publish, Recorder: h.options.Recorder}
	h.cluster.Attach(h.configSync)
	h.cluster.Attach(h.drainStates)
	h.cluster.Attach(membership.CrashGossip{Store: h.quarantine})
	h.cluster.Attach(staleMarker{h})
}

func (h *Host) assembleCoordinators() {
	servers := &serverLister{host: h}
	admissionController := admission.New(h.random(admissionStream))
	h.searches = &search.Coordinator{
		Backend:       h.options.Backend,
		Configuration: configSource{h},
		Servers:       servers,
		Catalogue:     h.catalogue,
		Selection:     h.policy.selection,
		Hedging:       h.hedging,
		Quota:         h.quota,
		Quarantine:    h.quarantine,
		Admission:     admissionController,
		Tracer:        h.options.Tracer,
		Recorder:      h.options.Recorder,
		Observer:      observer{h},
	}
	h.reservations = reservation.New(reservation.Settings{
		Host:          h.options.Self.ID,
		Incarnation:   h.options.Self.Incarnation,
		Configuration: h.reservationConfig.Load,
		Tickets:       h.ticketIssuer,
		Ledger:        h.ledger,
		Hosts:         hostLister{h},
		Peer:          h.options.Peer,
		Servers:       servers,
		Backend:       observedBackend{Backend: h.options.Backend, host: h},
		Selection:     h.policy.selection,
		Quota:         h.quota,
		Quarantine:    h.quarantine,
		Admission:     admissionController,
		Hedging:       h.hedging,
		Recorder:      h.options.Recorder,
		Tracer:        h.options.Tracer,
	})
}

// Run runs the host until the context ends, and returns when its goroutines have
// ended. For a planned stop, call Stop before the context ends.
func (h *Host) Run(ctx context.Context) {
	h.started.Store(time.Now().UnixNano())
	for _, loop := range []func(context.Context){h.cluster.Run, h.configSync.Run, h.reporter.Run, h.pollServers, h.watchConfiguration} {
		h.background.Add(1)
		go func() {
			defer h.background.Done()
			loop(ctx)
		}()
	}
	<-ctx.Done()
	h.background.Wait()
	// Unregister fails only for a registration of another meter.
	_ = h.metricsRegistration.Unregister()
}

// BeginStop makes the host not ready, so that the load balancer sends no more
// requests. Requests that still arrive are answered.
func (h *Host) BeginStop() { h.stopping.Store(true) }

// Stopping reports whether a planned stop has begun.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Stop waits for the reservations, transfers the ledger to peers and leaves the
// cluster. The requests of callers must have ended before.
func (h *Host) Stop(ctx context.Context) error {
	h.BeginStop()
	err := h.reservations.Close(ctx)
	h.cluster.Leave(ctx)
	return err
}

// SetKeys replaces the keys that sign and verify tickets.
func (h *Host) SetKeys(keys []ticket.Key) error { return h.ticketIssuer.SetKeys(keys) }

// Search answers a search of a caller.
func (h *Host) Search(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	return h.searches.Search(ctx, search)
}

// Route returns the route with the id in the active configuration.
func (h *Host) Route(id ebonyworks.RouteID) (ebonyworks.Route, bool) {
	configuration := h.activeConfig.Current()
	if configuration == nil {
		return ebonyworks.Route{}, false
	}
	return configuration.Route(id)
}

// IssueTicket returns a signed ticket for one reservation, or a refusal.
func (h *Host) IssueTicket(ctx context.Context) (string, ebonyworks.TicketClaims, *ebonyworks.Refusal) {
	return h.reservations.IssueTicket(ctx)
}

// Reserve runs the reservation. If one with the same ticket ran before, it returns the
// outcome of that.
func (h *Host) Reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	start := time.Now()
	outcome := h.reservations.Reserve(ctx, reservation)
	observer{h}.ReservationEnded(reservation.Route, outcome, time.Since(start))
	return outcome
}

// Outcome returns the outcome of the reservation that used the ticket.
func (h *Host) Outcome(ctx context.Context, ticket string) ebonyworks.Outcome {
	return h.reservations.Outcome(ctx, ticket)
}
