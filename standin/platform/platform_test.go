package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/standin/platform"
)

// get calls the handler without a network.
func get(ctx context.Context, service http.Handler, target string) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	service.ServeHTTP(response, httptest.NewRequestWithContext(ctx, http.MethodGet, target, nil))
	return response
}

func watchURL(after ebonyworks.KeyVersion, wait time.Duration) string {
	return "/v1/values/k?After=" + strconv.FormatUint(uint64(after), 10) + "&Wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// Guards against a stand-in whose replicas are never stale, or whose watches
// return too early or too late.
func TestReplicasAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 100 * time.Millisecond
		service := platform.New(platform.Options{Replicas: 2, ReplicaLag: lag})
		assert.Equal(t, http.StatusNotFound, get(t.Context(), service, "/v1/values/k").Code)
		first, err := service.Put("k", []byte("one"))
		require.NoError(t, err)
		time.Sleep(lag)
		second, err := service.Put("k", []byte("two"))
		require.NoError(t, err)
		assert.Greater(t, second, first)

		seen := make(map[string]bool)
		for range 50 {
			seen[get(t.Context(), service, "/v1/values/k").Body.String()] = true
		}
		assert.Equal(t, map[string]bool{"one": true, "two": true}, seen, "one replica lags")
		const watches = 20
		ended := make(chan time.Duration, watches)
		begin := time.Now()
		for range watches {
			go func() {
				response := get(t.Context(), service, watchURL(first, time.Second))
				assert.Equal(t, "two", response.Body.String())
				assert.Equal(t, strconv.FormatUint(uint64(second), 10), response.Header().Get("Value-Version"))
				ended <- time.Since(begin)
			}()
		}
		took := make(map[time.Duration]bool)
		for range watches {
			took[<-ended] = true
		}
		assert.Equal(t, map[time.Duration]bool{0: true, lag: true}, took)

		require.NoError(t, service.SetStale(0, true))
		require.NoError(t, service.SetStale(1, true))
		_, err = service.Put("k", []byte("three"))
		require.NoError(t, err)
		begin = time.Now()
		response := get(t.Context(), service, watchURL(second, time.Second))
		assert.Equal(t, "two", response.Body.String(), "the wait ends with the value it has")
		assert.Equal(t, time.Second, time.Since(begin))
		time.AfterFunc(time.Second, func() {
			assert.NoError(t, service.SetStale(0, false))
			assert.NoError(t, service.SetStale(1, false))
		})
		assert.Equal(t, "three", get(t.Context(), service, watchURL(second, time.Minute)).Body.String())
		assert.Error(t, service.SetStale(2, true))
	})
}

// Guards against calls that aren't limited or counted as docs/platform.md states.
func TestLimitAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{CallsPerSecond: 5, Latency: time.Millisecond})
		_, err := service.Put("k", nil)
		require.NoError(t, err)
		codes := make(map[int]int)
		for range 8 {
			codes[get(t.Context(), service, "/v1/values/k").Code]++
		}
		assert.Equal(t, map[int]int{http.StatusOK: 5, http.StatusTooManyRequests: 3}, codes)
		time.Sleep(time.Second)
		assert.Equal(t, http.StatusOK, get(t.Context(), service, watchURL(0, 0)).Code)
		assert.Equal(t, http.StatusOK, get(t.Context(), service, "/v1/hosts").Code)
		service.SetOutage(platform.Unavailable)
		assert.Equal(t, http.StatusServiceUnavailable, get(t.Context(), service, "/v1/values/k").Code)
		service.SetOutage(platform.Closing)
		assert.Panics(t, func() { get(t.Context(), service, "/v1/values/k") })
		service.SetOutage(platform.NoOutage)
		assert.Equal(t, platform.CallCounts{Reads: 5, Watches: 1, Hosts: 1, Limited: 3, Failed: 2, PeakPerSecond: 8}, service.Calls())
		for _, target := range []string{"/v1/values/", "/v1/values/a//b", "/v1/values/a/../b", "/v1/values/k?After=1", "/v1/values/k?After=x&Wait=1", "/v2"} {
			assert.Equal(t, http.StatusBadRequest, get(t.Context(), service, target).Code, target)
		}
	})
}

// Guards against directories whose names or changes get lost.
func TestDirectory(t *testing.T) {
	directory := t.TempDir()
	part := filepath.Join(directory, "Configuration", "Parts", "Catalogue", "catálogo-bloques")
	require.NoError(t, os.MkdirAll(filepath.Dir(part), 0o755))
	require.NoError(t, os.WriteFile(part, []byte("1"), 0o600))
	service := platform.New(platform.Options{ReplicaLag: time.Hour})
	require.NoError(t, service.Preload(directory))
	const target = "/v1/values/Configuration/Parts/Catalogue/cat%C3%A1logo-bloques"
	first := get(t.Context(), service, target)
	assert.Equal(t, "1", first.Body.String())
	require.NoError(t, service.LoadDirectory(directory))
	assert.Equal(t, first.Header(), get(t.Context(), service, target).Header(), "an unchanged file gets no version")
	large := filepath.Join(directory, "large")
	require.NoError(t, os.WriteFile(large, make([]byte, platform.MaxValueBytes+1), 0o600))
	assert.Error(t, service.LoadDirectory(directory))
}

// Guards against an admin interface that doesn't reach the platform.
func TestAdmin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := platform.New(platform.Options{HostLag: time.Second})
		admin := platform.NewAdmin(service, "")
		call := func(method, target, body string) int {
			response := httptest.NewRecorder()
			admin.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body)))
			return response.Code
		}
		entry := func(name string, leaving bool) string {
			return `{"Hosts":[{"Name":"` + name + `","Role":"Entry","Address":"127.0.0.1:9","Domain":"d","Leaving":` + strconv.FormatBool(leaving) + `}]}`
		}
		assert.Equal(t, http.StatusNoContent, call("PUT", "/values/a/b", "x"))
		assert.Equal(t, "x", get(t.Context(), service, "/v1/values/a/b").Body.String())
		assert.Equal(t, http.StatusNoContent, call("DELETE", "/values/a/b", ""))
		assert.Equal(t, http.StatusNotFound, get(t.Context(), service, "/v1/values/a/b").Code)
		assert.Equal(t, http.StatusNoContent, call("PUT", "/hosts", entry("e1", false)))
		assert.Equal(t, http.StatusNoContent, call("POST", "/hosts", entry("e1", true)))
		assert.Equal(t, http.StatusNoContent, call("POST", "/hosts", entry("e2", false)))
		address := netip.MustParseAddrPort("127.0.0.1:9")
		want := []ebonyworks.ListedHost{
			{Name: "e1", Address: address, Domain: "d", Leaving: true},
			{Name: "e2", Address: address, Domain: "d"},
		}
		assert.Equal(t, want, service.Hosts())
		assert.NotContains(t, get(t.Context(), service, "/v1/hosts").Body.String(), "e1", "the list lags")
		time.Sleep(time.Second)
		assert.Contains(t, get(t.Context(), service, "/v1/hosts").Body.String(), "e2")
		assert.Equal(t, http.StatusNoContent, call("DELETE", "/hosts?Name=e1", ""))
		assert.Equal(t, want[1:], service.Hosts())
		assert.Equal(t, http.StatusNoContent, call("PUT", "/outage?Kind=unavailable", ""))
		assert.Equal(t, http.StatusServiceUnavailable, get(t.Context(), service, "/v1/hosts").Code)
		assert.Equal(t, http.StatusNoContent, call("PUT", "/stale?Replica=0", ""))
		for _, wrong := range []string{"/outage?Kind=other", "/stale?Replica=9", "/values/a/b//"} {
			assert.GreaterOrEqual(t, call("PUT", wrong, ""), 300, wrong)
		}
		assert.Equal(t, http.StatusBadRequest, call("PUT", "/hosts", "{}"))
		assert.Equal(t, http.StatusOK, call("GET", "/calls", ""))
	})
}
