// Package backendjson encodes and decodes the JSON messages between entry hosts
// and backend servers. The protocol is described in docs/backend-protocol.md.
package backendjson

import (
	"time"

	"github.com/go-json-experiment/json"
)

const (
	// SearchPath is the URL path of searches.
	SearchPath = "/v1/search"
	// ReservePath is the URL path of reservations.
	ReservePath = "/v1/reserve"
	// StatusPath is the URL path of status queries.
	StatusPath = "/v1/status"
	// ContentType is the media type of all request and reply bodies.
	ContentType = "application/json"
)

const (
	// DefaultMaxRequestBytes is the default size limit of request bodies.
	DefaultMaxRequestBytes = 64 << 10
	// DefaultMaxReplyBytes is the default size limit of reply bodies.
	DefaultMaxReplyBytes = 4 << 20
	// MaxFields is the largest number of filters or fields in a request, and of
	// fields in a row.
	MaxFields = 256
	// MaxSnapshots is the largest number of snapshots in a server report.
	MaxSnapshots = 256
	// MaxRetryAfter is the longest retry delay that a refusal may ask for.
	MaxRetryAfter = time.Hour
	// MaxRemaining is the longest time until the deadline that a request may carry.
	MaxRemaining = 10 * time.Minute
)

// Codec encodes and decodes requests and replies. The zero value uses the
// default limits.
type Codec struct {
	// MaxRequestBytes and MaxReplyBytes are the size limits of bodies to decode;
	// zero means the default.
	MaxRequestBytes int
	MaxReplyBytes   int
}

// Reply is the status and the complete body of an HTTP reply.
type Reply struct {
	Status int
	Body   []byte
}

// MalformedError reports a body that doesn't follow the protocol.
type MalformedError struct {
	Reason string
}

// Error returns the reason with a fixed prefix.
func (e *MalformedError) Error() string { return "malformed body: " + e.Reason }

// RequestLimit returns the size limit of request bodies in bytes.
func (c Codec) RequestLimit() int {
	if c.MaxRequestBytes > 0 {
		return c.MaxRequestBytes
	}
	return DefaultMaxRequestBytes
}

// ReplyLimit returns the size limit of reply bodies in bytes.
func (c Codec) ReplyLimit() int {
	if c.MaxReplyBytes > 0 {
		return c.MaxReplyBytes
	}
	return DefaultMaxReplyBytes
}

// decode decodes exactly one JSON object into the wire struct. The JSON library
// rejects field names that are unknown, duplicate or in the wrong case, invalid
// UTF-8 and trailing data. It accepts null for any value, so nulls are rejected
// here: otherwise a corrupt reply could decode into plausible rows.
func decode(body []byte, limit int, wire any) error {
	if len(body) > limit {
		return &MalformedError{Reason: "too large"}
	}
	if err := json.Unmarshal(body, wire, json.RejectUnknownMembers(true)); err != nil {
		return &MalformedError{Reason: err.Error()}
	}
	if containsNull(body) {
		return &MalformedError{Reason: "null"}
	}
	return nil
}

// containsNull reports whether a valid JSON text contains a null value.
func containsNull(body []byte) bool {
	inString := false
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '\\':
			// A backslash occurs only in strings; the next byte is part of the escape.
			i++
		case '"':
			inString = !inString
		case 'n':
			// Outside of strings, only null contains this letter.
			if !inString {
				return true
			}
		}
	}
	return false
}

// encode marshals a wire struct. It panics on an error, because the strings,
// integers, booleans and slices in wire structs can always be marshaled.
func encode(wire any) []byte {
	body, err := json.Marshal(wire)
	if err != nil {
		panic("backendjson: wire struct can't be encoded: " + err.Error())
	}
	return body
}

func roundUpToMilliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
