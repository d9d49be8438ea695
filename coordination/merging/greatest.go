// Package merging merges the records that the shards return into one answer.
package merging

import (
	"bytes"
	"container/heap"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// Greatest returns up to limit of the greatest records of all parts, greatest first.
// Records compare byte by byte, and duplicates are kept. Trailing bytes of a part that
// are shorter than a record are ignored.
func Greatest(parts [][]byte, limit int) []byte {
	records := 0
	for _, part := range parts {
		records += len(part) / RecordSize
	}
	greatest := make(minHeap, 0, min(limit, records))
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			greatest.offer(part[:RecordSize], limit)
		}
	}
	merged := make([]byte, len(greatest)*RecordSize)
	for i := len(greatest) - 1; i >= 0; i-- {
		copy(merged[i*RecordSize:], heap.Pop(&greatest).([]byte))
	}
	return merged
}

// minHeap holds the greatest records so far, the smallest of them at the root.
type minHeap [][]byte

func (h *minHeap) offer(record []byte, limit int) {
	if len(*h) < limit {
		heap.Push(h, record)
		return
	}
	if limit == 0 || bytes.Compare(record, (*h)[0]) <= 0 {
		return
	}
	(*h)[0] = record
	heap.Fix(h, 0)
}

// Len returns the number of records.
func (h minHeap) Len() int { return len(h) }

// Less reports whether the record at i is smaller than that at j.
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap exchanges two records.
func (h minHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a record for the heap package.
func (h *minHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop removes the last record for the heap package.
func (h *minHeap) Pop() any {
	last := len(*h) - 1
	record := (*h)[last]
	*h = (*h)[:last]
	return record
}
