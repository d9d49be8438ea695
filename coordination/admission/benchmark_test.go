package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// BenchmarkAdmit measures an admitted request without a queue.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{6, 100, 1000} {
		b.Run("houses="+strconv.Itoa(customers), func(b *testing.B) {
			c := newController()
			deadline := time.Now().Add(time.Hour)
			names := make([]ebonyworks.CustomerID, customers)
			for i := range names {
				names[i] = ebonyworks.CustomerID(strconv.Itoa(i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				permit, _ := c.Admit(b.Context(), searches, names[i%customers], deadline)
				permit.Done()
				i++
			}
		})
	}
}

// BenchmarkRefuse measures a refusal while the given number of customers have queued
// requests. It bounds the rate of requests that a host can refuse.
func BenchmarkRefuse(b *testing.B) {
	for _, customers := range []int{6, 100, 250} {
		b.Run("houses="+strconv.Itoa(customers), func(b *testing.B) {
			c := newController()
			deadline := time.Now().Add(time.Hour)
			for range 40 {
				permit, _ := c.Admit(b.Context(), searches, "busy", deadline)
				time.Sleep(20 * time.Millisecond)
				permit.Done()
			}
			for range 8 {
				permit, _ := c.Admit(b.Context(), searches, "busy", deadline)
				defer permit.Done()
			}
			for i := range customers {
				go c.Admit(b.Context(), searches, ebonyworks.CustomerID(strconv.Itoa(i)), deadline)
			}
			for queued := 0; queued < customers; _, queued, _ = c.Load(searches.ID) {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, refusal := c.Admit(b.Context(), searches, "busy", time.Now().Add(25*time.Millisecond))
				if refusal == nil {
					b.Fatal("admitted")
				}
			}
		})
	}
}
