package hedging_test

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkHedging measures one attempt: its delay and what is learned from it.
func BenchmarkHedging(b *testing.B) {
	for _, shards := range []int{20, 100, 350} {
		b.Run("shards="+strconv.Itoa(shards), func(b *testing.B) {
			records := make([]ebonyworks.AttemptRecord, shards)
			for i := range records {
				records[i] = ebonyworks.AttemptRecord{
					Service: ebonyworks.ServiceID("service-" + strconv.Itoa(i)),
					Result:  ebonyworks.AttemptServed,
					Latency: 10 * ms,
				}
			}
			before := heapBytes()
			budget := &hedging.Budget{}
			for _, record := range records {
				budget.Observe(record)
				budget.Delay(record.Service)
			}
			perService := float64(heapBytes()-before) / float64(shards)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				record := &records[i%shards]
				budget.Delay(record.Service)
				budget.Observe(*record)
				i++
			}
			b.ReportMetric(perService, "B/service")
		})
	}
}
