package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/settings"
	"github.com/ebonyworks/ebonyworks/standin/platform"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/transport/callerclient"
	"github.com/ebonyworks/ebonyworks/transport/drainlistener"
)

const (
	fleetSize = 3
	// loadDuration covers a whole graceful shutdown.
	loadDuration = 4 * time.Second
	// workers send requests one after the other, each to a ready host.
	workers = 12
)

// testCluster is a platform, backend servers and entry hosts in one process.
type testCluster struct {
	t *testing.T
	// traces is the directory of the span files; empty for no traces.
	traces    string
	platform  *platform.Platform
	fleet     *server.Fleet
	processes []*process
	cancels   []context.CancelFunc
	ended     []chan error
}

func newTestCluster(t *testing.T, traces string, tracer trace.Tracer) *testCluster {
	s := &testCluster{t: t, traces: traces, platform: platform.New(platform.Options{})}
	first := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), freePorts(t))
	configuration, problems := kitakaze.Plan(configplan.Addresses{First: first}).Configuration()
	require.Empty(t, problems)
	publication, problems := kitakaze.Plan(configplan.Addresses{First: first}).Publish(1, ebonyworks.ConfigurationVersion{})
	require.Empty(t, problems)
	for _, value := range publication.Values() {
		_, err := s.platform.Put(value.Key, value.Bytes)
		require.NoError(t, err)
	}
	s.fleet = server.NewFleet(server.FleetOptions{Seed: 1, Items: 200, Tracer: tracer})
	require.NoError(t, s.fleet.Apply(configuration))
	t.Cleanup(s.fleet.Close)
	service := httptest.NewServer(s.platform)
	t.Cleanup(service.Close)
	s.startHosts(netip.MustParseAddrPort(service.Listener.Addr().String()))
	return s
}

// freePorts returns the first port of a range below the ephemeral ports.
// Each run takes its own range, so that parallel runs don't meet.
func freePorts(t *testing.T) uint16 {
	for attempt := range 50 {
		first := 15000 + (os.Getpid()*7+attempt)%40*128
		if portsFree(first) {
			return uint16(first)
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

func portsFree(first int) bool {
	for port := first; port < first+110; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (s *testCluster) startHosts(service netip.AddrPort) {
	var seeds []netip.AddrPort
	for i := range fleetSize {
		callers, err := drainlistener.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(s.t, err)
		peerListener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		seeds = append(seeds, netip.MustParseAddrPort(peerListener.Addr().String()))
		s.processes = append(s.processes, &process{
			out:            os.Stdout,
			callerListener: callers,
			peerListener:   peerListener,
			settings: settings.Settings{
				Host:       ebonyworks.HostID("entry-" + strconv.Itoa(i)),
				Domain:     "Sapporo",
				Callers:    netip.MustParseAddrPort(callers.Addr().String()),
				Peers:      seeds[i],
				Platform:   service,
				TicketKeys: []settings.TicketKey{{ID: "k", Secret: settings.NewSecret(make([]byte, 32))}},
				Log:        settings.Log{Output: settings.LogFile, File: os.DevNull},
			}.WithDefaults(),
		})
	}
	for _, process := range s.processes {
		process.settings.Seeds = seeds
		if s.traces != "" {
			file := filepath.Join(s.traces, string(process.settings.Host))
			process.settings.Traces = settings.Traces{Exporter: settings.TracesFile, File: file}
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- process.run(ctx) }()
		s.cancels = append(s.cancels, cancel)
		s.ended = append(s.ended, ended)
	}
	s.t.Cleanup(s.stopAll)
	for i := range s.processes {
		client := s.client(i)
		require.Eventually(s.t, func() bool { return client.Ready(context.Background()) }, 20*time.Second, 20*time.Millisecond)
	}
}

func (s *testCluster) stopAll() {
	for i, cancel := range s.cancels {
		cancel()
		if s.ended[i] != nil {
			// The last hosts find no peers to take their ledgers.
			if err := <-s.ended[i]; err != nil {
				s.t.Log(err)
			}
		}
	}
}

func (s *testCluster) client(i int) *callerclient.Client {
	base := "http://" + s.processes[i].settings.Callers.String()
	transport := &http.Transport{MaxIdleConnsPerHost: workers}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &callerclient.Client{Base: base, HTTP: &http.Client{Transport: transport}}
}

// balancer sends each request to a host that was ready a short time ago.
type balancer struct {
	clients []*callerclient.Client
	ready   []atomic.Bool
	next    atomic.Int64
}

func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, client := range b.clients {
			ready := client.Ready(ctx)
			if ctx.Err() != nil {
				// The end of the run says nothing about the host.
				return
			}
			b.ready[i].Store(ready)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *balancer) pick() *callerclient.Client {
	for {
		i := int(b.next.Add(1)) % len(b.clients)
		if b.ready[i].Load() {
			return b.clients[i]
		}
		time.Sleep(time.Millisecond)
	}
}

// requestCounts counts the requests of a run by how they ended.
type requestCounts struct {
	searches, partial, reservations, notRun, unknown, refused, broken atomic.Int64
}

func (c *requestCounts) search(ctx context.Context, client *callerclient.Client) {
	outcome, err := client.Search(ctx, ebonyworks.Search{Route: kitakaze.SearchHair, Customer: "h"}, time.Second)
	switch {
	case err != nil:
		c.broken.Add(1)
	case outcome.Refusal != nil:
		c.refused.Add(1)
	case !outcome.Answer.Coverage.Complete():
		c.partial.Add(1)
	default:
		c.searches.Add(1)
	}
}

// reserve uses the ticket at another host than the one that issued it, and
// returns the key if it ran.
func (c *requestCounts) reserve(ctx context.Context, b *balancer, key string) {
	ticket, refusal, err := b.pick().Ticket(ctx)
	if err != nil || refusal != nil {
		c.broken.Add(1)
		return
	}
	reservation := ebonyworks.Reservation{Ticket: ticket, Route: kitakaze.ReserveBundle, Customer: "h", Key: key}
	outcome, err := b.pick().Reserve(ctx, reservation, 2*time.Second)
	switch {
	case err != nil:
		c.broken.Add(1)
	case outcome.Refusal != nil:
		c.refused.Add(1)
	case outcome.Kind == ebonyworks.OutcomeRan:
		c.reservations.Add(1)
	case outcome.Kind == ebonyworks.OutcomeNotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// Guards against a graceful shutdown that breaks requests in flight, loses the
// outcome of a reservation, or makes one run twice.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	s := newTestCluster(t, "", nil)
	ctx, cancel := context.WithTimeout(context.Background(), loadDuration)
	defer cancel()
	b := &balancer{ready: make([]atomic.Bool, fleetSize)}
	for i := range s.processes {
		b.clients = append(b.clients, s.client(i))
	}
	var background sync.WaitGroup
	background.Go(func() { b.watch(ctx) })
	var counts requestCounts
	for worker := range workers {
		background.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				// Requests that are in flight at the end of the run still count.
				counts.search(context.WithoutCancel(ctx), b.pick())
				counts.reserve(context.WithoutCancel(ctx), b, "bundle-"+strconv.Itoa(worker)+"-"+strconv.Itoa(i))
			}
		})
	}
	time.Sleep(loadDuration / 4)
	unused, refusal, err := b.clients[0].Ticket(ctx)
	require.NoError(t, err)
	require.Nil(t, refusal)
	s.cancels[0]()
	require.NoError(t, <-s.ended[0])
	s.ended[0] = nil
	// The host has stopped, so its ticket can't have been used. The time of the
	// load can be over by now: a busy machine takes longer for the stop.
	outcomeCtx, cancelOutcome := context.WithTimeout(context.Background(), 2*loadDuration)
	defer cancelOutcome()
	outcome, err := b.clients[1].Outcome(outcomeCtx, unused)
	require.NoError(t, err)
	assert.Equal(t, ebonyworks.OutcomeNotRun, outcome.Kind)
	background.Wait()
	t.Logf("searches %d, partial %d, refused %d, reservations %d, not run %d, unknown %d, broken %d",
		counts.searches.Load(), counts.partial.Load(), counts.refused.Load(),
		counts.reservations.Load(), counts.notRun.Load(), counts.unknown.Load(), counts.broken.Load())
	assert.Zero(t, counts.broken.Load())
	assert.Zero(t, counts.unknown.Load())
	assert.Positive(t, counts.searches.Load())
	assert.Positive(t, counts.reservations.Load())
	assert.Equal(t, int(counts.reservations.Load()), s.executions())
}

// executions returns the number of reservations that servers ran, and fails the
// test if one ran twice.
func (s *testCluster) executions() int {
	seen := make(map[string]int)
	for _, backend := range s.fleet.Select(server.Selector{}) {
		for _, execution := range backend.Executions("") {
			seen[execution.Key] += execution.Started
		}
	}
	for key, count := range seen {
		assert.Equal(s.t, 1, count, key)
	}
	return len(seen)
}
