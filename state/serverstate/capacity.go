package serverstate

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/servercapacity"
)

// CountLearned returns the number of servers whose duration of requests is learned.
func (r *Table) CountLearned() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	count := 0
	for _, known := range r.servers {
		if known.capacity != nil && known.capacity.Known(now) {
			count++
		}
	}
	return count
}

// learnCapacity updates what is learned about the server with a finished attempt.
func (r *Table) learnCapacity(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	if !r.LearnCapacity {
		return
	}
	switch attempt.Result {
	case ebonyworks.AttemptServed:
		if attempt.Report.Server != attempt.Server || !isCurrent(known, attempt.Report) {
			return
		}
		if known.capacity == nil {
			known.capacity = &servercapacity.Estimator{}
		}
		known.capacity.Observe(attempt.Latency, attempt.Report, now)
	case ebonyworks.AttemptCanceled, ebonyworks.AttemptTimeout:
		if known.capacity != nil {
			known.capacity.ObserveLowerBound(attempt.Latency)
		}
	default:
		// Other results say nothing about the time that requests take.
	}
}

// setExpectedDurations states the expected duration for each candidate for which it is
// learned. A slow or failing server has none: it is probed, and the latency of the candidate
// says when.
func (r *Table) setExpectedDurations(service *ebonyworks.Service, candidates []ebonyworks.Candidate) {
	if len(service.Servers) < minReplicasForCapacity {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for i := range candidates {
		known := r.servers[candidates[i].Server.ID]
		if known == nil || known.capacity == nil || known.slow || known.failing() {
			continue
		}
		candidates[i].ExpectedDuration = known.capacity.Expected(candidates[i].InFlight, now)
	}
}
