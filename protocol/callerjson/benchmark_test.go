package callerjson_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// BenchmarkEncodeAnswer measures the encoding of an answer that covers 350 shards,
// by the number of rows.
func BenchmarkEncodeAnswer(b *testing.B) {
	for _, rows := range []int{0, 350, 3500} {
		b.Run("rows="+strconv.Itoa(rows), func(b *testing.B) {
			answer := ebonyworks.Answer{Request: "r1", Snapshot: ebonyworks.Snapshot{Number: 5, Epoch: 1}}
			for i := range 350 {
				answer.Coverage.Covered = append(answer.Coverage.Covered, ebonyworks.ShardID(fmt.Sprintf("stock-finder-%03d", i)))
			}
			for i := range rows {
				answer.Rows = append(answer.Rows, ebonyworks.Row{Key: fmt.Sprintf("b%05d", i), Fields: []ebonyworks.Field{
					{Name: "Length", Value: "45"}, {Name: "Shade", Value: "7N"}, {Name: "Snapshot", Value: "5"}, {Name: "Stock", Value: "3"},
				}})
			}
			var body []byte
			b.ReportAllocs()
			for b.Loop() {
				var err error
				if body, err = callerjson.EncodeAnswer(answer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-B")
		})
	}
}
