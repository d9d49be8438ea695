package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

// registerTrafficMetric creates the instrument for the bytes exchanged with other
// failure domains.
func (g *Gateway) registerTrafficMetric(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter(instrument.CrossDomainTraffic, metric.WithUnit("By"),
		metric.WithInt64Callback(func(_ context.Context, out metric.Int64Observer) error {
			for purpose := range ebonyworks.TrafficPurpose(ebonyworks.TrafficPurposes) {
				for direction := range ebonyworks.TrafficDirection(ebonyworks.TrafficDirections) {
					out.Observe(int64(g.options.Traffic.Bytes(purpose, direction)), metric.WithAttributes(
						attribute.String("purpose", purpose.String()), attribute.String("direction", direction.String())))
				}
			}
			return nil
		}))
	if err != nil {
		return errors.Wrap(err, "register the traffic metric")
	}
	return nil
}
