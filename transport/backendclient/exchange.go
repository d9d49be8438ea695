package backendclient

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
	"github.com/ebonyworks/ebonyworks/transport/tracecontext"
)

// goAwayMessage is how net/http names a request whose stream is above the last
// one that a GOAWAY frame promises to process. The error value isn't exported.
// If the text changes, such requests end as AttemptLost.
const goAwayMessage = "http2: Transport received Server's graceful shutdown GOAWAY"

// call is what an attempt sends.
type call struct {
	method, path string
	// encode returns the body for the remaining time; nil if there is no body.
	encode func(remaining time.Duration) []byte
}

// exchange is how an attempt ended. The reply is complete if the result is
// AttemptServed, and not yet decoded.
type exchange struct {
	result ebonyworks.AttemptResult
	reply  backendjson.Reply
	shelf  *shelf
}

// note records an event if the decoded reply is invalid.
func (e exchange) note(result ebonyworks.AttemptResult) {
	if result == ebonyworks.AttemptInvalid {
		e.shelf.noteInvalid()
	}
}

func (c *Client) exchange(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, call call) exchange {
	if ctx.Err() != nil {
		return exchange{result: unsentResult(ctx, ebonyworks.AttemptExpired)}
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	shelf := c.shelf(service, server)
	if shelf == nil {
		return exchange{result: ebonyworks.AttemptUnreachable}
	}
	link, err := shelf.acquire(ctx)
	if err != nil {
		return exchange{result: unsentResult(ctx, ebonyworks.AttemptUnreachable)}
	}
	defer shelf.release(link)
	ended := send(ctx, link.conn, server, call, c.options.Codec.ReplyLimit())
	ended.shelf = shelf
	ended.note(ended.result)
	return ended
}

// bounded returns a context that has a deadline.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// unsentResult is the result of an attempt that sent nothing.
func unsentResult(ctx context.Context, otherwise ebonyworks.AttemptResult) ebonyworks.AttemptResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ebonyworks.AttemptCanceled
	}
	return otherwise
}

// send writes the request to the connection once and reads the reply.
func send(ctx context.Context, conn *http.ClientConn, server ebonyworks.Server, call call, limit int) exchange {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return exchange{result: ebonyworks.AttemptExpired}
	}
	request, body := newRequest(ctx, server, call, min(remaining, backendjson.MaxRemaining))
	response, err := conn.RoundTrip(request)
	if err != nil {
		return exchange{result: unansweredResult(ctx, conn, body, err)}
	}
	defer func() { _ = response.Body.Close() }()
	return receive(conn, response, limit)
}

// newRequest returns a request without GetBody, which nothing can replay.
func newRequest(ctx context.Context, server ebonyworks.Server, call call, remaining time.Duration) (*http.Request, *sealedBody) {
	request := (&http.Request{
		Method: call.method,
		URL:    &url.URL{Scheme: "http", Host: server.Address.String(), Path: call.path},
		Header: http.Header{"User-Agent": {"ebonyworks"}},
	}).WithContext(ctx)
	tracecontext.Inject(ctx, request.Header)
	if call.encode == nil {
		return request, nil
	}
	body := newSealedBody(call.encode(remaining))
	request.Header.Set("Content-Type", backendjson.ContentType)
	request.Body = body
	request.ContentLength = int64(body.reader.Len())
	return request, body
}

// receive reads the reply into a buffer of its own.
func receive(conn *http.ClientConn, response *http.Response, limit int) exchange {
	if response.ContentLength > int64(limit) {
		return exchange{result: ebonyworks.AttemptInvalid}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return exchange{result: brokenResult(conn, err)}
	}
	if len(body) > limit {
		return exchange{result: ebonyworks.AttemptInvalid}
	}
	return exchange{
		result: ebonyworks.AttemptServed,
		reply:  backendjson.Reply{Status: response.StatusCode, Body: body},
	}
}

// unansweredResult is the result of an attempt that got no response header.
func unansweredResult(ctx context.Context, conn *http.ClientConn, body *sealedBody, err error) ebonyworks.AttemptResult {
	unsent := body != nil && body.seal()
	switch {
	case err.Error() == goAwayMessage:
		return ebonyworks.AttemptDraining
	case refusedStream(err):
		return ebonyworks.AttemptShed
	case unsent:
		return unsentResult(ctx, ebonyworks.AttemptUnreachable)
	default:
		return brokenResult(conn, err)
	}
}

// refusedStream reports whether the server states by REFUSED_STREAM that it
// hasn't processed the request (RFC 9113, section 8.7).
func refusedStream(err error) bool {
	var stream http2.StreamError
	return errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream && stream.Cause != nil
}

// brokenResult is the result of an attempt that failed after its request may
// have been sent.
func brokenResult(conn *http.ClientConn, err error) ebonyworks.AttemptResult {
	switch {
	case errors.Is(err, context.Canceled):
		return ebonyworks.AttemptCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return ebonyworks.AttemptTimeout
	case conn.Err() != nil && !errors.As(err, new(http2.StreamError)):
		return ebonyworks.AttemptLost
	default:
		return ebonyworks.AttemptInvalid
	}
}
