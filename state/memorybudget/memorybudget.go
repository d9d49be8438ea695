// Package memorybudget bounds the memory that a process holds for the data of its
// callers and peers.
package memorybudget

import (
	"sync/atomic"

	"github.com/ebonyworks/ebonyworks"
)

// Budget bounds the bytes that are held at a time. It is safe for concurrent use.
// The zero value grants everything.
type Budget struct {
	// Limit is the bound in bytes; zero means none. It isn't changed after the
	// first use.
	Limit int64

	held atomic.Int64
}

var _ ebonyworks.MemoryBudget = (*Budget)(nil)

// Take holds that many more bytes, or returns false if they are beyond the limit.
func (b *Budget) Take(count int64) bool {
	if b.Limit <= 0 {
		return true
	}
	if b.held.Add(count) > b.Limit {
		b.held.Add(-count)
		return false
	}
	return true
}

// Return gives bytes back that were taken.
func (b *Budget) Return(count int64) {
	if b.Limit > 0 {
		b.held.Add(-count)
	}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.held.Load() }
