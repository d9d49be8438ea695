package peerrpc

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("request was given up before it was sent")

// gate tells whether the transport can have sent any byte of a request's
// body. A handler starts only after it read the whole body.
type gate struct {
	mu     sync.Mutex
	read   bool
	sealed bool
}

// open reports whether the transport may read, and records that it did.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return false
	}
	g.read = true
	return true
}

// seal reports whether no byte was read. If so, none can be read any more,
// even by a transport that still holds the request.
func (g *gate) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.read {
		return false
	}
	g.sealed = true
	return true
}

type gateKey struct{}

func withGate(ctx context.Context) (context.Context, *gate) {
	g := &gate{}
	return context.WithValue(ctx, gateKey{}, g), g
}

// onceTransport sends the body of each request at most once. It removes
// GetBody, which connect sets and with which net/http resends requests on
// lost connections and refused streams.
type onceTransport struct {
	next http.RoundTripper
}

// RoundTrip sends the request.
func (t onceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return t.next.RoundTrip(request)
	}
	g, _ := request.Context().Value(gateKey{}).(*gate)
	if g == nil {
		g = &gate{}
	}
	once := request.Clone(request.Context())
	once.GetBody = nil
	once.Body = &gatedBody{ReadCloser: request.Body, gate: g}
	return t.next.RoundTrip(once)
}

// gatedBody is a request body whose reads pass the gate.
type gatedBody struct {
	io.ReadCloser
	gate *gate
}

// Read reads the body unless the gate is sealed.
func (b *gatedBody) Read(buffer []byte) (int, error) {
	if !b.gate.open() {
		return 0, errSealed
	}
	return b.ReadCloser.Read(buffer)
}
