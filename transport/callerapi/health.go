package callerapi

import (
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// handleHealth answers as long as the process serves requests at all.
func (c *API) handleHealth(ctx echo.Context) error {
	return ctx.String(http.StatusOK, "ok\n")
}

// handleReadiness tells the load balancer whether to send requests.
func (c *API) handleReadiness(ctx echo.Context) error {
	ready, reasons := c.Status.Ready()
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
