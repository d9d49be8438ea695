package report

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

const (
	// BucketWidth is the width of the buckets of the timeline.
	BucketWidth = 250 * time.Millisecond
	// quantileBuckets is the number of buckets over which a p99 of the timeline
	// is taken. A single bucket has too few requests for a p99.
	quantileBuckets = 4
)

// Uncounted is the phase of requests that belong to the warm-up.
const Uncounted = -1

// Sample is one ended request.
type Sample struct {
	Kind ebonyworks.RouteKind
	// Phase is the index of the phase in which the request was due.
	Phase int
	// At is when the request was due, since the start of the first phase.
	At time.Duration
	// Latency is the time from when the request was due to its end.
	Latency time.Duration
	Result  load.Result
}

// boundary is what was counted up to the start or end of a phase.
type boundary struct {
	known    bool
	counters load.Counters
	useful   uint64
	busy     cpuTimes
}

// bucket is a part of the timeline.
type bucket struct {
	complete  int
	latencies []time.Duration
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	phases []*tally
	// boundaries are those between phases, from the start of the first one.
	boundaries []boundary
	useful     uint64
	buckets    []bucket
	resends    counts
	// ran and unknown are the reservations with these outcomes, and those whose
	// outcome the caller didn't get count as unknown.
	ran, unknown    int
	executionsKnown bool
	executions      load.Executions
}

// NewRecorder returns a recorder for the number of phases and their total
// length.
func NewRecorder(phases int, total time.Duration) *Recorder {
	r := &Recorder{buckets: make([]bucket, int((total+BucketWidth-1)/BucketWidth))}
	for range phases {
		r.phases = append(r.phases, newTally())
	}
	return r
}

// Add records one ended request.
func (r *Recorder) Add(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useful += uint64(sample.Result.Useful())
	r.settle(sample)
	if sample.Phase == Uncounted {
		return
	}
	r.phases[sample.Phase].add(sample)
	r.place(sample)
}

func (r *Recorder) settle(sample Sample) {
	switch {
	case sample.Kind != ebonyworks.ReservationRoute:
	case sample.Result.Ending == load.Settled && sample.Result.Outcome == ebonyworks.OutcomeRan:
		r.ran++
	case sample.Result.Ending == load.Settled && sample.Result.Outcome == ebonyworks.OutcomeUnknown,
		sample.Result.Ending == load.Failed:
		r.unknown++
	}
}

// SetExecutions records what the stand-ins ran during the run.
func (r *Recorder) SetExecutions(executions load.Executions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executionsKnown = true
	r.executions = executions
}

// AddResend records the end of a repeated request. Repeated requests are not
// part of the other figures.
func (r *Recorder) AddResend(result load.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useful += uint64(result.Useful())
	name := result.Code
	if result.Ending == load.Answered {
		name = "answered"
	}
	r.resends.add(name, 1)
}

// place counts complete answers when they arrived and latencies when the
// request was due.
func (r *Recorder) place(sample Sample) {
	if sample.Result.Ending != load.Answered {
		return
	}
	if due := r.bucket(sample.At); due != nil {
		due.latencies = append(due.latencies, sample.Latency)
	}
	if ended := r.bucket(sample.At + sample.Latency); ended != nil && sample.Result.Complete() {
		ended.complete++
	}
}

func (r *Recorder) bucket(at time.Duration) *bucket {
	index := int(at / BucketWidth)
	if at < 0 || index >= len(r.buckets) {
		return nil
	}
	return &r.buckets[index]
}

// Boundary records the counters of the stand-ins at the start of a phase or at
// the end of the last one. Call it once for each, in order. Known is false if
// the counters could not be read.
func (r *Recorder) Boundary(counters load.Counters, known bool) {
	busy := readCPU()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boundaries = append(r.boundaries, boundary{known: known, counters: counters, useful: r.useful, busy: busy})
}

func quantile(latencies []time.Duration, part float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	index := int(part * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}

func (r *Recorder) timeline() []Bucket {
	timeline := make([]Bucket, 0, len(r.buckets))
	for i := range r.buckets {
		var latencies []time.Duration
		for _, each := range r.buckets[max(0, i+1-quantileBuckets) : i+1] {
			latencies = append(latencies, each.latencies...)
		}
		timeline = append(timeline, Bucket{
			At:      (time.Duration(i) * BucketWidth).Seconds(),
			Goodput: float64(r.buckets[i].complete) / BucketWidth.Seconds(),
			P99:     milliseconds(quantile(latencies, 0.99)),
		})
	}
	return timeline
}

func latency(histogram *hdrhistogram.Histogram) Latency {
	if histogram.TotalCount() == 0 {
		return Latency{}
	}
	at := func(percentile float64) float64 {
		return milliseconds(time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond)
	}
	return Latency{
		P50:  at(50),
		P90:  at(90),
		P99:  at(99),
		P999: at(99.9),
		Max:  milliseconds(time.Duration(histogram.Max()) * time.Microsecond),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
