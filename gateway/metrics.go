package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

// RegisterMetrics creates the instruments for the state of the host. It must be called
// only once.
func (g *Gateway) RegisterMetrics(meter metric.Meter) error {
	var failures [19]error
	revision, err := meter.Int64ObservableGauge(instrument.ConfigurationRevision)
	failures[0] = err
	ready, err := meter.Int64ObservableGauge(instrument.Ready)
	failures[1] = err
	hosts, err := meter.Int64ObservableGauge(instrument.Hosts)
	failures[2] = err
	quarantined, err := meter.Int64ObservableGauge(instrument.QuarantinedFingerprints)
	failures[3] = err
	opened, err := meter.Int64ObservableCounter(instrument.ConnectionsOpened)
	failures[4] = err
	storeAge, err := meter.Float64ObservableGauge(instrument.StoreAge, metric.WithUnit("s"))
	failures[5] = err
	storeRead, err := meter.Int64ObservableGauge(instrument.StoreReadDirectly)
	failures[6] = err
	storeCalls, err := meter.Int64ObservableCounter(instrument.StoreCalls)
	failures[7] = err
	withdrawn, err := meter.Int64ObservableGauge(instrument.WithdrawnServers)
	failures[8] = err
	rateLimited, err := meter.Int64ObservableGauge(instrument.RateLimitedServers)
	failures[9] = err
	permitsIssued, err := meter.Int64ObservableCounter(instrument.PermitsIssued)
	failures[10] = err
	permitsRefused, err := meter.Int64ObservableCounter(instrument.PermitsRefused)
	failures[11] = err
	permitIssuer, err := meter.Int64ObservableGauge(instrument.PermitIssuer)
	failures[12] = err
	evacuated, err := meter.Int64ObservableGauge(instrument.EvacuatedDomains)
	failures[13] = err
	withheld, err := meter.Int64ObservableCounter(instrument.WithheldAttempts)
	failures[14] = err
	storeEra, err := meter.Int64ObservableGauge(instrument.StoreEra)
	failures[15] = err
	cold, err := meter.Int64ObservableGauge(instrument.ColdServers)
	failures[16] = err
	replaced, err := meter.Int64ObservableCounter(instrument.ConnectionsReplaced)
	failures[17] = err
	failureReports, err := meter.Int64ObservableCounter(instrument.FailureReportsSent)
	failures[18] = err
	if err := errors.Join(failures[:]...); err != nil {
		return errors.Wrap(err, "create the gateway's instruments")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, out metric.Observer) error {
		out.ObserveInt64(revision, int64(g.revision()))
		out.ObserveInt64(ready, instrument.BoolValue(g.Ready()))
		out.ObserveInt64(hosts, int64(g.hostCount.Hosts()))
		out.ObserveInt64(failureReports, int64(g.failureReporter.Sent()))
		out.ObserveInt64(quarantined, int64(g.quarantine.Quarantined()))
		if g.options.Connections != nil {
			out.ObserveInt64(opened, int64(g.options.Connections.Opened()))
			out.ObserveInt64(replaced, int64(g.options.Connections.Replaced()))
		}
		if age, known := g.storeSource.Age(); known {
			out.ObserveFloat64(storeAge, age.Seconds())
		}
		out.ObserveInt64(storeRead, instrument.BoolValue(g.storeSource.ReadsStore()))
		out.ObserveInt64(storeCalls, int64(g.storeSource.StoreCalls()))
		out.ObserveInt64(storeEra, int64(g.follower.AsOf().Era()))
		draining, backoff := g.serverStates.CountUnavailable()
		out.ObserveInt64(withdrawn, int64(draining), stateAttribute("leaving"))
		out.ObserveInt64(withdrawn, int64(backoff), stateAttribute("backoff"))
		out.ObserveInt64(rateLimited, int64(g.serverStates.CountRateLimited()))
		out.ObserveInt64(cold, int64(g.serverStates.CountCold()))
		issued, refused := g.permits.Issuer.Counts()
		out.ObserveInt64(permitsIssued, int64(issued))
		out.ObserveInt64(permitsRefused, int64(refused))
		out.ObserveInt64(permitIssuer, instrument.BoolValue(g.permits.Issues()))
		out.ObserveInt64(evacuated, int64(g.evacuations.Count()))
		out.ObserveInt64(withheld, int64(g.withheld.Load()))
		return nil
	}, revision, ready, hosts, failureReports, quarantined, opened, replaced, storeAge, storeRead, storeCalls, storeEra, withdrawn, rateLimited, cold, permitsIssued, permitsRefused, permitIssuer, evacuated, withheld)
	if err != nil {
		return errors.Wrap(err, "register the gateway's metrics")
	}
	if err := g.registerCapacityMetrics(meter); err != nil {
		return err
	}
	return g.registerTrafficMetric(meter)
}

// RegisterMetrics creates the instruments for what the accepted connections hold. It must
// be called only once, and before Run.
func (s *Server) RegisterMetrics(meter metric.Meter) error {
	held, heldError := meter.Int64ObservableGauge(instrument.ConnectionsHeld, metric.WithUnit("By"))
	limited, limitedError := meter.Int64ObservableCounter(instrument.ConnectionsLimited)
	streams, streamsError := meter.Int64ObservableCounter(instrument.StreamsLimited)
	if err := errors.Join(heldError, limitedError, streamsError); err != nil {
		return errors.Wrap(err, "create the server's instruments")
	}
	_, err := meter.RegisterCallback(func(_ context.Context, out metric.Observer) error {
		for _, listener := range s.limitedListeners() {
			name := metric.WithAttributes(attribute.String("listener", listener.name))
			out.ObserveInt64(held, listener.limiter.Held(), name)
			out.ObserveInt64(limited, int64(listener.limiter.Closed()), name)
		}
		out.ObserveInt64(streams, int64(s.PeerLimiter.Resets()))
		return nil
	}, held, limited, streams)
	if err != nil {
		return errors.Wrap(err, "register the server's metrics")
	}
	return nil
}

func stateAttribute(name string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("state", name))
}

// revision returns the revision of the active configuration, or zero if there is none.
func (g *Gateway) revision() ebonyworks.Revision {
	table := g.follower.Table()
	if table == nil {
		return 0
	}
	return table.Configuration().Revision
}
