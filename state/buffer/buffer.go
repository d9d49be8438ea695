// Package buffer provides a byte buffer whose memory is reserved in a memory budget.
package buffer

import (
	"io"
	"math"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// ErrNoMemory is returned if the memory budget is exhausted.
var ErrNoMemory = errors.New("no memory is left")

// largeBytes is the capacity from which a buffer counts as large. Large buffers can't use
// up the budget, so that a few endless responses leave room for all others.
const largeBytes = 64 << 10

// Buffer is a growing byte buffer. The zero value is usable.
type Buffer struct {
	// Budget may be nil, which means no limit. It isn't changed after the first use.
	Budget ebonyworks.MemoryBudget
	// Bytes is the content. Its capacity is reserved in the budget.
	Bytes []byte

	taken int64
}

// Grow makes room for count more bytes. Content that arrives in small chunks is copied
// only a few times, because the capacity doubles, up to limit bytes.
func (b *Buffer) Grow(count, limit int64) error {
	needed := int64(len(b.Bytes)) + count
	if needed <= int64(cap(b.Bytes)) {
		return nil
	}
	if len(b.Bytes) > 0 {
		needed = max(needed, min(2*int64(cap(b.Bytes)), limit))
	}
	if b.Budget != nil {
		take := b.Budget.Take
		if needed > largeBytes {
			take = b.Budget.TakeLarge
		}
		if !take(needed - b.taken) {
			return ErrNoMemory
		}
		b.taken = needed
	}
	grown := make([]byte, len(b.Bytes), needed)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// ReadAll appends everything from the reader up to the end of the file. Each time that
// the buffer is full, it grows by at least chunk bytes.
func (b *Buffer) ReadAll(from io.Reader, chunk int64) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.Grow(max(chunk, int64(len(b.Bytes))), math.MaxInt64); err != nil {
				return err
			}
		}
		count, err := from.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+count]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Free releases the buffer's share of the budget. Bytes stays usable.
func (b *Buffer) Free() {
	if b.taken > 0 {
		b.Budget.Return(b.taken)
		b.taken = 0
	}
}
