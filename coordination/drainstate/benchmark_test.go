package drainstate_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTracker measures the memory per server, Contribute while a sixth of the
// servers is draining, and Receive of such a message.
func BenchmarkTracker(b *testing.B) {
	for _, servers := range []int{100, 1000, 2400} {
		before := heapBytes()
		tracker := drainstate.New(drainstate.Config{})
		for i := range servers {
			tracker.Observe(ebonyworks.ServerReport{Server: ebonyworks.ServerID("server-" + strconv.Itoa(i)), Incarnation: 1, Draining: i%6 == 0})
		}
		perServer := float64(heapBytes()-before) / float64(servers)
		var message ebonyworks.GossipMessage
		tracker.Contribute(&message, 300)
		fresh := len(message.DrainStates)
		b.Run("Contribute/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.Contribute(&ebonyworks.GossipMessage{}, 300)
			}
			b.ReportMetric(perServer, "B/server")
			b.ReportMetric(float64(fresh), "facts")
		})
		b.Run("Receive/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.Receive(message, time.Now())
			}
		})
	}
}
