package quota_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkQuota(b *testing.B) {
	for _, servers := range []int{100, 1000, 2400} {
		b.Run("servers="+strconv.Itoa(servers), func(b *testing.B) {
			service := slots(2)
			ids := make([]ebonyworks.ServerID, servers)
			for i := range ids {
				ids[i] = ebonyworks.ServerID("server-" + strconv.Itoa(i))
			}
			before := heapBytes()
			table := quota.New(8)
			use := func(id ebonyworks.ServerID) {
				permit, _ := table.Acquire(b.Context(), service, id)
				permit.Release(served(time.Millisecond))
			}
			for _, id := range ids {
				use(id)
			}
			perServer := float64(heapBytes()-before) / float64(servers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				use(ids[i%servers])
				i++
			}
			b.ReportMetric(perServer, "B/server")
		})
	}
}
