package backendjson

import "github.com/ebonyworks/ebonyworks"

type wireField struct {
	Name  string
	Value string
}

type wireRow struct {
	Key    string
	Fields []wireField
}

type wireKeys struct {
	From string
	To   string
}

type wireSnapshot struct {
	Number uint64
	Epoch  uint64
}

type wireReport struct {
	Server      string
	Incarnation uint64
	Leaving     bool
	SlotsBusy   int
	Queued      int
	Snapshots   []wireSnapshot
}

type wireSearch struct {
	Request               string
	Catalogue             string
	Snapshot              wireSnapshot
	Shard                 string
	Filters               []wireField
	Keys                  wireKeys
	RemainingMilliseconds int64
}

type wireReservation struct {
	Request               string
	Catalogue             string
	Shard                 string
	Key                   string
	Fields                []wireField
	RemainingMilliseconds int64
}

type wireSearchReply struct {
	Request  string
	Snapshot *wireSnapshot
	Shard    string
	Rows     []wireRow
	Report   *wireReport
}

type wireReservationReply struct {
	Request string
	Shard   string
	Fields  []wireField
	Report  *wireReport
}

type wireRefusal struct {
	Code                   string
	Message                string
	RetryAfterMilliseconds int64
	Request                string
	Snapshot               *wireSnapshot `json:",omitempty"`
	Shard                  string
	Report                 *wireReport
}

func toWireFields(fields []ebonyworks.Field) []wireField {
	wire := make([]wireField, 0, len(fields))
	for _, field := range fields {
		wire = append(wire, wireField{Name: field.Name, Value: field.Value})
	}
	return wire
}

func fromWireFields(wire []wireField) []ebonyworks.Field {
	if len(wire) == 0 {
		return nil
	}
	fields := make([]ebonyworks.Field, 0, len(wire))
	for _, field := range wire {
		fields = append(fields, ebonyworks.Field{Name: field.Name, Value: field.Value})
	}
	return fields
}

func toWireRows(rows []ebonyworks.Row) []wireRow {
	wire := make([]wireRow, 0, len(rows))
	for _, row := range rows {
		wire = append(wire, wireRow{Key: row.Key, Fields: toWireFields(row.Fields)})
	}
	return wire
}

func toWireSnapshot(snapshot ebonyworks.Snapshot) wireSnapshot {
	return wireSnapshot{Number: uint64(snapshot.Number), Epoch: uint64(snapshot.Epoch)}
}

func fromWireSnapshot(wire wireSnapshot) ebonyworks.Snapshot {
	return ebonyworks.Snapshot{
		Number: ebonyworks.SnapshotNumber(wire.Number),
		Epoch:  ebonyworks.PartitionEpoch(wire.Epoch),
	}
}

func toWireReport(report ebonyworks.ServerReport) *wireReport {
	wire := &wireReport{
		Server:      string(report.Server),
		Incarnation: uint64(report.Incarnation),
		Leaving:     report.Draining,
		SlotsBusy:   report.SlotsBusy,
		Queued:      report.Queued,
		Snapshots:   make([]wireSnapshot, 0, len(report.Snapshots)),
	}
	for _, snapshot := range report.Snapshots {
		wire.Snapshots = append(wire.Snapshots, toWireSnapshot(snapshot))
	}
	return wire
}

func fromWireReport(wire *wireReport) ebonyworks.ServerReport {
	report := ebonyworks.ServerReport{
		Server:      ebonyworks.ServerID(wire.Server),
		Incarnation: ebonyworks.Incarnation(wire.Incarnation),
		Draining:    wire.Leaving,
		SlotsBusy:   wire.SlotsBusy,
		Queued:      wire.Queued,
	}
	for _, snapshot := range wire.Snapshots {
		report.Snapshots = append(report.Snapshots, fromWireSnapshot(snapshot))
	}
	return report
}

// valid reports whether the report names a server and its incarnation, all its
// counts are within bounds, and its snapshots are in increasing order.
func (w *wireReport) valid() bool {
	if w == nil || w.Server == "" || w.Incarnation == 0 || w.SlotsBusy < 0 || w.Queued < 0 {
		return false
	}
	if w.Snapshots == nil || len(w.Snapshots) > MaxSnapshots {
		return false
	}
	previous := uint64(0)
	for _, snapshot := range w.Snapshots {
		if snapshot.Number <= previous {
			return false
		}
		previous = snapshot.Number
	}
	return true
}
