// Package memorybudget bounds the memory that a process holds for the data of its
// callers and peers.
package memorybudget

import (
	"sync/atomic"

	"github.com/ebonyworks/ebonyworks"
)

// largeShare is the share of the limit that large data can use up.
const largeShare = 0.75

// Budget bounds the bytes that are reserved at a time. It is safe for concurrent use.
// The zero value has no limit.
type Budget struct {
	// Limit is the limit in bytes; zero means none. It isn't changed after the
	// first use.
	Limit int64

	used atomic.Int64
}

var _ ebonyworks.MemoryBudget = (*Budget)(nil)

// Take reserves count bytes, or returns false if they would exceed the limit.
func (b *Budget) Take(count int64) bool { return b.take(count, b.Limit) }

// TakeLarge reserves count bytes for data that is large already, or returns false if they
// would leave too little for other data.
func (b *Budget) TakeLarge(count int64) bool {
	return b.take(count, int64(largeShare*float64(b.Limit)))
}

func (b *Budget) take(count, limit int64) bool {
	if b.Limit <= 0 {
		return true
	}
	if b.used.Add(count) > limit {
		b.used.Add(-count)
		return false
	}
	return true
}

// Return releases bytes that were taken.
func (b *Budget) Return(count int64) {
	if b.Limit > 0 {
		b.used.Add(-count)
	}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }
