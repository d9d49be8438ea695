package backendjson_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

// benchRows returns rows with the same four fields as the rows of the stand-in
// servers.
func benchRows(count int) []ebonyworks.Row {
	var rows []ebonyworks.Row
	for i := range count {
		rows = append(rows, ebonyworks.Row{Key: fmt.Sprintf("b%05d", i), Fields: []ebonyworks.Field{
			{Name: "Length", Value: "45"}, {Name: "Shade", Value: "7N"}, {Name: "Snapshot", Value: "5"}, {Name: "Stock", Value: "3"},
		}})
	}
	return rows
}

// BenchmarkSearchReply measures the encoding and decoding of search replies by the
// number of rows.
func BenchmarkSearchReply(b *testing.B) {
	var codec backendjson.Codec
	for _, rows := range []int{0, 1, 10, 100} {
		full := searchReply
		full.Rows = benchRows(rows)
		reply := codec.EncodeSearchReply(full, "")
		b.Run("Decode/rows="+strconv.Itoa(rows), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if codec.DecodeSearchReply(reply, search, server).Result != ebonyworks.AttemptServed {
					b.Fatal("not served")
				}
			}
			b.ReportMetric(float64(len(reply.Body)), "body-B")
		})
		b.Run("Encode/rows="+strconv.Itoa(rows), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				codec.EncodeSearchReply(full, "")
			}
		})
	}
}

// BenchmarkEncodeSearch measures the encoding of search requests by the number of
// filters.
func BenchmarkEncodeSearch(b *testing.B) {
	var codec backendjson.Codec
	for _, filters := range []int{0, 2, 8} {
		b.Run("filters="+strconv.Itoa(filters), func(b *testing.B) {
			request := backendjson.SearchRequest{Search: search, Remaining: time.Second}
			request.Search.Filters = nil
			for i := range filters {
				request.Search.Filters = append(request.Search.Filters, ebonyworks.Field{Name: "Field" + strconv.Itoa(i), Value: "7N"})
			}
			b.ReportAllocs()
			for b.Loop() {
				codec.EncodeSearch(request)
			}
			b.ReportMetric(float64(len(codec.EncodeSearch(request))), "body-B")
		})
	}
}
