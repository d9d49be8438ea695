package backendjson_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

const server = ebonyworks.ServerID("stock-finder-01-a")

var (
	report = ebonyworks.ServerReport{
		Server: server, Incarnation: 7, Draining: true, SlotsBusy: 2, Queued: 3,
		Snapshots: []ebonyworks.Snapshot{{Number: 4, Epoch: 1}, {Number: 5, Epoch: 2}},
	}
	search = ebonyworks.SubSearch{
		Request: "r1", Catalogue: "stock-finder", Snapshot: ebonyworks.Snapshot{Number: 5, Epoch: 2}, Shard: "s01",
		Filters: []ebonyworks.Field{{Name: "Shade", Value: "7N"}}, Keys: ebonyworks.KeyRange{From: "a", To: "k"},
	}
	reservation = ebonyworks.SubReservation{
		Request: "r2", Catalogue: "catálogo-bloques", Shard: "s02", Key: "b-17",
		Fields: []ebonyworks.Field{{Name: "House", Value: "Sarchí"}},
	}
	answer = ebonyworks.SubSearchReply{
		Result: ebonyworks.AttemptServed, Request: "r1", Snapshot: search.Snapshot, Shard: "s01", Report: report,
		Rows: []ebonyworks.Row{{Key: "b", Fields: []ebonyworks.Field{{Name: "Shade", Value: "7N"}}}, {Key: "c"}},
	}
	confirmation = ebonyworks.SubReservationReply{
		Result: ebonyworks.AttemptServed, Request: "r2", Shard: "s02", Report: report,
		Fields: []ebonyworks.Field{{Name: "Outcome", Value: "reserved"}},
	}
)

// Guards against fields that are lost or swapped between the two sides.
func TestRoundTrip(t *testing.T) {
	var codec backendjson.Codec
	sent := backendjson.SearchRequest{Search: search, Remaining: 40 * time.Millisecond}
	gotSearch, err := codec.DecodeSearch(codec.EncodeSearch(sent))
	require.NoError(t, err)
	assert.Equal(t, sent, gotSearch)

	order := backendjson.ReserveRequest{Reservation: reservation, Remaining: 1500 * time.Microsecond}
	gotReservation, err := codec.DecodeReservation(codec.EncodeReservation(order))
	require.NoError(t, err)
	assert.Equal(t, 2*time.Millisecond, gotReservation.Remaining, "rounded up")
	assert.Equal(t, reservation, gotReservation.Reservation)

	assert.Equal(t, answer, codec.DecodeSearchReply(codec.EncodeSearchReply(answer, ""), search, server))
	assert.Equal(t, confirmation, codec.DecodeReservationReply(codec.EncodeReservationReply(confirmation, ""), reservation, server))
	gotReport, result := codec.DecodeReport(codec.EncodeReport(report), server)
	assert.Equal(t, ebonyworks.AttemptServed, result)
	assert.Equal(t, report, gotReport)
}

// Guards against a refusal that is read as another one: each code proves that
// nothing ran, but asks for a different reaction.
func TestRefusals(t *testing.T) {
	var codec backendjson.Codec
	cases := []struct {
		result ebonyworks.AttemptResult
		status int
	}{
		{ebonyworks.AttemptShed, http.StatusServiceUnavailable},
		{ebonyworks.AttemptDraining, http.StatusServiceUnavailable},
		{ebonyworks.AttemptExpired, http.StatusServiceUnavailable},
		{ebonyworks.AttemptSnapshotGone, http.StatusGone},
		{ebonyworks.AttemptRejected, http.StatusBadRequest},
	}
	for _, c := range cases {
		refused := ebonyworks.SubSearchReply{
			Result: c.result, Request: "r1", Snapshot: search.Snapshot, Shard: "s01", Report: report, RetryAfter: 20 * time.Millisecond,
		}
		reply := codec.EncodeSearchReply(refused, "message")
		assert.Equal(t, c.status, reply.Status)
		assert.Equal(t, refused, codec.DecodeSearchReply(reply, search, server))
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusFound} {
			wrong := codec.DecodeSearchReply(backendjson.Reply{Status: status, Body: reply.Body}, search, server)
			assert.Equal(t, ebonyworks.AttemptInvalid, wrong.Result, "status %d", status)
		}
	}
	lost := codec.EncodeSearchReply(ebonyworks.SubSearchReply{Result: ebonyworks.AttemptLost}, "")
	assert.Equal(t, http.StatusInternalServerError, lost.Status)
	gone := codec.EncodeSearchReply(ebonyworks.SubSearchReply{Result: ebonyworks.AttemptSnapshotGone, Request: "r2", Shard: "s02", Report: report}, "")
	assert.Equal(t, ebonyworks.AttemptInvalid, codec.DecodeReservationReply(gone, reservation, server).Result, "reservations name no snapshot")
	anonymous := codec.EncodeReservationReply(ebonyworks.SubReservationReply{Result: ebonyworks.AttemptRejected, Report: report}, "")
	assert.Equal(t, ebonyworks.AttemptRejected, codec.DecodeReservationReply(anonymous, reservation, server).Result)
	draining := codec.EncodeReservationReply(ebonyworks.SubReservationReply{Result: ebonyworks.AttemptDraining, Report: report}, "")
	assert.Equal(t, ebonyworks.AttemptInvalid, codec.DecodeReservationReply(draining, reservation, server).Result, "names no request")
}

// Guards against a damaged or foreign reply whose rows enter an answer.
func TestInvalidAnswers(t *testing.T) {
	codec := backendjson.Codec{MaxReplyBytes: 4096}
	body := string(codec.EncodeSearchReply(answer, "").Body)
	replace := func(old, changed string) string {
		require.Contains(t, body, old)
		return strings.Replace(body, old, changed, 1)
	}
	cases := map[string]string{
		"truncated":           body[:len(body)-1],
		"empty":               "",
		"null":                "null",
		"no fields":           "{}",
		"array":               "[" + body + "]",
		"trailing data":       body + "{}",
		"unknown field":       replace(`{"Request"`, `{"Extra":1,"Request"`),
		"lower case":          replace(`"Rows"`, `"rows"`),
		"repeated, escaped":   replace(`"Rows":[`, `"\u0052ows":[],"Rows":[`),
		"repeated":            replace(`"Rows":[`, `"Rows":[],"Rows":[`),
		"invalid UTF-8":       replace("7N", "7\xff"),
		"null rows":           strings.Split(body, `"Rows":`)[0] + `"Rows":null,"Report":` + strings.Split(body, `"Report":`)[1],
		"other request":       replace(`"r1"`, `"r9"`),
		"other snapshot":      replace(`"Number":5`, `"Number":6`),
		"other epoch":         replace(`"Epoch":2`, `"Epoch":1`),
		"other shard":         replace(`"s01"`, `"s02"`),
		"other server":        replace(string(server), "stock-finder-01-b"),
		"no incarnation":      replace(`"Incarnation":7`, `"Incarnation":0`),
		"row outside keys":    replace(`"Key":"c"`, `"Key":"k"`),
		"rows out of order":   replace(`"Key":"c"`, `"Key":"a"`),
		"row twice":           replace(`"Key":"c"`, `"Key":"b"`),
		"null leaving":        replace(`"Leaving":true`, `"Leaving":null`),
		"negative queue":      replace(`"Queued":3`, `"Queued":-3`),
		"unordered snapshots": replace(`{"Number":4`, `{"Number":5`),
		"too large":           body + strings.Repeat(" ", 4096),
		"too deep":            strings.Repeat("[", 100000),
	}
	for name, damaged := range cases {
		got := codec.DecodeSearchReply(backendjson.Reply{Status: http.StatusOK, Body: []byte(damaged)}, search, server)
		assert.Equal(t, ebonyworks.AttemptInvalid, got.Result, name)
		assert.Empty(t, got.Rows, name)
	}
}

// Guards against a server that starts work on a request it didn't understand.
func TestMalformedRequests(t *testing.T) {
	codec := backendjson.Codec{MaxRequestBytes: 1024}
	body := string(codec.EncodeSearch(backendjson.SearchRequest{Search: search, Remaining: time.Second}))
	order := string(codec.EncodeReservation(backendjson.ReserveRequest{Reservation: reservation, Remaining: time.Second}))
	for _, old := range []string{`"r1"`, `"stock-finder"`, `"s01"`, `1000`, `"Number":5`} {
		empty := `""`
		if !strings.HasPrefix(old, `"`) {
			empty = "0"
		}
		if old == `"Number":5` {
			empty = `"Number":0`
		}
		_, err := codec.DecodeSearch([]byte(strings.Replace(body, old, empty, 1)))
		var malformed *backendjson.MalformedError
		assert.ErrorAs(t, err, &malformed, old)
	}
	for _, damaged := range []string{"", order[1:], order + "1", strings.Replace(order, `"b-17"`, `""`, 1), strings.Replace(order, "1000", "-1", 1), order + strings.Repeat(" ", 1024)} {
		_, err := codec.DecodeReservation([]byte(damaged))
		assert.Error(t, err, damaged)
	}
}

// BenchmarkDecodeAnswer decodes a reply of 50 rows, the size of a shard of the
// stand-in's stock-finder.
func BenchmarkDecodeAnswer(b *testing.B) {
	var codec backendjson.Codec
	big := answer
	big.Rows = nil
	for i := range 50 {
		key := "b" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		big.Rows = append(big.Rows, ebonyworks.Row{Key: key, Fields: []ebonyworks.Field{
			{Name: "Length", Value: "45"}, {Name: "Shade", Value: "7N"}, {Name: "Snapshot", Value: "5"}, {Name: "Stock", Value: "3"},
		}})
	}
	reply := codec.EncodeSearchReply(big, "")
	b.ReportAllocs()
	for b.Loop() {
		if codec.DecodeSearchReply(reply, search, server).Result != ebonyworks.AttemptServed {
			b.Fatal("not served")
		}
	}
}
