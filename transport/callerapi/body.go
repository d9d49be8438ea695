package callerapi

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// firstChunkBytes holds most bodies. It isn't reused.
	firstChunkBytes = 1 << 10
	// chunkBytes is small, because a body that stops is charged only for what was read.
	chunkBytes = 4 << 10
)

type chunk [chunkBytes]byte

// chunks are reused, so that bodies that are read and refused leave no garbage. io.ReadAll
// left 127 kB for each body over a limit of 64 KiB, and on a busy machine the garbage
// collector didn't keep up with it.
var chunks = sync.Pool{New: func() any { return new(chunk) }}

// readBody reads the request body, or returns a refusal if it exceeds the limit.
func (a *API) readBody(ctx echo.Context) ([]byte, *ebonyworks.Refusal) {
	limit := a.MaxBodyBytes
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	tooLarge := &ebonyworks.Refusal{Code: ebonyworks.RefusedTooLarge, Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	if ctx.Request().ContentLength > limit {
		// Otherwise net/http would read a part of the body.
		ctx.Response().Header().Set("Connection", "close")
		return nil, tooLarge
	}
	body, err := readAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, limit))
	if err == nil {
		return body, nil
	}
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return nil, tooLarge
	}
	return nil, &ebonyworks.Refusal{Code: ebonyworks.RefusedInvalid, Message: "the body could not be read"}
}

// readAll reads up to the end of the file.
func readAll(from io.Reader) ([]byte, error) {
	var reused []*chunk
	defer func() {
		for _, c := range reused {
			chunks.Put(c)
		}
	}()
	var parts [][]byte
	part := make([]byte, 0, firstChunkBytes)
	for {
		if len(part) == cap(part) {
			c, _ := chunks.Get().(*chunk)
			reused = append(reused, c)
			parts = append(parts, part)
			part = c[:0]
		}
		count, err := from.Read(part[len(part):cap(part)])
		part = part[:len(part)+count]
		if errors.Is(err, io.EOF) {
			if len(parts) == 0 {
				return part, nil
			}
			return slices.Concat(append(parts, part)...), nil
		}
		if err != nil {
			return nil, err
		}
	}
}
