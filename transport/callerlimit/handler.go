package callerlimit

import (
	"container/list"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// handler tells the connection of each request what the request holds.
type handler struct {
	next    http.Handler
	limiter *Limiter
}

// ServeHTTP counts the request until the next handler returns.
func (h handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	conn, ok := request.Context().Value(connKey{}).(*limitedConn)
	if !ok {
		h.next.ServeHTTP(writer, request)
		return
	}
	body := &countedBody{ReadCloser: request.Body, conn: conn}
	defer func() { conn.endRequest(request, body.cost, body.complete) }()
	if h.limiter.Streams {
		// The stream was charged when its head was read.
		body.cost = streamBytes
		if !conn.beginStream(request) {
			return
		}
		fields := headerCost(request.Header)
		body.cost += fields
		if !conn.chargeRequest(fields) {
			return
		}
	} else {
		conn.endHead()
	}
	if request.Body == nil || request.Body == http.NoBody {
		body.end()
	} else {
		request.Body = body
	}
	if h.limiter.Streams {
		writer = countedWriter{ResponseWriter: writer, body: body}
	}
	h.next.ServeHTTP(writer, request)
}

// streamResponse is a part of a response that waits for its caller to read. It is guarded
// by the mutex of the limiter.
type streamResponse struct {
	conn *limitedConn
	// held is its size in bytes.
	held int64
	// running is set if its request is complete, so that it counts as running.
	running bool
	// abort ends the stream. It waits for the server, and must not be called after the
	// handler has returned, so the write waits for aborting before it returns.
	abort    func()
	aborting sync.WaitGroup
	// element is the place in unread; nil once it is released.
	element *list.Element
}

// countedWriter counts the parts of a response that wait for the flow control of an
// HTTP/2 stream, which the connection doesn't see.
type countedWriter struct {
	http.ResponseWriter
	body *countedBody
}

// Write writes, and counts the content as held until the stream has taken it.
func (c countedWriter) Write(content []byte) (int, error) {
	response := &streamResponse{
		conn: c.body.conn,
		held: int64(len(content)),
		// The handler that writes also reads the body.
		running: c.body.complete,
		abort:   func() { _ = http.NewResponseController(c.ResponseWriter).SetWriteDeadline(time.Now()) },
	}
	if !response.conn.beginResponse(response) {
		return 0, errClosed
	}
	defer response.conn.endResponse(response)
	return c.ResponseWriter.Write(content)
}

// Unwrap gives http.ResponseController access to the writer.
func (c countedWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func headerCost(header http.Header) int64 {
	var cost int64
	for name, values := range header {
		for _, value := range values {
			cost += int64(lineBytes + copies*(len(name)+len(value)))
		}
	}
	return cost
}

// countedBody is the body of a request, whose bytes count as held until the request
// ends.
type countedBody struct {
	io.ReadCloser
	conn *limitedConn
	cost int64
	// complete is set once the body was read to its end.
	complete bool
}

// Read reads, and fails if the connection was closed because of a bound.
func (b *countedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if count > 0 {
		cost := int64(copies * count)
		b.cost += cost
		if !b.conn.chargeRequest(cost) {
			return 0, errClosed
		}
	}
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return count, err
}

func (b *countedBody) end() {
	if !b.complete {
		b.complete = true
		b.conn.completeRequest()
	}
}
