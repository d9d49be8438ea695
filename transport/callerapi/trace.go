package callerapi

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks/transport/tracecontext"
)

// traced continues the caller's trace with a server span. Without a tracer the
// caller's context is still passed on. The span names the pattern of the path,
// since the path itself may hold a ticket.
func (c *API) traced(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		request := ctx.Request()
		traced := tracecontext.Extract(request.Context(), request.Header)
		if c.Tracer == nil {
			if traced != request.Context() {
				ctx.SetRequest(request.WithContext(traced))
			}
			return next(ctx)
		}
		traced, span := c.Tracer.Start(traced, request.Method+" "+ctx.Path(),
			trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(
				attribute.String("http.request.method", request.Method),
				attribute.String("http.route", ctx.Path()),
			))
		defer span.End()
		ctx.SetRequest(request.WithContext(traced))
		err := next(ctx)
		if err != nil {
			// The status is known only after the error was handled.
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
