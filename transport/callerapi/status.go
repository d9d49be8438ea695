package callerapi

import (
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

func (a *API) handleStatus(ctx echo.Context) error {
	reply, err := callerjson.EncodeStatus(a.Status.Status())
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	return ctx.JSONBlob(http.StatusOK, reply)
}
