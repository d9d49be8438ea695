package peerrpc

import (
	"context"
	"strings"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
	"github.com/ebonyworks/ebonyworks/state/traffic"
	"github.com/ebonyworks/ebonyworks/transport/tracecontext"
)

// Option configures a client or a server.
type Option func(*options)

type options struct {
	tracer trace.Tracer
	// recorder may be nil.
	recorder ebonyworks.EventRecorder
	// traffic counts the bytes exchanged with other domains than domain; it may be nil.
	traffic *traffic.Counter
	domain  ebonyworks.DomainID
}

// WithTracer adds spans for forwarded reservations and queries for outcomes.
// The trace context is sent with them even without a tracer.
func WithTracer(tracer trace.Tracer) Option {
	return func(o *options) { o.tracer = tracer }
}

// WithRecorder sets the recorder of the events about panics of handlers.
func WithRecorder(recorder ebonyworks.EventRecorder) Option {
	return func(o *options) { o.recorder = recorder }
}

func newOptions(list []Option) options {
	o := options{tracer: noop.Tracer{}}
	for _, option := range list {
		option(&o)
	}
	if o.tracer == nil {
		o.tracer = noop.Tracer{}
	}
	return o
}

// isTraced reports whether calls of the procedure have spans. Pings have none, because
// they belong to no request and would outnumber all other spans.
func isTraced(procedure string) bool {
	return procedure == peerv1connect.PeerServiceReserveProcedure || procedure == peerv1connect.PeerServiceOutcomeProcedure
}

// traceCall is an interceptor. In a client, it starts a span and sends the trace
// context; in a server, it continues the trace of the client.
func (o options) traceCall(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		procedure := request.Spec().Procedure
		if !isTraced(procedure) {
			return next(ctx, request)
		}
		kind := trace.SpanKindServer
		if request.Spec().IsClient {
			kind = trace.SpanKindClient
		} else {
			ctx = tracecontext.Extract(ctx, request.Header())
		}
		ctx, span := o.tracer.Start(ctx, strings.TrimPrefix(procedure, "/"), trace.WithSpanKind(kind))
		defer span.End()
		if request.Spec().IsClient {
			tracecontext.Inject(ctx, request.Header())
		}
		response, err := next(ctx, request)
		if err != nil {
			// The message isn't recorded, because it may quote data of the request.
			span.SetStatus(codes.Error, connect.CodeOf(err).String())
		}
		return response, err
	}
}
