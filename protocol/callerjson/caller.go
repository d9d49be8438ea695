package callerjson

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// EncodeSearch encodes the body of a search. With a zero timeout, the route's
// default deadline applies.
func EncodeSearch(search ebonyworks.Search, timeout time.Duration) ([]byte, error) {
	return json.Marshal(wireSearch{
		Route:   string(search.Route),
		House:   string(search.Customer),
		Filters: encodeFields(search.Filters),
		Keys:    wireKeys{From: search.Keys.From, To: search.Keys.To},
		Timeout: formatOptionalDuration(timeout),
	})
}

// EncodeReservation encodes the body of a reservation. With a zero timeout, the
// route's default deadline applies.
func EncodeReservation(reservation ebonyworks.Reservation, timeout time.Duration) ([]byte, error) {
	return json.Marshal(wireReservation{
		Ticket:  reservation.Ticket,
		Route:   string(reservation.Route),
		House:   string(reservation.Customer),
		Key:     reservation.Key,
		Fields:  encodeFields(reservation.Fields),
		Timeout: formatOptionalDuration(timeout),
	})
}

// DecodeAnswer decodes the answer to a search.
func DecodeAnswer(body []byte) (ebonyworks.Answer, error) {
	var wire wireAnswer
	if err := json.Unmarshal(body, &wire); err != nil {
		return ebonyworks.Answer{}, errors.Wrap(err, "decode answer")
	}
	answer := ebonyworks.Answer{
		Request: ebonyworks.RequestID(wire.Request),
		Snapshot: ebonyworks.Snapshot{
			Number: ebonyworks.SnapshotNumber(wire.Snapshot.Number),
			Epoch:  ebonyworks.PartitionEpoch(wire.Snapshot.Epoch),
		},
		Version: ebonyworks.ConfigurationVersion{Revision: ebonyworks.Revision(wire.Revision)},
		Stale:   wire.Stale,
	}
	if err := decodeDigest(&answer.Version.Digest, wire.Digest); err != nil {
		return ebonyworks.Answer{}, err
	}
	for _, row := range wire.Rows {
		answer.Rows = append(answer.Rows, ebonyworks.Row{Key: row.Key, Fields: decodeFields(row.Fields)})
	}
	for _, shard := range wire.Coverage.Covered {
		answer.Coverage.Covered = append(answer.Coverage.Covered, ebonyworks.ShardID(shard))
	}
	for _, missed := range wire.Coverage.Missed {
		answer.Coverage.Missed = append(answer.Coverage.Missed, ebonyworks.MissedShard{
			Shard:  ebonyworks.ShardID(missed.Shard),
			Reason: ebonyworks.MissReason(missed.Reason),
		})
	}
	return answer, nil
}

func decodeDigest(digest *ebonyworks.Digest, text string) error {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return errors.New("decode answer: the digest is malformed")
	}
	copy(digest[:], decoded)
	return nil
}

// DecodeRefusal decodes the body of a response that refuses a request.
func DecodeRefusal(body []byte) (ebonyworks.Refusal, error) {
	var wire wireRefusal
	if err := json.Unmarshal(body, &wire); err != nil {
		return ebonyworks.Refusal{}, errors.Wrap(err, "decode refusal")
	}
	retryAfter, err := parseOptionalDuration(wire.RetryAfter)
	if err != nil {
		return ebonyworks.Refusal{}, err
	}
	return ebonyworks.Refusal{
		Code:       ebonyworks.RefusalCode(wire.Code),
		Message:    wire.Message,
		RetryAfter: retryAfter,
		Ran:        wire.Ran,
	}, nil
}

// DecodeTicket decodes a ticket and the time until it expires.
func DecodeTicket(body []byte) (string, time.Duration, error) {
	var wire wireTicket
	if err := json.Unmarshal(body, &wire); err != nil {
		return "", 0, errors.Wrap(err, "decode ticket")
	}
	validFor, err := parseOptionalDuration(wire.ValidFor)
	return wire.Ticket, validFor, err
}

// DecodeOutcome decodes the outcome of a reservation.
func DecodeOutcome(body []byte) (ebonyworks.Outcome, error) {
	var wire wireOutcome
	if err := json.Unmarshal(body, &wire); err != nil {
		return ebonyworks.Outcome{}, errors.Wrap(err, "decode outcome")
	}
	retryAfter, err := parseOptionalDuration(wire.RetryAfter)
	if err != nil {
		return ebonyworks.Outcome{}, err
	}
	return ebonyworks.Outcome{
		Kind:       parseOutcomeKind(wire.Outcome),
		Code:       ebonyworks.OutcomeCode(wire.Code),
		Message:    wire.Message,
		Result:     decodeFields(wire.Result),
		RetryAfter: retryAfter,
	}, nil
}

func parseOutcomeKind(name string) ebonyworks.OutcomeKind {
	switch name {
	case "Ran":
		return ebonyworks.OutcomeRan
	case "NotRun":
		return ebonyworks.OutcomeNotRun
	default:
		return ebonyworks.OutcomeUnknown
	}
}

func parseOptionalDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Wrap(err, "decode duration")
	}
	return value, nil
}

func decodeFields(wire []wireField) []ebonyworks.Field {
	var values []ebonyworks.Field
	for _, field := range wire {
		values = append(values, ebonyworks.Field{Name: field.Name, Value: field.Value})
	}
	return values
}
