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
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/transport/connections"
	"github.com/ebonyworks/ebonyworks/transport/drainlistener"
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
	// failed, so that callers get a response.
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
	// addresses of the same names.
	CallerHandler, ReadinessHandler, MetricsHandler http.Handler
	// MaxCallerConnections bounds the open connections of callers; zero means no bound.
	MaxCallerConnections int
	// GracePeriod is the time from the end of Run's context until the process is
	// killed.
	GracePeriod time.Duration
	Recorder    ebonyworks.EventRecorder

	// peerServer serves the other hosts; nil if PeerAddress is invalid.
	peerServer *peerrpc.Server

	callerConnections connections.Tracker
	// limitLoggedAt is when a refused connection beyond MaxCallerConnections was last
	// logged.
	limitLoggedAt time.Time
	// accepting is done once the last connection was handed to its server.
	accepting sync.WaitGroup
	// requests is the context of all requests of callers.
	requests context.Context

	mutex sync.Mutex
	// current serves new connections of callers with limits, and retired are the
	// servers with earlier limits.
	current *http.Server
	limits  ebonyworks.CallerLimits
	retired []*http.Server
}

// Run serves until the context ends, and then shuts down gracefully: first the host
// becomes not ready, then it closes its listener, then it finishes the requests in
// flight.
func (s *Server) Run(ctx context.Context) error {
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
		s.serve(newAuxiliaryServer(s.MetricsHandler), metrics)
	}
	if s.PeerAddress.IsValid() {
		peers, err := net.Listen("tcp", s.PeerAddress.String())
		if err != nil {
			return errors.Wrap(err, "listen for peers")
		}
		s.peerServer = peerrpc.NewServer(s.Gateway, peerrpc.WithRecorder(s.Recorder))
		go s.servePeers(peers)
	}
	s.serve(newAuxiliaryServer(s.ReadinessHandler), readiness)
	s.record(event.ProcessStarted, event.Attribute("Callers", s.CallerAddress.String()))
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

// newAuxiliaryServer returns a server for readiness checks or metrics, whose requests
// are short and have no body.
func newAuxiliaryServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadTimeout:       defaultHeaderTimeout,
		ReadHeaderTimeout: defaultHeaderTimeout,
		WriteTimeout:      defaultIdleTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    auxiliaryHeaderBytes,
	}
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
		if s.isAtConnectionLimit() {
			// No request was read, so the caller can safely retry on another host.
			_ = conn.Close()
			continue
		}
		s.callerConnections.AddPending()
		s.currentServer().Handler.(*connListener).deliver(conn)
	}
}

// isAtConnectionLimit reports whether the connections of callers have reached
// MaxCallerConnections, and logs it.
func (s *Server) isAtConnectionLimit() bool {
	if s.MaxCallerConnections <= 0 || s.callerConnections.Count() < s.MaxCallerConnections {
		return false
	}
	if now := time.Now(); now.Sub(s.limitLoggedAt) >= limitLogInterval {
		s.limitLoggedAt = now
		s.record(event.CallerConnectionsRefused, event.Attribute("Connections", strconv.Itoa(s.MaxCallerConnections)))
	}
	return true
}

// limitLogInterval is the least time between two log lines about refused connections.
const limitLogInterval = time.Second

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// currentServer returns the server for new connections. If the limits have changed, it
// starts a new one.
func (s *Server) currentServer() *http.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limits := s.Gateway.Limits()
	if s.current != nil && s.limits == limits {
		return s.current
	}
	if s.current != nil {
		s.retired = append(s.retired, s.current)
	}
	s.limits = limits
	s.current = s.newServer(limits)
	return s.current
}

func (s *Server) newServer(limits ebonyworks.CallerLimits) *http.Server {
	handler := &connListener{Handler: s.CallerHandler, conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: positiveOr(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positiveOr(limits.IdleTimeout, defaultIdleTimeout),
		ErrorLog:          log.New(serverErrorLog{s}, "", 0),
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnState:         s.callerConnections.ConnState,
	}
	s.serve(server, handler)
	return server
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
	draining.Go(func() { s.drainCallers(ctx) })
	draining.Wait()
	s.record(event.ProcessStopped, event.Attribute("Elapsed", time.Since(begin).String()))
}

// drainCallers shuts down the servers of callers once every request that was sent has
// been answered. Otherwise requests would be lost: after Shutdown, an http.Server drops
// the requests that it reads without an answer, and doesn't wait for connections that
// it hasn't yet got from its listener.
func (s *Server) drainCallers(ctx context.Context) {
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

// connListener is the listener and the handler of one http.Server. It gets its
// connections from the accept loop, so that the listening socket stays open when
// changed limits require a new http.Server.
type connListener struct {
	http.Handler
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
