package callerapi

import (
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// handleHealth serves the liveness check: it succeeds as long as the process serves
// requests.
func (a *API) handleHealth(ctx echo.Context) error {
	return ctx.String(http.StatusOK, "ok\n")
}

// handleReadiness serves the readiness check, by which a load balancer decides whether
// to send requests.
func (a *API) handleReadiness(ctx echo.Context) error {
	ready, reasons := a.Status.Ready()
	reply, err := callerjson.EncodeReadiness(ready, reasons)
	if err != nil {
		return errors.Wrap(err, "encode readiness")
	}
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	return ctx.JSONBlob(status, reply)
}
