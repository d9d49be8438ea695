package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/entryhost"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
	"github.com/ebonyworks/ebonyworks/recording"
	"github.com/ebonyworks/ebonyworks/settings"
	"github.com/ebonyworks/ebonyworks/telemetry"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
	"github.com/ebonyworks/ebonyworks/transport/callerapi"
	"github.com/ebonyworks/ebonyworks/transport/connections"
	"github.com/ebonyworks/ebonyworks/transport/drainlistener"
	"github.com/ebonyworks/ebonyworks/transport/peerrpc"
	"github.com/ebonyworks/ebonyworks/transport/platformclient"
)

const (
	// readinessDelay is how long the host keeps answering after it is no longer
	// ready, so that the load balancer notices before connections are refused.
	readinessDelay = time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a whole request.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds each write of a response, so that a caller that doesn't read it
	// can't hold it for long.
	writeTimeout = 10 * time.Second
	// idleTimeout is when an idle connection of a caller is closed.
	idleTimeout = 2 * time.Minute
	// sampleRatio is the share of traces that are kept when traces are exported.
	sampleRatio = 1.0
	// flushTimeout bounds the sending of buffered traces at the end.
	flushTimeout = 2 * time.Second
)

// process is one run of the daemon.
type process struct {
	path     string
	settings settings.Settings
	out      io.Writer

	recorder  *event.Recorder
	telemetry *telemetry.Telemetry
	backend   *backendclient.Client
	// recording is nil unless the settings name a file.
	recording *recording.Recorder
	peers     *peerrpc.Client
	host      *entryhost.Host
	// listeners are open from listen until the end of the run.
	callerListener              *drainlistener.Listener
	peerListener, adminListener net.Listener
	// connections are those of callers.
	connections connections.Tracker
	limiters    limiters
	// closers are closed last, in reverse order.
	closers []io.Closer
}

// run starts the host and stops it gracefully when the context ends.
func (p *process) run(ctx context.Context) error {
	defer p.close()
	if err := p.open(ctx); err != nil {
		return err
	}
	hostCtx, stopHost := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHost()
	hostDone := make(chan struct{})
	go func() {
		defer close(hostDone)
		p.host.Run(hostCtx)
	}()
	p.limit()
	callerServer := p.callerServer()
	peerServer := peerrpc.NewServer(p.host, peerrpc.WithTracer(p.tracer()))
	peerServer.Limit(&p.limiters.peers)
	failed := make(chan error, 3)
	go func() { failed <- ignoreClosed(callerServer.Serve(p.limiters.callers.Listener(p.callerListener))) }()
	go func() { failed <- peerServer.Serve(p.peerListener) }()
	if p.adminListener != nil {
		admin := p.adminServer()
		defer admin.Close()
		go func() { failed <- ignoreClosed(admin.Serve(p.limiters.admin.Listener(p.adminListener))) }()
	}
	p.recorder.Record(event.New(event.ProcessStarted,
		event.Attribute("Host", string(p.settings.Host)),
		event.Attribute("Callers", p.settings.Callers.String()),
		event.Attribute("Peers", p.settings.Peers.String())))
	p.reloadOnSIGHUP(hostCtx)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	err := p.stop(callerServer, peerServer)
	stopHost()
	<-hostDone
	return err
}

// stop shuts the host down gracefully: it first reports that it isn't ready, then
// accepts no new requests, then transfers its ledger to peers and leaves the
// membership.
func (p *process) stop(callerServer *http.Server, peerServer *peerrpc.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.StopBound)
	defer cancel()
	p.recorder.Record(event.New(event.ProcessStopping, event.Attribute("Host", string(p.settings.Host))))
	p.host.BeginStop()
	wakeup.Wait(ctx, readinessDelay, nil)
	var failures []error
	if err := p.callerListener.Drain(ctx); err != nil {
		failures = append(failures, errors.Wrap(err, "stop listening for callers"))
	}
	p.connections.WaitIdle(ctx)
	if err := callerServer.Shutdown(ctx); err != nil {
		failures = append(failures, errors.Wrap(err, "stop serving callers"))
	}
	if err := p.host.Stop(ctx); err != nil {
		failures = append(failures, errors.Wrap(err, "transfer the ledger"))
	}
	if err := peerServer.Shutdown(ctx); err != nil {
		failures = append(failures, errors.Wrap(err, "stop serving peers"))
	}
	p.recorder.Record(event.New(event.ProcessStopped, event.Attribute("Host", string(p.settings.Host))))
	return errors.Join(failures...)
}

// open creates everything that can fail before the host starts.
func (p *process) open(ctx context.Context) error {
	logs, err := p.logWriter()
	if err != nil {
		return err
	}
	p.recorder = event.NewRecorder(logs)
	traces, err := p.traceWriter()
	if err != nil {
		return err
	}
	p.telemetry, err = telemetry.New(ctx, telemetry.Options{
		Process:     "ebonyd",
		Host:        p.settings.Host,
		TraceWriter: traces,
		Endpoint:    p.settings.Traces.Endpoint,
		SampleRatio: sampleRatio,
	})
	if err != nil {
		return err
	}
	if err := p.listen(); err != nil {
		return err
	}
	return p.createHost()
}

func (p *process) createHost() error {
	keys, err := ticketKeys(p.settings)
	if err != nil {
		return err
	}
	p.backend = backendclient.NewClient(backendclient.Options{LocalAddress: p.settings.Peers.Addr(), Recorder: p.recorder})
	backend, err := p.withRecording(p.backend)
	if err != nil {
		return err
	}
	p.peers = peerrpc.NewClient(nil, peerrpc.WithTracer(p.tracer()))
	options := entryhost.Options{
		Self: ebonyworks.Host{
			ID: p.settings.Host,
			// A later start has a later time, so incarnations increase.
			Incarnation: ebonyworks.Incarnation(time.Now().UnixNano()),
			Address:     p.settings.Peers,
			Domain:      p.settings.Domain,
			Region:      p.settings.Region,
		},
		Seeds:       p.seeds(),
		Keys:        keys,
		Backend:     backend,
		Platform:    platformclient.NewClient(platformclient.Options{Address: p.settings.Platform}),
		Peer:        p.peers,
		Decoder:     configdoc.Codec{},
		ManifestKey: configdoc.ManifestKey,
		PartKey:     configdoc.PartKey,
		Policy:      hostPolicy(p.settings.Policy),
		Seed:        uint64(time.Now().UnixNano()),
		Recorder:    p.recorder,
		Observer:    p.telemetry,
		Tracer:      p.tracer(),
		Meter:       p.telemetry.Meter(),
	}
	p.host, err = entryhost.New(options)
	return err
}

// tracer returns nil if no traces are exported, so that no span costs anything.
func (p *process) tracer() trace.Tracer {
	if p.settings.Traces.Exporter == settings.TracesNone {
		return nil
	}
	return p.telemetry.Tracer()
}

func (p *process) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range p.settings.Seeds {
		if seed != p.settings.Peers {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func hostPolicy(policy settings.Policy) entryhost.Policy {
	switch policy {
	case settings.PolicyRoundRobin:
		return entryhost.RoundRobin
	case settings.PolicyLeastOutstanding:
		return entryhost.LeastOutstanding
	case settings.PolicyFixedHedge:
		return entryhost.FixedHedge
	default:
		return entryhost.Adaptive
	}
}

func ticketKeys(loaded settings.Settings) ([]ticket.Key, error) {
	var keys []ticket.Key
	for _, key := range loaded.TicketKeys {
		created, err := ticket.NewKey(key.ID, key.Secret.Reveal())
		if err != nil {
			return nil, errors.Wrapf(err, "ticket key %q", key.ID)
		}
		keys = append(keys, created)
	}
	return keys, nil
}

func (p *process) callerServer() *http.Server {
	var host recording.Host = p.host
	if p.recording != nil {
		host = p.recording.Callers(p.host)
	}
	api := &callerapi.API{
		Searcher:     host,
		Reserver:     host,
		Status:       p.host,
		Routes:       p.host,
		MaxBodyBytes: int64(p.settings.Limits.BodyBytes),
		Tracer:       p.tracer(),
	}
	return p.limited(&http.Server{
		Handler:           p.closeWhenStopping(api.Handler()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         p.connections.ConnState,
	}, &p.limiters.callers)
}

// closeWhenStopping asks callers to close their connections while the host is
// stopping, so that none sends a request on a connection that is being closed.
func (p *process) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if p.host.Stopping() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

func (p *process) adminServer() *http.Server {
	routes := http.NewServeMux()
	routes.Handle("GET /metrics", p.telemetry.MetricsHandler())
	routes.HandleFunc("GET /debug/pprof/", pprof.Index)
	routes.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return p.limited(&http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, &p.limiters.admin)
}

// listen opens the listeners that aren't open yet.
func (p *process) listen() error {
	var err error
	if p.callerListener == nil {
		if p.callerListener, err = drainlistener.Listen(p.settings.Callers); err != nil {
			return errors.Wrap(err, "listen for callers")
		}
	}
	if p.peerListener, err = listen(p.peerListener, p.settings.Peers); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if !p.settings.Admin.IsValid() {
		return nil
	}
	if p.adminListener, err = listen(p.adminListener, p.settings.Admin); err != nil {
		return errors.Wrap(err, "listen for administration")
	}
	return nil
}

func listen(open net.Listener, address netip.AddrPort) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	return net.Listen("tcp", address.String())
}

// reloadOnSIGHUP replaces the ticket keys on SIGHUP. Invalid settings change
// nothing.
func (p *process) reloadOnSIGHUP(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				p.reload()
			}
		}
	}()
}

func (p *process) reload() {
	loaded, problems := settings.Load(p.path)
	if len(problems) > 0 {
		for _, problem := range problems {
			p.recorder.Record(event.New(event.SettingsRefused,
				event.Attribute("Place", problem.Path),
				event.Attribute("Problem", problem.Message)))
		}
		return
	}
	keys, err := ticketKeys(loaded)
	if err == nil {
		err = p.host.SetKeys(keys)
	}
	if err != nil {
		p.recorder.Record(event.New(event.SettingsRefused, event.Attribute("Problem", err.Error())))
		return
	}
	if names := p.settings.RestartNeeded(loaded); len(names) > 0 {
		p.recorder.Record(event.New(event.SettingsNeedRestart, event.Attribute("Fields", strings.Join(names, ", "))))
	}
	p.recorder.Record(event.New(event.SettingsReloaded, event.Attribute("Keys", strconv.Itoa(len(keys)))))
}

func (p *process) close() {
	if p.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		// A collector that is down must not fail the shutdown.
		_ = p.telemetry.Shutdown(ctx)
		cancel()
	}
	if p.backend != nil {
		p.backend.Close()
	}
	if p.peers != nil {
		p.peers.Close()
	}
	if p.callerListener != nil {
		// It is already closed after a graceful shutdown.
		_ = p.callerListener.Close()
	}
	for _, listener := range []net.Listener{p.peerListener, p.adminListener} {
		if listener != nil {
			// It is already closed after a graceful shutdown.
			_ = listener.Close()
		}
	}
	p.closeRecording()
	for _, closer := range p.closers {
		_ = closer.Close()
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
