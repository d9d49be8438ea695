// Package backendjson maps the JSON of the backend servers' protocol from and to
// the domain types. The protocol is described in docs/backend-protocol.md.
package backendjson

import (
	"time"

	"github.com/go-json-experiment/json"
)

const (
	// SearchPath is the path of searches.
	SearchPath = "/v1/search"
	// ReservePath is the path of reservations.
	ReservePath = "/v1/reserve"
	// StatusPath is the path of status queries.
	StatusPath = "/v1/status"
	// ContentType is the media type of all bodies.
	ContentType = "application/json"
)

const (
	// DefaultMaxRequestBytes bounds the body of a request.
	DefaultMaxRequestBytes = 64 << 10
	// DefaultMaxReplyBytes bounds the body of a reply.
	DefaultMaxReplyBytes = 4 << 20
	// MaxFields bounds the filters or fields of a request and the fields of a row.
	MaxFields = 256
	// MaxSnapshots bounds the snapshots in a report.
	MaxSnapshots = 256
	// MaxRetryAfter bounds the time that a refusal may ask to wait.
	MaxRetryAfter = time.Hour
	// MaxRemaining bounds the remaining time in a request.
	MaxRemaining = 10 * time.Minute
)

// Codec encodes and decodes requests and replies. The zero value uses the
// default limits.
type Codec struct {
	// MaxRequestBytes and MaxReplyBytes bound the bodies that are decoded;
	// zero means the default.
	MaxRequestBytes int
	MaxReplyBytes   int
}

// Reply is the status and the complete body of an HTTP reply.
type Reply struct {
	Status int
	Body   []byte
}

// MalformedError explains why a body doesn't follow the protocol.
type MalformedError struct {
	Reason string
}

// Error returns the reason.
func (e *MalformedError) Error() string { return "malformed body: " + e.Reason }

// RequestLimit returns the largest body of a request in bytes.
func (c Codec) RequestLimit() int {
	if c.MaxRequestBytes > 0 {
		return c.MaxRequestBytes
	}
	return DefaultMaxRequestBytes
}

// ReplyLimit returns the largest body of a reply in bytes.
func (c Codec) ReplyLimit() int {
	if c.MaxReplyBytes > 0 {
		return c.MaxReplyBytes
	}
	return DefaultMaxReplyBytes
}

// decode reads exactly one JSON object into the wire struct. The library refuses
// names that are unknown, repeated or in the wrong case, invalid UTF-8 and
// data after the object. It takes null for any value, so that is checked here:
// a garbled reply must not decode into plausible rows.
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

// containsNull reports whether valid JSON has a null.
func containsNull(body []byte) bool {
	inString := false
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '\\':
			// Only strings hold a backslash; the next byte is part of the escape.
			i++
		case '"':
			inString = !inString
		case 'n':
			// Outside of strings, only null has this letter.
			if !inString {
				return true
			}
		}
	}
	return false
}

// encode marshals a wire struct. Wire structs hold only strings, integers and
// slices of these, which always marshal.
func encode(wire any) []byte {
	body, err := json.Marshal(wire)
	if err != nil {
		panic("shelfmark: wire struct can't be encoded: " + err.Error())
	}
	return body
}

func milliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
