package backendjson

import (
	"net/http"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Code is a stable code of a refusal.
type Code string

const (
	// CodeShed refuses work because of load; status 503.
	CodeShed Code = "shed"
	// CodeDraining refuses work because the server is leaving; status 503.
	CodeDraining Code = "draining"
	// CodeExpired refuses work whose deadline passed before it started; status 503.
	CodeExpired Code = "expired"
	// CodeSnapshotGone refuses a search of a snapshot that isn't held; status 410.
	CodeSnapshotGone Code = "snapshot_gone"
	// CodeMalformed refuses a request that doesn't follow the protocol; status 400.
	CodeMalformed Code = "malformed"
)

// refusalKind connects the code, status and result of one kind of refusal.
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

// refusal is a decoded refusal with its result.
type refusal struct {
	result     ebonyworks.AttemptResult
	wire       wireRefusal
	retryAfter time.Duration
}

// EncodeSearchReply returns the reply that carries the answer: the rows if it was
// served, otherwise a refusal. Results that no server sends, such as
// AttemptLost, give a reply with status 500.
func (c Codec) EncodeSearchReply(answer ebonyworks.SubSearchReply, message string) Reply {
	snapshot := toWireSnapshot(answer.Snapshot)
	if answer.Result == ebonyworks.AttemptServed {
		return Reply{Status: http.StatusOK, Body: encode(wireAnswer{
			Request:  string(answer.Request),
			Snapshot: &snapshot,
			Shard:    string(answer.Shard),
			Rows:     toWireRows(answer.Rows),
			Report:   toWireReport(answer.Report),
		})}
	}
	return encodeRefusal(answer.Result, wireRefusal{
		Message:                message,
		RetryAfterMilliseconds: milliseconds(answer.RetryAfter),
		Request:                string(answer.Request),
		Snapshot:               &snapshot,
		Shard:                  string(answer.Shard),
		Report:                 toWireReport(answer.Report),
	})
}

// EncodeReservationReply returns the reply that carries the confirmation, like
// EncodeSearchReply.
func (c Codec) EncodeReservationReply(confirmation ebonyworks.SubReservationReply, message string) Reply {
	if confirmation.Result == ebonyworks.AttemptServed {
		return Reply{Status: http.StatusOK, Body: encode(wireConfirmation{
			Request: string(confirmation.Request),
			Shard:   string(confirmation.Shard),
			Fields:  toWireFields(confirmation.Fields),
			Report:  toWireReport(confirmation.Report),
		})}
	}
	return encodeRefusal(confirmation.Result, wireRefusal{
		Message:                message,
		RetryAfterMilliseconds: milliseconds(confirmation.RetryAfter),
		Request:                string(confirmation.Request),
		Shard:                  string(confirmation.Shard),
		Report:                 toWireReport(confirmation.Report),
	})
}

// EncodeReport returns the reply to a status query.
func (c Codec) EncodeReport(report ebonyworks.ServerReport) Reply {
	return Reply{Status: http.StatusOK, Body: encode(toWireReport(report))}
}

// DecodeSearchReply reads the reply to a search that was sent to the named server.
// A reply that is malformed, names anything else than what was sent, or has
// rows outside the requested keys or out of order gives AttemptInvalid without
// rows; its ids are kept as stated.
func (c Codec) DecodeSearchReply(reply Reply, sent ebonyworks.SubSearch, server ebonyworks.ServerID) ebonyworks.SubSearchReply {
	if reply.Status != http.StatusOK {
		return c.refusedAnswer(reply, sent, server)
	}
	var wire wireAnswer
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || wire.Snapshot == nil || wire.Rows == nil {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	}
	answer := ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptInvalid,
		Request:  ebonyworks.RequestID(wire.Request),
		Snapshot: fromWireSnapshot(*wire.Snapshot),
		Shard:    ebonyworks.ShardID(wire.Shard),
	}
	if !reportOf(wire.Report, server) {
		return answer
	}
	answer.Report = fromWireReport(wire.Report)
	if answer.Request != sent.Request || answer.Snapshot != sent.Snapshot || answer.Shard != sent.Shard {
		return answer
	}
	rows, ok := fromWireRows(wire.Rows, sent.Keys)
	if !ok {
		return answer
	}
	answer.Rows = rows
	answer.Result = ebonyworks.AttemptServed
	return answer
}

func (c Codec) refusedAnswer(reply Reply, sent ebonyworks.SubSearch, server ebonyworks.ServerID) ebonyworks.SubSearchReply {
	refused, ok := c.decodeRefusal(reply, server)
	if !ok {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	}
	answer := ebonyworks.SubSearchReply{
		Result:     refused.result,
		Request:    ebonyworks.RequestID(refused.wire.Request),
		Shard:      ebonyworks.ShardID(refused.wire.Shard),
		Report:     fromWireReport(refused.wire.Report),
		RetryAfter: refused.retryAfter,
	}
	if refused.wire.Snapshot != nil {
		answer.Snapshot = fromWireSnapshot(*refused.wire.Snapshot)
	}
	if refused.anonymous() {
		return answer
	}
	if answer.Request != sent.Request || answer.Snapshot != sent.Snapshot || answer.Shard != sent.Shard {
		answer.Result = ebonyworks.AttemptInvalid
	}
	return answer
}

// DecodeReservationReply reads the reply to a reservation, like DecodeSearchReply.
func (c Codec) DecodeReservationReply(reply Reply, sent ebonyworks.SubReservation, server ebonyworks.ServerID) ebonyworks.SubReservationReply {
	if reply.Status != http.StatusOK {
		return c.refusedConfirmation(reply, sent, server)
	}
	var wire wireConfirmation
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || wire.Fields == nil || len(wire.Fields) > MaxFields {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptInvalid}
	}
	confirmation := ebonyworks.SubReservationReply{
		Result:  ebonyworks.AttemptInvalid,
		Request: ebonyworks.RequestID(wire.Request),
		Shard:   ebonyworks.ShardID(wire.Shard),
	}
	if !reportOf(wire.Report, server) {
		return confirmation
	}
	confirmation.Report = fromWireReport(wire.Report)
	if confirmation.Request != sent.Request || confirmation.Shard != sent.Shard {
		return confirmation
	}
	confirmation.Fields = fromWireFields(wire.Fields)
	confirmation.Result = ebonyworks.AttemptServed
	return confirmation
}

func (c Codec) refusedConfirmation(reply Reply, sent ebonyworks.SubReservation, server ebonyworks.ServerID) ebonyworks.SubReservationReply {
	refused, ok := c.decodeRefusal(reply, server)
	if !ok || refused.result == ebonyworks.AttemptSnapshotGone {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptInvalid}
	}
	confirmation := ebonyworks.SubReservationReply{
		Result:     refused.result,
		Request:    ebonyworks.RequestID(refused.wire.Request),
		Shard:      ebonyworks.ShardID(refused.wire.Shard),
		Report:     fromWireReport(refused.wire.Report),
		RetryAfter: refused.retryAfter,
	}
	if refused.anonymous() {
		return confirmation
	}
	if confirmation.Request != sent.Request || confirmation.Shard != sent.Shard {
		confirmation.Result = ebonyworks.AttemptInvalid
	}
	return confirmation
}

// DecodeReport reads the reply to a status query.
func (c Codec) DecodeReport(reply Reply, server ebonyworks.ServerID) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	var wire wireReport
	if reply.Status != http.StatusOK {
		return ebonyworks.ServerReport{}, ebonyworks.AttemptInvalid
	}
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || !reportOf(&wire, server) {
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
	if err := decode(reply.Body, c.ReplyLimit(), &wire); err != nil || !reportOf(wire.Report, server) {
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

// anonymous reports whether the server couldn't read the ids of the request
// that it regards as malformed.
func (r refusal) anonymous() bool {
	return r.result == ebonyworks.AttemptRejected && r.wire.Request == "" && r.wire.Shard == ""
}

// reportOf reports whether the report is valid and comes from the server. A
// reply from another server means that the address was reassigned.
func reportOf(wire *wireReport, server ebonyworks.ServerID) bool {
	return wire.valid() && wire.Server == string(server)
}

// fromWireRows returns the rows if they are ordered by key, unique and within
// the requested keys.
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
