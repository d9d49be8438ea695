package callerapi

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

func (a *API) handleSearch(ctx echo.Context) error {
	start := time.Now()
	body, refusal := a.readBody(ctx)
	if refusal != nil {
		return refuse(ctx, *refusal)
	}
	search, timeout, err := callerjson.DecodeSearch(body)
	if err != nil {
		return refuse(ctx, invalidRequest(err))
	}
	search.Deadline, refusal = a.deadline(start, search.Route, timeout)
	if refusal != nil {
		return refuse(ctx, *refusal)
	}
	search.Request = newRequestID()
	outcome := a.Searcher.Search(ctx.Request().Context(), search)
	if outcome.Refusal != nil {
		return refuse(ctx, *outcome.Refusal)
	}
	reply, err := callerjson.EncodeAnswer(outcome.Answer)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	return ctx.JSONBlob(http.StatusOK, reply)
}
