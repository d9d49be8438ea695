package peerproto

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// maxRelative bounds relative times from the network, so that adding them to
// the present can't overflow.
const maxRelative = 10 * 365 * 24 * time.Hour

// EncodeReservation returns the wire form of a reservation for the host. The
// deadline becomes the time that remains.
func EncodeReservation(to ebonyworks.Host, reservation ebonyworks.Reservation, now time.Time) *peerv1.ReserveRequest {
	return &peerv1.ReserveRequest{
		To:                    EncodeHost(to),
		Request:               string(reservation.Request),
		Ticket:                reservation.Ticket,
		Route:                 string(reservation.Route),
		House:                 string(reservation.Customer),
		Key:                   reservation.Key,
		Fields:                encodeFields(reservation.Fields),
		RemainingMicroseconds: reservation.Deadline.Sub(now).Microseconds(),
	}
}

// DecodeReservation returns the reservation and the host that it is for.
func DecodeReservation(wire *peerv1.ReserveRequest, now time.Time) (ebonyworks.Host, ebonyworks.Reservation, error) {
	to, err := DecodeHost(wire.GetTo())
	if err != nil {
		return ebonyworks.Host{}, ebonyworks.Reservation{}, errors.Wrap(err, "addressee")
	}
	return to, ebonyworks.Reservation{
		Request:  ebonyworks.RequestID(wire.GetRequest()),
		Ticket:   wire.GetTicket(),
		Route:    ebonyworks.RouteID(wire.GetRoute()),
		Customer: ebonyworks.CustomerID(wire.GetHouse()),
		Key:      wire.GetKey(),
		Fields:   decodeFields(wire.GetFields()),
		Deadline: now.Add(relative(wire.GetRemainingMicroseconds(), time.Microsecond)),
	}, nil
}

// EncodeOutcome returns the wire form of an outcome.
func EncodeOutcome(outcome ebonyworks.Outcome) *peerv1.ReservationOutcome {
	return &peerv1.ReservationOutcome{
		Kind:                   peerv1.OutcomeKind(outcome.Kind),
		Code:                   string(outcome.Code),
		Message:                outcome.Message,
		Result:                 encodeFields(outcome.Result),
		RetryAfterMilliseconds: milliseconds(outcome.RetryAfter),
		Refusal:                encodeRefusal(outcome.Refusal),
	}
}

// DecodeOutcome returns the outcome. An unknown kind becomes OutcomeUnknown,
// the kind that claims least.
func DecodeOutcome(wire *peerv1.ReservationOutcome) (ebonyworks.Outcome, error) {
	if wire == nil {
		return ebonyworks.Outcome{}, errors.Wrap(ErrMissingMessage, "outcome")
	}
	kind := ebonyworks.OutcomeKind(wire.GetKind())
	if kind != ebonyworks.OutcomeRan && kind != ebonyworks.OutcomeNotRun {
		kind = ebonyworks.OutcomeUnknown
	}
	return ebonyworks.Outcome{
		Kind:       kind,
		Code:       ebonyworks.OutcomeCode(wire.GetCode()),
		Message:    wire.GetMessage(),
		Result:     decodeFields(wire.GetResult()),
		RetryAfter: duration(wire.GetRetryAfterMilliseconds()),
		Refusal:    decodeRefusal(wire.GetRefusal()),
	}, nil
}

// EncodeLedger returns the wire form of a closed ledger.
func EncodeLedger(ledger ebonyworks.ClosedLedger, now time.Time) *peerv1.HandOverRequest {
	wire := &peerv1.HandOverRequest{Host: string(ledger.Host), Incarnation: uint64(ledger.Incarnation)}
	if !ledger.CompleteAfter.IsZero() {
		wire.CompleteAfterUnixNanoseconds = proto.Uint64(uint64(ledger.CompleteAfter.UnixNano()))
	}
	for _, record := range ledger.Records {
		wire.Records = append(wire.Records, &peerv1.LedgerRecord{
			Ticket:                string(record.Ticket),
			Fingerprint:           uint64(record.Fingerprint),
			Outcome:               EncodeOutcome(record.Outcome),
			ExpiresInMilliseconds: record.Expiry.Sub(now).Milliseconds(),
		})
	}
	return wire
}

// DecodeLedger returns the closed ledger, or an error if a record is malformed.
func DecodeLedger(wire *peerv1.HandOverRequest, now time.Time) (ebonyworks.ClosedLedger, error) {
	if !validName(wire.GetHost()) {
		return ebonyworks.ClosedLedger{}, errors.Wrap(ErrInvalidName, "host")
	}
	ledger := ebonyworks.ClosedLedger{
		Host:        ebonyworks.HostID(wire.GetHost()),
		Incarnation: ebonyworks.Incarnation(wire.GetIncarnation()),
	}
	if wire.CompleteAfterUnixNanoseconds != nil {
		ledger.CompleteAfter = time.Unix(0, int64(wire.GetCompleteAfterUnixNanoseconds()))
	}
	for _, record := range wire.GetRecords() {
		outcome, err := DecodeOutcome(record.GetOutcome())
		if err != nil {
			return ebonyworks.ClosedLedger{}, errors.Wrap(err, "record")
		}
		ledger.Records = append(ledger.Records, ebonyworks.LedgerRecord{
			Ticket:      ebonyworks.TicketID(record.GetTicket()),
			Fingerprint: ebonyworks.Fingerprint(record.GetFingerprint()),
			Outcome:     outcome,
			Expiry:      now.Add(relative(record.GetExpiresInMilliseconds(), time.Millisecond)),
		})
	}
	return ledger, nil
}

func encodeRefusal(refusal *ebonyworks.Refusal) *peerv1.Refusal {
	if refusal == nil {
		return nil
	}
	return &peerv1.Refusal{
		Code:                   string(refusal.Code),
		Message:                refusal.Message,
		RetryAfterMilliseconds: milliseconds(refusal.RetryAfter),
		Ran:                    refusal.Ran,
	}
}

func decodeRefusal(wire *peerv1.Refusal) *ebonyworks.Refusal {
	if wire == nil {
		return nil
	}
	return &ebonyworks.Refusal{
		Code:       ebonyworks.RefusalCode(wire.GetCode()),
		Message:    wire.GetMessage(),
		RetryAfter: duration(wire.GetRetryAfterMilliseconds()),
		Ran:        wire.GetRan(),
	}
}

func encodeFields(fields []ebonyworks.Field) []*peerv1.Field {
	var wire []*peerv1.Field
	for _, field := range fields {
		wire = append(wire, &peerv1.Field{Name: field.Name, Value: field.Value})
	}
	return wire
}

func decodeFields(wire []*peerv1.Field) []ebonyworks.Field {
	var fields []ebonyworks.Field
	for _, field := range wire {
		fields = append(fields, ebonyworks.Field{Name: field.GetName(), Value: field.GetValue()})
	}
	return fields
}

func relative(value int64, unit time.Duration) time.Duration {
	limit := int64(maxRelative / unit)
	return time.Duration(min(max(value, -limit), limit)) * unit
}
