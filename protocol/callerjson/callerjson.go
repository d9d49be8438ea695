// Package callerjson encodes and decodes the JSON messages of the callers' HTTP
// API.
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
	// maxFields is the largest number of filters or fields in a request.
	maxFields = 64
	// maxTextBytes is the size limit of each name, value, key and id in a request.
	maxTextBytes = 1024
)

// Error reports that a caller's request is invalid.
type Error struct {
	// Path names the invalid field, such as Filters.Name. It is empty if the error
	// concerns the whole request.
	Path    string
	Message string
}

// Error returns the path of the field, if there is one, and the message.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

func invalidField(path, message string) error {
	return &Error{Path: path, Message: message}
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

// DecodeSearch decodes the body of a search and its timeout, which is zero if the
// body has none. It doesn't set the request id and the deadline.
func DecodeSearch(body []byte) (ebonyworks.Search, time.Duration, error) {
	var wire wireSearch
	if err := decodeStrict(body, &wire); err != nil {
		return ebonyworks.Search{}, 0, err
	}
	filters, err := parseFields("Filters", wire.Filters)
	if err != nil {
		return ebonyworks.Search{}, 0, err
	}
	timeout, err := parseTimeout(wire.Timeout)
	if err != nil {
		return ebonyworks.Search{}, 0, err
	}
	if err := firstError(
		checkRequired("Route", wire.Route),
		checkRequired("House", wire.House),
		checkLength("Keys.From", wire.Keys.From),
		checkLength("Keys.To", wire.Keys.To),
	); err != nil {
		return ebonyworks.Search{}, 0, err
	}
	if wire.Keys.To != "" && wire.Keys.From >= wire.Keys.To {
		return ebonyworks.Search{}, 0, invalidField("Keys", "From must be less than To")
	}
	// The filters are sorted so that searches that differ only in the order of
	// their filters are equal.
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

// DecodeReservation decodes the body of a reservation and its timeout, which is
// zero if the body has none. It doesn't set the request id and the deadline.
func DecodeReservation(body []byte) (ebonyworks.Reservation, time.Duration, error) {
	var wire wireReservation
	if err := decodeStrict(body, &wire); err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	values, err := parseFields("Fields", wire.Fields)
	if err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	timeout, err := parseTimeout(wire.Timeout)
	if err != nil {
		return ebonyworks.Reservation{}, 0, err
	}
	if err := firstError(
		checkRequired("Ticket", wire.Ticket),
		checkRequired("Route", wire.Route),
		checkRequired("House", wire.House),
		checkRequired("Key", wire.Key),
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

// decodeStrict decodes one JSON object. It rejects field names that are unknown,
// duplicate or in the wrong case, invalid UTF-8 and trailing data.
func decodeStrict(body []byte, target any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return invalidField("", "the body is empty")
	}
	err := json.Unmarshal(body, target, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semanticError *json.SemanticError
	if errors.As(err, &semanticError) {
		return invalidField(strings.TrimPrefix(string(semanticError.JSONPointer), "/"), errorMessage(semanticError))
	}
	return invalidField("", strings.TrimPrefix(err.Error(), "jsontext: "))
}

func errorMessage(err *json.SemanticError) string {
	if errors.Is(err.Err, json.ErrUnknownName) {
		return "is not a known field"
	}
	return "must not be " + jsonKind(err)
}

// jsonKind returns the kind of the JSON value that has the wrong type for its
// field.
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

func parseFields(path string, wire []wireField) ([]ebonyworks.Field, error) {
	if len(wire) > maxFields {
		return nil, invalidField(path, "has more than 64 entries")
	}
	var values []ebonyworks.Field
	for _, field := range wire {
		if err := firstError(checkRequired(path+".Name", field.Name), checkLength(path+".Value", field.Value)); err != nil {
			return nil, err
		}
		values = append(values, ebonyworks.Field{Name: field.Name, Value: field.Value})
	}
	return values, nil
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, invalidField("Timeout", `must be a duration such as "150ms"`)
	}
	if value <= 0 {
		return 0, invalidField("Timeout", "must be positive")
	}
	return value, nil
}

func checkRequired(path, text string) error {
	if text == "" {
		return invalidField(path, "is required")
	}
	return checkLength(path, text)
}

func checkLength(path, text string) error {
	if len(text) > maxTextBytes {
		return invalidField(path, "is longer than 1024 bytes")
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
