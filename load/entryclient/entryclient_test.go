package entryclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/balancer"
	"github.com/ebonyworks/ebonyworks/load/entryclient"
)

// host is a fake entry host with fixed replies.
type host struct {
	ready    atomic.Bool
	searches atomic.Int64
	answer   string
	status   int
	outcome  string
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/readyz":
		if !h.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, `{"Ready": true}`)
	case "/v1/search":
		h.searches.Add(1)
		w.WriteHeader(h.status)
		fmt.Fprint(w, h.answer)
	case "/v1/tickets":
		fmt.Fprint(w, `{"Ticket": "t-1", "ValidFor": "30s"}`)
	case "/v1/reservations":
		var body struct{ Ticket, Key string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		fmt.Fprintf(w, `{"Outcome": %q, "Code": %q}`, h.outcome, body.Ticket+body.Key)
	}
}

func newHost(answer string) *host {
	h := &host{answer: answer, status: http.StatusOK, outcome: "Ran"}
	h.ready.Store(true)
	return h
}

func configuration() *ebonyworks.Configuration {
	return &ebonyworks.Configuration{
		Routes: []ebonyworks.Route{{ID: "search", Catalogue: "stock"}},
		Catalogues: []ebonyworks.Catalogue{{ID: "stock", Partitions: []ebonyworks.Partition{{Epoch: 1, Shards: []ebonyworks.Shard{
			{ID: "low", Keys: ebonyworks.KeyRange{To: "m"}},
			{ID: "high", Keys: ebonyworks.KeyRange{From: "m"}},
		}}}}},
	}
}

// start returns a target for the hosts, all of which it found ready.
func start(t *testing.T, hosts ...*host) (*entryclient.Target, []*httptest.Server) {
	var bases []string
	var servers []*httptest.Server
	for _, h := range hosts {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		bases = append(bases, server.URL)
		servers = append(servers, server)
	}
	b := balancer.New(bases, http.DefaultClient)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	waiting, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	require.NoError(t, b.WaitReady(waiting))
	return &entryclient.Target{Balancer: b, Configuration: configuration(), Delay: 3 * time.Millisecond}, servers
}

func answer(snapshot, rows, covered, missed string) string {
	return fmt.Sprintf(`{"Request": "r", "Snapshot": {"Number": 4, "Epoch": %s}, "Digest": %q, "Rows": [%s],
		"Coverage": {"Covered": [%s], "Missed": [%s]}}`, snapshot, strings.Repeat("0", 64), rows, covered, missed)
}

func row(key, shade string) string {
	return fmt.Sprintf(`{"Key": %q, "Fields": [{"Name": "Shade", "Value": %q}]}`, key, shade)
}

// Guards against answers that contradict themselves or the request and pass
// unnoticed, and against correct ones that don't.
func TestSearch(t *testing.T) {
	const both, missed = `"low", "high"`, `{"Shard": "high", "Reason": "timeout"}`
	tests := []struct {
		name, answer string
		keys         ebonyworks.KeyRange
		covered      int
		violations   []string
	}{
		{"complete", answer("1", row("a", "2N")+","+row("z", "2N"), both, ""), ebonyworks.KeyRange{}, 2, nil},
		{"partial", answer("1", row("a", "2N"), `"low"`, missed), ebonyworks.KeyRange{}, 1, nil},
		{"single key", answer("1", row("a", "2N"), `"low"`, ""), ebonyworks.SingleKey("a"), 1, nil},
		{"other epoch", answer("2", "", both, ""), ebonyworks.KeyRange{}, 2, []string{"unknown_partition"}},
		{"shard left out", answer("1", "", `"low"`, ""), ebonyworks.KeyRange{}, 1, []string{"shards_not_divided"}},
		{"shard twice", answer("1", "", both, missed), ebonyworks.KeyRange{}, 2, []string{"shards_not_divided"}},
		{"rows out of order", answer("1", row("b", "2N")+","+row("a", "2N"), both, ""), ebonyworks.KeyRange{}, 2, []string{"rows_not_ordered"}},
		{"row twice", answer("1", row("a", "2N")+","+row("a", "2N"), both, ""), ebonyworks.KeyRange{}, 2, []string{"rows_not_ordered"}},
		{"row outside", answer("1", row("b", "2N"), `"low"`, ""), ebonyworks.SingleKey("a"), 1, []string{"row_outside_keys"}},
		{"row of a missed shard", answer("1", row("z", "2N"), `"low"`, missed), ebonyworks.KeyRange{}, 1, []string{"row_of_missed_shard"}},
		{"row without the filter", answer("1", row("a", "4N"), both, ""), ebonyworks.KeyRange{}, 2, []string{"row_without_filter"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, _ := start(t, newHost(test.answer))
			result := target.Do(t.Context(), load.Request{
				Route: "search", House: "h", Keys: test.keys, Filters: []ebonyworks.Field{{Name: "Shade", Value: "2N"}},
			})
			assert.Equal(t, load.Answered, result.Ending)
			assert.Equal(t, test.covered, result.Covered)
			assert.Equal(t, test.violations, result.Violations)
			assert.Equal(t, 6*time.Millisecond, result.Delay)
		})
	}
}

// Guards against refusals and failures that are taken for answers or for each
// other.
func TestEndings(t *testing.T) {
	refusing := newHost(`{"Code": "overloaded", "Message": "m", "RetryAfter": "1s"}`)
	refusing.status = http.StatusServiceUnavailable
	target, servers := start(t, refusing)
	search := load.Request{Route: "search", House: "h"}
	assert.Equal(t, load.Result{Ending: load.Refused, Code: "overloaded", Delay: 6 * time.Millisecond}, target.Do(t.Context(), search))
	refusing.status, refusing.answer = http.StatusOK, "<html>"
	assert.Equal(t, load.FailedReply, target.Do(t.Context(), search).Code)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, load.FailedTimeout, target.Do(ended, search).Code)
	reservation := load.Request{Route: "reserve", House: "h", Kind: ebonyworks.ReservationRoute, Key: "-k"}
	assert.Equal(t, load.Result{
		Ending: load.Settled, Outcome: ebonyworks.OutcomeRan, Code: "t-1-k", Delay: 12 * time.Millisecond,
	}, target.Do(t.Context(), reservation))
	servers[0].CloseClientConnections()
	servers[0].Close()
	assert.Contains(t, []string{load.FailedConnect, load.FailedNoHost}, target.Do(t.Context(), search).Code)
	assert.Equal(t, load.FailedNoHost, target.Do(t.Context(), search).Code)
}

// Guards against requests that go to hosts that aren't ready or are gone while
// another host could take them.
func TestHostsAreRemoved(t *testing.T) {
	stopping, gone, remaining := newHost(answer("1", "", `"low", "high"`, "")), newHost(""), newHost(answer("1", "", `"low", "high"`, ""))
	target, servers := start(t, stopping, gone, remaining)
	servers[1].CloseClientConnections()
	servers[1].Close()
	for range 6 {
		assert.Equal(t, load.Answered, target.Do(t.Context(), load.Request{Route: "search", House: "h"}).Ending)
	}
	assert.Positive(t, stopping.searches.Load())
	stopping.ready.Store(false)
	require.Eventually(t, func() bool { return only(target, 2) }, 10*time.Second, time.Millisecond)
	before := stopping.searches.Load()
	for range 6 {
		assert.Equal(t, load.Answered, target.Do(t.Context(), load.Request{Route: "search", House: "h"}).Ending)
	}
	assert.Equal(t, before, stopping.searches.Load())
}

// only reports whether the balancer picks one host whenever it is asked.
func only(target *entryclient.Target, index int) bool {
	for range target.Balancer.Hosts() {
		if host, ok := target.Balancer.Pick(); !ok || host != target.Balancer.Hosts()[index] {
			return false
		}
	}
	return true
}
