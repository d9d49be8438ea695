package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/ebonyworks/ebonyworks"
)

// AttemptEnded counts the attempt.
func (t *Telemetry) AttemptEnded(record ebonyworks.AttemptRecord) {
	ctx := context.Background()
	labels := metric.WithAttributes(
		attribute.String("service", string(record.Service)),
		attribute.String("result", record.Result.String()),
		attribute.String("kind", attemptKind(record)),
	)
	t.attempts.Add(ctx, 1, labels)
	t.attemptLatency.Record(ctx, record.Latency.Seconds(),
		metric.WithAttributes(attribute.String("service", string(record.Service))))
}

// SearchEnded counts the search and the shards it missed.
func (t *Telemetry) SearchEnded(route ebonyworks.RouteID, outcome ebonyworks.SearchOutcome, elapsed time.Duration) {
	ctx := context.Background()
	name := attribute.String("route", string(route))
	t.searches.Add(ctx, 1, metric.WithAttributes(name, attribute.String("outcome", searchOutcome(outcome))))
	t.searchLatency.Record(ctx, elapsed.Seconds(), metric.WithAttributes(name))
	for _, miss := range outcome.Answer.Coverage.Missed {
		t.missedShards.Add(ctx, 1, metric.WithAttributes(name, attribute.String("reason", string(miss.Reason))))
	}
}

// ReservationEnded counts the reservation.
func (t *Telemetry) ReservationEnded(route ebonyworks.RouteID, outcome ebonyworks.Outcome, _ time.Duration) {
	t.reservations.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", string(route)),
		attribute.String("outcome", outcomeName(outcome)),
		attribute.String("code", string(outcome.Code)),
	))
}

// ForwardEnded counts the forwarded request and the parts that it missed.
func (t *Telemetry) ForwardEnded(route ebonyworks.RouteID, kind ebonyworks.ReplyKind, missing int, elapsed time.Duration) {
	ctx := context.Background()
	name := attribute.String("route", string(route))
	t.forwards.Add(ctx, 1, metric.WithAttributes(name, attribute.String("outcome", kind.String())))
	t.forwardLatency.Record(ctx, elapsed.Seconds(), metric.WithAttributes(name))
	if kind == ebonyworks.ReplyMerged && missing > 0 {
		t.missedParts.Add(ctx, int64(missing), metric.WithAttributes(name))
	}
}

func searchOutcome(outcome ebonyworks.SearchOutcome) string {
	switch {
	case outcome.Refusal != nil:
		return string(outcome.Refusal.Code)
	case outcome.Answer.Coverage.Complete():
		return "complete"
	default:
		return "partial"
	}
}

func outcomeName(outcome ebonyworks.Outcome) string {
	switch {
	case outcome.Refusal != nil:
		return "refused"
	default:
		return outcome.Kind.String()
	}
}

func attemptKind(record ebonyworks.AttemptRecord) string {
	switch {
	case record.Hedge:
		return "hedge"
	case record.Retry:
		return "retry"
	default:
		return "first"
	}
}
