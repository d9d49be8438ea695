// Package tracecontext carries the trace of a request in header fields, as W3C
// Trace Context defines them. Only traceparent is carried: tracestate can be
// large, and each search would send it to every backend server.
package tracecontext

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Field is the canonical name of the header field.
const Field = "Traceparent"

// Extract returns the context with the remote span that the header names, or
// the context as it is if the header names none or is malformed.
func Extract(ctx context.Context, header http.Header) context.Context {
	if len(header[Field]) != 1 {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, carrier(header))
}

// Inject writes the span of the context to the header, if there is one.
func Inject(ctx context.Context, header http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagation.TraceContext{}.Inject(ctx, carrier(header))
	}
}

// carrier is a header of which only traceparent is read and written.
type carrier http.Header

// Get returns the value of traceparent.
func (c carrier) Get(key string) string {
	if http.CanonicalHeaderKey(key) != Field {
		return ""
	}
	return http.Header(c).Get(key)
}

// Set writes the value of traceparent.
func (c carrier) Set(key, value string) {
	if http.CanonicalHeaderKey(key) == Field {
		c[Field] = []string{value}
	}
}

// Keys returns the fields that are read and written.
func (c carrier) Keys() []string { return []string{Field} }
