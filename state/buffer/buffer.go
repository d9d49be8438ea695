// Package buffer holds bytes whose memory is taken from a budget.
package buffer

import (
	"io"
	"math"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// ErrNoMemory is returned if the budget has no memory left.
var ErrNoMemory = errors.New("no memory is left")

// Buffer grows while bytes arrive. The zero value is usable.
type Buffer struct {
	// Budget may be nil. It isn't changed after the first use.
	Budget ebonyworks.MemoryBudget
	// Bytes are those that have arrived. Their capacity is taken from the budget.
	Bytes []byte

	taken int64
}

// Grow makes room for that many more bytes. Bytes that arrive in small pieces are
// copied a few times only, since the room doubles up to the limit in bytes.
func (b *Buffer) Grow(count, limit int64) error {
	needed := int64(len(b.Bytes)) + count
	if needed <= int64(cap(b.Bytes)) {
		return nil
	}
	if len(b.Bytes) > 0 {
		needed = max(needed, min(2*int64(cap(b.Bytes)), limit))
	}
	if b.Budget != nil {
		if !b.Budget.Take(needed - b.taken) {
			return ErrNoMemory
		}
		b.taken = needed
	}
	grown := make([]byte, len(b.Bytes), needed)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// ReadAll appends all that the reader has, and makes room for a piece of that many
// bytes, at least, at a time.
func (b *Buffer) ReadAll(from io.Reader, piece int64) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.Grow(max(piece, int64(len(b.Bytes))), math.MaxInt64); err != nil {
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

// Free returns what the buffer took of the budget. Bytes stay usable.
func (b *Buffer) Free() {
	if b.taken > 0 {
		b.Budget.Return(b.taken)
		b.taken = 0
	}
}
