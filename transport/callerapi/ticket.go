package callerapi

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

func (a *API) handleTicket(ctx echo.Context) error {
	ticket, claims, refusal := a.Reserver.IssueTicket(ctx.Request().Context())
	if refusal != nil {
		return refuse(ctx, *refusal)
	}
	reply, err := callerjson.EncodeTicket(ticket, time.Until(claims.Expiry))
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	return ctx.JSONBlob(http.StatusOK, reply)
}
