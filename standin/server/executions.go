package server

import (
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// maxExecutions bounds the reservations that a server remembers.
const maxExecutions = 1 << 18

// Execution counts how often a server ran one reservation. A server never
// recognizes a repeated request, so that a check finds each repetition.
type Execution struct {
	Server  ebonyworks.ServerID
	Request ebonyworks.RequestID
	Key     string
	// Started counts executions that took a slot, Finished those of them that
	// were neither abandoned nor killed. Each started one may have had effect.
	Started, Finished int
}

// executions counts reservations by request.
type executions struct {
	mu     sync.Mutex
	counts map[ebonyworks.RequestID]*Execution
	// dropped counts reservations beyond maxExecutions.
	dropped int
}

func (e *executions) start(server ebonyworks.ServerID, reservation ebonyworks.SubReservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = make(map[ebonyworks.RequestID]*Execution)
	}
	count, ok := e.counts[reservation.Request]
	if !ok && len(e.counts) >= maxExecutions {
		e.dropped++
		return
	}
	if !ok {
		count = &Execution{Server: server, Request: reservation.Request, Key: reservation.Key}
		e.counts[reservation.Request] = count
	}
	count.Started++
}

func (e *executions) finish(request ebonyworks.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if count, ok := e.counts[request]; ok {
		count.Finished++
	}
}

func (e *executions) list(request ebonyworks.RequestID) []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []Execution
	for id, count := range e.counts {
		if request == "" || id == request {
			all = append(all, *count)
		}
	}
	return all
}

func (e *executions) droppedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropped
}
