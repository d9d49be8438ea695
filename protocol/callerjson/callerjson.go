// Package callerjson maps the JSON of the callers' API to and from domain types.
package callerjson

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// maxFields bounds the filters or fields of one request.
	maxFields = 64
	// maxTextBytes bounds each name, value, key and id of a request.
	maxTextBytes = 1024
)

// Error is a mistake in a caller's request.
type Error struct {
	// Path is the field, empty for the request as a whole.
	Path   string
	Message string
}

// Error returns the place and the message.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

func invalid(place, message string) error {
	return &Error{Path: place, Message: message}
}

type wireField struct {
	Name  string
	Value string
}

type wireKeys struct {
	From string
	To   string
}

type wireSearch struct {
	Route   string
	House   string
	Filters []wireField
	Keys    wireKeys
	Timeout string
}

type wireReservation struct {
	Ticket  string
	Route   string
	House   string
	Key     string
	Fields  []wireField
	Timeout string
}

// DecodeSearch decodes the body of a search. The timeout is zero if the caller
// named none; request id and deadline are left to the caller of the function.
func DecodeSearch(body []byte) (ebonyworks.Search, time.Duration, error) {
	var wire wireSearch
	if err := decodeStrict(body, &wire); err != nil {
		return ebonyworks.Search{}, 0, err
	}
	filters, err := fields("Filters", wire.Filters)
	if err != nil {
		return ebonyworks.Search{}, 0, err
	}
	timeout, err := duration(wire.Timeout)
	if err != nil {
		return ebonyworks.Search{}, 0, err
	}
	if err := firstError(
		required("Route", wire.Route),
		required("House", wire.House),
		bounded("Keys.From", wire.Keys.From),
		bounded("Keys.To", wire.Keys.To),
	); err != nil {
		return ebonyworks.Search{}, 0, err
	}
	if wire.Keys.To != "" && wire.Keys.From >= wire.Keys.To {
		return ebonyworks.Search{}, 0, invalid("Keys", "From must be less than To")
	}
	// Equal searches must be equal however the caller orders the filters.
	slices.SortFunc(filters, func(a, b ebonyworks.Field) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		return strings.Compare(a.Value, b.Value)
	})
	return ebonyworks.Search{
		Route:    ebonyworks.RouteID(wire.Route),
		Customer: ebonyworks.CustomerID(wire.House),
		Filters:  filters,
		Keys:     ebonyworks.KeyRange{From: wire.Keys.From, To: wire.Keys.To},
	}, timeout, nil
}

// DecodeReservation decodes the body of a reservation. The timeout is zero if
// the caller named none.
func DecodeReservation(body []byte) (ebonyworks.Reservation, time.Duration, error) {
	var wire wireReservation
	if err := decodeStrict(body, &wire); err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	values, err := fields("Fields", wire.Fields)
	if err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	timeout, err := duration(wire.Timeout)
	if err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	if err := firstError(
		required("Ticket", wire.Ticket),
		required("Route", wire.Route),
		required("House", wire.House),
		required("Key", wire.Key),
	); err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	return ebonyworks.Reservation{
		Ticket:   wire.Ticket,
		Route:    ebonyworks.RouteID(wire.Route),
		Customer: ebonyworks.CustomerID(wire.House),
		Key:      wire.Key,
		Fields:   values,
	}, timeout, nil
}

// decodeStrict refuses unknown, repeated and wrongly spelled fields, invalid
// UTF-8 and trailing data.
func decodeStrict(body []byte, target any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return invalid("", "the body is empty")
	}
	err := json.Unmarshal(body, target, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return invalid(strings.TrimPrefix(string(semantic.JSONPointer), "/"), describe(semantic))
	}
	return invalid("", strings.TrimPrefix(err.Error(), "jsontext: "))
}

func describe(err *json.SemanticError) string {
	if errors.Is(err.Err, json.ErrUnknownName) {
		return "is not a known field"
	}
	return "must not be " + jsonKind(err)
}

// jsonKind names the kind of JSON value that doesn't fit the field.
func jsonKind(err *json.SemanticError) string {
	switch err.JSONKind {
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	case '[':
		return "an array"
	case 't', 'f':
		return "a boolean"
	default:
		return "of this kind"
	}
}

func fields(place string, wire []wireField) ([]ebonyworks.Field, error) {
	if len(wire) > maxFields {
		return nil, invalid(place, "has more than 64 entries")
	}
	var values []ebonyworks.Field
	for _, field := range wire {
		if err := firstError(required(place+".Name", field.Name), bounded(place+".Value", field.Value)); err != nil {
			return nil, err
		}
		values = append(values, ebonyworks.Field{Name: field.Name, Value: field.Value})
	}
	return values, nil
}

func duration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, invalid("Timeout", `must be a duration such as "150ms"`)
	}
	if value <= 0 {
		return 0, invalid("Timeout", "must be positive")
	}
	return value, nil
}

func required(place, text string) error {
	if text == "" {
		return invalid(place, "is required")
	}
	return bounded(place, text)
}

func bounded(place, text string) error {
	if len(text) > maxTextBytes {
		return invalid(place, "is longer than 1024 bytes")
	}
	return nil
}

func firstError(candidates ...error) error {
	for _, err := range candidates {
		if err != nil {
			return err
		}
	}
	return nil
}
