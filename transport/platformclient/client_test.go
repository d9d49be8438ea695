package platformclient_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/standin/platform"
	"github.com/ebonyworks/ebonyworks/transport/platformclient"
)

// newClient starts a server with the handler and returns a client of it.
func newClient(t *testing.T, handler http.Handler, options platformclient.Options) *platformclient.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	options.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	client := platformclient.NewClient(options)
	t.Cleanup(client.Close)
	return client
}

// Guards against a client and a stand-in that implement docs/platform.md differently.
func TestAgainstStandIn(t *testing.T) {
	service := platform.New(platform.Options{Replicas: 1, CallsPerSecond: 50})
	client := newClient(t, service, platformclient.Options{WatchWait: 200 * time.Millisecond})
	const key = ebonyworks.ConfigurationKey("Configuration/Parts/Catalogue/catálogo bloques?#%41")
	_, err := client.Read(t.Context(), key)
	var refused *platformclient.Error
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, platformclient.CodeNotFound, refused.Code)

	large := bytes.Repeat([]byte("v"), platform.MaxValueBytes)
	version, err := service.Put(key, large)
	require.NoError(t, err)
	value, err := client.Read(t.Context(), key)
	require.NoError(t, err)
	assert.Equal(t, ebonyworks.ConfigurationValue{Key: key, Version: version, Bytes: large}, value)

	value, err = client.Watch(t.Context(), key, version)
	require.NoError(t, err)
	assert.Equal(t, version, value.Version, "an ended wait returns the current value")
	result := make(chan ebonyworks.ConfigurationValue, 1)
	go func() {
		value, err := client.Watch(t.Context(), key, version)
		assert.NoError(t, err)
		result <- value
	}()
	newer, err := service.Put(key, []byte("new"))
	require.NoError(t, err)
	assert.Equal(t, ebonyworks.ConfigurationValue{Key: key, Version: newer, Bytes: []byte("new")}, <-result)

	hosts := []ebonyworks.ListedHost{{Name: "e1", Address: netip.MustParseAddrPort("127.0.0.1:9"), Domain: "San José", Leaving: true}}
	require.NoError(t, service.SetHosts(hosts))
	listed, err := client.Hosts(t.Context())
	require.NoError(t, err)
	assert.Equal(t, hosts, listed)

	rateLimited := false
	for range 200 {
		if _, err = client.Read(t.Context(), key); err != nil {
			require.ErrorAs(t, err, &refused)
			rateLimited = refused.Code == platformclient.CodeRateLimited && refused.RetryAfter > 0 && refused.RetryAfter <= time.Second+time.Millisecond
			break
		}
	}
	assert.True(t, rateLimited)
}

// Guards against accepting values that are truncated, unversioned or too large, and
// against calls that never end.
func TestInvalidReplies(t *testing.T) {
	write := func(header map[string]string, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for name, value := range header {
				w.Header().Set(name, value)
			}
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			_ = http.NewResponseController(w).Flush()
		}
	}
	var redirected atomic.Int32
	cases := map[string]http.HandlerFunc{
		"no version":           write(map[string]string{"Content-Length": "1"}, 200, "x"),
		"version zero":         write(map[string]string{"Content-Length": "1", "Value-Version": "0"}, 200, "x"),
		"version no number":    write(map[string]string{"Content-Length": "1", "Value-Version": "-1"}, 200, "x"),
		"no length":            write(map[string]string{"Value-Version": "1"}, 200, "x"),
		"truncated":            write(map[string]string{"Content-Length": "5", "Value-Version": "1"}, 200, "x"),
		"too large":            write(map[string]string{"Content-Length": "1048577", "Value-Version": "1"}, 200, "x"),
		"other status":         write(map[string]string{"Content-Length": "1", "Value-Version": "1"}, 206, "x"),
		"malformed error body": write(nil, 503, "oops"),
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			redirected.Add(1)
			http.Redirect(w, r, "/v1/values/other", http.StatusTemporaryRedirect)
		},
		"closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"hangs":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, handler := range cases {
		client := newClient(t, handler, platformclient.Options{Timeout: 200 * time.Millisecond})
		_, err := client.Read(t.Context(), "k")
		assert.Error(t, err, name)
		_, err = client.Hosts(t.Context())
		assert.Error(t, err, name)
	}
	assert.EqualValues(t, 2, redirected.Load(), "redirects aren't followed")
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	client := newClient(t, http.NotFoundHandler(), platformclient.Options{})
	_, err := client.Watch(canceled, "k", 1)
	assert.ErrorIs(t, err, context.Canceled)
}
