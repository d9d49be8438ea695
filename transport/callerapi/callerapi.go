// Package callerapi serves the callers' HTTP API.
package callerapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

const (
	// DefaultMaxBodyBytes bounds the body of a request unless set otherwise.
	DefaultMaxBodyBytes = 64 << 10
	// requestIDBytes makes collisions of request ids negligible.
	requestIDBytes = 12
	// maxTimeout bounds the deadline of requests whose route isn't known yet.
	maxTimeout = time.Minute
)

// Routes looks up published routes.
type Routes interface {
	// Route returns the route in force with the id.
	Route(id ebonyworks.RouteID) (ebonyworks.Route, bool)
}

// API handles the requests of callers. All fields but MaxBodyBytes
// and Tracer are required and don't change after the first request.
type API struct {
	Searcher ebonyworks.Searcher
	Reserver ebonyworks.Reserver
	Status   ebonyworks.StatusReporter
	Routes   Routes
	// MaxBodyBytes is the largest accepted body; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Tracer starts a span for each request; nil starts none.
	Tracer trace.Tracer
}

// Handler returns the HTTP handler of the API.
func (c *API) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = c.handleError
	router.POST("/v1/search", c.handleSearch, c.traced)
	router.POST("/v1/tickets", c.handleTicket, c.traced)
	router.POST("/v1/reservations", c.handleReservation, c.traced)
	router.GET("/v1/reservations/:ticket", c.handleOutcome, c.traced)
	router.GET("/v1/status", c.handleStatus, c.traced)
	router.GET("/healthz", c.handleHealth)
	router.GET("/readyz", c.handleReadiness)
	return router
}

// handleError answers requests that no handler accepted, such as unknown paths.
func (c *API) handleError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	refusal := ebonyworks.Refusal{Code: ebonyworks.RefusedInternal, Message: "the request could not be handled"}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) && httpError.Code < http.StatusInternalServerError {
		status = httpError.Code
		refusal = ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: http.StatusText(httpError.Code)}
	}
	// The connection is lost if this fails; there is nobody left to tell.
	_ = writeRefusal(ctx, status, refusal)
}

// body reads the body up to the limit.
func (c *API) body(ctx echo.Context) ([]byte, *ebonyworks.Refusal) {
	limit := c.MaxBodyBytes
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
		return nil, &ebonyworks.Refusal{Code: ebonyworks.RefusedTooLarge, Message: message}
	}
	return nil, &ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: "the body could not be read"}
}

// deadline turns the caller's timeout into a deadline within the route's bounds.
func (c *API) deadline(start time.Time, route ebonyworks.RouteID, timeout time.Duration) (time.Time, *ebonyworks.Refusal) {
	known, ok := c.Routes.Route(route)
	if !ok {
		// The route is refused later; until then the deadline only has to be sane.
		return start.Add(min(max(timeout, time.Second), maxTimeout)), nil
	}
	if timeout == 0 {
		return start.Add(known.DefaultDeadline), nil
	}
	if timeout > known.MaxDeadline {
		message := "Timeout: must be at most " + known.MaxDeadline.String() + " on this route"
		return time.Time{}, &ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: message}
	}
	return start.Add(timeout), nil
}

func requestID() ebonyworks.RequestID {
	var random [requestIDBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	return ebonyworks.RequestID(hex.EncodeToString(random[:]))
}

func invalidRequest(err error) ebonyworks.Refusal {
	return ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: err.Error()}
}

// refuse writes the refusal with the status that belongs to its code.
func refuse(ctx echo.Context, refusal ebonyworks.Refusal) error {
	return writeRefusal(ctx, statusOf(refusal.Code), refusal)
}

func statusOf(code ebonyworks.RefusalCode) int {
	switch code {
	case ebonyworks.RefusedInvalid, ebonyworks.RefusedTicket:
		return http.StatusBadRequest
	case ebonyworks.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	case ebonyworks.RefusedUnknownRoute:
		return http.StatusNotFound
	case ebonyworks.RefusedConflict:
		return http.StatusConflict
	case ebonyworks.RefusedDeadline:
		return http.StatusGatewayTimeout
	case ebonyworks.RefusedInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func writeRefusal(ctx echo.Context, status int, refusal ebonyworks.Refusal) error {
	body, err := callerjson.EncodeRefusal(refusal)
	if err != nil {
		return errors.Wrap(err, "encode refusal")
	}
	if refusal.RetryAfter > 0 {
		// The header has whole seconds; the body has the exact time.
		seconds := math.Ceil(refusal.RetryAfter.Seconds())
		ctx.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return ctx.JSONBlob(status, body)
}

// ListenAndServe serves the handler until the context ends, then shuts down
// gracefully within the bound.
func ListenAndServe(ctx context.Context, server *http.Server, serve func() error, bound time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	return server.Shutdown(stopping)
}
