package entryhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

// unknownRoute replaces route names that aren't in the active configuration, since
// callers can send any name and each would create its own time series.
const unknownRoute ebonyworks.RouteID = "unknown"

// decisionCounter counts granted and denied hedges or retries.
type decisionCounter struct {
	granted, denied atomic.Int64
}

func (d *decisionCounter) count(allowed bool) bool {
	if allowed {
		d.granted.Add(1)
	} else {
		d.denied.Add(1)
	}
	return allowed
}

// countedHedging is a Hedging that counts its decisions.
type countedHedging struct {
	ebonyworks.Hedging
	hedges, retries decisionCounter
}

// AllowHedge takes one hedge from the budget. It returns false if none is left.
func (c *countedHedging) AllowHedge(service ebonyworks.ServiceID) bool {
	return c.hedges.count(c.Hedging.AllowHedge(service))
}

// AllowRetry takes one retry from the budget. It returns false if none is left.
func (c *countedHedging) AllowRetry(service ebonyworks.ServiceID) bool {
	return c.retries.count(c.Hedging.AllowRetry(service))
}

// observer counts refusals, and passes calls on to the Observer of the options with
// unknown route names replaced, so that the number of route names stays bounded.
type observer struct {
	host *Host
}

// AttemptEnded passes the attempt on.
func (o observer) AttemptEnded(record ebonyworks.AttemptRecord) {
	if next := o.host.options.Observer; next != nil {
		next.AttemptEnded(record)
	}
}

// SearchEnded counts a refusal and passes the search on.
func (o observer) SearchEnded(route ebonyworks.RouteID, outcome ebonyworks.SearchOutcome, elapsed time.Duration) {
	o.countRefusal(outcome.Refusal)
	if next := o.host.options.Observer; next != nil {
		next.SearchEnded(o.knownRoute(route), outcome, elapsed)
	}
}

// ReservationEnded counts a refusal and passes the reservation on.
func (o observer) ReservationEnded(route ebonyworks.RouteID, outcome ebonyworks.Outcome, elapsed time.Duration) {
	o.countRefusal(outcome.Refusal)
	if next := o.host.options.Observer; next != nil {
		next.ReservationEnded(o.knownRoute(route), outcome, elapsed)
	}
}

func (o observer) knownRoute(route ebonyworks.RouteID) ebonyworks.RouteID {
	if _, ok := o.host.Route(route); !ok {
		return unknownRoute
	}
	return route
}

func (o observer) countRefusal(refusal *ebonyworks.Refusal) {
	if refusal != nil {
		o.host.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", string(refusal.Code))))
	}
}

// instruments are the asynchronous instruments; collect sets their values.
type instruments struct {
	revision, stale, ready, members, servers metric.Int64ObservableGauge
	inFlight, queued, records, quarantined   metric.Int64ObservableGauge
	calls, hedges, retries                   metric.Int64ObservableCounter
}

// createInstruments creates the instruments of the host. With a nil meter, nothing is
// recorded.
func (h *Host) createInstruments(meter metric.Meter) error {
	if meter == nil {
		meter = noop.Meter{}
	}
	var g instruments
	var failures []error
	gauge := func(target *metric.Int64ObservableGauge, name string) {
		created, err := meter.Int64ObservableGauge(name)
		*target = created
		failures = append(failures, err)
	}
	counter := func(target *metric.Int64ObservableCounter, name string) {
		created, err := meter.Int64ObservableCounter(name)
		*target = created
		failures = append(failures, err)
	}
	gauge(&g.revision, instrument.ConfigurationRevision)
	gauge(&g.stale, instrument.ConfigurationStale)
	gauge(&g.ready, instrument.Ready)
	gauge(&g.members, instrument.Members)
	gauge(&g.servers, instrument.Servers)
	gauge(&g.inFlight, instrument.RequestsInFlight)
	gauge(&g.queued, instrument.RequestsQueued)
	gauge(&g.records, instrument.LedgerRecords)
	gauge(&g.quarantined, instrument.QuarantinedFingerprints)
	counter(&g.calls, instrument.PlatformCalls)
	counter(&g.hedges, instrument.Hedges)
	counter(&g.retries, instrument.Retries)
	refusals, err := meter.Int64Counter(instrument.Refusals)
	h.refusals = refusals
	failures = append(failures, err)
	if err := errors.Join(failures...); err != nil {
		return errors.Wrap(err, "create the host's instruments")
	}
	h.metricsRegistration, err = meter.RegisterCallback(func(_ context.Context, out metric.Observer) error {
		h.collect(g, out)
		return nil
	}, g.revision, g.stale, g.ready, g.members, g.servers, g.inFlight, g.queued, g.records, g.quarantined, g.calls, g.hedges, g.retries)
	if err != nil {
		return errors.Wrap(err, "register the host's metrics")
	}
	return nil
}

func (h *Host) collect(g instruments, out metric.Observer) {
	status := h.Status()
	out.ObserveInt64(g.revision, int64(status.Version.Revision))
	out.ObserveInt64(g.stale, instrument.BoolValue(status.Stale))
	out.ObserveInt64(g.ready, instrument.BoolValue(status.Ready))
	out.ObserveInt64(g.calls, int64(status.PlatformCalls))
	members := make(map[ebonyworks.MemberState]int64)
	for _, member := range status.Peers {
		members[member.State]++
	}
	for state := ebonyworks.MemberAlive; state <= ebonyworks.MemberLeft; state++ {
		out.ObserveInt64(g.members, members[state], label("state", state.String()))
	}
	h.collectServers(g, out, status.Servers)
	h.collectRoutes(g, out)
	out.ObserveInt64(g.hedges, h.hedging.hedges.granted.Load(), label("decision", "granted"))
	out.ObserveInt64(g.hedges, h.hedging.hedges.denied.Load(), label("decision", "denied"))
	out.ObserveInt64(g.retries, h.hedging.retries.granted.Load(), label("decision", "granted"))
	out.ObserveInt64(g.retries, h.hedging.retries.denied.Load(), label("decision", "denied"))
	records, _ := h.ledger.Size()
	out.ObserveInt64(g.records, int64(records))
	out.ObserveInt64(g.quarantined, int64(h.quarantine.Quarantined()))
}

func (h *Host) collectServers(g instruments, out metric.Observer, servers []ebonyworks.ServerStatus) {
	counts := make(map[string]int64)
	for _, server := range servers {
		counts[serverState(server)]++
	}
	for _, state := range []string{"in_use", "leaving", "failing", "cold"} {
		out.ObserveInt64(g.servers, counts[state], label("state", state))
	}
}

func serverState(server ebonyworks.ServerStatus) string {
	switch {
	case !server.InUse && server.Reason == reasonFailing:
		return "failing"
	case !server.InUse:
		return "leaving"
	case server.Share < 1:
		return "cold"
	default:
		return "in_use"
	}
}

func (h *Host) collectRoutes(g instruments, out metric.Observer) {
	configuration := h.activeConfig.Current()
	admissionController, ok := h.searches.Admission.(*admission.Controller)
	if configuration == nil || !ok {
		return
	}
	for _, route := range configuration.Routes {
		inFlight, queued, _ := admissionController.Load(route.ID)
		out.ObserveInt64(g.inFlight, int64(inFlight), label("route", string(route.ID)))
		out.ObserveInt64(g.queued, int64(queued), label("route", string(route.ID)))
	}
}

func label(name, value string) metric.ObserveOption {
	return metric.WithAttributes(attribute.String(name, value))
}
