package callerapi

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks/transport/tracecontext"
)

// traced is a middleware that starts a server span as a child of the caller's span.
// Without a tracer, the caller's trace context is still propagated. The span is named
// after the route pattern, because the path itself may contain a ticket.
func (a *API) traced(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		request := ctx.Request()
		traced := tracecontext.Extract(request.Context(), request.Header)
		if a.Tracer == nil {
			if traced != request.Context() {
				ctx.SetRequest(request.WithContext(traced))
			}
			return next(ctx)
		}
		traced, span := a.Tracer.Start(traced, request.Method+" "+ctx.Path(),
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(
				attribute.String("http.request.method", request.Method),
				attribute.String("http.route", ctx.Path()),
			))
		defer span.End()
		ctx.SetRequest(request.WithContext(traced))
		err := next(ctx)
		if err != nil {
			// The error is handled here, because the status is known only afterwards.
			ctx.Error(err)
		}
		status := ctx.Response().Status
		span.SetAttributes(attribute.Int("http.response.status_code", status))
		if status >= http.StatusInternalServerError {
			span.SetStatus(codes.Error, http.StatusText(status))
		}
		return nil
	}
}
