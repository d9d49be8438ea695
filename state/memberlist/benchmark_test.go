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

// BenchmarkList measures the memory per member, the choice of updates for one message
// and the merging of a known update.
func BenchmarkList(b *testing.B) {
	for _, size := range []int{8, 100, 400} {
		members := make([]ebonyworks.Member, size)
		for i := range members {
			members[i] = member(fmt.Sprintf("entry-sapporo-%03d", i), 1<<60, 0, ebonyworks.MemberAlive)
		}
		random := rand.New(rand.NewPCG(1, 1))
		before := heapBytes()
		l := memberlist.New(members[0].Host)
		for _, member := range members {
			l.Merge(member, time.Now())
		}
		l.Alive()
		perMember := float64(heapBytes()-before) / float64(size)
		b.Run("SelectUpdates/members="+strconv.Itoa(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.SelectUpdates(500, 0, 2, random)
			}
			b.ReportMetric(perMember, "B/member")
		})
		b.Run("Merge/members="+strconv.Itoa(size), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				l.Merge(members[i%size], time.Now())
				i++
			}
		})
	}
}
