package server

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// reportedLoad is the load that reports state until it is too old.
type reportedLoad struct {
	mu           sync.Mutex
	at           time.Time
	busy, queued int
}

func (r *reportedLoad) read(slots *slots, lag time.Duration) (busy, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.at.IsZero() || now.Sub(r.at) >= lag {
		r.at = now
		r.busy, r.queued = slots.load()
	}
	return r.busy, r.queued
}

// report returns what the server says about itself.
func (s *Server) report(view view) ebonyworks.ServerReport {
	busy, queued := view.life.reported.read(view.life.slots, s.options.Model.ReportLag)
	switch view.faults.Report {
	case IdleReport:
		busy, queued = 0, 0
	case BusyReport:
		busy, queued = view.life.slots.capacity, view.life.slots.limit
	}
	return ebonyworks.ServerReport{
		Server:      s.ID(),
		Incarnation: view.life.incarnation,
		Draining:    view.state != Running,
		SlotsBusy:   busy,
		Queued:      queued,
		Snapshots:   s.options.Timeline.Held(s.ID(), time.Now()),
	}
}

// counters count the requests by their result.
type counters struct {
	results [ebonyworks.AttemptRejected + 1]atomic.Int64
	crashes atomic.Int64
}

func (c *counters) add(result ebonyworks.AttemptResult) {
	c.results[result].Add(1)
}

// Counts are the requests of a server by result, over all its lives.
type Counts struct {
	Served, Shed, Draining, SnapshotGone, Expired, Abandoned, Rejected, Closed int64
	// Crashes counts requests that crashed the server.
	Crashes int64
}

// Counts returns the requests so far.
func (s *Server) Counts() Counts {
	count := func(result ebonyworks.AttemptResult) int64 { return s.counters.results[result].Load() }
	return Counts{
		Served:       count(ebonyworks.AttemptServed),
		Shed:         count(ebonyworks.AttemptShed),
		Draining:     count(ebonyworks.AttemptDraining),
		SnapshotGone: count(ebonyworks.AttemptSnapshotGone),
		Expired:      count(ebonyworks.AttemptExpired),
		Abandoned:    count(ebonyworks.AttemptCanceled),
		Rejected:     count(ebonyworks.AttemptRejected),
		Closed:       count(ebonyworks.AttemptLost),
		Crashes:      s.counters.crashes.Load(),
	}
}
