package peerrpc

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
	"github.com/ebonyworks/ebonyworks/protocol/peerproto"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
	"github.com/ebonyworks/ebonyworks/transport/callerlimit"
	"github.com/ebonyworks/ebonyworks/transport/idletimeout"
)

const (
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the concurrent calls on one connection; a client that needs more
	// opens another one. maxCalls bounds those of all peers. It is high because each host
	// that follows this one keeps a call open.
	maxStreams = 64
	maxCalls   = 2048
	// receiveBytes bounds what a connection and each of its streams buffer before a call
	// reads it. It is the least that HTTP/2 allows; at a round trip of 3 ms it lets 21 MB
	// a second through.
	receiveBytes = 64 << 10
)

// Server serves a PeerHandler to other hosts. Use NewServer.
type Server struct {
	http *http.Server
	// limiter is nil if connections have no limits.
	limiter *callerlimit.Limiter
}

// NewServer returns a server for the handler.
func NewServer(handler ebonyworks.PeerHandler, list ...Option) *Server {
	options := newOptions(list)
	idle := &idletimeout.Closer{Timeout: idleTimeout + bodyTimeout}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&service{handler: handler},
		connect.WithInterceptors(connect.UnaryInterceptorFunc(options.traceCall), connect.UnaryInterceptorFunc(withTimeout)),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithRecover(options.recoverPanic),
		connect.WithConditionalHandlerOptions(sizeLimits),
	))
	return &Server{http: &http.Server{
		Handler:           limitConcurrency(mux),
		Protocols:         unencryptedHTTP2(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      reservationTimeout + bodyTimeout,
		// A timer of net/http would hold the memory of closed connections; idle has its own.
		IdleTimeout:    -1,
		ConnState:      idle.ConnState,
		MaxHeaderBytes: maxHeaderBytes,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: 2 * idleTimeout, PingTimeout: pingTimeout, MaxReceiveBufferPerConnection: receiveBytes, MaxReceiveBufferPerStream: receiveBytes},
	}}
}

// Serve accepts connections until Shutdown or Close is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if s.limiter != nil {
		listener = s.limiter.Listener(listener)
	}
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

// Shutdown stops accepting connections and waits for calls in flight until the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down peer server")
	}
	return nil
}

// Limit makes the server keep the limits on what its connections hold. It is called
// before Serve.
func (s *Server) Limit(limiter *callerlimit.Limiter) {
	limiter.Configure(s.http)
	s.limiter = limiter
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// recoverPanic returns the error for a call whose handler panicked, and records the
// panic.
func (o options) recoverPanic(_ context.Context, spec connect.Spec, _ http.Header, value any) error {
	event.RecordPanic(o.recorder, "call "+spec.Procedure, value)
	return connect.NewError(connect.CodeInternal, event.ErrPanicked)
}

// limitConcurrency rejects calls with status 503, before they are read, while maxCalls
// are in progress.
func limitConcurrency(handler http.Handler) http.Handler {
	calls := make(chan struct{}, maxCalls)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		select {
		case calls <- struct{}{}:
		default:
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-calls }()
		handler.ServeHTTP(writer, request)
	})
}

// sizeLimits returns the message size limits of a procedure.
func sizeLimits(spec connect.Spec) []connect.HandlerOption {
	bound := limitOf(spec.Procedure)
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(bound.requestBytes),
		connect.WithSendMaxBytes(bound.responseBytes),
	}
}

// service converts between the wire types and those of a PeerHandler.
type service struct {
	handler ebonyworks.PeerHandler
	reports reportCache
}

// Exchange handles a ping.
func (s *service) Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	message, err := peerproto.DecodeGossipMessage(request.GetFacts())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := s.handler.HandlePing(ctx, message)
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerv1.ExchangeResponse{Facts: peerproto.EncodeGossipMessage(reply)}, nil
}

// Relay handles an indirect ping: it probes a third host.
func (s *service) Relay(ctx context.Context, request *peerv1.RelayRequest) (*peerv1.RelayResponse, error) {
	target, err := peerproto.DecodeAddress(request.GetTarget())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answered, err := s.handler.HandleIndirectPing(ctx, target)
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerv1.RelayResponse{Answered: answered}, nil
}

// FetchHead returns the manifest of the configuration in force.
func (s *service) FetchHead(ctx context.Context, _ *peerv1.FetchHeadRequest) (*peerv1.FetchHeadResponse, error) {
	manifest, err := s.handler.HandleFetchManifest(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return &peerv1.FetchHeadResponse{Head: manifest}, nil
}

// FetchPart returns a part of the configuration in force.
func (s *service) FetchPart(ctx context.Context, request *peerv1.FetchPartRequest) (*peerv1.FetchPartResponse, error) {
	digest, err := peerproto.DecodeDigest(request.GetDigest())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	part, err := s.handler.HandleFetchPart(ctx, digest)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return &peerv1.FetchPartResponse{Part: part}, nil
}

// Reserve runs a forwarded reservation.
func (s *service) Reserve(ctx context.Context, request *peerv1.ReserveRequest) (*peerv1.ReserveResponse, error) {
	to, reservation, err := peerproto.DecodeReservation(request, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	outcome := s.handler.HandleReserve(ctx, to, reservation)
	return &peerv1.ReserveResponse{Outcome: peerproto.EncodeOutcome(outcome)}, nil
}

// Outcome answers a forwarded query for an outcome.
func (s *service) Outcome(ctx context.Context, request *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	to, err := peerproto.DecodeHost(request.GetTo())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	outcome := s.handler.HandleOutcome(ctx, to, request.GetTicket())
	return &peerv1.OutcomeResponse{Outcome: peerproto.EncodeOutcome(outcome)}, nil
}

// HandOver receives a closed ledger.
func (s *service) HandOver(ctx context.Context, request *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	ledger, err := peerproto.DecodeLedger(request, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.handler.HandleTransferLedger(ctx, ledger); err != nil {
		return nil, unavailable(err)
	}
	return &peerv1.HandOverResponse{}, nil
}

// Report receives crash reports or a failure report. Hosts that don't use the latter ignore
// it.
func (s *service) Report(ctx context.Context, request *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	if report, found := peerproto.DecodeFailureReport(request); found {
		if handler, ok := s.handler.(ebonyworks.FailurePeerHandler); ok {
			if err := handler.HandleReportFailures(ctx, report); err != nil {
				return nil, unavailable(err)
			}
		}
		return &peerv1.ReportResponse{}, nil
	}
	reports, err := peerproto.DecodeCrashes(request.GetCrashes())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.handler.HandleReportCrashes(ctx, reports); err != nil {
		return nil, unavailable(err)
	}
	return &peerv1.ReportResponse{}, nil
}

// Forward runs an opaque request for another host. Hosts without forwarding decline.
func (s *service) Forward(ctx context.Context, request *peerv1.ForwardRequest) (*peerv1.ForwardResponse, error) {
	handler, ok := s.handler.(ebonyworks.ForwardPeerHandler)
	if !ok {
		return &peerv1.ForwardResponse{Declined: true}, nil
	}
	forwarded, delegation, err := peerproto.DecodeForwardRequest(request, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, accepted := handler.HandleForward(ctx, forwarded, delegation)
	return peerproto.EncodeForwardReply(&reply, accepted), nil
}

// Follow returns a report on the platform's store. Hosts that don't read the store
// return the code unavailable.
func (s *service) Follow(ctx context.Context, request *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	handler, ok := s.handler.(ebonyworks.StorePeerHandler)
	if !ok {
		return nil, unavailable(errNoStore)
	}
	after, wait, knowsEras := peerproto.DecodeFollowRequest(request)
	if !knowsEras && after > 0 {
		after = ebonyworks.NewStoreRevision(handler.StoreEra(), after.InEra())
	}
	report, err := handler.HandleFollow(ctx, after, wait)
	if err != nil {
		return nil, unavailable(err)
	}
	if !knowsEras {
		report.StoreListing = storereport.WithoutEra(report.StoreListing)
	}
	changes, err := s.reports.encode(after, &report)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return peerproto.EncodeStoreReport(&report, changes, knowsEras), nil
}

// TakePermits issues permits for rate-limited servers. Hosts without permits decline.
func (s *service) TakePermits(ctx context.Context, request *peerv1.TakePermitsRequest) (*peerv1.TakePermitsResponse, error) {
	handler, ok := s.handler.(ebonyworks.PermitPeerHandler)
	if !ok {
		return &peerv1.TakePermitsResponse{Declined: true}, nil
	}
	decoded, err := peerproto.DecodePermitRequest(request)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := handler.HandleTakePermits(ctx, decoded)
	if err != nil {
		return nil, unavailable(err)
	}
	return peerproto.EncodePermitReply(reply), nil
}

var errNoStore = errors.New("this host reads no store")

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }
