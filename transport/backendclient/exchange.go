package backendclient

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
	"github.com/ebonyworks/ebonyworks/transport/httpstatus"
	"github.com/ebonyworks/ebonyworks/transport/tracecontext"
)

// goAwayMessage is the error text of net/http for a request whose stream id is
// above the last stream id of a GOAWAY frame, so that the server doesn't process it.
// The text is compared because the error value isn't exported; if the text changes,
// such requests end as AttemptLost.
const goAwayMessage = "http2: Transport received Server's graceful shutdown GOAWAY"

// call describes the request of an attempt.
type call struct {
	method, path string
	// encode returns the body for the remaining time; nil if there is no body.
	encode func(remaining time.Duration) []byte
}

// exchange is the result of an attempt before its reply is decoded. The reply is
// complete if the result is AttemptServed.
type exchange struct {
	result ebonyworks.AttemptResult
	reply  backendjson.Reply
	pool   *serverPool
}

// recordIfInvalid records an event if the result is AttemptInvalid.
func (e exchange) recordIfInvalid(result ebonyworks.AttemptResult) {
	if result == ebonyworks.AttemptInvalid {
		e.pool.recordInvalidReply()
	}
}

// exchange sends the call once to the server and returns the undecoded reply.
func (c *Client) exchange(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, call call) exchange {
	if ctx.Err() != nil {
		return exchange{result: unsentResult(ctx, ebonyworks.AttemptExpired)}
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	pool := c.pool(service, server)
	if pool == nil {
		return exchange{result: ebonyworks.AttemptUnreachable}
	}
	pooled, err := pool.acquire(ctx)
	if err != nil {
		return exchange{result: unsentResult(ctx, ebonyworks.AttemptUnreachable)}
	}
	defer pool.release(pooled)
	ended := send(ctx, pooled.conn, server, call, c.options.Codec.ReplyLimit())
	ended.pool = pool
	ended.recordIfInvalid(ended.result)
	return ended
}

// withDeadline returns a context that has a deadline: that of ctx, or the default.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// unsentResult returns AttemptCanceled if the caller canceled, or otherwise. It is
// for attempts that sent nothing.
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
		return exchange{result: noResponseResult(ctx, conn, body, err)}
	}
	defer func() { _ = response.Body.Close() }()
	// Status holds the text that the server sent.
	text, _, _ := strings.Cut(response.Status, " ")
	if _, valid := httpstatus.Parse(text); !valid {
		return exchange{result: ebonyworks.AttemptInvalid}
	}
	return receive(conn, response, limit)
}

// newRequest returns a request without GetBody, so that net/http can't resend it.
func newRequest(ctx context.Context, server ebonyworks.Server, call call, remaining time.Duration) (*http.Request, *abortableBody) {
	request := (&http.Request{
		Method: call.method,
		URL:    &url.URL{Scheme: "http", Host: server.Address.String(), Path: call.path},
		Header: http.Header{"User-Agent": {"ebonyworks"}},
	}).WithContext(ctx)
	tracecontext.Inject(ctx, request.Header)
	if call.encode == nil {
		return request, nil
	}
	body := newAbortableBody(call.encode(remaining))
	request.Header.Set("Content-Type", backendjson.ContentType)
	request.Body = body
	request.ContentLength = int64(body.reader.Len())
	return request, body
}

// receive reads the complete reply, up to the limit in bytes.
func receive(conn *http.ClientConn, response *http.Response, limit int) exchange {
	if response.ContentLength > int64(limit) {
		return exchange{result: ebonyworks.AttemptInvalid}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return exchange{result: failureResult(conn, err)}
	}
	if len(body) > limit {
		return exchange{result: ebonyworks.AttemptInvalid}
	}
	return exchange{
		result: ebonyworks.AttemptServed,
		reply:  backendjson.Reply{Status: response.StatusCode, Body: body},
	}
}

// noResponseResult returns the result of an attempt that got no response header.
func noResponseResult(ctx context.Context, conn *http.ClientConn, body *abortableBody, err error) ebonyworks.AttemptResult {
	unsent := body != nil && body.abortIfUnread()
	switch {
	case err.Error() == goAwayMessage:
		return ebonyworks.AttemptDraining
	case isRefusedStream(err):
		return ebonyworks.AttemptShed
	case unsent:
		return unsentResult(ctx, ebonyworks.AttemptUnreachable)
	default:
		return failureResult(conn, err)
	}
}

// isRefusedStream reports whether the server states by REFUSED_STREAM that it
// hasn't processed the request (RFC 9113, section 8.7).
func isRefusedStream(err error) bool {
	var stream http2.StreamError
	return errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream && stream.Cause != nil
}

// failureResult returns the result of an attempt that failed after its request may
// have been sent.
func failureResult(conn *http.ClientConn, err error) ebonyworks.AttemptResult {
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
