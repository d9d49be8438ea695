// Package merging combines the parts of several shards into one answer.
package merging

import (
	"bytes"
	"container/heap"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// Greatest returns the greatest records of all parts, greatest first, at most
// limit of them. Records compare byte by byte, and equal ones all count. A
// remainder of a part that is shorter than a record is ignored.
func Greatest(parts [][]byte, limit int) []byte {
	records := 0
	for _, part := range parts {
		records += len(part) / RecordSize
	}
	kept := make(smallestFirst, 0, min(limit, records))
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			kept.offer(part[:RecordSize], limit)
		}
	}
	merged := make([]byte, len(kept)*RecordSize)
	for i := len(kept) - 1; i >= 0; i-- {
		copy(merged[i*RecordSize:], heap.Pop(&kept).([]byte))
	}
	return merged
}

// smallestFirst is a heap of the greatest records so far.
type smallestFirst [][]byte

func (s *smallestFirst) offer(record []byte, limit int) {
	if len(*s) < limit {
		heap.Push(s, record)
		return
	}
	if limit == 0 || bytes.Compare(record, (*s)[0]) <= 0 {
		return
	}
	(*s)[0] = record
	heap.Fix(s, 0)
}

// Len returns the number of records.
func (s smallestFirst) Len() int { return len(s) }

// Less reports whether the record at i is smaller than that at j.
func (s smallestFirst) Less(i, j int) bool { return bytes.Compare(s[i], s[j]) < 0 }

// Swap exchanges two records.
func (s smallestFirst) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends a record for the heap package.
func (s *smallestFirst) Push(x any) { *s = append(*s, x.([]byte)) }

// Pop removes the last record for the heap package.
func (s *smallestFirst) Pop() any {
	last := len(*s) - 1
	record := (*s)[last]
	*s = (*s)[:last]
	return record
}
