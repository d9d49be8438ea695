package quarantine_test

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCheck measures Check, which is called for every attempt, and the memory
// per fingerprint that is known to be safe.
func BenchmarkCheck(b *testing.B) {
	for _, known := range []int{1000, 10_000, 60_000} {
		b.Run("known="+strconv.Itoa(known), func(b *testing.B) {
			before := heapBytes()
			controller := &quarantine.Controller{}
			for i := range known {
				controller.RecordSuccess(ebonyworks.Fingerprint(i) * 0x9E3779B97F4A7C15)
			}
			perFingerprint := float64(heapBytes()-before) / float64(known)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				controller.Check(ebonyworks.Fingerprint(i%known) * 0x9E3779B97F4A7C15)
				i++
			}
			b.ReportMetric(perFingerprint, "B/fingerprint")
		})
	}
}
