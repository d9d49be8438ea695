// Package explainapi answers operators' questions of what would happen to a request.
package explainapi

import (
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/explainjson"
)

// Path is the path of the questions. Their parameters are ParameterHost, ParameterTarget
// and ParameterMethod, each at most once.
const (
	Path            = "/explain"
	ParameterHost   = "Host"
	ParameterTarget = "Target"
	ParameterMethod = "Method"
)

// requestID is the id of explained requests. It affects only the jitter of the time to
// retry.
const requestID ebonyworks.RequestID = "explain"

// Handler explains requests as JSON. It answers others with status 503 meanwhile, since an
// explanation of many shards takes as much CPU as many requests. Explainer must be set.
type Handler struct {
	Explainer ebonyworks.Explainer

	// mutex is held while Explainer runs.
	mutex sync.Mutex
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP explains one request. Invalid parameters are answered with status 400.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		writer.Header().Set("Allow", http.MethodGet)
		http.Error(writer, "the method must be GET", http.StatusMethodNotAllowed)
		return
	}
	explained, err := ParseQuery(request.URL.RawQuery)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	explained.ID = requestID
	if !h.mutex.TryLock() {
		http.Error(writer, "another request is being explained", http.StatusServiceUnavailable)
		return
	}
	defer h.mutex.Unlock()
	explained.Arrival = time.Now()
	body, err := explainjson.Encode(h.Explainer.Explain(explained))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

// ParseQuery returns the request that the query names. The method is GET by default.
func ParseQuery(query string) (*ebonyworks.ForwardRequest, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil, errors.Wrap(err, "invalid query")
	}
	for name, given := range values {
		if name != ParameterHost && name != ParameterTarget && name != ParameterMethod {
			return nil, errors.Errorf("unknown parameter %q", name)
		}
		if len(given) > 1 {
			return nil, errors.Errorf("%s is given more than once", name)
		}
	}
	request := &ebonyworks.ForwardRequest{Host: values.Get(ParameterHost), Target: values.Get(ParameterTarget), Method: http.MethodGet}
	if values.Has(ParameterMethod) {
		request.Method = values.Get(ParameterMethod)
	}
	switch {
	case request.Host == "" || strings.ContainsAny(request.Host, ":/ "):
		return nil, errors.Errorf("%s %q isn't a host name without a port", ParameterHost, request.Host)
	case !strings.HasPrefix(request.Target, "/"):
		return nil, errors.Errorf("%s %q doesn't begin with a slash", ParameterTarget, request.Target)
	case request.Method == "" || strings.ContainsAny(request.Method, " \t\r\n"):
		return nil, errors.Errorf("%s %q isn't a method", ParameterMethod, request.Method)
	}
	return request, nil
}

// Query returns the query that ParseQuery parses.
func Query(host, target, method string) string {
	return url.Values{ParameterHost: {host}, ParameterTarget: {target}, ParameterMethod: {method}}.Encode()
}
