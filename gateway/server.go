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
	// noticeTime is how long the host serves after it is no longer ready: the
	// load balancer asks once a second and needs two misses.
	lameDuckPeriod = 2300 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which
	// requests in flight are given up.
	exitMargin = 500 * time.Millisecond
	// minDrainTime is what requests in flight get at least.
	minDrainTime = time.Second
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration
	// names limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Server serves a gateway on its addresses. Its fields are set before Run.
type Server struct {
	Gateway *Gateway
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are the addresses; the last two may
	// be invalid.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress netip.AddrPort
	// CallerHandler, ReadinessHandler and MetricsHandler answer there.
	CallerHandler, ReadinessHandler, MetricsHandler http.Handler
	// MaxCallerConnections bounds the connections of callers; zero means no bound.
	MaxCallerConnections int
	// GracePeriod is the time from the end of Run's context to the kill.
	GracePeriod time.Duration
	Recorder    ebonyworks.EventRecorder

	// delegated serves the other hosts; nil without an address for them.
	peerServer *peerrpc.Server

	callerConnections connections.Connections
	// fullAt is when the last connection beyond MaxCallers was logged.
	limitLoggedAt time.Time
	// accepting ends once the last connection was handed to its server.
	accepting sync.WaitGroup

	mutex   sync.Mutex
	current *http.Server
	limits  ebonyworks.CallerLimits
	retired []*http.Server
}

// Run serves until the context ends, and then stops gracefully: not ready
// first, then no new connections, then the rest of the requests in flight.
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
	gatewayCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.Gateway.Run(gatewayCtx)
	s.accepting.Go(func() { s.accept(callers) })
	<-ctx.Done()
	s.stop(callers)
	return nil
}

// newSideServer returns a server for short questions without a body.
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

// sideHeaderBytes bounds the header of such questions in bytes.
const auxiliaryHeaderBytes = 8 << 10

// accept hands each connection to the server with the limits in force.
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
			// Nothing was read, so the caller may try another host.
			_ = conn.Close()
			continue
		}
		s.callerConnections.Open()
		s.currentServer().Handler.(*connListener).deliver(conn)
	}
}

// isFull reports whether callers have as many connections as they may.
func (s *Server) isAtConnectionLimit() bool {
	if s.MaxCallerConnections <= 0 || s.callerConnections.Count() < s.MaxCallerConnections {
		return false
	}
	if now := time.Now(); now.Sub(s.limitLoggedAt) >= limitLogInterval {
		s.limitLoggedAt = now
		s.record(event.CallersRefused, event.Attribute("Connections", strconv.Itoa(s.MaxCallerConnections)))
	}
	return true
}

// fullInterval is the time between two lines on connections that are refused.
const limitLogInterval = time.Second

// acceptPause is the pause after a connection that couldn't be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// server returns the server for new connections.
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
		ConnState:         s.callerConnections.Change,
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

// stop ends the process's work within the grace time.
func (s *Server) stop(callers *drainlistener.Listener) {
	begin := time.Now()
	s.record(event.ProcessStopping, event.Attribute("Grace", s.GracePeriod.String()))
	s.Gateway.BeginStop()
	time.Sleep(min(lameDuckPeriod, s.GracePeriod/2))
	remaining := max(s.GracePeriod-exitMargin-time.Since(begin), minDrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		s.record(event.StopIncomplete, event.Attribute("Error", err.Error()))
	}
	s.accepting.Wait()
	s.Gateway.Leave(ctx)
	var draining sync.WaitGroup
	if s.peerServer != nil {
		// Requests that smaller hosts delegated before the stop are in flight.
		draining.Go(func() { s.drain(ctx, s.peerServer) })
	}
	draining.Go(func() { s.drainCallers(ctx) })
	draining.Wait()
	s.record(event.ProcessStopped, event.Attribute("Elapsed", time.Since(begin).String()))
}

// drainCallers shuts the servers of callers down once each request that was sent
// has its answer: a server that is shut down drops the requests that it reads from
// then on without an answer, and doesn't wait for connections that it is about to
// learn of.
func (s *Server) drainCallers(ctx context.Context) {
	s.callerConnections.WaitQuiet(ctx)
	s.mutex.Lock()
	servers := append([]*http.Server{s.current}, s.retired...)
	s.mutex.Unlock()
	for _, server := range servers {
		if server != nil {
			s.drain(ctx, server)
		}
	}
}

// drain waits for the requests in flight at a listener.
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

// errorLog records what net/http complains about.
type serverErrorLog struct {
	server *Server
}

// Write records one line.
func (e serverErrorLog) Write(line []byte) (int, error) {
	e.server.record(event.ConnectionFailed, event.Attribute("Error", strings.TrimSpace(string(line))))
	return len(line), nil
}

// handoff is the listener and the handler of one server. Connections are
// accepted once, whatever limits come into force.
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

// Accept returns the next connection that is handed over.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns no address of its own.
func (h *connListener) Addr() net.Addr { return &net.TCPAddr{} }
