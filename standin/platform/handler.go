package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	valuesPrefix  = "/v1/values/"
	hostsPath     = "/v1/hosts"
	versionHeader = "Value-Version"
	// maxKeyBytes bounds a key.
	maxKeyBytes = 512
	// unavailableRetryAfter is stated during an outage.
	unavailableRetryAfter = time.Second
)

// errorBody is the body of every reply that isn't 200.
type errorBody struct {
	Code                   string
	Message                string
	RetryAfterMilliseconds int64
}

// request is a decoded call.
type request struct {
	kind  callKind
	key   ebonyworks.ConfigurationKey
	after ebonyworks.KeyVersion
	wait  time.Duration
}

// ServeHTTP serves the public interface.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		refuse(w, http.StatusMethodNotAllowed, errorBody{Code: "bad_request", Message: "only GET is allowed"})
		return
	}
	call, mistake := decode(r)
	if mistake != "" {
		refuse(w, http.StatusBadRequest, errorBody{Code: "bad_request", Message: mistake})
		return
	}
	if !p.available(w, r) {
		return
	}
	if rest, ok := p.calls.admit(call.kind, p.options.CallsPerSecond); !ok {
		refuse(w, http.StatusTooManyRequests, errorBody{Code: "rate_limited", RetryAfterMilliseconds: rest.Milliseconds() + 1})
		return
	}
	if !sleep(r.Context(), p.options.Latency) {
		return
	}
	p.answer(w, r, call)
}

func (p *Platform) answer(w http.ResponseWriter, r *http.Request, call request) {
	if call.kind == hostsCall {
		w.Header().Set("Content-Type", "application/json")
		send(w, p.visibleHosts())
		return
	}
	seen := p.watch(r.Context(), call.key, p.pick(), call.after, call.wait)
	if r.Context().Err() != nil {
		return
	}
	// An outage may have begun during the wait.
	if !p.available(w, r) {
		return
	}
	if !seen.found {
		refuse(w, http.StatusNotFound, errorBody{Code: "not_found", Message: "the key has no value"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(versionHeader, strconv.FormatUint(uint64(seen.revision.version), 10))
	send(w, seen.revision.bytes)
}

// available applies an outage; it returns true if there is none.
func (p *Platform) available(w http.ResponseWriter, r *http.Request) bool {
	outage := p.currentOutage()
	if outage == NoOutage {
		return true
	}
	p.calls.fail()
	switch outage {
	case Hanging:
		sleep(r.Context(), maxWait)
		panic(http.ErrAbortHandler)
	case Closing:
		panic(http.ErrAbortHandler)
	default:
		refuse(w, http.StatusServiceUnavailable, errorBody{Code: "unavailable", RetryAfterMilliseconds: unavailableRetryAfter.Milliseconds()})
		return false
	}
}

// decode reads the call, or returns what is wrong with it.
func decode(r *http.Request) (request, string) {
	if r.URL.Path == hostsPath {
		return request{kind: hostsCall}, ""
	}
	name, ok := strings.CutPrefix(r.URL.Path, valuesPrefix)
	key := ebonyworks.ConfigurationKey(name)
	if !ok || !validKey(key) {
		return request{}, "the path names no valid key"
	}
	query := r.URL.Query()
	if !query.Has("After") && !query.Has("Wait") {
		return request{kind: readCall, key: key}, ""
	}
	after, afterErr := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, waitErr := strconv.ParseUint(query.Get("Wait"), 10, 31)
	if afterErr != nil || waitErr != nil {
		return request{}, "After or Wait is missing or invalid"
	}
	return request{
		kind:  watchCall,
		key:   key,
		after: ebonyworks.KeyVersion(after),
		wait:  min(time.Duration(wait)*time.Millisecond, maxWait),
	}, ""
}

// validKey reports whether the key is a path of segments that are neither
// empty nor relative.
func validKey(key ebonyworks.ConfigurationKey) bool {
	if len(key) == 0 || len(key) > maxKeyBytes {
		return false
	}
	for segment := range strings.SplitSeq(string(key), "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func send(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func refuse(w http.ResponseWriter, status int, body errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
