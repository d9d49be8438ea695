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
	// granted is closed when the waiter left the queue with a permit, or
	// without one because its context had ended.
	granted chan struct{}
	// holds is set if the waiter has a permit.
	holds       bool
	deadline    time.Time
	hasDeadline bool
	// arrival breaks ties of deadlines.
	arrival uint64
	// index is the place in the heap, or notQueued.
	index int
}

// waiters is a heap ordered by deadline. Waiters without one come last.
type waiters []*waiter

// Len returns the number of waiters.
func (w waiters) Len() int { return len(w) }

// Less reports whether the waiter at i is due before that at j.
func (w waiters) Less(i, j int) bool {
	a, b := w[i], w[j]
	if a.hasDeadline != b.hasDeadline {
		return a.hasDeadline
	}
	if a.hasDeadline && !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.arrival < b.arrival
}

// Swap exchanges two waiters.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push appends a waiter for the heap package.
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop removes the last waiter for the heap package.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	removed.index = notQueued
	return removed
}
