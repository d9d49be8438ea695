package reservation

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ebonyworks/ebonyworks"
)

// span starts a span. Spans hold no results, keys or tickets. Without a tracer
// they cost nothing, and the caller's trace context still reaches the servers.
func (r *Runner) span(ctx context.Context, name string) (context.Context, trace.Span) {
	if r.settings.Tracer == nil {
		return ctx, noop.Span{}
	}
	return r.settings.Tracer.Start(ctx, name)
}

// endSpan ends the span of a reservation, its run or its forward.
func endSpan(span trace.Span, outcome ebonyworks.Outcome) {
	if span.IsRecording() && outcome.Refusal != nil {
		span.SetAttributes(attribute.String("refusal", string(outcome.Refusal.Code)))
	}
	if span.IsRecording() && outcome.Refusal == nil {
		span.SetAttributes(
			attribute.String("outcome", outcome.Kind.String()),
			attribute.String("code", string(outcome.Code)),
		)
	}
	span.End()
}

// forwardSpan starts the span of a message to another host.
func (r *Runner) forwardSpan(ctx context.Context, to ebonyworks.Host) (context.Context, trace.Span) {
	ctx, span := r.span(ctx, "forward")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("host", string(to.ID)))
	}
	return ctx, span
}

// endForward ends the span of a message to another host.
func endForward(span trace.Span, outcome ebonyworks.Outcome, delivery ebonyworks.Delivery) {
	if span.IsRecording() {
		span.SetAttributes(attribute.Bool("delivered", delivery == ebonyworks.Delivered))
	}
	if delivery != ebonyworks.Delivered {
		span.End()
		return
	}
	endSpan(span, outcome)
}

// attemptSpan starts the span of an attempt, which includes the wait for a
// permit.
func (r *Runner) attemptSpan(ctx context.Context, work *job, chosen target) (context.Context, trace.Span) {
	ctx, span := r.span(ctx, "attempt")
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("service", string(work.service.ID)),
			attribute.String("shard", string(work.sent.Shard)),
			attribute.String("server", string(chosen.server.ID)),
			attribute.String("kind", kind(work, chosen)),
		)
	}
	return ctx, span
}

// kind tells why the attempt was made.
func kind(work *job, chosen target) string {
	switch {
	case chosen.trial:
		return "trial"
	case len(work.refusedBy) > 0:
		return "retry"
	default:
		return "first"
	}
}

// endAttempt ends the span of an attempt. An attempt wins if it served the
// reservation.
func endAttempt(span trace.Span, record ebonyworks.AttemptRecord) {
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("result", record.Result.String()),
			attribute.Bool("winner", record.Result == ebonyworks.AttemptServed),
			attribute.Bool("canceled", record.Result == ebonyworks.AttemptCanceled),
		)
	}
	span.End()
}
