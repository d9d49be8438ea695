// Package callerapi serves the callers' HTTP API.
package callerapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
	// DefaultMaxBodyBytes is the default size limit of request bodies.
	DefaultMaxBodyBytes = 64 << 10
	// requestIDBytes is the length of random request ids; 12 bytes make collisions
	// negligible.
	requestIDBytes = 12
	// maxTimeout is the longest deadline of requests for an unknown route.
	maxTimeout = time.Minute
)

// Routes looks up the routes of the configuration in force.
type Routes interface {
	// Route returns the route in force with the id.
	Route(id ebonyworks.RouteID) (ebonyworks.Route, bool)
}

// API serves the requests of callers. All fields but MaxBodyBytes and Tracer are
// required. No field may change after the first request.
type API struct {
	Searcher ebonyworks.Searcher
	Reserver ebonyworks.Reserver
	Status   ebonyworks.StatusReporter
	Routes   Routes
	// MaxBodyBytes is the size limit of request bodies; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Tracer starts a span for each request; nil starts none.
	Tracer trace.Tracer
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = a.handleError
	router.POST("/v1/search", a.handleSearch, a.traced)
	router.POST("/v1/tickets", a.handleTicket, a.traced)
	router.POST("/v1/reservations", a.handleReservation, a.traced)
	router.GET("/v1/reservations/:ticket", a.handleOutcome, a.traced)
	router.GET("/v1/status", a.handleStatus, a.traced)
	router.GET("/healthz", a.handleHealth)
	router.GET("/readyz", a.handleReadiness)
	return router
}

// handleError answers requests that no handler accepted, such as unknown paths.
func (a *API) handleError(err error, ctx echo.Context) {
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
	// If this fails, the connection is lost and the caller can't receive an error
	// either.
	_ = writeRefusal(ctx, status, refusal)
}

// deadline returns the deadline for the caller's timeout, or a refusal if the timeout
// exceeds the route's maximum. A zero timeout means the route's default.
func (a *API) deadline(start time.Time, route ebonyworks.RouteID, timeout time.Duration) (time.Time, *ebonyworks.Refusal) {
	known, ok := a.Routes.Route(route)
	if !ok {
		// The unknown route is refused later; until then any limited deadline will do.
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

func newRequestID() ebonyworks.RequestID {
	var random [requestIDBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	return ebonyworks.RequestID(hex.EncodeToString(random[:]))
}

func invalidRequest(err error) ebonyworks.Refusal {
	return ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: err.Error()}
}

// refuse writes the refusal with the HTTP status of its code.
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
		// The header has a resolution of seconds, so the delay is rounded up; the body has
		// the exact delay.
		seconds := math.Ceil(refusal.RetryAfter.Seconds())
		ctx.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return ctx.JSONBlob(status, body)
}

// ListenAndServe calls serve, and shuts the server down gracefully when the context
// ends. The shutdown takes at most the given timeout.
func ListenAndServe(ctx context.Context, server *http.Server, serve func() error, shutdownTimeout time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownContext)
}
