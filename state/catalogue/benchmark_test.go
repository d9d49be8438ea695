package catalogue_test

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSnapshotIndex measures the memory per server, the time to handle a report
// without changes, and the time to list the snapshots, which each search does.
func BenchmarkSnapshotIndex(b *testing.B) {
	held := []ebonyworks.Snapshot{{Number: 3, Epoch: 1}, {Number: 4, Epoch: 1}, {Number: 5, Epoch: 1}}
	for _, servers := range []int{100, 1000, 2400} {
		ids := make([]ebonyworks.ServerID, servers)
		for i := range ids {
			ids[i] = ebonyworks.ServerID("server-" + strconv.Itoa(i))
		}
		before := heapBytes()
		index := &catalogue.SnapshotIndex{}
		for _, id := range ids {
			index.Observe(ebonyworks.ServerReport{Server: id, Incarnation: 1, Snapshots: held})
		}
		perServer := float64(heapBytes()-before) / float64(servers)
		b.Run("Observe/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				index.Observe(ebonyworks.ServerReport{Server: ids[i%servers], Incarnation: 1, Snapshots: held})
				i++
			}
			b.ReportMetric(perServer, "B/server")
		})
		b.Run("Snapshots/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				index.Snapshots(ids)
			}
		})
	}
}
