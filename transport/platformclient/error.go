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
	// CodeRateLimited means that there were too many calls in this second.
	CodeRateLimited Code = "rate_limited"
	// CodeUnavailable means that the service can't answer.
	CodeUnavailable Code = "unavailable"
	// CodeBadRequest means that the call is malformed.
	CodeBadRequest Code = "bad_request"
)

// Error is a refusal that the platform stated.
type Error struct {
	// Code is empty if the body of the reply couldn't be read.
	Code    Code
	Message string
	// Status is the HTTP status.
	Status int
	// RetryAfter is when to call again; zero if the platform did not say.
	RetryAfter time.Duration
}

// Error returns the status, code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("platform replied %d %s: %s", e.Status, e.Code, e.Message)
}
