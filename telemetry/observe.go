package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/ebonyworks/ebonyworks"
)

// AttemptEnded counts the attempt and records its latency.
func (t *Telemetry) AttemptEnded(record ebonyworks.AttemptRecord) {
	ctx := context.Background()
	labels := t.attemptLabels(attemptKey{service: record.Service, result: record.Result, kind: attemptKind(record)})
	t.attempts.Add(ctx, 1, labels.attempts)
	t.attemptLatency.Record(ctx, record.Latency.Seconds(), labels.latency)
	if record.RateLimited {
		t.rateLimitedAttempts.Add(ctx, 1, metric.WithAttributes(
			attribute.String("service", string(record.Service)), attribute.String("kind", attemptKind(record))))
	}
	if record.LeftDomain != ebonyworks.LeaveNone {
		t.attemptsLeavingDomain.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", string(record.LeftDomain))))
	}
}

// attemptKey holds the values that determine the labels of an attempt.
type attemptKey struct {
	service ebonyworks.ServiceID
	result  ebonyworks.AttemptResult
	kind    string
}

// attemptLabels are created once for each key, since sorting and hashing labels
// costs more than counting.
type attemptLabels struct {
	attempts, latency metric.MeasurementOption
}

// maxCachedLabels bounds the cached label sets. The cache is cleared when it is full, since
// services of old configurations aren't needed any more.
const maxCachedLabels = 16384

func (t *Telemetry) attemptLabels(key attemptKey) attemptLabels {
	t.labelsMutex.Lock()
	defer t.labelsMutex.Unlock()
	if cached, ok := t.labels[key]; ok {
		return cached
	}
	if t.labels == nil || len(t.labels) >= maxCachedLabels {
		t.labels = make(map[attemptKey]attemptLabels)
	}
	created := attemptLabels{
		attempts: metric.WithAttributeSet(attribute.NewSet(
			attribute.String("service", string(key.service)),
			attribute.String("result", key.result.String()),
			attribute.String("kind", key.kind),
		)),
		latency: metric.WithAttributeSet(attribute.NewSet(attribute.String("service", string(key.service)))),
	}
	t.labels[key] = created
	return created
}

// SearchEnded counts the search and its missed shards, and records its latency.
func (t *Telemetry) SearchEnded(route ebonyworks.RouteID, outcome ebonyworks.SearchOutcome, elapsed time.Duration) {
	ctx := context.Background()
	name := attribute.String("route", string(route))
	t.searches.Add(ctx, 1, metric.WithAttributes(name, attribute.String("outcome", searchOutcome(outcome))))
	t.searchLatency.Record(ctx, elapsed.Seconds(), metric.WithAttributes(name))
	for _, missed := range outcome.Answer.Coverage.Missed {
		t.missedShards.Add(ctx, 1, metric.WithAttributes(name, attribute.String("reason", string(missed.Reason))))
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

// ForwardEnded counts the forwarded request and its missing parts, and records its
// latency.
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
