package callerapi

import (
	"github.com/labstack/echo/v4"
)

func (c *API) handleOutcome(ctx echo.Context) error {
	outcome := c.Reserver.Outcome(ctx.Request().Context(), ctx.Param("ticket"))
	return writeOutcome(ctx, "", outcome)
}
