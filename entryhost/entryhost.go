// Package entryhost assembles an entry host from the coordination packages. It
// reaches the outside through the interfaces of the root package only, so that
// tests and other programs can run a whole host on transports of their own.
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

// Options are what a host needs. Tracer, Meter, Recorder and Observer may
// be nil.
type Options struct {
	Self ebonyworks.Host
	// Seeds are peers' addresses of hosts to contact first.
	Seeds []netip.AddrPort
	// Keys sign and verify tickets; the first one signs.
	Keys      []ticket.Key
	Backend   ebonyworks.Backend
	Platform  ebonyworks.Platform
	Peer      ebonyworks.Peer
	Documents ebonyworks.ConfigurationDecoder
	// HeadKey is the key of the head on the configuration service.
	HeadKey ebonyworks.ConfigurationKey
	// PartKey returns the key of a part by its name.
	PartKey func(name string) ebonyworks.ConfigurationKey
	Policy  Policy
	// Seed makes the random choices of the host reproducible.
	Seed   uint64
	Tracer trace.Tracer
	// Meter takes the host's own metrics; nil takes none.
	Meter    metric.Meter
	Recorder ebonyworks.EventRecorder
	Observer ebonyworks.Observer
}

// Host is an entry host. Use New, then Run.
type Host struct {
	options    Options
	meter      *configsync.RateLimitedPlatform
	edition    *activeconfig.Holder
	bulletin   *configsync.Syncer
	guild      *membership.Cluster
	departures *drainstate.Tracker
	register   *serverstate.Table
	catalogue  *catalogue.SnapshotIndex
	quota      *quota.Table
	policy     policy
	inspector  *quarantine.Controller
	office     *ticket.Issuer
	searches   *search.Coordinator
	runner     *reservation.Runner
	ledger     *ledger.Ledger
	// reservable is the configuration in force without partitions that no server
	// has reported yet.
	reservable atomic.Pointer[ebonyworks.Configuration]
	// reporter tells peers of crashes without waiting for the next exchange: the
	// caller of the request may send it to another host at once.
	reporter *quarantine.Reporter
	hedging  *countedHedging
	refusals metric.Int64Counter
	metering metric.Registration
	// started is when Run was called, in nanoseconds since the epoch.
	started  atomic.Int64
	stopping atomic.Bool
	// background are goroutines that Run waits for.
	background sync.WaitGroup
}

// New assembles a host. It fails if no usable ticket key is given.
func New(options Options) (*Host, error) {
	h := &Host{
		options:   options,
		meter:     configsync.NewRateLimitedPlatform(options.Platform),
		edition:   &activeconfig.Holder{},
		catalogue: &catalogue.SnapshotIndex{},
		ledger:    &ledger.Ledger{},
		quota:     quota.New(1),
	}
	office, err := ticket.NewIssuer(options.Self.ID, options.Self.Incarnation, options.Keys, h.random(officeStream))
	if err != nil {
		return nil, errors.Wrap(err, "create the ticket office")
	}
	h.office = office
	h.register = &serverstate.Table{Random: h.random(registerStream), Recorder: options.Recorder}
	h.policy = newPolicy(options.Policy, h.random(selectionStream))
	h.assembleMembership()
	h.hedging = &countedHedging{Hedging: h.policy.hedging}
	h.assembleWork()
	if err := h.measure(options.Meter); err != nil {
		return nil, err
	}
	return h, nil
}

// Streams separate the random choices of the parts, so that a change in one
// doesn't shift those of the others.
const (
	officeStream = iota + 1
	registerStream
	selectionStream
	guildStream
	bulletinStream
	admissionStream
)

func (h *Host) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.options.Seed, stream))
}

func (h *Host) assembleMembership() {
	h.guild = membership.New(membership.Config{
		Self:               h.options.Self,
		Seeds:              h.options.Seeds,
		Peer:               h.options.Peer,
		Platform:           h.meter,
		Random:             h.random(guildStream),
		Recorder:           h.options.Recorder,
		IsDesignatedReader: func() bool { return h.bulletin.IsDesignatedReader() },
	})
	h.bulletin = configsync.New(configsync.Config{
		Self:         h.options.Self.ID,
		ManifestKey:  h.options.HeadKey,
		PartKey:      h.options.PartKey,
		Platform:     h.meter,
		Peer:         h.options.Peer,
		Decoder:      h.options.Documents,
		Membership:   h.guild,
		ActiveConfig: h.edition,
		Random:       h.random(bulletinStream),
		Recorder:     h.options.Recorder,
	})
	h.departures = drainstate.New(drainstate.Config{
		SendNow:  h.guild.TriggerGossip,
		Recorder: h.options.Recorder,
	})
	h.reporter = quarantine.NewReporter(h.options.Peer, h.guild.Alive)
	h.inspector = &quarantine.Controller{Publish: h.reporter.Publish, Recorder: h.options.Recorder}
	h.guild.Attach(h.bulletin)
	h.guild.Attach(h.departures)
	h.guild.Attach(membership.CrashGossip{Store: h.inspector})
	h.guild.Attach(staleMarker{h})
}

func (h *Host) assembleWork() {
	servers := &servers{host: h}
	gate := admission.New(h.random(admissionStream))
	h.searches = &search.Coordinator{
		Backend:       h.options.Backend,
		Configuration: editions{h},
		Servers:       servers,
		Catalogue:     h.catalogue,
		Selection:     h.policy.selection,
		Hedging:       h.hedging,
		Quota:         h.quota,
		Quarantine:    h.inspector,
		Admission:     gate,
		Tracer:        h.options.Tracer,
		Recorder:      h.options.Recorder,
		Observer:      observer{h},
	}
	h.runner = reservation.New(reservation.Settings{
		Host:          h.options.Self.ID,
		Incarnation:   h.options.Self.Incarnation,
		Configuration: h.reservable.Load,
		Tickets:       h.office,
		Ledger:        h.ledger,
		Hosts:         hosts{h},
		Peer:          h.options.Peer,
		Servers:       servers,
		Backend:       observedBackend{Backend: h.options.Backend, host: h},
		Selection:     h.policy.selection,
		Quota:         h.quota,
		Quarantine:    h.inspector,
		Admission:     gate,
		Hedging:       h.hedging,
		Recorder:      h.options.Recorder,
		Tracer:        h.options.Tracer,
	})
}

// Run keeps the host going until the context ends, and returns when all of its
// work has stopped. Call Stop before the context ends for a planned stop.
func (h *Host) Run(ctx context.Context) {
	h.started.Store(time.Now().UnixNano())
	for _, loop := range []func(context.Context){h.guild.Run, h.bulletin.Run, h.reporter.Run, h.askServers, h.followConfiguration} {
		h.background.Add(1)
		go func() {
			defer h.background.Done()
			loop(ctx)
		}()
	}
	<-ctx.Done()
	h.background.Wait()
	// It fails only for a foreign registration.
	_ = h.metering.Unregister()
}

// BeginStop makes the host not ready, so that the load balancer sends no more
// requests. Requests that arrive are still answered.
func (h *Host) BeginStop() { h.stopping.Store(true) }

// Stopping reports whether a planned stop has begun.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Stop ends the reservations, hands the ledger to peers and leaves the
// membership. Requests of callers must have ended before.
func (h *Host) Stop(ctx context.Context) error {
	h.BeginStop()
	err := h.runner.Close(ctx)
	h.guild.Leave(ctx)
	return err
}

// SetKeys replaces the keys of tickets.
func (h *Host) SetKeys(keys []ticket.Key) error { return h.office.SetKeys(keys) }

// Search answers a search.
func (h *Host) Search(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	return h.searches.Search(ctx, search)
}

// Route returns the route in force with the id.
func (h *Host) Route(id ebonyworks.RouteID) (ebonyworks.Route, bool) {
	configuration := h.edition.Current()
	if configuration == nil {
		return ebonyworks.Route{}, false
	}
	return configuration.Route(id)
}

// IssueTicket returns a signed token for one reservation.
func (h *Host) IssueTicket(ctx context.Context) (string, ebonyworks.TicketClaims, *ebonyworks.Refusal) {
	return h.runner.IssueTicket(ctx)
}

// Reserve runs the reservation or returns the outcome of its earlier copy.
func (h *Host) Reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	start := time.Now()
	outcome := h.runner.Reserve(ctx, reservation)
	observer{h}.ReservationEnded(reservation.Route, outcome, time.Since(start))
	return outcome
}

// Outcome returns the outcome of the reservation with the ticket.
func (h *Host) Outcome(ctx context.Context, ticket string) ebonyworks.Outcome {
	return h.runner.Outcome(ctx, ticket)
}
