package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// BenchmarkAdmit measures an admitted request without a queue.
func BenchmarkAdmit(b *testing.B) {
	for _, houses := range []int{6, 100, 1000} {
		b.Run("houses="+strconv.Itoa(houses), func(b *testing.B) {
			g := newGate()
			deadline := time.Now().Add(time.Hour)
			names := make([]ebonyworks.CustomerID, houses)
			for i := range names {
				names[i] = ebonyworks.CustomerID(strconv.Itoa(i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				admittance, _ := g.Admit(b.Context(), searches, names[i%houses], deadline)
				admittance.Done()
				i++
			}
		})
	}
}

// BenchmarkRefuse measures a refusal while as many houses have requests in
// the queue, which bounds the number of callers that a host can turn away.
func BenchmarkRefuse(b *testing.B) {
	for _, houses := range []int{6, 100, 250} {
		b.Run("houses="+strconv.Itoa(houses), func(b *testing.B) {
			g := newGate()
			deadline := time.Now().Add(time.Hour)
			for range 40 {
				admittance, _ := g.Admit(b.Context(), searches, "busy", deadline)
				time.Sleep(20 * time.Millisecond)
				admittance.Done()
			}
			for range 8 {
				admittance, _ := g.Admit(b.Context(), searches, "busy", deadline)
				defer admittance.Done()
			}
			for i := range houses {
				go g.Admit(b.Context(), searches, ebonyworks.CustomerID(strconv.Itoa(i)), deadline)
			}
			for queued := 0; queued < houses; _, queued, _ = g.Load(searches.ID) {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, refusal := g.Admit(b.Context(), searches, "busy", time.Now().Add(25*time.Millisecond))
				if refusal == nil {
					b.Fatal("admitted")
				}
			}
		})
	}
}
