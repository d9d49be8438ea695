package server_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

const (
	slots = 2
	// steady makes service times practically constant.
	steady = 1e-9
)

func testCatalogue() *ebonyworks.Catalogue {
	return &ebonyworks.Catalogue{
		ID: "c",
		Services: []ebonyworks.Service{{
			ID: "s", Slots: slots, ConnectionCap: 2, ConnectTime: time.Millisecond,
			Servers: []ebonyworks.Server{{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:0"), Domain: "Sapporo"}},
		}},
		Partitions: []ebonyworks.Partition{{Epoch: 1, Shards: []ebonyworks.Shard{
			{ID: "low", Service: "s", Keys: ebonyworks.KeyRange{To: "i"}},
			{ID: "high", Service: "t", Keys: ebonyworks.KeyRange{From: "i"}},
		}}},
	}
}

func newServer(model server.Model) *server.Server {
	catalogue := testCatalogue()
	return server.New(server.Options{
		Catalogue: catalogue, Service: "s", Server: catalogue.Services[0].Servers[0],
		Contents: &server.Contents{}, Timeline: server.NewTimeline(server.Schedule{}, 1), Model: model, Seed: 1,
	})
}

func searchOf(id ebonyworks.RequestID) ebonyworks.SubSearch {
	return ebonyworks.SubSearch{Request: id, Catalogue: "c", Shard: "low", Snapshot: ebonyworks.Snapshot{Number: 1, Epoch: 1}}
}

func reservationOf(id ebonyworks.RequestID) ebonyworks.SubReservation {
	return ebonyworks.SubReservation{Request: id, Catalogue: "c", Shard: "low", Key: "b1"}
}

// serve runs a search in the handler without a network.
func serve(ctx context.Context, handler *server.Server, search ebonyworks.SubSearch, remaining time.Duration) ebonyworks.SubSearchReply {
	var codec backendjson.Codec
	body := codec.EncodeSearch(backendjson.SearchRequest{Search: search, Remaining: remaining})
	request := httptest.NewRequestWithContext(ctx, "POST", backendjson.SearchPath, strings.NewReader(string(body)))
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return codec.DecodeSearchReply(backendjson.Reply{Status: response.Code, Body: response.Body.Bytes()}, search, "a")
}

// Guards against a stand-in that has more capacity than its slots, or that
// keeps working for callers that have gone.
func TestSlotsAndQueue(t *testing.T) {
	cases := []struct {
		name      string
		model     server.Model
		requests  int
		remaining time.Duration
		cancel    time.Duration
		want      map[ebonyworks.AttemptResult]int
		took      time.Duration
	}{
		{"all fit", server.Model{}, slots, time.Second, 0, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptServed: 2}, 4 * time.Millisecond},
		{"queue and shed", server.Model{QueuePerSlot: 2}, 10, time.Second, 0, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptServed: 6, ebonyworks.AttemptShed: 4}, 12 * time.Millisecond},
		{"expire in the queue", server.Model{}, 6, 6 * time.Millisecond, 0, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptServed: 4, ebonyworks.AttemptExpired: 2}, 8 * time.Millisecond},
		{"caller gone", server.Model{}, 6, time.Second, 2 * time.Millisecond, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptInvalid: 6}, 2 * time.Millisecond},
		{"cold by count", server.Model{ColdRequests: 2, ColdFactor: 3}, 4, time.Second, 0, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptServed: 4}, 16 * time.Millisecond},
		{"cold by time", server.Model{ColdTime: time.Second, ColdFactor: 3}, 4, time.Second, 0, map[ebonyworks.AttemptResult]int{ebonyworks.AttemptServed: 4}, 24 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.model.Sigma = steady
				handler := newServer(c.model)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancel > 0 {
					time.AfterFunc(c.cancel, cancel)
				}
				begin := time.Now()
				var mu sync.Mutex
				got := make(map[ebonyworks.AttemptResult]int)
				var requests sync.WaitGroup
				for range c.requests {
					requests.Go(func() {
						answer := serve(ctx, handler, searchOf("r"), c.remaining)
						mu.Lock()
						defer mu.Unlock()
						got[answer.Result]++
					})
				}
				requests.Wait()
				assert.Equal(t, c.want, got)
				assert.InDelta(t, c.took, time.Since(begin), float64(10*time.Microsecond))
				state := handler.State()
				assert.Zero(t, state.SlotsBusy)
				assert.Zero(t, state.Queued)
			})
		})
	}
}

// Guards against contents that an independent check can't reproduce, and
// against refusals that claim more or less than the server holds.
func TestSearchResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := newServer(server.Model{})
		contents := &server.Contents{}
		answer := serve(t.Context(), handler, searchOf("r"), time.Second)
		require.Equal(t, ebonyworks.AttemptServed, answer.Result)
		var want []ebonyworks.Row
		for _, key := range contents.Keys("c") {
			if row, ok := contents.Row("c", 1, key); ok && key < "i" {
				want = append(want, row)
			}
		}
		assert.Greater(t, len(want), 300)
		assert.Equal(t, want, answer.Rows)

		filtered := searchOf("r")
		filtered.Filters = []ebonyworks.Field{{Name: "Shade", Value: "7N"}}
		filtered.Keys = ebonyworks.KeyRange{From: "4", To: "5"}
		rows := serve(t.Context(), handler, filtered, time.Second).Rows
		assert.NotEmpty(t, rows)
		for _, row := range rows {
			assert.Contains(t, want, row)
			assert.True(t, filtered.Keys.Contains(row.Key))
			assert.Contains(t, row.Fields, filtered.Filters[0])
		}

		changes := map[ebonyworks.AttemptResult]func(*ebonyworks.SubSearch){
			ebonyworks.AttemptSnapshotGone: func(s *ebonyworks.SubSearch) { s.Snapshot.Epoch = 2 },
			ebonyworks.AttemptRejected:     func(s *ebonyworks.SubSearch) { s.Shard = "high" },
		}
		for result, change := range changes {
			search := searchOf("r")
			change(&search)
			assert.Equal(t, result, serve(t.Context(), handler, search, time.Second).Result)
		}
	})
}

// Guards against snapshots that are kept too long, arrive too early or change
// their epoch after they were published.
func TestTimeline(t *testing.T) {
	timeline := server.NewTimeline(server.Schedule{Period: time.Second, Retention: 3, Spread: 500 * time.Millisecond}, 1)
	at := time.Unix(100, 0)
	timeline.Switch(101, 2)
	assert.Equal(t, ebonyworks.SnapshotNumber(100), timeline.Latest(at))
	early := timeline.Held("a", at.Add(-time.Nanosecond))
	assert.Equal(t, []ebonyworks.Snapshot{{Number: 97, Epoch: 1}, {Number: 98, Epoch: 1}, {Number: 99, Epoch: 1}}, early)
	later := timeline.Held("a", at.Add(1500*time.Millisecond))
	assert.Equal(t, []ebonyworks.Snapshot{{Number: 99, Epoch: 1}, {Number: 100, Epoch: 1}, {Number: 101, Epoch: 2}}, later)
	middle := at.Add(250 * time.Millisecond)
	newest := make(map[ebonyworks.SnapshotNumber]int)
	for _, id := range []ebonyworks.ServerID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		held := timeline.Held(id, middle)
		newest[held[len(held)-1].Number]++
	}
	assert.Len(t, newest, 2, "servers get a snapshot at different times")
}

// started returns a listening server and a client of it.
func started(t *testing.T, model server.Model, options backendclient.Options) (*server.Server, ebonyworks.Server, *backendclient.Client) {
	running := newServer(model)
	require.NoError(t, running.Start())
	t.Cleanup(running.Close)
	client := backendclient.NewClient(options)
	t.Cleanup(client.Close)
	return running, ebonyworks.Server{ID: "a", Address: running.Address()}, client
}

var service = &testCatalogue().Services[0]

// Guards against injected faults that the client sees as something else, and
// against reservations that are counted wrongly.
func TestFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   server.Faults
		want     ebonyworks.AttemptResult
		executed int
	}{
		{"none", server.Faults{}, ebonyworks.AttemptServed, 1},
		{"shed", server.Faults{Shed: true}, ebonyworks.AttemptShed, 0},
		{"truncated", server.Faults{Reply: server.TruncatedReply}, ebonyworks.AttemptInvalid, 1},
		{"garbled", server.Faults{Reply: server.GarbledReply}, ebonyworks.AttemptInvalid, 1},
		{"wrong request", server.Faults{Reply: server.WrongRequestReply}, ebonyworks.AttemptInvalid, 1},
		{"wrong shard", server.Faults{Reply: server.WrongShardReply}, ebonyworks.AttemptInvalid, 1},
		{"duplicated", server.Faults{Reply: server.DuplicatedReply}, ebonyworks.AttemptInvalid, 1},
		{"closed before reading", server.Faults{Close: server.CloseBefore}, ebonyworks.AttemptLost, 0},
		{"closed during reading", server.Faults{Close: server.CloseDuring}, ebonyworks.AttemptLost, 0},
		{"closed after reading", server.Faults{Close: server.CloseAfter}, ebonyworks.AttemptLost, 0},
		{"closed after running", server.Faults{Close: server.CloseExecuted}, ebonyworks.AttemptLost, 1},
		{"crash", server.Faults{CrashValue: "boom"}, ebonyworks.AttemptLost, 1},
		{"slow", server.Faults{SlowFactor: 1e6}, ebonyworks.AttemptTimeout, 1},
		{"frozen", server.Faults{Frozen: true}, ebonyworks.AttemptTimeout, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			running, address, client := started(t, server.Model{}, backendclient.Options{})
			_, result := client.Status(t.Context(), service, address)
			require.Equal(t, ebonyworks.AttemptServed, result)
			running.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			reservation := reservationOf("r")
			reservation.Fields = []ebonyworks.Field{{Name: "Note", Value: "boom"}}
			got := client.Reserve(ctx, service, address, reservation).Result
			if c.executed == 0 && c.want == ebonyworks.AttemptLost {
				// What was written by then decides.
				assert.Contains(t, []ebonyworks.AttemptResult{ebonyworks.AttemptLost, ebonyworks.AttemptUnreachable}, got)
			} else {
				assert.Equal(t, c.want, got)
			}
			executions := running.Executions("r")
			require.Len(t, executions, c.executed)
			if c.executed > 0 {
				assert.Equal(t, 1, executions[0].Started)
			}
		})
	}
	running, address, client := started(t, server.Model{}, backendclient.Options{})
	running.SetFaults(server.Faults{Reply: server.WrongSnapshotReply})
	assert.Equal(t, ebonyworks.AttemptInvalid, client.Search(t.Context(), service, address, searchOf("r")).Result)
	running.SetFaults(server.Faults{})
	for range 2 {
		client.Reserve(t.Context(), service, address, reservationOf("twice"))
	}
	assert.Equal(t, []server.Execution{{Server: "a", Request: "twice", Key: "b1", Started: 2, Finished: 2}}, running.Executions("twice"), "never deduplicates")
}

// Guards against a restarted server that can't be told from its earlier life.
func TestKillAndRestart(t *testing.T) {
	running, address, client := started(t, server.Model{}, backendclient.Options{})
	before, result := client.Status(t.Context(), service, address)
	require.Equal(t, ebonyworks.AttemptServed, result)
	running.Kill(0)
	// The first request can be sent before the client sees that the connection
	// has ended.
	first := client.Search(t.Context(), service, address, searchOf("r")).Result
	assert.Contains(t, []ebonyworks.AttemptResult{ebonyworks.AttemptLost, ebonyworks.AttemptUnreachable}, first)
	assert.Equal(t, ebonyworks.AttemptUnreachable, client.Search(t.Context(), service, address, searchOf("r")).Result)
	assert.Equal(t, server.Stopped, running.State().State)
	require.NoError(t, running.Restart())
	after, result := client.Status(t.Context(), service, address)
	require.Equal(t, ebonyworks.AttemptServed, result)
	assert.Greater(t, after.Incarnation, before.Incarnation)
	running.Kill(time.Millisecond)
	assert.Eventually(t, func() bool { return running.State().State == server.Running }, 10*time.Second, time.Millisecond)
}

// Guards against a server that stays down since it starts again before it has given
// up its address.
func TestRestartsAtOnce(t *testing.T) {
	running, _, _ := started(t, server.Model{}, backendclient.Options{})
	for range 100 {
		running.Kill(time.Nanosecond)
		require.Eventually(t, func() bool { return running.State().State == server.Running }, 10*time.Second, time.Millisecond)
	}
}

// Guards against a drain that interrupts work in flight or accepts new work.
func TestDrain(t *testing.T) {
	running, address, client := started(t, server.Model{MeanServiceTime: 200 * time.Millisecond, Sigma: steady, DrainNotice: 50 * time.Millisecond}, backendclient.Options{})
	inFlight := make(chan ebonyworks.SubSearchReply, 1)
	go func() { inFlight <- client.Search(t.Context(), service, address, searchOf("r1")) }()
	require.Eventually(t, func() bool { return running.State().SlotsBusy == 1 }, 10*time.Second, time.Millisecond)
	drained := make(chan struct{})
	go func() {
		running.Drain(t.Context())
		close(drained)
	}()
	require.Eventually(t, func() bool { return running.State().State == server.Leaving }, 10*time.Second, time.Millisecond)
	refused := client.Search(t.Context(), service, address, searchOf("r2"))
	assert.True(t, refused.Result.ProvesNotRun())
	if refused.Result == ebonyworks.AttemptDraining {
		assert.True(t, refused.Report.Draining)
	}
	answer := <-inFlight
	assert.Equal(t, ebonyworks.AttemptServed, answer.Result)
	assert.True(t, answer.Report.Draining)
	<-drained
	assert.Equal(t, ebonyworks.AttemptUnreachable, client.Search(t.Context(), service, address, searchOf("r3")).Result)
}

// Guards against a server that accepts more connections than its cap, and
// against hosts that can't tell this from a lost request.
func TestConnectionCap(t *testing.T) {
	running, address, first := started(t, server.Model{}, backendclient.Options{})
	second, third := backendclient.NewClient(backendclient.Options{}), backendclient.NewClient(backendclient.Options{})
	defer second.Close()
	defer third.Close()
	for client, want := range map[*backendclient.Client]ebonyworks.AttemptResult{first: ebonyworks.AttemptServed, second: ebonyworks.AttemptServed} {
		assert.Equal(t, want, client.Search(t.Context(), service, address, searchOf("r")).Result)
	}
	assert.Equal(t, ebonyworks.AttemptUnreachable, third.Search(t.Context(), service, address, searchOf("r")).Result)
	state := running.State()
	assert.Equal(t, 2, state.Connections)
	assert.Equal(t, 1, state.TurnedAway)
}

// Guards against hosts of another failure domain that are served as if they
// were near.
func TestDistance(t *testing.T) {
	const far = 30 * time.Millisecond
	model := server.Model{FarDelay: far, Origins: []server.Origin{
		{Prefix: netip.MustParsePrefix("127.20.0.0/16"), Domain: "Asahikawa"},
		{Prefix: netip.MustParsePrefix("127.10.0.0/16"), Domain: "Sapporo"},
	}}
	for address, want := range map[string]time.Duration{"127.20.0.1": 2 * far, "127.10.0.1": 0} {
		_, place, client := started(t, model, backendclient.Options{LocalAddress: netip.MustParseAddr(address)})
		begin := time.Now()
		assert.Equal(t, ebonyworks.AttemptServed, client.Search(t.Context(), service, place, searchOf("r")).Result)
		assert.GreaterOrEqual(t, time.Since(begin), want, address)
	}
}
