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
	searchReply = ebonyworks.SubSearchReply{
		Result: ebonyworks.AttemptServed, Request: "r1", Snapshot: search.Snapshot, Shard: "s01", Report: report,
		Rows: []ebonyworks.Row{{Key: "b", Fields: []ebonyworks.Field{{Name: "Shade", Value: "7N"}}}, {Key: "c"}},
	}
	reservationReply = ebonyworks.SubReservationReply{
		Result: ebonyworks.AttemptServed, Request: "r2", Shard: "s02", Report: report,
		Fields: []ebonyworks.Field{{Name: "Outcome", Value: "reserved"}},
	}
)

// Guards against fields that are lost or swapped by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	var codec backendjson.Codec
	sent := backendjson.SearchRequest{Search: search, Remaining: 40 * time.Millisecond}
	gotSearch, err := codec.DecodeSearch(codec.EncodeSearch(sent))
	require.NoError(t, err)
	assert.Equal(t, sent, gotSearch)

	reserveRequest := backendjson.ReserveRequest{Reservation: reservation, Remaining: 1500 * time.Microsecond}
	gotReservation, err := codec.DecodeReservation(codec.EncodeReservation(reserveRequest))
	require.NoError(t, err)
	assert.Equal(t, 2*time.Millisecond, gotReservation.Remaining, "rounded up")
	assert.Equal(t, reservation, gotReservation.Reservation)

	assert.Equal(t, searchReply, codec.DecodeSearchReply(codec.EncodeSearchReply(searchReply, ""), search, server))
	assert.Equal(t, reservationReply, codec.DecodeReservationReply(codec.EncodeReservationReply(reservationReply, ""), reservation, server))
	gotReport, result := codec.DecodeReport(codec.EncodeReport(report), server)
	assert.Equal(t, ebonyworks.AttemptServed, result)
	assert.Equal(t, report, gotReport)
}

// Guards against a refusal that is decoded as another one: each code proves that
// the request didn't run, but is handled differently.
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
	withoutIDs := codec.EncodeReservationReply(ebonyworks.SubReservationReply{Result: ebonyworks.AttemptRejected, Report: report}, "")
	assert.Equal(t, ebonyworks.AttemptRejected, codec.DecodeReservationReply(withoutIDs, reservation, server).Result)
	draining := codec.EncodeReservationReply(ebonyworks.SubReservationReply{Result: ebonyworks.AttemptDraining, Report: report}, "")
	assert.Equal(t, ebonyworks.AttemptInvalid, codec.DecodeReservationReply(draining, reservation, server).Result, "names no request")
}

// Guards against rows that are taken from a corrupt reply, or from the reply to
// another request.
func TestInvalidSearchReplies(t *testing.T) {
	codec := backendjson.Codec{MaxReplyBytes: 4096}
	body := string(codec.EncodeSearchReply(searchReply, "").Body)
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
	for name, corrupt := range cases {
		got := codec.DecodeSearchReply(backendjson.Reply{Status: http.StatusOK, Body: []byte(corrupt)}, search, server)
		assert.Equal(t, ebonyworks.AttemptInvalid, got.Result, name)
		assert.Empty(t, got.Rows, name)
	}
}

// Guards against malformed requests that a server accepts and runs.
func TestMalformedRequests(t *testing.T) {
	codec := backendjson.Codec{MaxRequestBytes: 1024}
	body := string(codec.EncodeSearch(backendjson.SearchRequest{Search: search, Remaining: time.Second}))
	reserveBody := string(codec.EncodeReservation(backendjson.ReserveRequest{Reservation: reservation, Remaining: time.Second}))
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
	for _, corrupt := range []string{"", reserveBody[1:], reserveBody + "1", strings.Replace(reserveBody, `"b-17"`, `""`, 1), strings.Replace(reserveBody, "1000", "-1", 1), reserveBody + strings.Repeat(" ", 1024)} {
		_, err := codec.DecodeReservation([]byte(corrupt))
		assert.Error(t, err, corrupt)
	}
}

// BenchmarkDecodeSearchReply measures the decoding of a reply with 50 rows, the
// number in one shard of the stand-in catalogue stock-finder.
func BenchmarkDecodeSearchReply(b *testing.B) {
	var codec backendjson.Codec
	full := searchReply
	full.Rows = nil
	for i := range 50 {
		key := "b" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		full.Rows = append(full.Rows, ebonyworks.Row{Key: key, Fields: []ebonyworks.Field{
			{Name: "Length", Value: "45"}, {Name: "Shade", Value: "7N"}, {Name: "Snapshot", Value: "5"}, {Name: "Stock", Value: "3"},
		}})
	}
	reply := codec.EncodeSearchReply(full, "")
	b.ReportAllocs()
	for b.Loop() {
		if codec.DecodeSearchReply(reply, search, server).Result != ebonyworks.AttemptServed {
			b.Fatal("not served")
		}
	}
}
