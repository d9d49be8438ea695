package backendclient_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

var (
	codec   backendjson.Codec
	service = &ebonyworks.Service{ID: "s", ConnectionCap: 40}
	// reservation needs two DATA frames, so that a server can close while it
	// reads the body.
	reservation = ebonyworks.SubReservation{
		Request: "r", Catalogue: "c", Shard: "s1", Key: "k",
		Fields: []ebonyworks.Field{{Name: "Note", Value: strings.Repeat("n", 20<<10)}},
	}
	search = ebonyworks.SubSearch{Request: "r", Catalogue: "c", Shard: "s1", Snapshot: ebonyworks.Snapshot{Number: 1, Epoch: 1}}
	report = ebonyworks.ServerReport{Server: "a", Incarnation: 1}
)

// reservationReply returns the body of a reply to a reservation.
func reservationReply(result ebonyworks.AttemptResult, request ebonyworks.RequestID) string {
	return string(codec.EncodeReservationReply(ebonyworks.SubReservationReply{
		Result: result, Request: request, Shard: "s1", Report: report,
	}, "").Body)
}

// Guards against a reservation that runs twice, and against reporting "not run" for
// a reservation that ran: whatever the server does, it receives at most one request,
// and a result that proves that nothing ran is returned only if the server didn't
// run it.
func TestReservationSentOnce(t *testing.T) {
	good := reservationReply(ebonyworks.AttemptServed, "r")
	large := strings.Repeat(" ", 8192)
	// executes is set if the server runs a request that it received in full.
	cases := []struct {
		name     string
		script   script
		executes bool
		want     ebonyworks.AttemptResult
	}{
		{"served", script{body: reply(200, len(good), good, true, nil)}, true, ebonyworks.AttemptServed},
		{"connection closed when accepted", script{accepted: closeConn}, false, ebonyworks.AttemptUnreachable},
		{"no SETTINGS sent", script{accepted: stopReading}, false, ebonyworks.AttemptUnreachable},
		{"closed while reading", script{data: closeConn}, false, ebonyworks.AttemptLost},
		{"closed after reading", script{body: closeConn}, true, ebonyworks.AttemptLost},
		{"closed during reply", script{body: reply(200, len(good), good[:20], false, closeConn)}, true, ebonyworks.AttemptLost},
		{"refused stream before reading", script{header: reset(http2.ErrCodeRefusedStream)}, false, ebonyworks.AttemptShed},
		{"refused stream after reading", script{body: reset(http2.ErrCodeRefusedStream)}, false, ebonyworks.AttemptShed},
		{"refused stream during reply", script{body: reply(200, len(good), good[:20], false, reset(http2.ErrCodeRefusedStream))}, true, ebonyworks.AttemptInvalid},
		{"stream reset", script{body: reset(http2.ErrCodeInternal)}, true, ebonyworks.AttemptInvalid},
		{"GOAWAY below the stream", script{header: goAway(-1, nil)}, false, ebonyworks.AttemptDraining},
		{"GOAWAY below the stream, closed", script{body: goAway(-1, closeConn)}, false, ebonyworks.AttemptDraining},
		{"GOAWAY with the stream, closed", script{body: goAway(0, closeConn)}, true, ebonyworks.AttemptLost},
		{"GOAWAY with the stream, served", script{body: goAway(0, reply(200, len(good), good, true, nil))}, true, ebonyworks.AttemptServed},
		{"reply shorter than its length", script{body: reply(200, len(good), good[:20], true, nil)}, true, ebonyworks.AttemptInvalid},
		{"reply cut off without length", script{body: reply(200, -1, good[:20], true, nil)}, true, ebonyworks.AttemptInvalid},
		{"reply too large", script{body: reply(200, -1, good+large, true, nil)}, true, ebonyworks.AttemptInvalid},
		{"length too large", script{body: reply(200, 1<<40, good, false, nil)}, true, ebonyworks.AttemptInvalid},
		{"redirect", script{body: reply(307, -1, good, true, nil)}, true, ebonyworks.AttemptInvalid},
		{"other request", script{body: reply(200, -1, reservationReply(ebonyworks.AttemptServed, "q"), true, nil)}, true, ebonyworks.AttemptInvalid},
		{"shed", script{body: reply(503, -1, reservationReply(ebonyworks.AttemptShed, "r"), true, nil)}, false, ebonyworks.AttemptShed},
		{"refused before reading", script{header: reply(503, -1, reservationReply(ebonyworks.AttemptDraining, "r"), true, nil)}, false, ebonyworks.AttemptDraining},
		{"shed another request", script{body: reply(503, -1, reservationReply(ebonyworks.AttemptShed, "q"), true, nil)}, true, ebonyworks.AttemptInvalid},
		{"503 without code", script{body: reply(503, -1, "overloaded", true, nil)}, true, ebonyworks.AttemptInvalid},
		{"no reply", script{}, true, ebonyworks.AttemptTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := newRawServer(t, c.script)
			client := backendclient.NewClient(backendclient.Options{
				Codec: backendjson.Codec{MaxReplyBytes: 4096}, DialTimeout: 200 * time.Millisecond,
			})
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			got := client.Reserve(ctx, service, raw.server(), reservation)
			assert.Equal(t, c.want, got.Result)
			client.Close()
			raw.stop()
			assert.LessOrEqual(t, raw.headers, 1, "requests begun")
			assert.LessOrEqual(t, raw.complete, 1, "requests received")
			if c.executes {
				assert.Equal(t, 1, raw.complete)
				assert.False(t, got.Result.ProvesNotRun())
			}
		})
	}
}

// Guards against a wrong result when the server closes the connection while the
// request is being written: depending on what was written by then, the attempt is
// unreachable or lost.
func TestClosedWhileWriting(t *testing.T) {
	for _, script := range []script{{settingsSent: closeConn}, {header: closeConn}} {
		raw := newRawServer(t, script)
		client := backendclient.NewClient(backendclient.Options{})
		got := client.Reserve(t.Context(), service, raw.server(), reservation)
		assert.Contains(t, []ebonyworks.AttemptResult{ebonyworks.AttemptLost, ebonyworks.AttemptUnreachable}, got.Result)
		client.Close()
		raw.stop()
		assert.LessOrEqual(t, raw.headers, 1)
		assert.Zero(t, raw.complete)
	}
}

// Guards against a status request that net/http resends because it has no body.
func TestStatusSentOnce(t *testing.T) {
	raw := newRawServer(t, script{body: reset(http2.ErrCodeRefusedStream)})
	client := backendclient.NewClient(backendclient.Options{})
	_, result := client.Status(t.Context(), service, raw.server())
	assert.Equal(t, ebonyworks.AttemptShed, result)
	client.Close()
	raw.stop()
	assert.Equal(t, 1, raw.headers)
}

// Guards against canceled attempts that keep a slot of the server busy, and against
// a request that is sent although its context has ended.
func TestCancellation(t *testing.T) {
	raw := newRawServer(t, script{})
	client := backendclient.NewClient(backendclient.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-raw.arrived
		cancel()
	}()
	assert.Equal(t, ebonyworks.AttemptCanceled, client.Search(ctx, service, raw.server(), search).Result)
	<-raw.reset
	assert.Equal(t, ebonyworks.AttemptCanceled, client.Search(ctx, service, raw.server(), search).Result)
	past, cancelPast := context.WithTimeout(t.Context(), -time.Second)
	defer cancelPast()
	assert.Equal(t, ebonyworks.AttemptExpired, client.Search(past, service, raw.server(), search).Result)
	client.Close()
	raw.stop()
	assert.Equal(t, 1, raw.headers)
	assert.Equal(t, 1, raw.resets, "stream resets")
	assert.Equal(t, ebonyworks.AttemptUnreachable, client.Search(t.Context(), service, raw.server(), search).Result)
}

// Guards against waiting for a server that stopped responding while its connection
// is still open.
func TestDeadPeer(t *testing.T) {
	raw := newRawServer(t, script{body: stopReading})
	client := backendclient.NewClient(backendclient.Options{PingInterval: 20 * time.Millisecond, PingTimeout: 20 * time.Millisecond})
	defer client.Close()
	assert.Equal(t, ebonyworks.AttemptLost, client.Search(t.Context(), service, raw.server(), search).Result)
}

// Guards against a request whose remaining time doesn't match the deadline.
func TestRemainingTimeIsSent(t *testing.T) {
	raw := newRawServer(t, script{body: closeConn})
	client := backendclient.NewClient(backendclient.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client.Search(ctx, service, raw.server(), search)
	client.Close()
	raw.stop()
	require.Len(t, raw.bodies, 1)
	got, err := codec.DecodeSearch(raw.bodies[0])
	require.NoError(t, err)
	assert.Equal(t, search, got.Search)
	assert.InDelta(t, time.Minute, got.Remaining, float64(10*time.Second))
}

// countingServer counts its connections and delays replies until release is closed.
type countingServer struct {
	server       ebonyworks.Server
	opened, open atomic.Int32
	// running receives an element for each request that arrived. Closing release
	// lets all requests finish.
	running, release chan struct{}
}

func newCountingServer(t *testing.T) *countingServer {
	c := &countingServer{running: make(chan struct{}), release: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.server = ebonyworks.Server{ID: "a", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	server := &http.Server{Handler: c, Protocols: protocols, ConnState: c.trackState}
	done := make(chan struct{})
	go func() {
		_ = server.Serve(listener)
		close(done)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return c
}

func (c *countingServer) trackState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.opened.Add(1)
		c.open.Add(1)
	case http.StateClosed:
		c.open.Add(-1)
	}
}

// ServeHTTP replies to a reservation after the release.
func (c *countingServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.running <- struct{}{}
	<-c.release
	_, _ = w.Write([]byte(reservationReply(ebonyworks.AttemptServed, "r")))
}

// Guards against hosts that exhaust the connection cap of a server, and against
// connections that stay open to servers that were removed from the configuration.
func TestConnections(t *testing.T) {
	cases := []struct{ cap, wanted, want int }{{25, 0, 1}, {25, 4, 1}, {40, 4, 2}, {4, 4, 1}, {110, 4, 4}}
	for _, c := range cases {
		server := newCountingServer(t)
		client := backendclient.NewClient(backendclient.Options{ConnectionsPerServer: c.wanted})
		capped := &ebonyworks.Service{ID: "s", ConnectionCap: c.cap}
		var attempts sync.WaitGroup
		begin := func() {
			attempts.Go(func() {
				got := client.Reserve(t.Context(), capped, server.server, reservation)
				assert.Equal(t, ebonyworks.AttemptServed, got.Result)
			})
			<-server.running
		}
		// Each request that finds all connections in use opens one more up to the
		// limit, so 200 requests are enough to reach it.
		for range 200 {
			begin()
		}
		client.Retain([]ebonyworks.Server{{ID: "a", Address: server.server.Address}})
		assert.EqualValues(t, c.want, server.open.Load(), "cap %d", c.cap)
		client.Retain(nil)
		close(server.release)
		attempts.Wait()
		assert.Eventually(t, func() bool { return server.open.Load() == 0 }, 10*time.Second, time.Millisecond)
		assert.EqualValues(t, c.want, server.opened.Load(), "cap %d", c.cap)
		client.Close()
	}
}

// Guards against a client that doesn't reconnect after the server closed the
// connection.
func TestReconnects(t *testing.T) {
	good := reservationReply(ebonyworks.AttemptServed, "r")
	raw := newRawServer(t, script{body: reply(200, len(good), good, true, closeConn)})
	client := backendclient.NewClient(backendclient.Options{})
	defer client.Close()
	served := 0
	for attempt := 0; attempt < 100 && served < 3; attempt++ {
		if client.Reserve(t.Context(), service, raw.server(), reservation).Result == ebonyworks.AttemptServed {
			served++
		}
	}
	assert.Equal(t, 3, served)
}

// Guards against a server that sends a status, a response or a header without end and
// so fills the memory of the host.
func TestEndlessReplies(t *testing.T) {
	junk := []byte(strings.Repeat("x", 32<<10))
	for name, answer := range map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(junk); err != nil {
					return
				}
			}
		},
		"header": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("A", string(junk)) },
		"trailer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(http.TrailerPrefix+"A", string(junk))
			_, _ = w.Write(junk[:1])
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{Protocols: protocols, Handler: answer}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			client := backendclient.NewClient(backendclient.Options{})
			t.Cleanup(client.Close)
			to := ebonyworks.Server{ID: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, result := client.Status(ctx, service, to)
			assert.NotEqual(t, ebonyworks.AttemptServed, result)
			assert.NotEqual(t, ebonyworks.AttemptServed, client.Search(ctx, service, to, search).Result)
			assert.NoError(t, ctx.Err(), "it ends before its deadline")
		})
	}
}
