package http1

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/buffer"
	"github.com/ebonyworks/ebonyworks/state/traffic"
)

const (
	// maxSkipped bounds the responses to other requests that one exchange skips.
	maxSkipped = 2
	// maxInlineBody is the largest request body, in bytes, that is written before
	// the response is read. Writing a larger one first could block if the server
	// responds before it has read the whole body.
	maxInlineBody = 2 << 10
)

// Request is one request in wire format.
type Request struct {
	To     netip.AddrPort
	Method string
	// Head is the request line and the header, including the empty line. Do may
	// append to its array.
	Head []byte
	Body []byte
	// Deadline is when the exchange fails with a timeout.
	Deadline time.Time
	// MaxBody bounds the body of the response in bytes; zero means 32 MiB.
	MaxBody int64
	// ID identifies the request, and IDHeader is the header field in which servers
	// echo it. Responses with another id are skipped. Without IDHeader, every response
	// counts as the one to this request.
	ID, IDHeader string
	// Traffic counts the bytes of the exchange for the purpose; nil counts none.
	Traffic *traffic.Counter
	Purpose ebonyworks.TrafficPurpose
	// MaySend is called once the connection is open, immediately before the request is
	// written. If it returns false, the request isn't sent. Nil means that it is.
	MaySend func() bool
	// MayReconnect is called before the connection of the canceled exchange is replaced. If
	// it returns false, it isn't. Nil means that it may be.
	MayReconnect func() bool
	// OpenTime is set by Do: how long the opening of the connection took; zero if a kept
	// one was used.
	OpenTime time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// RequestError tells what is known about a request that got no complete response.
type RequestError struct {
	// Unsent is set if no byte of the request left the host.
	Unsent bool
	// Withheld is set if MaySend of the request returned false. Unsent is set then, too.
	Withheld bool
	// Invalid is set if the response is malformed, was truncated after its head, or
	// exceeds a limit.
	Invalid bool
	// NoMemory is set if the memory budget of this host is exhausted.
	NoMemory bool
	cause    error
}

// Error describes the cause.
func (f *RequestError) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error { return f.cause }

var errWithheld = errors.New("the request may no longer be sent")

// Do sends the request once and returns the complete response, or a *RequestError.
// If the context ends, the connection is closed, and replaced if ReplaceCanceled allows it.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &RequestError{Unsent: true, cause: err}
	}
	conn, err := p.get(ctx, request)
	if err != nil {
		return nil, &RequestError{Unsent: true, cause: err}
	}
	if err := conn.SetDeadline(request.Deadline); err != nil {
		conn.discard()
		return nil, &RequestError{Unsent: true, cause: err}
	}
	conn.traffic, conn.purpose = request.Traffic, request.Purpose
	if request.MaySend != nil && !request.MaySend() {
		conn.discard()
		return nil, &RequestError{Unsent: true, Withheld: true, cause: errWithheld}
	}
	stop := context.AfterFunc(ctx, conn.discard)
	response, keep, err := conn.run(request)
	conn.releaseHead()
	if !stop() {
		conn.discard()
		p.replace(request, conn.idleTimeout)
		return response, err
	}
	if !keep {
		conn.discard()
		return response, err
	}
	conn.lastID = request.ID
	p.put(request.To, conn)
	return response, err
}

// matchID reports whether the response has a request id, and whether the response
// may belong to this request.
func (r *Request) matchID(header http.Header) (hasID, own bool) {
	if r.IDHeader == "" {
		return true, true
	}
	echoed := header.Get(r.IDHeader)
	return echoed != "", echoed == "" || echoed == r.ID
}

// run writes the request and reads the response. It reports whether the
// connection can be reused.
func (c *connection) run(request *Request) (*Response, bool, error) {
	written, err := c.write(request)
	if err != nil {
		return nil, false, err
	}
	skipped, interim := 0, 0
	for {
		response, reusable, err := c.read(request)
		if err != nil {
			return nil, false, err
		}
		if response.Status < http.StatusOK {
			if interim++; interim > maxInterim || response.Status == http.StatusSwitchingProtocols {
				return nil, false, &RequestError{Invalid: true, cause: errors.New("too many interim responses, or another protocol")}
			}
			continue
		}
		hasID, own := request.matchID(response.Header)
		if !hasID && (c.reused || skipped > 0) {
			// It may be a duplicate of the response to an earlier request.
			return nil, false, &RequestError{Invalid: true, cause: errors.New("response names no request on a connection that was in use")}
		}
		if own {
			keep := reusable && hasID && skipped == 0 && c.reader.Buffered() == 0 && written()
			return response, keep, nil
		}
		if skipped++; skipped > maxSkipped || !reusable {
			return nil, false, &RequestError{Invalid: true, cause: errors.New("response to another request")}
		}
	}
}

// write sends the request. The returned function reports whether the whole
// request has been written by now; a large body is written in the background.
func (c *connection) write(request *Request) (func() bool, error) {
	if len(request.Body) <= maxInlineBody {
		count, err := c.Write(append(request.Head, request.Body...))
		if err != nil {
			return nil, &RequestError{Unsent: count == 0 && !c.reused, cause: err}
		}
		return func() bool { return true }, nil
	}
	if count, err := c.Write(request.Head); err != nil {
		return nil, &RequestError{Unsent: count == 0 && !c.reused, cause: err}
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(request.Body)
		done <- err
	}()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

// read reads one response, and reports whether the connection may be used after it.
func (c *connection) read(request *Request) (*Response, bool, error) {
	parsed, err := c.readHead()
	if err != nil {
		return nil, false, &RequestError{Invalid: isInvalidHead(err), NoMemory: errors.Is(err, buffer.ErrNoMemory), cause: err}
	}
	limit := request.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	content, err := c.readBody(request.Method, &parsed, limit)
	if err != nil {
		noMemory := errors.Is(err, buffer.ErrNoMemory)
		return nil, false, &RequestError{Invalid: !noMemory, NoMemory: noMemory, cause: err}
	}
	c.setIdleTimeout(parsed.header)
	return &Response{Status: parsed.status, Header: parsed.header, Body: content}, !parsed.closes, nil
}

// isInvalidHead reports whether the error is about bytes that aren't a valid
// response head, as opposed to a connection that ended.
func isInvalidHead(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadTooLarge)
}

// setIdleTimeout takes the idle timeout, in whole seconds, from the Keep-Alive
// header.
func (c *connection) setIdleTimeout(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}
