package memberlist_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/memberlist"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRoster measures the memory per member, the choice of facts for one
// message and the merging of a known fact.
func BenchmarkRoster(b *testing.B) {
	for _, size := range []int{8, 100, 400} {
		facts := make([]ebonyworks.Member, size)
		for i := range facts {
			facts[i] = fact(fmt.Sprintf("entry-sapporo-%03d", i), 1<<60, 0, ebonyworks.MemberAlive)
		}
		random := rand.New(rand.NewPCG(1, 1))
		before := heapBytes()
		r := memberlist.New(facts[0].Host)
		for _, member := range facts {
			r.Merge(member, time.Now())
		}
		r.Alive()
		perMember := float64(heapBytes()-before) / float64(size)
		b.Run("Facts/members="+strconv.Itoa(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.SelectUpdates(500, 0, 2, random)
			}
			b.ReportMetric(perMember, "B/member")
		})
		b.Run("Merge/members="+strconv.Itoa(size), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r.Merge(facts[i%size], time.Now())
				i++
			}
		})
	}
}
