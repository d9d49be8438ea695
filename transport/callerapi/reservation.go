package callerapi

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

func (a *API) handleReservation(ctx echo.Context) error {
	start := time.Now()
	body, refusal := a.readBody(ctx)
	if refusal != nil {
		return refuse(ctx, *refusal)
	}
	reservation, timeout, err := callerjson.DecodeReservation(body)
	if err != nil {
		return refuse(ctx, invalidRequest(err))
	}
	reservation.Deadline, refusal = a.deadline(start, reservation.Route, timeout)
	if refusal != nil {
		return refuse(ctx, *refusal)
	}
	reservation.Request = newRequestID()
	outcome := a.Reserver.Reserve(ctx.Request().Context(), reservation)
	return writeOutcome(ctx, reservation.Request, outcome)
}

// writeOutcome writes every outcome with status 200, because proxies resend requests
// on some other statuses.
func writeOutcome(ctx echo.Context, request ebonyworks.RequestID, outcome ebonyworks.Outcome) error {
	if outcome.Refusal != nil {
		return refuse(ctx, *outcome.Refusal)
	}
	reply, err := callerjson.EncodeOutcome(request, outcome)
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	return ctx.JSONBlob(http.StatusOK, reply)
}
