// Package tracecontext propagates the trace of a request in the traceparent header
// field of W3C Trace Context. It doesn't propagate tracestate, because that can be
// large and each search would send it to every backend server.
package tracecontext

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Field is the canonical name of the traceparent header field.
const Field = "Traceparent"

// Extract returns a context with the remote span of the header's traceparent field.
// If the field is absent, repeated or malformed, it returns the context unchanged.
func Extract(ctx context.Context, header http.Header) context.Context {
	if len(header[Field]) != 1 {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, carrier(header))
}

// Inject sets the header's traceparent field to the span of the context, if the
// context has one.
func Inject(ctx context.Context, header http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagation.TraceContext{}.Inject(ctx, carrier(header))
	}
}

// carrier is a propagation.TextMapCarrier that reads and writes only the traceparent
// field of a header.
type carrier http.Header

// Get returns the value of traceparent, or an empty string for any other key.
func (c carrier) Get(key string) string {
	if http.CanonicalHeaderKey(key) != Field {
		return ""
	}
	return http.Header(c).Get(key)
}

// Set sets the value of traceparent, and ignores any other key.
func (c carrier) Set(key, value string) {
	if http.CanonicalHeaderKey(key) == Field {
		c[Field] = []string{value}
	}
}

// Keys returns the name of the traceparent field.
func (c carrier) Keys() []string { return []string{Field} }
