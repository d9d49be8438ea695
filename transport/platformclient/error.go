package platformclient

import (
	"fmt"
	"time"
)

// Code is a stable code of the platform's errors.
type Code string

const (
	// CodeNotFound means that the key has no value.
	CodeNotFound Code = "not_found"
	// CodeRateLimited means that the rate limit of calls per second was exceeded.
	CodeRateLimited Code = "rate_limited"
	// CodeUnavailable means that the service can't answer.
	CodeUnavailable Code = "unavailable"
	// CodeBadRequest means that the call is malformed.
	CodeBadRequest Code = "bad_request"
)

// Error is an error response of the platform.
type Error struct {
	// Code is empty if the body of the response couldn't be read or decoded.
	Code    Code
	Message string
	// Status is the HTTP status.
	Status int
	// RetryAfter is the delay before a retry; zero if the platform named none.
	RetryAfter time.Duration
}

// Error returns the status, code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("platform replied %d %s: %s", e.Status, e.Code, e.Message)
}
