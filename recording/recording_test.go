package recording_test

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/recording"
)

const secretTicket = "ticket-that-must-not-be-written"

// fake answers everything at once.
type fake struct{}

func (fake) Search(_ context.Context, _ *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	return ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptServed,
		Request:  search.Request,
		Snapshot: search.Snapshot,
		Shard:    "other",
		Rows:     []ebonyworks.Row{{Key: "k", Fields: []ebonyworks.Field{{Name: "Shade", Value: "7N"}}}},
		Report:   ebonyworks.ServerReport{Server: server.ID, Incarnation: 1 << 63, Snapshots: []ebonyworks.Snapshot{search.Snapshot}},
	}
}

func (fake) Reserve(context.Context, *ebonyworks.Service, ebonyworks.Server, ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptLost}
}

func (fake) Status(context.Context, *ebonyworks.Service, ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return ebonyworks.ServerReport{}, ebonyworks.AttemptUnreachable
}

// callers is the callers' side of a host that answers at once.
type callers struct{ ebonyworks.Reserver }

func (callers) Search(context.Context, ebonyworks.Search) ebonyworks.SearchOutcome {
	return ebonyworks.SearchOutcome{Refusal: &ebonyworks.Refusal{Code: ebonyworks.RefusedOverload}}
}

func (callers) Reserve(context.Context, ebonyworks.Reservation) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeUnknown, Code: ebonyworks.CodeLost, Message: secretTicket}
}

// Guards against values that a recording loses, and against tickets and ids in it.
func TestRecorderKeepsAllButTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		recorder := recording.NewRecorder(fake{}, &out, recording.Options{Host: "entry-1"})
		ctx, service, server := context.Background(), &ebonyworks.Service{ID: "s"}, ebonyworks.Server{ID: "s-a"}
		snapshot := ebonyworks.Snapshot{Number: 1 << 62, Epoch: 2}
		filters := []ebonyworks.Field{{Name: "Shade", Value: "7N"}}
		keys := ebonyworks.KeyRange{From: "a", To: "\u00e9\x00"}
		time.Sleep(time.Second)
		recorder.Search(ctx, service, server, ebonyworks.SubSearch{Request: "secret-id", Catalogue: "c", Snapshot: snapshot, Shard: "x", Filters: filters, Keys: keys})
		recorder.Reserve(ctx, service, server, ebonyworks.SubReservation{Request: "secret-id", Catalogue: "c", Shard: "x", Key: "k", Fields: filters})
		recorder.Status(ctx, service, server)
		host := recorder.Callers(callers{})
		host.Search(ctx, ebonyworks.Search{Request: "secret-id", Route: "r", Customer: "h", Deadline: time.Now().Add(time.Second)})
		host.Reserve(ctx, ebonyworks.Reservation{Ticket: secretTicket, Route: "r", Key: "k"})
		host.Reserve(ctx, ebonyworks.Reservation{Ticket: secretTicket, Route: "r", Key: "k"})
		left, err := recorder.Close()
		require.NoError(t, err)
		require.Zero(t, left)
		assert.NotContains(t, out.String(), "secret-id")
		assert.NotContains(t, out.String(), secretTicket)

		read, err := recording.Read(&out)
		require.NoError(t, err)
		assert.True(t, read.Closed)
		attempt := recording.Attempt{At: time.Second, Kind: recording.SearchKind, Service: "s", Server: "s-a", Request: 1, Catalogue: "c", Shard: "x"}
		search, reserve := attempt, attempt
		search.Snapshot, search.Filters, search.Keys, search.Result = snapshot, filters, keys, ebonyworks.AttemptServed
		search.Reply = recording.Reply{
			Request:  1,
			Shard:    "other",
			Snapshot: snapshot,
			Rows:     recording.Rows{Count: 1, Kept: []ebonyworks.Row{{Key: "k", Fields: filters}}},
			Report:   ebonyworks.ServerReport{Server: "s-a", Incarnation: 1 << 63, Snapshots: []ebonyworks.Snapshot{snapshot}},
		}
		reserve.Kind, reserve.Key, reserve.Fields = recording.ReserveKind, "k", filters
		status := recording.Attempt{At: time.Second, Kind: recording.StatusKind, Service: "s", Server: "s-a", Result: ebonyworks.AttemptUnreachable}
		assert.Equal(t, []recording.Attempt{search, reserve, status}, read.Attempts)
		call := recording.Call{At: time.Second, Kind: recording.ReserveKind, Ticket: 2, Route: "r", Key: "k", Code: ebonyworks.CodeLost}
		assert.Equal(t, []recording.Call{
			{At: time.Second, Kind: recording.SearchKind, Request: 1, Route: "r", House: "h", Timeout: time.Second, Refusal: ebonyworks.RefusedOverload},
			call, call,
		}, read.Calls)
	})
}

// stuck blocks each write until it is released.
type stuck struct{ released chan struct{} }

func (s stuck) Write(text []byte) (int, error) {
	<-s.released
	return len(text), nil
}

// Guards against recordings that grow without bound or hold up requests.
func TestRecorderIsBoundedAndNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, service, server := context.Background(), &ebonyworks.Service{ID: "s"}, ebonyworks.Server{ID: "s-a"}
		const requests, limit = 5000, 4096
		var out bytes.Buffer
		small := recording.NewRecorder(fake{}, &out, recording.Options{Host: "h", MaxBytes: limit})
		writer := stuck{released: make(chan struct{})}
		slow := recording.NewRecorder(fake{}, writer, recording.Options{Host: "h"})
		for range requests {
			small.Status(ctx, service, server)
			slow.Status(ctx, service, server)
		}
		left, err := small.Close()
		require.NoError(t, err)
		assert.LessOrEqual(t, out.Len(), limit)
		read, err := recording.Read(&out)
		require.NoError(t, err)
		assert.Equal(t, left, read.Left)
		assert.Equal(t, requests, len(read.Attempts)+read.Left)
		close(writer.released)
		left, err = slow.Close()
		require.NoError(t, err)
		assert.Positive(t, left)
	})
}

// Guards against damaged recordings that are read in part.
func TestReadNamesTheLineOfAMistake(t *testing.T) {
	const start = `{"Start":{"Format":1,"Host":"h","Started":"2026-01-02T03:04:05Z"}}`
	const status = `{"Attempt":{"At":"1s","Latency":"1ms","Kind":"Status","Service":"s","Server":"a","Result":"Served"}}`
	tests := []struct {
		name  string
		lines []string
		want  string
	}{
		{"empty", nil, "line 1"},
		{"no start", []string{status}, "line 1"},
		{"second start", []string{start, start}, "line 2"},
		{"other format", []string{strings.Replace(start, "1", "2", 1)}, "line 1: Start.Format"},
		{"truncated", []string{start, status, status[:40]}, "line 3"},
		{"unknown name", []string{start, strings.Replace(status, `"At"`, `"Ticket":"x","At"`, 1)}, "line 2: Attempt.Ticket"},
		{"name in another case", []string{start, strings.Replace(status, `"At"`, `"at"`, 1)}, "line 2: Attempt"},
		{"repeated name", []string{start, strings.Replace(status, `"At"`, `"At":"1s","At"`, 1)}, "line 2: Attempt.At"},
		{"unknown result", []string{start, strings.Replace(status, "Served", "Done", 1)}, "line 2: Attempt.Result"},
		{"two in one line", []string{start, strings.Replace(status, `{"A`, `{"End":{"Closed":true,"Left":0},"A`, 1)}, "line 2: must have one"},
		{"after the end", []string{start, `{"End":{"Closed":true,"Left":0}}`, status}, "line 3: no line"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := recording.Read(strings.NewReader(strings.Join(test.lines, "\n")))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against derived answers that the recorded state of a server rules out.
func TestPlayerDerivesAnswers(t *testing.T) {
	snapshot := ebonyworks.Snapshot{Number: 1, Epoch: 1}
	report := func(server string, leaving bool, snapshots ...ebonyworks.Snapshot) recording.Reply {
		return recording.Reply{Report: ebonyworks.ServerReport{Server: ebonyworks.ServerID(server), Incarnation: 1, Draining: leaving, Snapshots: snapshots}}
	}
	status := func(server string, result ebonyworks.AttemptResult, reply recording.Reply) recording.Attempt {
		return recording.Attempt{Kind: recording.StatusKind, Service: "s", Server: ebonyworks.ServerID(server), Result: result, Reply: reply}
	}
	served := recording.Attempt{Kind: recording.SearchKind, Service: "s", Server: "donor", Shard: "x", Snapshot: snapshot, Request: 1, Result: ebonyworks.AttemptServed}
	served.Reply = report("donor", false, snapshot)
	served.Reply.Request, served.Reply.Shard, served.Reply.Snapshot = 1, "x", snapshot
	served.Reply.Rows = recording.Rows{Count: 1, Kept: []ebonyworks.Row{{Key: "k"}}}
	read := &recording.Recording{Attempts: []recording.Attempt{
		served,
		status("alive", ebonyworks.AttemptServed, report("alive", false, snapshot)),
		status("gone", ebonyworks.AttemptUnreachable, recording.Reply{}),
		status("leaving", ebonyworks.AttemptServed, report("leaving", true, snapshot)),
		status("newer", ebonyworks.AttemptServed, report("newer", false, ebonyworks.Snapshot{Number: 2, Epoch: 1})),
	}}
	tests := []struct {
		server ebonyworks.ServerID
		shard  ebonyworks.ShardID
		want   ebonyworks.AttemptResult
		source recording.Source
	}{
		{"donor", "x", ebonyworks.AttemptServed, recording.Recorded},
		{"donor", "x", ebonyworks.AttemptServed, recording.Derived},
		{"alive", "x", ebonyworks.AttemptServed, recording.Derived},
		{"gone", "x", ebonyworks.AttemptUnreachable, recording.Derived},
		{"leaving", "x", ebonyworks.AttemptDraining, recording.Derived},
		{"newer", "x", ebonyworks.AttemptSnapshotGone, recording.Derived},
		{"alive", "y", ebonyworks.AttemptSnapshotGone, recording.Unanswered},
		{"unknown", "x", ebonyworks.AttemptSnapshotGone, recording.Unanswered},
	}
	synctest.Test(t, func(t *testing.T) {
		player := recording.NewPlayer(time.Now(), read)
		for i, test := range tests {
			search := ebonyworks.SubSearch{Request: "r" + ebonyworks.RequestID(strconv.Itoa(i)), Snapshot: snapshot, Shard: test.shard}
			answer := player.Search(context.Background(), &ebonyworks.Service{ID: "s"}, ebonyworks.Server{ID: test.server}, search)
			assert.Equal(t, test.want, answer.Result, "case %d", i)
			assert.Equal(t, test.source, player.Played()[i].Source, "case %d", i)
			if test.want == ebonyworks.AttemptServed {
				assert.Equal(t, search.Request, answer.Request, "case %d", i)
				assert.Len(t, answer.Rows, 1, "case %d", i)
			}
		}
	})
}
