package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/telemetry"
	"github.com/ebonyworks/ebonyworks/transport/callerclient"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	callerSpan  = "b7ad6b7169203331"
	// secretKey is a key of a reservation that no span may name.
	secretKey = "bundle-of-one-family"
)

// writtenSpan is a span as the trace writer prints it.
type writtenSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	// process is the file that the span was read from.
	process string
}

func (s writtenSpan) attribute(key string) any {
	for _, attribute := range s.Attributes {
		if attribute.Key == key {
			return attribute.Value.Value
		}
	}
	return nil
}

// spanTree is the set of spans of all processes by their ids.
type spanTree map[string]writtenSpan

// read adds the spans of a file and fails if it holds one of the secrets.
func (t spanTree) read(test *testing.T, path string, secrets ...string) {
	contents, err := os.ReadFile(path)
	require.NoError(test, err)
	for _, secret := range secrets {
		assert.NotContains(test, string(contents), secret, "spans hold no keys, tickets or results")
	}
	decoder := json.NewDecoder(bytes.NewReader(contents))
	for decoder.More() {
		var span writtenSpan
		require.NoError(test, decoder.Decode(&span))
		span.process = filepath.Base(path)
		t[span.SpanContext.SpanID] = span
	}
}

// path names the spans from the caller's down to the span, with the processes
// that they belong to.
func (t spanTree) path(span writtenSpan) string {
	var names []string
	for ; span.Name != ""; span = t[span.Parent.SpanID] {
		names = append([]string{span.process + ":" + span.Name}, names...)
		if span.Parent.SpanID == callerSpan {
			names = append([]string{"caller"}, names...)
		}
	}
	return strings.Join(names, " > ")
}

// tracedTransport sends the caller's trace with each request.
type tracedTransport struct{ next http.RoundTripper }

func (t tracedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
	request.Header.Set("Tracestate", "vendor=opaque")
	return t.next.RoundTrip(request)
}

// Guards against a trace that breaks at a hop between caller, hosts and backend
// servers, against a hop or attempt without a span, against spans that name a
// key, ticket or result, and against spans of probes and gossip messages.
func TestSpansConnectAcrossProcesses(t *testing.T) {
	directory := t.TempDir()
	servers, err := os.Create(filepath.Join(directory, "servers"))
	require.NoError(t, err)
	exported, err := telemetry.New(context.Background(), telemetry.Options{Process: "servers", TraceWriter: servers, SampleRatio: 1})
	require.NoError(t, err)
	s := newTestCluster(t, directory, exported.Tracer())
	first, second := s.tracedClient(0), s.tracedClient(1)
	answer, err := first.Search(t.Context(), ebonyworks.Search{Route: kitakaze.SearchHair, Customer: "h"}, time.Second)
	require.NoError(t, err)
	require.Nil(t, answer.Refusal)
	ticket, refusal, err := second.Ticket(t.Context())
	require.NoError(t, err)
	require.Nil(t, refusal)
	reservation := ebonyworks.Reservation{Ticket: ticket, Route: kitakaze.ReserveBundle, Customer: "h", Key: secretKey}
	outcome, err := first.Reserve(t.Context(), reservation, 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, ebonyworks.OutcomeRan, outcome.Kind, outcome.Message)
	_, err = first.Outcome(t.Context(), ticket)
	require.NoError(t, err)
	for i, cancel := range s.cancels {
		cancel()
		// The hosts that stop last have too few peers for their ledgers, which
		// is an error that doesn't concern the spans.
		if err := <-s.ended[i]; err != nil {
			t.Logf("stop of host %d: %v", i, err)
		}
		s.ended[i] = nil
	}
	s.fleet.Close()
	require.NoError(t, exported.Shutdown(context.Background()))

	spans := make(spanTree)
	for _, name := range []string{"entry-0", "entry-1", "entry-2", "servers"} {
		spans.read(t, filepath.Join(directory, name), secretKey, ticket, "reserved")
	}
	got := make(map[string]int)
	winners := make(map[any]int)
	for _, span := range spans {
		assert.Equal(t, callerTrace, span.SpanContext.TraceID, "%s belongs to no request", span.Name)
		got[spans.path(span)]++
		if span.Name == "attempt" && span.attribute("winner") == true {
			winners[span.attribute("shard")]++
		}
	}
	const (
		search  = "caller > entry-0:POST /v1/search > entry-0:search"
		reserve = "caller > entry-0:POST /v1/reservations"
		forward = reserve + " > entry-0:reservation > entry-0:forward > entry-0:ebonyworks.peer.v1.PeerService/Reserve"
		run     = forward + " > entry-1:ebonyworks.peer.v1.PeerService/Reserve > entry-1:run"
		query   = "caller > entry-0:GET /v1/reservations/:ticket"
		peer    = query + " > entry-0:forward > entry-0:ebonyworks.peer.v1.PeerService/Outcome"
	)
	shards := len(answer.Answer.Coverage.Covered)
	assert.GreaterOrEqual(t, got[search+" > entry-0:attempt"], shards)
	assert.GreaterOrEqual(t, got[search+" > entry-0:attempt > servers:execute"], shards)
	for _, path := range []string{
		search, "caller > entry-1:POST /v1/tickets",
		forward, run, run + " > entry-1:attempt", run + " > entry-1:attempt > servers:execute",
		query, peer, peer + " > entry-1:ebonyworks.peer.v1.PeerService/Outcome",
	} {
		assert.Equal(t, 1, got[path], path)
	}
	for shard, count := range winners {
		// The reservation may name the same shard id in another catalogue.
		assert.LessOrEqual(t, count, 2, "shard %v", shard)
	}
	assert.GreaterOrEqual(t, len(winners), shards)
	if t.Failed() {
		t.Log(got)
	}
}

func (s *testCluster) tracedClient(i int) *callerclient.Client {
	client := s.client(i)
	client.HTTP.Transport = tracedTransport{client.HTTP.Transport}
	return client
}
