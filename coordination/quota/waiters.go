package quota

import (
	"context"
	"time"
)

// notQueued is the index of a waiter outside the heap.
const notQueued = -1

// waiter is one attempt that waits for a permit.
type waiter struct {
	ctx context.Context
	// granted is closed when the waiter has left the queue, with a permit, or without
	// one because its context had ended.
	granted chan struct{}
	// hasPermit is set if the waiter got a permit.
	hasPermit   bool
	deadline    time.Time
	hasDeadline bool
	// sequence orders waiters with equal deadlines by their arrival.
	sequence uint64
	// index is the index in the heap, or notQueued.
	index int
}

// waiters is a heap ordered by deadline. Waiters without a deadline come last.
type waiters []*waiter

// Len returns the number of waiters.
func (w waiters) Len() int { return len(w) }

// Less reports whether the waiter at i gets a permit before the one at j.
func (w waiters) Less(i, j int) bool {
	a, b := w[i], w[j]
	if a.hasDeadline != b.hasDeadline {
		return a.hasDeadline
	}
	if a.hasDeadline && !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

// Swap exchanges two waiters.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push appends a waiter, as container/heap requires.
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop removes the last waiter, as container/heap requires.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	removed.index = notQueued
	return removed
}
