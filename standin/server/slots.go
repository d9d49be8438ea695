package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// grant tells how a wait for a slot ended.
type grant int

const (
	granted grant = iota
	grantShed
	grantExpired
	grantAbandoned
)

// slots are the places in which a server runs requests, and the queue for
// them in order of arrival.
type slots struct {
	mu       sync.Mutex
	capacity int
	limit    int
	busy     int
	queue    []*turn
}

// turn is a queued request. The channel takes the time at which the slot
// became free.
type turn struct {
	free chan time.Time
}

// acquire waits for a slot until the deadline. The start is when the slot
// became free, which can be earlier than the time at which the waiting
// goroutine runs: timers that fire late must not reduce the capacity.
func (s *slots) acquire(ctx context.Context, arrived, deadline time.Time) (start time.Time, result grant) {
	mine, result := s.enter()
	if mine == nil {
		return arrived, result
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case free := <-mine.free:
		start = latest(arrived, free)
	case <-ctx.Done():
		s.abandon(mine)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return arrived, grantExpired
		}
		return arrived, grantAbandoned
	}
	if !start.Before(deadline) {
		s.release(start)
		return start, grantExpired
	}
	return start, granted
}

// enter takes a slot or a place in the queue; the turn is nil if it didn't queue.
func (s *slots) enter() (*turn, grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy < s.capacity {
		s.busy++
		return nil, granted
	}
	if len(s.queue) >= s.limit {
		return nil, grantShed
	}
	mine := &turn{free: make(chan time.Time, 1)}
	s.queue = append(s.queue, mine)
	return mine, granted
}

// abandon leaves the queue, or passes on the slot if it was granted meanwhile.
func (s *slots) abandon(mine *turn) {
	s.mu.Lock()
	index := slices.Index(s.queue, mine)
	if index >= 0 {
		s.queue = slices.Delete(s.queue, index, index+1)
	}
	s.mu.Unlock()
	if index < 0 {
		s.release(<-mine.free)
	}
}

// release frees a slot that was free at the given time.
func (s *slots) release(free time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.busy--
		return
	}
	s.queue[0].free <- free
	s.queue = slices.Delete(s.queue, 0, 1)
}

// load returns the busy slots and the queued requests.
func (s *slots) load() (busy, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, len(s.queue)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
