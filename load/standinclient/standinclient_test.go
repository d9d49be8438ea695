package standinclient_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/scenario"
	"github.com/ebonyworks/ebonyworks/load/standinclient"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

// world is a real stand-in process whose requests are recorded.
type world struct {
	fleet *server.Fleet
	admin *server.Admin

	mu   sync.Mutex
	last map[string]string
}

func (w *world) ServeHTTP(reply http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Method == http.MethodPut {
		w.mu.Lock()
		w.last[r.URL.Query().Get("Server")] = string(body)
		w.mu.Unlock()
	}
	w.admin.ServeHTTP(reply, r)
}

// freeAddress returns an address on which nobody listens.
func freeAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func start(t *testing.T) (*world, *ebonyworks.Configuration, *standinclient.Client) {
	plan := &configplan.Plan{}
	plan.Catalogue(configplan.CatalogueSpec{
		ID: "blocks", Services: 1, ServersPerService: 2, Slots: 2, ConnectionCap: 8, Domains: []ebonyworks.DomainID{"Heredia"},
	})
	plan.Route(ebonyworks.Route{ID: "search", Catalogue: "blocks", DefaultDeadline: time.Second, MaxDeadline: time.Second})
	configuration, problems := plan.Configuration()
	require.Empty(t, problems)
	for i := range configuration.Catalogues[0].Services[0].Servers {
		configuration.Catalogues[0].Services[0].Servers[i].Address = freeAddress(t)
	}
	w := &world{fleet: server.NewFleet(server.FleetOptions{}), last: make(map[string]string)}
	t.Cleanup(w.fleet.Close)
	require.NoError(t, w.fleet.Apply(configuration))
	w.admin = server.NewAdmin(w.fleet, nil)
	process := httptest.NewServer(w)
	t.Cleanup(process.Close)
	client, err := standinclient.Connect(t.Context(), process.Client(), []string{process.URL}, configuration)
	require.NoError(t, err)
	return w, configuration, client
}

func (w *world) states() []server.Phase {
	var states []server.Phase
	for _, each := range w.fleet.Select(server.Selector{}) {
		states = append(states, each.State().State)
	}
	return states
}

// Guards against faults that replace each other, hit other servers, or stay
// after their end.
func TestFaultsCombine(t *testing.T) {
	w, _, client := start(t)
	first := scenario.Selector{Replica: 1}
	faults := []scenario.Fault{
		{Kind: scenario.Slow, Factor: 10, Servers: first},
		{Kind: scenario.Lie, Report: scenario.Idle},
		{Kind: scenario.Crash, Value: "bad", Downtime: time.Second, Servers: first},
		{Kind: scenario.Freeze, Servers: first},
	}
	var pending sync.WaitGroup
	for _, fault := range faults {
		pending.Go(func() { assert.NoError(t, client.Start(t.Context(), fault)) })
	}
	pending.Wait()
	assert.JSONEq(t, `{"SlowFactor": 10, "Frozen": true, "CrashValue": "bad", "CrashDowntimeMilliseconds": 1000, "Report": "idle"}`, w.last["blocks-01-a"])
	assert.JSONEq(t, `{"Report": "idle"}`, w.last["blocks-01-b"])
	for _, fault := range faults {
		require.NoError(t, client.Stop(t.Context(), fault))
	}
	assert.JSONEq(t, `{}`, w.last["blocks-01-a"])
	assert.JSONEq(t, `{}`, w.last["blocks-01-b"])
}

// Guards against servers that stay away after a fault.
func TestStops(t *testing.T) {
	for _, kind := range []scenario.FaultKind{scenario.Kill, scenario.Drain} {
		w, _, client := start(t)
		fault := scenario.Fault{Kind: kind, Servers: scenario.Selector{Replica: 2}}
		require.NoError(t, client.Start(t.Context(), fault))
		assert.Equal(t, []server.Phase{server.Running, server.Stopped}, w.states(), kind)
		require.NoError(t, client.Stop(t.Context(), fault))
		assert.Equal(t, []server.Phase{server.Running, server.Running}, w.states(), kind)
	}
	w, _, client := start(t)
	before := w.fleet.Select(server.Selector{})[0].State().Incarnation
	require.NoError(t, client.Start(t.Context(), scenario.Fault{Kind: scenario.Restart}))
	require.Eventually(t, func() bool {
		state := w.fleet.Select(server.Selector{})[0].State()
		return state.State == server.Running && state.Incarnation > before
	}, 10*time.Second, time.Millisecond)
}

// Guards against requests that aren't counted or are counted twice.
func TestCounters(t *testing.T) {
	_, configuration, client := start(t)
	backend := backendclient.NewClient(backendclient.Options{})
	defer backend.Close()
	service := &configuration.Catalogues[0].Services[0]
	shard := configuration.Catalogues[0].Partitions[0].Shards[0].ID
	reserve := func(request ebonyworks.RequestID, server int) {
		confirmation := backend.Reserve(t.Context(), service, service.Servers[server], ebonyworks.SubReservation{
			Request: request, Catalogue: "blocks", Shard: shard, Key: "k",
		})
		assert.Equal(t, ebonyworks.AttemptServed, confirmation.Result)
	}
	reserve("one", 0)
	reserve("two", 0)
	reserve("two", 1)
	answer := backend.Search(t.Context(), service, service.Servers[1], ebonyworks.SubSearch{
		Request: "three", Catalogue: "blocks", Shard: shard, Snapshot: ebonyworks.Snapshot{Number: 99, Epoch: 1},
	})
	assert.Equal(t, ebonyworks.AttemptSnapshotGone, answer.Result)
	counters, err := client.Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, load.Counters{Served: 3, SnapshotGone: 1}, counters)
	executions, err := client.Executions(t.Context())
	require.NoError(t, err)
	assert.Equal(t, load.Executions{Distinct: 2, Repeated: 1}, executions)
}

// Guards against results of requests that the stand-ins count and the tool
// leaves out.
func TestCountersAreComplete(t *testing.T) {
	counts := server.Counts{Served: 1, Shed: 1, Draining: 1, SnapshotGone: 1, Expired: 1, Abandoned: 1, Rejected: 1, Closed: 1, Crashes: 1}
	text, err := json.Marshal(counts)
	require.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var counters load.Counters
	require.NoError(t, decoder.Decode(&counters))
	assert.Equal(t, uint64(8), counters.Received())
	assert.Equal(t, uint64(16), counters.Plus(counters).Received())
	assert.Equal(t, load.Counters{}, counters.Minus(counters))
}

// Guards against runs without some of the servers.
func TestConnectNeedsAllServers(t *testing.T) {
	w, configuration, _ := start(t)
	process := httptest.NewServer(w)
	defer process.Close()
	configuration.Catalogues[0].Services[0].Servers[1].ID = "elsewhere"
	_, err := standinclient.Connect(t.Context(), process.Client(), []string{process.URL}, configuration)
	assert.ErrorContains(t, err, "elsewhere")
	process.Close()
	_, err = standinclient.Connect(t.Context(), process.Client(), []string{process.URL}, configuration)
	assert.Error(t, err)
}
