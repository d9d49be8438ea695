package peerproto_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/peerproto"
)

// BenchmarkEncodeLedger measures the time and the encoded size of a closed ledger by
// the number of records.
func BenchmarkEncodeLedger(b *testing.B) {
	for _, records := range []int{100, 1000, 10_000} {
		b.Run("records="+strconv.Itoa(records), func(b *testing.B) {
			now := time.Now()
			closed := ebonyworks.ClosedLedger{Host: "entry-sapporo-001", Incarnation: 1 << 60, CompleteAfter: now}
			for i := range records {
				id := fmt.Sprintf("%032d", i)
				closed.Records = append(closed.Records, ebonyworks.LedgerRecord{
					Ticket: ebonyworks.TicketID(id), Fingerprint: ebonyworks.Fingerprint(i) << 40, Expiry: now.Add(time.Minute),
					Outcome: ebonyworks.Outcome{Kind: ebonyworks.OutcomeRan, Code: ebonyworks.CodeDone, Result: []ebonyworks.Field{{Name: "Bundle", Value: id}}},
				})
			}
			var body []byte
			b.ReportAllocs()
			for b.Loop() {
				var err error
				if body, err = proto.Marshal(peerproto.EncodeLedger(closed, now)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body))/float64(records), "wire-B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*records), "ns/record")
		})
	}
}
