package callerapi

import (
	"github.com/labstack/echo/v4"
)

func (a *API) handleOutcome(ctx echo.Context) error {
	outcome := a.Reserver.Outcome(ctx.Request().Context(), ctx.Param("ticket"))
	return writeOutcome(ctx, "", outcome)
}
