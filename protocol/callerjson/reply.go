package callerjson

import (
	"encoding/hex"
	"encoding/json"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"github.com/ebonyworks/ebonyworks"
)

type wireAnswer struct {
	Request  string
	Snapshot wireSnapshot
	Revision uint64
	// Digest and Revision together identify the version of the configuration.
	Digest   string
	Stale    bool
	Rows     []wireRow
	Coverage wireCoverage
}

type wireSnapshot struct {
	Number uint64
	Epoch  uint64
}

type wireRow struct {
	Key    string
	Fields []wireField
}

type wireCoverage struct {
	Complete bool
	Covered  []string
	Missed   []wireMissedShard
}

type wireMissedShard struct {
	Shard  string
	Reason string
}

type wireRefusal struct {
	Code       string
	Message    string
	RetryAfter string `json:",omitempty"`
	Ran        bool   `json:",omitempty"`
}

type wireTicket struct {
	Ticket string
	// ValidFor is the time until the ticket expires.
	ValidFor string
}

type wireOutcome struct {
	Request    string `json:",omitempty"`
	Outcome    string
	Code       string
	Message    string      `json:",omitempty"`
	Result     []wireField `json:",omitempty"`
	RetryAfter string      `json:",omitempty"`
}

// EncodeAnswer encodes the answer to a search.
func EncodeAnswer(answer ebonyworks.Answer) ([]byte, error) {
	wire := wireAnswer{
		Request:  string(answer.Request),
		Snapshot: wireSnapshot{Number: uint64(answer.Snapshot.Number), Epoch: uint64(answer.Snapshot.Epoch)},
		Revision: uint64(answer.Version.Revision),
		Digest:   hex.EncodeToString(answer.Version.Digest[:]),
		Stale:    answer.Stale,
		Rows:     make([]wireRow, 0, len(answer.Rows)),
		Coverage: wireCoverage{
			Complete: answer.Coverage.Complete(),
			Covered:  make([]string, 0, len(answer.Coverage.Covered)),
			Missed:   make([]wireMissedShard, 0, len(answer.Coverage.Missed)),
		},
	}
	for _, row := range answer.Rows {
		wire.Rows = append(wire.Rows, wireRow{Key: row.Key, Fields: encodeFields(row.Fields)})
	}
	for _, shard := range answer.Coverage.Covered {
		wire.Coverage.Covered = append(wire.Coverage.Covered, string(shard))
	}
	for _, missed := range answer.Coverage.Missed {
		wire.Coverage.Missed = append(wire.Coverage.Missed, wireMissedShard{Shard: string(missed.Shard), Reason: string(missed.Reason)})
	}
	return jsonv2.Marshal(wire)
}

// EncodeRefusal encodes the body of a response that refuses a request.
func EncodeRefusal(refusal ebonyworks.Refusal) ([]byte, error) {
	return json.Marshal(wireRefusal{
		Code:       string(refusal.Code),
		Message:    refusal.Message,
		RetryAfter: formatOptionalDuration(refusal.RetryAfter),
		Ran:        refusal.Ran,
	})
}

// EncodeTicket encodes a new ticket and the time until it expires.
func EncodeTicket(ticket string, validFor time.Duration) ([]byte, error) {
	return json.Marshal(wireTicket{Ticket: ticket, ValidFor: validFor.String()})
}

// EncodeOutcome encodes the outcome of a reservation.
func EncodeOutcome(request ebonyworks.RequestID, outcome ebonyworks.Outcome) ([]byte, error) {
	return json.Marshal(wireOutcome{
		Request:    string(request),
		Outcome:    outcomeName(outcome.Kind),
		Code:       string(outcome.Code),
		Message:    outcome.Message,
		Result:     encodeFields(outcome.Result),
		RetryAfter: formatOptionalDuration(outcome.RetryAfter),
	})
}

func outcomeName(kind ebonyworks.OutcomeKind) string {
	switch kind {
	case ebonyworks.OutcomeRan:
		return "Ran"
	case ebonyworks.OutcomeNotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

func formatOptionalDuration(value time.Duration) string {
	if value <= 0 {
		return ""
	}
	return value.Round(time.Millisecond).String()
}

func encodeFields(fields []ebonyworks.Field) []wireField {
	wire := make([]wireField, 0, len(fields))
	for _, field := range fields {
		wire = append(wire, wireField{Name: field.Name, Value: field.Value})
	}
	return wire
}
