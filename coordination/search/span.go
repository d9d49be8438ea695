package search

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ebonyworks/ebonyworks"
)

// span starts the span of a search. Without a tracer it returns a no-op span at no
// cost, and the caller's trace context is still passed on to the servers.
func (c *Coordinator) span(ctx context.Context, search ebonyworks.Search) (context.Context, trace.Span) {
	if c.Tracer == nil {
		return ctx, noop.Span{}
	}
	return c.Tracer.Start(ctx, "search", trace.WithAttributes(
		attribute.String("route", string(search.Route)),
		attribute.String("request", string(search.Request)),
	))
}

func setOutcome(span trace.Span, outcome ebonyworks.SearchOutcome) {
	if !span.IsRecording() {
		return
	}
	if outcome.Refusal != nil {
		span.SetAttributes(attribute.String("refusal", string(outcome.Refusal.Code)))
		return
	}
	span.SetAttributes(
		attribute.Int64("snapshot", int64(outcome.Answer.Snapshot.Number)),
		attribute.Int("covered", len(outcome.Answer.Coverage.Covered)),
		attribute.Int("missed", len(outcome.Answer.Coverage.Missed)),
	)
}

// span starts the span of an attempt, which includes the wait for a permit.
func (a attempt) span(ctx context.Context) (context.Context, trace.Span) {
	tracer := a.run.coordinator.Tracer
	if tracer == nil {
		return ctx, noop.Span{}
	}
	return tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("service", string(a.shard.service.ID)),
		attribute.String("shard", string(a.shard.shard.ID)),
		attribute.String("server", string(a.server.ID)),
		attribute.String("kind", a.kind()),
	))
}

// kind returns the value of the span attribute that tells why the attempt was made.
func (a attempt) kind() string {
	switch {
	case a.canary:
		return "trial"
	case a.hedge:
		return "hedge"
	case a.retry:
		return "retry"
	default:
		return "first"
	}
}

// endSpan ends the span of an attempt. The attempt is marked as canceled if it was
// canceled, or if its valid reply arrived after that of another attempt.
func (a attempt) endSpan(span trace.Span, record ebonyworks.AttemptRecord, winner bool) {
	if span.IsRecording() {
		late := record.Result == ebonyworks.AttemptServed && !winner
		span.SetAttributes(
			attribute.String("result", record.Result.String()),
			attribute.Bool("winner", winner),
			attribute.Bool("canceled", late || record.Result == ebonyworks.AttemptCanceled),
		)
	}
	span.End()
}
