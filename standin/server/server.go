package server

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

const (
	// maxStreams bounds the requests of one connection. It is far above the
	// queue of a server, so that load is shed with a reply.
	maxStreams = 1000
	// defaultCrashDowntime is how long a crashed server is away.
	defaultCrashDowntime = 2 * time.Second
	// shedRetryAfter is when a host that was refused because of load may return.
	shedRetryAfter = 50 * time.Millisecond
)

// Options describe one stand-in server.
type Options struct {
	// Catalogue is read-only; Update replaces it.
	Catalogue *ebonyworks.Catalogue
	Service   ebonyworks.ServiceID
	Server    ebonyworks.Server
	// Contents and Timeline are shared by all servers of the catalogue.
	Contents *Contents
	Timeline *Timeline
	Model    Model
	// Seed makes service times and shares of faults repeatable.
	Seed uint64
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Tracer starts a span for each request that reaches the slots; nil starts
	// none.
	Tracer trace.Tracer
	// clock is the runtime's if nil.
	clock clock
}

// Phase tells whether a server accepts connections.
type Phase string

const (
	// Stopped servers don't listen.
	Stopped Phase = "stopped"
	// Running servers accept work.
	Running Phase = "running"
	// Leaving servers refuse new work and finish the rest.
	Leaving Phase = "leaving"
)

// Server is a stand-in backend server. It can be used as a handler alone, or
// listen by itself.
type Server struct {
	options    Options
	codec      backendjson.Codec
	dice       *dice
	gate       gate
	executions executions
	counters   counters

	mu sync.Mutex
	// address has the port that the first Start got if the configured one is 0.
	address   netip.AddrPort
	catalogue *ebonyworks.Catalogue
	faults    Faults
	life      *life
	// restart starts the next life after a crash; nil if none is planned.
	restart *time.Timer
	closed  bool
}

// life is a server from its start to its crash or stop. Its fields are guarded
// by Server.mu, except those that are set once.
type life struct {
	incarnation ebonyworks.Incarnation
	started     time.Time
	slots       *slots
	reported    reportedLoad

	state Phase
	// ran counts the requests that took a slot.
	ran  int
	door *door
	http *http.Server
	// served is closed when the listener has ended.
	served chan struct{}
}

// New returns a server that doesn't listen yet.
func New(options Options) *Server {
	options.Model = options.Model.withDefaults()
	if options.clock == nil {
		options.clock = runtimeClock{}
	}
	s := &Server{
		options:   options,
		dice:      newDice(options.Seed, 0),
		catalogue: options.Catalogue,
		address:   options.Server.Address,
	}
	s.life = s.newLife(0)
	return s
}

// newLife returns a running life with an incarnation after the given one.
func (s *Server) newLife(previous ebonyworks.Incarnation) *life {
	now := time.Now()
	capacity := max(s.service().Slots, 1)
	return &life{
		incarnation: max(previous+1, ebonyworks.Incarnation(now.UnixNano())),
		started:     now,
		slots:       &slots{capacity: capacity, limit: capacity * s.options.Model.QueuePerSlot},
		state:       Running,
	}
}

func (s *Server) service() *ebonyworks.Service {
	if service, ok := s.options.Catalogue.Service(s.options.Service); ok {
		return service
	}
	return &ebonyworks.Service{}
}

// ID returns the id of the server.
func (s *Server) ID() ebonyworks.ServerID { return s.options.Server.ID }

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens at the server's address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

func (s *Server) listen() error {
	if s.closed || s.life.door != nil {
		return errors.New("server is closed or listens already")
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	service := s.service()
	current := s.life
	current.door = &door{
		Listener:    listener,
		cap:         max(service.ConnectionCap, 1),
		connectTime: service.ConnectTime,
		gate:        &s.gate,
	}
	current.served = make(chan struct{})
	current.http = newHTTPServer(s)
	go func() {
		defer close(current.served)
		_ = current.http.Serve(current.door)
	}()
	return nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:     handler,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ConnContext: withVisit,
		ErrorLog:    log.New(io.Discard, "", 0),
	}
}

// Kill closes all connections without reply and stops listening. If downtime
// is positive, the server starts again after it, with a new incarnation.
func (s *Server) Kill(downtime time.Duration) {
	s.mu.Lock()
	current := s.life
	if current.state == Stopped {
		s.mu.Unlock()
		return
	}
	current.state = Stopped
	s.mu.Unlock()
	current.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(event.StandInKilled, event.Attribute("Downtime", downtime.String()))
	if downtime > 0 && !s.closed {
		s.restart = time.AfterFunc(downtime, s.restartLater)
	}
}

// restartLater starts the server again unless something else did meanwhile.
func (s *Server) restartLater() {
	s.mu.Lock()
	due := !s.closed && s.life.state == Stopped
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.Restart(); err != nil {
		s.record(event.StandInDown, event.Attribute("Error", err.Error()))
	}
}

// Restart starts a stopped server with a new incarnation. It is cold and
// remembers only its executions.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.life.state != Stopped {
		return errors.New("server is closed or isn't stopped")
	}
	s.life = s.newLife(s.life.incarnation)
	if err := s.listen(); err != nil {
		s.life.state = Stopped
		return err
	}
	s.recordLocked(event.StandInRestarted)
	return nil
}

// Drain refuses new work, finishes the rest, ends all connections with GOAWAY
// and stops listening. Work that outlasts the context is interrupted.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	current := s.life
	if current.state != Running {
		s.mu.Unlock()
		return
	}
	current.state = Leaving
	s.mu.Unlock()
	runtimeClock{}.wait(ctx, time.Now().Add(s.options.Model.DrainNotice))
	if current.http == nil || current.http.Shutdown(ctx) != nil {
		current.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current.state = Stopped
}

// Close interrupts all work and stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	current := s.life
	current.state = Stopped
	s.mu.Unlock()
	s.gate.set(false)
	current.close()
}

func (l *life) close() {
	if l.http == nil {
		return
	}
	_ = l.http.Close()
	<-l.served
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.gate.set(faults.Frozen)
}

// Update replaces the catalogue, whose partitions may differ. Slots and
// connection limits stay those of the start.
func (s *Server) Update(catalogue *ebonyworks.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogue = catalogue
}

// Executions returns how often each reservation ran, or only the given one.
func (s *Server) Executions(request ebonyworks.RequestID) []Execution {
	return s.executions.list(request)
}

// view is the state of a server at one moment.
type view struct {
	life      *life
	state     Phase
	faults    Faults
	catalogue *ebonyworks.Catalogue
}

func (s *Server) view() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{life: s.life, state: s.life.state, faults: s.faults, catalogue: s.catalogue}
}

func (s *Server) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(id, attributes...)
}

func (s *Server) recordLocked(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if s.options.Recorder == nil {
		return
	}
	attributes = append(attributes, event.Attribute("Server", string(s.ID())))
	s.options.Recorder.Record(event.New(id, attributes...))
}
