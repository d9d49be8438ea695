package recording

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

func toAttempt(a Attempt) attemptWire {
	return attemptWire{
		At:        jsonc.Duration(a.At),
		Latency:   jsonc.Duration(a.Latency),
		Kind:      kindWire(a.Kind),
		Service:   string(a.Service),
		Server:    string(a.Server),
		Request:   int(a.Request),
		Catalogue: string(a.Catalogue),
		Shard:     string(a.Shard),
		Snapshot:  toSnapshot(a.Snapshot),
		Filters:   toFields(a.Filters),
		Keys:      keysWire(a.Keys),
		Key:       a.Key,
		Fields:    toFields(a.Fields),
		Result:    resultWire(a.Result),
		Reply:     toReply(a.Reply),
	}
}

func fromAttempt(w attemptWire) Attempt {
	return Attempt{
		At:        time.Duration(w.At),
		Latency:   time.Duration(w.Latency),
		Kind:      Kind(w.Kind),
		Service:   ebonyworks.ServiceID(w.Service),
		Server:    ebonyworks.ServerID(w.Server),
		Request:   Alias(w.Request),
		Catalogue: ebonyworks.CatalogueID(w.Catalogue),
		Shard:     ebonyworks.ShardID(w.Shard),
		Snapshot:  fromSnapshot(w.Snapshot),
		Filters:   fromFields(w.Filters),
		Keys:      ebonyworks.KeyRange(w.Keys),
		Key:       w.Key,
		Fields:    fromFields(w.Fields),
		Result:    ebonyworks.AttemptResult(w.Result),
		Reply:     fromReply(w.Reply),
	}
}

func toReply(r Reply) replyWire {
	wire := replyWire{
		Request:    int(r.Request),
		Shard:      string(r.Shard),
		Snapshot:   toSnapshot(r.Snapshot),
		RowCount:   r.Rows.Count,
		RowDigest:  r.Rows.Digest,
		Fields:     toFields(r.Fields),
		Report:     toReport(r.Report),
		RetryAfter: jsonc.Duration(r.RetryAfter),
	}
	for _, row := range r.Rows.Kept {
		wire.Rows = append(wire.Rows, rowWire{Key: row.Key, Fields: toFields(row.Fields)})
	}
	return wire
}

func fromReply(w replyWire) Reply {
	reply := Reply{
		Request:    Alias(w.Request),
		Shard:      ebonyworks.ShardID(w.Shard),
		Snapshot:   fromSnapshot(w.Snapshot),
		Rows:       Rows{Count: w.RowCount, Digest: w.RowDigest},
		Fields:     fromFields(w.Fields),
		Report:     fromReport(w.Report),
		RetryAfter: time.Duration(w.RetryAfter),
	}
	for _, row := range w.Rows {
		reply.Rows.Kept = append(reply.Rows.Kept, ebonyworks.Row{Key: row.Key, Fields: fromFields(row.Fields)})
	}
	return reply
}

func toReport(r ebonyworks.ServerReport) reportWire {
	wire := reportWire{
		Server:      string(r.Server),
		Incarnation: uint64(r.Incarnation),
		Leaving:     r.Draining,
		SlotsBusy:   r.SlotsBusy,
		Queued:      r.Queued,
	}
	for _, snapshot := range r.Snapshots {
		wire.Snapshots = append(wire.Snapshots, toSnapshot(snapshot))
	}
	return wire
}

func fromReport(w reportWire) ebonyworks.ServerReport {
	report := ebonyworks.ServerReport{
		Server:      ebonyworks.ServerID(w.Server),
		Incarnation: ebonyworks.Incarnation(w.Incarnation),
		Draining:    w.Leaving,
		SlotsBusy:   w.SlotsBusy,
		Queued:      w.Queued,
	}
	for _, snapshot := range w.Snapshots {
		report.Snapshots = append(report.Snapshots, fromSnapshot(snapshot))
	}
	return report
}

func toSnapshot(s ebonyworks.Snapshot) snapshotWire {
	return snapshotWire{Number: uint64(s.Number), Epoch: uint64(s.Epoch)}
}

func fromSnapshot(w snapshotWire) ebonyworks.Snapshot {
	return ebonyworks.Snapshot{Number: ebonyworks.SnapshotNumber(w.Number), Epoch: ebonyworks.PartitionEpoch(w.Epoch)}
}

func toFields(fields []ebonyworks.Field) []fieldWire {
	var wire []fieldWire
	for _, field := range fields {
		wire = append(wire, fieldWire(field))
	}
	return wire
}

func fromFields(wire []fieldWire) []ebonyworks.Field {
	var fields []ebonyworks.Field
	for _, field := range wire {
		fields = append(fields, ebonyworks.Field(field))
	}
	return fields
}

func toCall(c Call) callWire {
	wire := callWire{
		At:       jsonc.Duration(c.At),
		Latency:  jsonc.Duration(c.Latency),
		Kind:     kindWire(c.Kind),
		Request:  int(c.Request),
		Ticket:   int(c.Ticket),
		Route:    string(c.Route),
		House:    string(c.House),
		Timeout:  jsonc.Duration(c.Timeout),
		Filters:  toFields(c.Filters),
		Keys:     keysWire(c.Keys),
		Key:      c.Key,
		Fields:   toFields(c.Fields),
		Refusal:  string(c.Refusal),
		Snapshot: toSnapshot(c.Snapshot),
		RowCount: c.Rows,
		Outcome:  outcomeWire(c.Outcome),
		Code:     string(c.Code),
	}
	for _, shard := range c.Coverage.Covered {
		wire.Covered = append(wire.Covered, string(shard))
	}
	for _, miss := range c.Coverage.Missed {
		wire.Missed = append(wire.Missed, missWire{Shard: string(miss.Shard), Reason: string(miss.Reason)})
	}
	return wire
}

func fromCall(w callWire) Call {
	call := Call{
		At:       time.Duration(w.At),
		Latency:  time.Duration(w.Latency),
		Kind:     Kind(w.Kind),
		Request:  Alias(w.Request),
		Ticket:   Alias(w.Ticket),
		Route:    ebonyworks.RouteID(w.Route),
		House:    ebonyworks.CustomerID(w.House),
		Timeout:  time.Duration(w.Timeout),
		Filters:  fromFields(w.Filters),
		Keys:     ebonyworks.KeyRange(w.Keys),
		Key:      w.Key,
		Fields:   fromFields(w.Fields),
		Refusal:  ebonyworks.RefusalCode(w.Refusal),
		Snapshot: fromSnapshot(w.Snapshot),
		Rows:     w.RowCount,
		Outcome:  ebonyworks.OutcomeKind(w.Outcome),
		Code:     ebonyworks.OutcomeCode(w.Code),
	}
	for _, shard := range w.Covered {
		call.Coverage.Covered = append(call.Coverage.Covered, ebonyworks.ShardID(shard))
	}
	for _, miss := range w.Missed {
		call.Coverage.Missed = append(call.Coverage.Missed, ebonyworks.MissedShard{
			Shard:  ebonyworks.ShardID(miss.Shard),
			Reason: ebonyworks.MissReason(miss.Reason),
		})
	}
	return call
}
