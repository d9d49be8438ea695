package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/permitissuer"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/transport/callerlimit"
	"github.com/ebonyworks/ebonyworks/transport/callerpath"
	"github.com/ebonyworks/ebonyworks/transport/connections"
	"github.com/ebonyworks/ebonyworks/transport/drainlistener"
	"github.com/ebonyworks/ebonyworks/transport/explainapi"
	"github.com/ebonyworks/ebonyworks/transport/peerrpc"
)

const (
	// lameDuckPeriod is how long the host accepts new connections after it has become
	// not ready: the load balancer checks readiness once a second and removes a host
	// after two failed checks.
	lameDuckPeriod = 2300 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which requests in
	// flight are abandoned.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the time before that at which requests in flight are answered as
	// failed, so that callers get a response. These responses get at least this long, also
	// if the process was suspended at that time.
	answerMargin = 200 * time.Millisecond
	// minDrainTime is the least time that requests in flight have to finish.
	minDrainTime = time.Second
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration sets the
	// limits of callers.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Server serves a gateway over HTTP: callers, readiness checks, peers and metrics. Its
// exported fields must be set before Run.
type Server struct {
	Gateway *Gateway
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are
	// the addresses to listen on. The last two may be invalid, which disables them.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress netip.AddrPort
	// CallerHandler, ReadinessHandler and MetricsHandler answer the requests at the
	// addresses of the same names, except that the metrics address explains requests
	// under explainapi.Path.
	CallerHandler, ReadinessHandler, MetricsHandler http.Handler
	// MaxCallerConnections bounds the open connections of callers; zero means no bound.
	MaxCallerConnections int
	// CallerLimiter, PeerLimiter and AuxiliaryLimiter bound what the connections at the
	// caller address, at the peer address, and at the readiness and metrics addresses
	// hold. Run sets MaxConnections of the first, Streams of the second, and the callbacks
	// of all.
	CallerLimiter, PeerLimiter, AuxiliaryLimiter callerlimit.Limiter
	// GracePeriod is the time from the end of Run's context until the process is
	// killed.
	GracePeriod time.Duration
	Recorder    ebonyworks.EventRecorder

	// peerServer serves the other hosts; nil if PeerAddress is invalid.
	peerServer *peerrpc.Server

	callerConnections connections.Tracker
	limitMutex        sync.Mutex
	// closeLoggedAt and resetLoggedAt are when a connection that was closed, and a stream
	// that was reset, because of a limit was last logged.
	closeLoggedAt, resetLoggedAt time.Time
	// accepting is done once the last connection was handed to its server.
	accepting sync.WaitGroup
	// requests is the context of all requests of callers.
	requests context.Context

	mutex sync.Mutex
	// current serves new connections of callers with limits, which it gets from listener,
	// and retired are the servers with earlier limits.
	current  *http.Server
	listener *connListener
	limits   ebonyworks.CallerLimits
	retired  []*http.Server
}

// Run serves until the context ends, and then shuts down gracefully: first the host
// becomes not ready, then it closes its listener, then it finishes the requests in
// flight.
func (s *Server) Run(ctx context.Context) error {
	s.configureLimits()
	callers, err := drainlistener.Listen(s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", s.ReadinessAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	if s.MetricsAddress.IsValid() {
		metrics, err := net.Listen("tcp", s.MetricsAddress.String())
		if err != nil {
			return errors.Wrap(err, "listen for metrics")
		}
		s.serve(s.newAuxiliaryServer(s.operatorHandler()), s.AuxiliaryLimiter.Listener(metrics))
	}
	if s.PeerAddress.IsValid() {
		peers, err := net.Listen("tcp", s.PeerAddress.String())
		if err != nil {
			return errors.Wrap(err, "listen for peers")
		}
		s.peerServer = peerrpc.NewServer(s.Gateway, peerrpc.WithRecorder(s.Recorder))
		s.peerServer.Limit(&s.PeerLimiter)
		go s.servePeers(peers)
	}
	s.serve(s.newAuxiliaryServer(s.ReadinessHandler), s.AuxiliaryLimiter.Listener(readiness))
	s.record(event.ProcessStarted, event.Attribute("Callers", s.CallerAddress.String()))
	if slack := s.Gateway.options.WarmupSlack; slack > 0 && slack < permitissuer.MinWarmupSlack {
		s.record(event.WarmupSlackTooSmall)
	}
	var endRequests context.CancelCauseFunc
	s.requests, endRequests = context.WithCancelCause(context.WithoutCancel(ctx))
	gatewayCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.Gateway.Run(gatewayCtx)
	s.accepting.Go(func() { s.accept(callers) })
	<-ctx.Done()
	s.stop(callers, endRequests)
	return nil
}

// operatorHandler answers the requests of operators at the metrics address.
func (s *Server) operatorHandler() http.Handler {
	routes := http.NewServeMux()
	routes.Handle(explainapi.Path, &explainapi.Handler{Explainer: s.Gateway})
	if s.MetricsHandler != nil {
		routes.Handle("/", s.MetricsHandler)
	}
	return routes
}

// newAuxiliaryServer returns a server for readiness checks or metrics, whose requests
// are short and have no body.
func (s *Server) newAuxiliaryServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadTimeout:       defaultHeaderTimeout,
		ReadHeaderTimeout: defaultHeaderTimeout,
		WriteTimeout:      defaultIdleTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    auxiliaryHeaderBytes,
	}
	s.AuxiliaryLimiter.Configure(server)
	return server
}

// auxiliaryHeaderBytes bounds the header of such requests in bytes.
const auxiliaryHeaderBytes = 8 << 10

// accept hands each connection to the server with the active limits.
func (s *Server) accept(listener *drainlistener.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.record(event.AcceptFailed, event.Attribute("Error", err.Error()))
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn, err = s.CallerLimiter.Wrap(conn)
		if err != nil {
			// No request was read, so the caller can safely retry on another host.
			continue
		}
		s.callerConnections.AddPending()
		s.currentListener().deliver(conn)
	}
}

// limitedListener is a limiter and the name of its listeners in events and metrics.
type limitedListener struct {
	name    string
	limiter *callerlimit.Limiter
}

func (s *Server) limitedListeners() []limitedListener {
	return []limitedListener{{"callers", &s.CallerLimiter}, {"peers", &s.PeerLimiter}, {"auxiliary", &s.AuxiliaryLimiter}}
}

// configureLimits completes the limiters.
func (s *Server) configureLimits() {
	s.CallerLimiter.MaxConnections = s.MaxCallerConnections
	s.PeerLimiter.Streams = true
	for _, limited := range s.limitedListeners() {
		limited.limiter.OnClose = func() {
			s.recordLimit(&s.closeLoggedAt, event.CallerConnectionsClosed, limited, "Closed", limited.limiter.Closed())
		}
		limited.limiter.OnReset = func() {
			s.recordLimit(&s.resetLoggedAt, event.CallerStreamsReset, limited, "Reset", limited.limiter.Resets())
		}
	}
}

// recordLimit logs that a connection was closed, or a stream reset, because of a limit,
// unless loggedAt is less than limitLogInterval ago.
func (s *Server) recordLimit(loggedAt *time.Time, id ebonyworks.EventID, limited limitedListener, counter string, count uint64) {
	s.limitMutex.Lock()
	defer s.limitMutex.Unlock()
	if now := time.Now(); now.Sub(*loggedAt) >= limitLogInterval {
		*loggedAt = now
		s.record(id, event.Attribute("Listener", limited.name),
			event.Attribute(counter, strconv.FormatUint(count, 10)), event.Attribute("HeldBytes", strconv.FormatInt(limited.limiter.Held(), 10)))
	}
}

// limitLogInterval is the least time between two log lines about closed connections, or
// about streams that were reset.
const limitLogInterval = time.Second

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// currentListener returns the listener of the server for new connections. If the limits
// have changed, it starts a new server.
func (s *Server) currentListener() *connListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limits := s.Gateway.Limits()
	if s.current != nil && s.limits == limits {
		return s.listener
	}
	if s.current != nil {
		s.retired = append(s.retired, s.current)
	}
	s.limits = limits
	s.current, s.listener = s.newServer(limits)
	return s.listener
}

func (s *Server) newServer(limits ebonyworks.CallerLimits) (*http.Server, *connListener) {
	listener := &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{
		Handler:           s.CallerHandler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: positiveOr(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positiveOr(limits.IdleTimeout, defaultIdleTimeout),
		ErrorLog:          log.New(serverErrorLog{s}, "", 0),
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnState:         s.callerConnections.ConnState,
		ConnContext:       callerpath.NewContext,
	}
	s.CallerLimiter.Configure(server)
	s.serve(server, listener)
	return server, listener
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.record(event.AcceptFailed, event.Attribute("Error", err.Error()))
		}
	}()
}

func (s *Server) servePeers(listener net.Listener) {
	if err := s.peerServer.Serve(listener); err != nil {
		s.record(event.AcceptFailed, event.Attribute("Error", err.Error()))
	}
}

// stop shuts down within the grace period.
func (s *Server) stop(callers *drainlistener.Listener, endRequests context.CancelCauseFunc) {
	begin := time.Now()
	s.record(event.ProcessStopping, event.Attribute("Grace", s.GracePeriod.String()))
	lameDuck := min(lameDuckPeriod, s.GracePeriod/2)
	end := begin.Add(max(s.GracePeriod-exitMargin, lameDuck+minDrainTime))
	s.Gateway.AnswerBy(end.Add(-answerMargin))
	s.Gateway.BeginStop()
	answer := time.AfterFunc(time.Until(end)-answerMargin, func() { endRequests(ebonyworks.ErrHostStopping) })
	defer answer.Stop()
	time.Sleep(lameDuck)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		s.record(event.StopIncomplete, event.Attribute("Error", err.Error()))
	}
	s.accepting.Wait()
	s.Gateway.Leave(ctx)
	var draining sync.WaitGroup
	if s.peerServer != nil {
		// Requests that smaller hosts delegated before the stop are still in flight.
		draining.Go(func() { s.drain(ctx, s.peerServer) })
	}
	draining.Go(func() { s.drainCallers(end, endRequests) })
	draining.Wait()
	s.record(event.ProcessStopped, event.Attribute("Elapsed", time.Since(begin).String()))
}

// drainCallers shuts down the servers of callers once every request that was sent has
// been answered. Otherwise requests would be lost: after Shutdown, an http.Server drops
// the requests that it reads without an answer, and doesn't wait for connections that
// it hasn't yet got from its listener.
//
// Requests that are still running answerMargin before the end are ended there, and not only
// by the timer of stop: a process without CPU time until after the end returned before the
// timer fired, and left them without an answer.
func (s *Server) drainCallers(end time.Time, endRequests context.CancelCauseFunc) {
	running, cancel := context.WithDeadline(context.Background(), end.Add(-answerMargin))
	defer cancel()
	s.callerConnections.WaitIdle(running)
	if !s.callerConnections.Idle() {
		endRequests(ebonyworks.ErrHostStopping)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Until(end), answerMargin))
	defer cancel()
	s.callerConnections.WaitIdle(ctx)
	s.mutex.Lock()
	servers := append([]*http.Server{s.current}, s.retired...)
	s.mutex.Unlock()
	for _, server := range servers {
		if server != nil {
			s.drain(ctx, server)
		}
	}
}

// drain shuts down a server and waits for its requests in flight.
func (s *Server) drain(ctx context.Context, server interface {
	Shutdown(ctx context.Context) error
}) {
	if err := server.Shutdown(ctx); err != nil {
		s.record(event.StopIncomplete, event.Attribute("Error", err.Error()))
	}
}

func (s *Server) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if s.Recorder != nil {
		s.Recorder.Record(event.New(id, attributes...))
	}
}

// serverErrorLog records the errors that net/http logs.
type serverErrorLog struct {
	server *Server
}

// Write records one log line as an event.
func (e serverErrorLog) Write(line []byte) (int, error) {
	e.server.record(event.ConnectionFailed, event.Attribute("Error", strings.TrimSpace(string(line))))
	return len(line), nil
}

// connListener is the listener of one http.Server. It gets its connections from the
// accept loop, so that the listening socket stays open when changed limits require a new
// http.Server.
type connListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (h *connListener) deliver(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close()
	}
}

// Accept returns the next connection that was passed to deliver.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail. It may be called several times.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns an empty address, since a connListener has no socket.
func (h *connListener) Addr() net.Addr { return &net.TCPAddr{} }
