package reservation

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ebonyworks/ebonyworks"
)

// startSpan starts a span. Spans contain no results, keys or tickets. Without a tracer
// they cost nothing, and the caller's trace context is still propagated to the servers.
func (r *Runner) startSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	if r.settings.Tracer == nil {
		return ctx, noop.Span{}
	}
	return r.settings.Tracer.Start(ctx, name)
}

// endSpan records the outcome in the span of a reservation, a run or a forwarded
// message, and ends it.
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

// startForwardSpan starts the span of a message that is forwarded to another host.
func (r *Runner) startForwardSpan(ctx context.Context, to ebonyworks.Host) (context.Context, trace.Span) {
	ctx, span := r.startSpan(ctx, "forward")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("host", string(to.ID)))
	}
	return ctx, span
}

// endForwardSpan ends the span of a message that was forwarded to another host. The
// outcome is recorded only if the host replied.
func endForwardSpan(span trace.Span, outcome ebonyworks.Outcome, delivery ebonyworks.Delivery) {
	if span.IsRecording() {
		span.SetAttributes(attribute.Bool("delivered", delivery == ebonyworks.Delivered))
	}
	if delivery != ebonyworks.Delivered {
		span.End()
		return
	}
	endSpan(span, outcome)
}

// startAttemptSpan starts the span of an attempt, which includes the wait for a
// permit.
func (r *Runner) startAttemptSpan(ctx context.Context, work *job, chosen target) (context.Context, trace.Span) {
	ctx, span := r.startSpan(ctx, "attempt")
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("service", string(work.service.ID)),
			attribute.String("shard", string(work.sent.Shard)),
			attribute.String("server", string(chosen.server.ID)),
			attribute.String("kind", attemptKind(work, chosen)),
		)
	}
	return ctx, span
}

// attemptKind returns the attribute that tells a first attempt from a retry and from a
// canary attempt, whose value is "trial".
func attemptKind(work *job, chosen target) string {
	switch {
	case chosen.canary:
		return "trial"
	case len(work.refusedBy) > 0:
		return "retry"
	default:
		return "first"
	}
}

// endAttemptSpan ends the span of an attempt. An attempt wins if it served the
// reservation.
func endAttemptSpan(span trace.Span, record ebonyworks.AttemptRecord) {
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("result", record.Result.String()),
			attribute.Bool("winner", record.Result == ebonyworks.AttemptServed),
			attribute.Bool("canceled", record.Result == ebonyworks.AttemptCanceled),
		)
	}
	span.End()
}
