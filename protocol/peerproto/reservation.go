package peerproto

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// maxRelativeTime is the limit of relative times from the network, so that adding
// them to the current time can't overflow.
const maxRelativeTime = 10 * 365 * 24 * time.Hour

// EncodeReservation encodes a reservation that is sent to the given host. The
// deadline is sent as the remaining time, because the clocks of hosts differ.
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

// DecodeReservation decodes a reservation and the host that it is sent to.
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
		Deadline: now.Add(boundedDuration(wire.GetRemainingMicroseconds(), time.Microsecond)),
	}, nil
}

// EncodeOutcome encodes the outcome of a reservation.
func EncodeOutcome(outcome ebonyworks.Outcome) *peerv1.ReservationOutcome {
	return &peerv1.ReservationOutcome{
		Kind:                   peerv1.OutcomeKind(outcome.Kind),
		Code:                   string(outcome.Code),
		Message:                outcome.Message,
		Result:                 encodeFields(outcome.Result),
		RetryAfterMilliseconds: toMilliseconds(outcome.RetryAfter),
		Refusal:                encodeRefusal(outcome.Refusal),
	}
}

// DecodeOutcome decodes the outcome of a reservation. A kind without a known value
// becomes OutcomeUnknown, because that makes no claim.
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
		RetryAfter: fromMilliseconds(wire.GetRetryAfterMilliseconds()),
		Refusal:    decodeRefusal(wire.GetRefusal()),
	}, nil
}

// EncodeLedger encodes a closed ledger. The expiries of its tickets are sent relative
// to now.
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

// DecodeLedger decodes a closed ledger, or returns an error if the host name is
// invalid or a record has no outcome.
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
			Expiry:      now.Add(boundedDuration(record.GetExpiresInMilliseconds(), time.Millisecond)),
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
		RetryAfterMilliseconds: toMilliseconds(refusal.RetryAfter),
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
		RetryAfter: fromMilliseconds(wire.GetRetryAfterMilliseconds()),
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

func boundedDuration(value int64, unit time.Duration) time.Duration {
	limit := int64(maxRelativeTime / unit)
	return time.Duration(min(max(value, -limit), limit)) * unit
}
