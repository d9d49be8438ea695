package backendjson_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

// Guards against replies that panic the decoder, and against accepted replies
// whose ids differ from those of the request.
func FuzzDecodeSearchReply(f *testing.F) {
	var codec backendjson.Codec
	f.Add(http.StatusOK, codec.EncodeSearchReply(searchReply, "").Body)
	f.Add(http.StatusServiceUnavailable, codec.EncodeSearchReply(ebonyworks.SubSearchReply{Result: ebonyworks.AttemptShed, Request: "r1", Shard: "s01", Report: report}, "").Body)
	f.Add(http.StatusOK, []byte(`{"Rows":[{"Key":"a\`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		reply := backendjson.Reply{Status: status, Body: body}
		got := codec.DecodeSearchReply(reply, search, server)
		if got.Result != ebonyworks.AttemptServed {
			assert.Empty(t, got.Rows)
			return
		}
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, search.Request, got.Request)
		assert.Equal(t, search.Snapshot, got.Snapshot)
		assert.Equal(t, search.Shard, got.Shard)
		again := codec.DecodeSearchReply(codec.EncodeSearchReply(got, ""), search, server)
		assert.Equal(t, got, again)
	})
}

// Guards against replies to reservations and status queries that panic the
// decoder, and against a result that proves that the request didn't run although the
// status is none of a refusal.
func FuzzDecodeReservationReply(f *testing.F) {
	var codec backendjson.Codec
	f.Add(http.StatusOK, codec.EncodeReservationReply(reservationReply, "").Body)
	f.Add(http.StatusOK, codec.EncodeReport(report).Body)
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		reply := backendjson.Reply{Status: status, Body: body}
		got := codec.DecodeReservationReply(reply, reservation, server)
		if got.Result.ProvesNotRun() {
			assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusBadRequest}, status)
		}
		decoded, result := codec.DecodeReport(reply, server)
		if result == ebonyworks.AttemptServed {
			again, _ := codec.DecodeReport(codec.EncodeReport(decoded), server)
			assert.Equal(t, decoded, again)
		}
	})
}

// Guards against requests that panic the decoder of a server, or change when they
// are encoded again.
func FuzzDecodeRequests(f *testing.F) {
	var codec backendjson.Codec
	f.Add(codec.EncodeSearch(backendjson.SearchRequest{Search: search, Remaining: time.Second}))
	f.Add(codec.EncodeReservation(backendjson.ReserveRequest{Reservation: reservation, Remaining: time.Second}))
	f.Fuzz(func(t *testing.T, body []byte) {
		if request, err := codec.DecodeSearch(body); err == nil {
			again, err := codec.DecodeSearch(codec.EncodeSearch(request))
			require.NoError(t, err)
			assert.Equal(t, request, again)
		}
		if request, err := codec.DecodeReservation(body); err == nil {
			again, err := codec.DecodeReservation(codec.EncodeReservation(request))
			require.NoError(t, err)
			assert.Equal(t, request, again)
		}
	})
}
