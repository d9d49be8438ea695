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
	var failures [13]error
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
	if err := errors.Join(failures[:]...); err != nil {
		return errors.Wrap(err, "create the gateway's instruments")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, out metric.Observer) error {
		out.ObserveInt64(revision, int64(g.revision()))
		out.ObserveInt64(ready, instrument.BoolValue(g.Ready()))
		out.ObserveInt64(hosts, int64(g.hostCount.Hosts()))
		out.ObserveInt64(quarantined, int64(g.quarantine.Quarantined()))
		if g.options.Connections != nil {
			out.ObserveInt64(opened, int64(g.options.Connections.Opened()))
		}
		if age, known := g.storeSource.Age(); known {
			out.ObserveFloat64(storeAge, age.Seconds())
		}
		out.ObserveInt64(storeRead, instrument.BoolValue(g.storeSource.ReadsStore()))
		out.ObserveInt64(storeCalls, int64(g.storeSource.StoreCalls()))
		draining, backoff := g.serverStates.CountUnavailable()
		out.ObserveInt64(withdrawn, int64(draining), stateAttribute("leaving"))
		out.ObserveInt64(withdrawn, int64(backoff), stateAttribute("backoff"))
		out.ObserveInt64(rateLimited, int64(g.serverStates.CountRateLimited()))
		issued, refused := g.permits.Issuer.Counts()
		out.ObserveInt64(permitsIssued, int64(issued))
		out.ObserveInt64(permitsRefused, int64(refused))
		out.ObserveInt64(permitIssuer, instrument.BoolValue(g.permits.Issues()))
		return nil
	}, revision, ready, hosts, quarantined, opened, storeAge, storeRead, storeCalls, withdrawn, rateLimited, permitsIssued, permitsRefused, permitIssuer)
	if err != nil {
		return errors.Wrap(err, "register the gateway's metrics")
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
