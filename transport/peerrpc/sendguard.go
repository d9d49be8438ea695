package peerrpc

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/transport/httpstatus"
)

var (
	errAborted       = errors.New("request was aborted before it was sent")
	errInvalidStatus = errors.New("the response has no valid status")
)

// sendGuard records whether the transport can have sent any byte of a request body.
// A handler starts only after it has read the whole body, so a request whose body
// wasn't read hasn't run.
type sendGuard struct {
	mu      sync.Mutex
	read    bool
	aborted bool
}

// allowRead reports whether the transport may read the body, and records the read.
func (g *sendGuard) allowRead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted {
		return false
	}
	g.read = true
	return true
}

// abortIfUnsent reports whether no byte was read. If so, later reads fail, even if
// the transport still holds the request.
func (g *sendGuard) abortIfUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.read {
		return false
	}
	g.aborted = true
	return true
}

type sendGuardKey struct{}

func withSendGuard(ctx context.Context) (context.Context, *sendGuard) {
	g := &sendGuard{}
	return context.WithValue(ctx, sendGuardKey{}, g), g
}

// noResendTransport sends the body of each request at most once. It removes GetBody,
// which connect sets, because net/http uses it to resend requests after lost
// connections and refused streams.
type noResendTransport struct {
	next http.RoundTripper
}

// RoundTrip sends the request.
func (t noResendTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return withValidStatus(t.next.RoundTrip(request))
	}
	g, _ := request.Context().Value(sendGuardKey{}).(*sendGuard)
	if g == nil {
		g = &sendGuard{}
	}
	once := request.Clone(request.Context())
	once.GetBody = nil
	once.Body = &guardedBody{ReadCloser: request.Body, guard: g}
	return withValidStatus(t.next.RoundTrip(once))
}

// withValidStatus turns a response without a valid status into an error.
func withValidStatus(response *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	// Status holds the text that the host sent.
	text, _, _ := strings.Cut(response.Status, " ")
	if _, valid := httpstatus.Parse(text); !valid {
		_ = response.Body.Close()
		return nil, errInvalidStatus
	}
	return response, nil
}

// guardedBody is a request body whose reads are checked by a sendGuard.
type guardedBody struct {
	io.ReadCloser
	guard *sendGuard
}

// Read reads the body; it fails if the request was aborted.
func (b *guardedBody) Read(buffer []byte) (int, error) {
	if !b.guard.allowRead() {
		return 0, errAborted
	}
	return b.ReadCloser.Read(buffer)
}
