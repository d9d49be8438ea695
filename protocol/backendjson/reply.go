package backendjson

import (
	"net/http"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Code is the stable code of a refusal in the protocol.
type Code string

const (
	// CodeShed means that the server refused because of load; status 503.
	CodeShed Code = "shed"
	// CodeDraining means that the server refused because it is draining; status 503.
	CodeDraining Code = "draining"
	// CodeExpired means that the deadline passed before the server started the
	// request; status 503.
	CodeExpired Code = "expired"
	// CodeSnapshotGone means that the server doesn't hold the snapshot of the search;
	// status 410.
	CodeSnapshotGone Code = "snapshot_gone"
	// CodeMalformed means that the request doesn't follow the protocol; status 400.
	CodeMalformed Code = "malformed"
)

// refusalKind maps the code and HTTP status of a refusal to its attempt result.
type refusalKind struct {
	code   Code
	status int
	result ebonyworks.AttemptResult
}

var refusalKinds = []refusalKind{
	{CodeShed, http.StatusServiceUnavailable, ebonyworks.AttemptShed},
	{CodeDraining, http.StatusServiceUnavailable, ebonyworks.AttemptDraining},
	{CodeExpired, http.StatusServiceUnavailable, ebonyworks.AttemptExpired},
	{CodeSnapshotGone, http.StatusGone, ebonyworks.AttemptSnapshotGone},
	{CodeMalformed, http.StatusBadRequest, ebonyworks.AttemptRejected},
}

// refusal is a decoded refusal with its attempt result and retry delay.
type refusal struct {
	result     ebonyworks.AttemptResult
	wire       wireRefusal
	retryAfter time.Duration
}

// EncodeSearchReply encodes the reply to a search: the rows if it was served,
// otherwise a refusal with the message. A result that no server sends, such as
// AttemptLost, is encoded with status 500.
func (c Codec) EncodeSearchReply(searchReply ebonyworks.SubSearchReply, message string) Reply {
	snapshot := toWireSnapshot(searchReply.Snapshot)
	if searchReply.Result == ebonyworks.AttemptServed {
		return Reply{Status: http.StatusOK, Body: encode(wireSearchReply{
			Request:  string(searchReply.Request),
			Snapshot: &snapshot,
			Shard:    string(searchReply.Shard),
			Rows:     toWireRows(searchReply.Rows),
			Report:   toWireReport(searchReply.Report),
		})}
	}
	return encodeRefusal(searchReply.Result, wireRefusal{
		Message:                message,
		RetryAfterMilliseconds: roundUpToMilliseconds(searchReply.RetryAfter),
		Request:                string(searchReply.Request),
		Snapshot:               &snapshot,
		Shard:                  string(searchReply.Shard),
		Report:                 toWireReport(searchReply.Report),
	})
}

// EncodeReservationReply encodes the reply to a reservation, in the same way as
// EncodeSearchReply.
func (c Codec) EncodeReservationReply(reservationReply ebonyworks.SubReservationReply, message string) Reply {
	if reservationReply.Result == ebonyworks.AttemptServed {
		return Reply{Status: http.StatusOK, Body: encode(wireReservationReply{
			Request: string(reservationReply.Request),
			Shard:   string(reservationReply.Shard),
			Fields:  toWireFields(reservationReply.Fields),
			Report:  toWireReport(reservationReply.Report),
		})}
	}
	return encodeRefusal(reservationReply.Result, wireRefusal{
		Message:                message,
		RetryAfterMilliseconds: roundUpToMilliseconds(reservationReply.RetryAfter),
		Request:                string(reservationReply.Request),
		Shard:                  string(reservationReply.Shard),
		Report:                 toWireReport(reservationReply.Report),
	})
}

// EncodeReport encodes the reply to a status query.
func (c Codec) EncodeReport(report ebonyworks.ServerReport) Reply {
	return Reply{Status: http.StatusOK, Body: encode(toWireReport(report))}
}

// DecodeSearchReply decodes the reply to a search that was sent to the given
// server. The result is AttemptInvalid, without rows, if the reply is malformed, if
// its ids differ from those sent, or if rows are out of order or outside the
// requested key range; the ids of a well-formed reply are returned even then.
func (c Codec) DecodeSearchReply(reply Reply, sent ebonyworks.SubSearch, server ebonyworks.ServerID) ebonyworks.SubSearchReply {
	if reply.Status != http.StatusOK {
		return c.decodeSearchRefusal(reply, sent, server)
	}
	var wire wireSearchReply
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || wire.Snapshot == nil || wire.Rows == nil {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	}
	searchReply := ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptInvalid,
		Request:  ebonyworks.RequestID(wire.Request),
		Snapshot: fromWireSnapshot(*wire.Snapshot),
		Shard:    ebonyworks.ShardID(wire.Shard),
	}
	if !isReportOf(wire.Report, server) {
		return searchReply
	}
	searchReply.Report = fromWireReport(wire.Report)
	if searchReply.Request != sent.Request || searchReply.Snapshot != sent.Snapshot || searchReply.Shard != sent.Shard {
		return searchReply
	}
	rows, ok := fromWireRows(wire.Rows, sent.Keys)
	if !ok {
		return searchReply
	}
	searchReply.Rows = rows
	searchReply.Result = ebonyworks.AttemptServed
	return searchReply
}

func (c Codec) decodeSearchRefusal(reply Reply, sent ebonyworks.SubSearch, server ebonyworks.ServerID) ebonyworks.SubSearchReply {
	refused, ok := c.decodeRefusal(reply, server)
	if !ok {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	}
	searchReply := ebonyworks.SubSearchReply{
		Result:     refused.result,
		Request:    ebonyworks.RequestID(refused.wire.Request),
		Shard:      ebonyworks.ShardID(refused.wire.Shard),
		Report:     fromWireReport(refused.wire.Report),
		RetryAfter: refused.retryAfter,
	}
	if refused.wire.Snapshot != nil {
		searchReply.Snapshot = fromWireSnapshot(*refused.wire.Snapshot)
	}
	if refused.withoutIDs() {
		return searchReply
	}
	if searchReply.Request != sent.Request || searchReply.Snapshot != sent.Snapshot || searchReply.Shard != sent.Shard {
		searchReply.Result = ebonyworks.AttemptInvalid
	}
	return searchReply
}

// DecodeReservationReply decodes the reply to a reservation, in the same way as
// DecodeSearchReply.
func (c Codec) DecodeReservationReply(reply Reply, sent ebonyworks.SubReservation, server ebonyworks.ServerID) ebonyworks.SubReservationReply {
	if reply.Status != http.StatusOK {
		return c.decodeReservationRefusal(reply, sent, server)
	}
	var wire wireReservationReply
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || wire.Fields == nil || len(wire.Fields) > MaxFields {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptInvalid}
	}
	reservationReply := ebonyworks.SubReservationReply{
		Result:  ebonyworks.AttemptInvalid,
		Request: ebonyworks.RequestID(wire.Request),
		Shard:   ebonyworks.ShardID(wire.Shard),
	}
	if !isReportOf(wire.Report, server) {
		return reservationReply
	}
	reservationReply.Report = fromWireReport(wire.Report)
	if reservationReply.Request != sent.Request || reservationReply.Shard != sent.Shard {
		return reservationReply
	}
	reservationReply.Fields = fromWireFields(wire.Fields)
	reservationReply.Result = ebonyworks.AttemptServed
	return reservationReply
}

func (c Codec) decodeReservationRefusal(reply Reply, sent ebonyworks.SubReservation, server ebonyworks.ServerID) ebonyworks.SubReservationReply {
	refused, ok := c.decodeRefusal(reply, server)
	if !ok || refused.result == ebonyworks.AttemptSnapshotGone {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptInvalid}
	}
	reservationReply := ebonyworks.SubReservationReply{
		Result:     refused.result,
		Request:    ebonyworks.RequestID(refused.wire.Request),
		Shard:      ebonyworks.ShardID(refused.wire.Shard),
		Report:     fromWireReport(refused.wire.Report),
		RetryAfter: refused.retryAfter,
	}
	if refused.withoutIDs() {
		return reservationReply
	}
	if reservationReply.Request != sent.Request || reservationReply.Shard != sent.Shard {
		reservationReply.Result = ebonyworks.AttemptInvalid
	}
	return reservationReply
}

// DecodeReport decodes the reply to a status query.
func (c Codec) DecodeReport(reply Reply, server ebonyworks.ServerID) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	var wire wireReport
	if reply.Status != http.StatusOK {
		return ebonyworks.ServerReport{}, ebonyworks.AttemptInvalid
	}
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || !isReportOf(&wire, server) {
		return ebonyworks.ServerReport{}, ebonyworks.AttemptInvalid
	}
	return fromWireReport(&wire), ebonyworks.AttemptServed
}

func encodeRefusal(result ebonyworks.AttemptResult, wire wireRefusal) Reply {
	for _, kind := range refusalKinds {
		if kind.result == result {
			wire.Code = string(kind.code)
			return Reply{Status: kind.status, Body: encode(wire)}
		}
	}
	return Reply{Status: http.StatusInternalServerError, Body: encode(wire)}
}

func (c Codec) decodeRefusal(reply Reply, server ebonyworks.ServerID) (refusal, bool) {
	var wire wireRefusal
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || !isReportOf(wire.Report, server) {
		return refusal{}, false
	}
	if wire.RetryAfterMilliseconds < 0 || wire.RetryAfterMilliseconds > MaxRetryAfter.Milliseconds() {
		return refusal{}, false
	}
	retryAfter := time.Duration(wire.RetryAfterMilliseconds) * time.Millisecond
	for _, kind := range refusalKinds {
		if kind.status == reply.Status && string(kind.code) == wire.Code {
			return refusal{result: kind.result, wire: wire, retryAfter: retryAfter}, true
		}
	}
	return refusal{}, false
}

// withoutIDs reports whether the server returned no ids of the request, because
// it considers the request malformed and couldn't decode them.
func (r refusal) withoutIDs() bool {
	return r.result == ebonyworks.AttemptRejected && r.wire.Request == "" && r.wire.Shard == ""
}

// isReportOf reports whether the report is valid and comes from the given server.
// A report of another server means that the address was reassigned.
func isReportOf(wire *wireReport, server ebonyworks.ServerID) bool {
	return wire.valid() && wire.Server == string(server)
}

// fromWireRows returns the rows, or false if they aren't unique, ordered by key and
// within the requested key range, or if a row's fields are absent or too many.
func fromWireRows(wire []wireRow, keys ebonyworks.KeyRange) ([]ebonyworks.Row, bool) {
	rows := make([]ebonyworks.Row, 0, len(wire))
	for i, row := range wire {
		if !keys.Contains(row.Key) || row.Fields == nil || len(row.Fields) > MaxFields {
			return nil, false
		}
		if i > 0 && row.Key <= wire[i-1].Key {
			return nil, false
		}
		rows = append(rows, ebonyworks.Row{Key: row.Key, Fields: fromWireFields(row.Fields)})
	}
	return rows, true
}
