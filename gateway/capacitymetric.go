package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

// registerCapacityMetrics creates the instruments for what is learned about the capacity of
// servers.
func (g *Gateway) registerCapacityMetrics(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge(instrument.CapacityLearnedServers,
		metric.WithInt64Callback(func(_ context.Context, out metric.Int64Observer) error {
			out.Observe(int64(g.serverStates.CountLearned()))
			return nil
		}))
	if err != nil {
		return errors.Wrap(err, "register the metric of learned capacities")
	}
	_, err = meter.Int64ObservableCounter(instrument.CapacityChangedChoices,
		metric.WithInt64Callback(func(_ context.Context, out metric.Int64Observer) error {
			out.Observe(int64(g.selector.ChangedChoices()))
			return nil
		}))
	if err != nil {
		return errors.Wrap(err, "register the metric of changed choices")
	}
	return nil
}
