package report

import (
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/load"
)

const percent = 100

// AllPhases is the phase of the result for the whole scenario.
const AllPhases = "All"

// Origin tells which run a result comes from.
type Origin struct {
	User     string
	Scenario string
	// Policy is that of the entry hosts, or "Direct" without entry hosts.
	Policy  string
	Seed    uint64
	Command string
	Started time.Time
}

// Capacity is the load that uses all slots of the busiest service.
type Capacity struct {
	// Requests and Searches are rates per second; reservations make the
	// difference.
	Requests, Searches float64
}

// PhaseSpan is what was planned for a phase.
type PhaseSpan struct {
	Name     string
	Percent  int
	Duration time.Duration
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
}

// Bucket is a part of the timeline.
type Bucket struct {
	// At is the start in seconds since the start of the first phase.
	At float64
	// Goodput is the rate of complete answers per second that arrived in the
	// bucket.
	Goodput float64
	// P99 is the 99th percentile in milliseconds of the answers to searches that
	// were due in the second up to the end of the bucket; zero without answers.
	P99 float64
}

// Result holds the figures of one phase, or of all phases of a run.
// docs/experiments.md defines each figure.
type Result struct {
	Origin
	Phase string
	// Percent is the load in percent of slots; zero for several phases.
	Percent int
	// Seconds is the planned length.
	Seconds  float64
	Capacity Capacity
	// Offered and Achieved are rates per second: of requests that were due, and
	// of those that ended with a reply.
	Offered, Achieved float64
	// Requests and Answers are numbers.
	Requests, Answers int
	// Latency is that of answered searches.
	Latency Latency
	// CompletePercent and CoveragePercent are parts of the answers.
	CompletePercent, CoveragePercent float64
	// Goodput is the rate of complete answers per second, and GoodputPercent
	// its part of the searches that use all slots.
	Goodput, GoodputPercent float64
	// Missed counts missed shards by reason, Refused requests by code, and
	// Failed requests by reason.
	Missed, Refused, Failed []Count
	// Reservations counts outcomes by kind, and ReservationCodes by code.
	Reservations, ReservationCodes []Count
	ReservationLatency             Latency
	// BackendKnown is set if the counters of the stand-ins could be read. The
	// following three are meaningful only then.
	BackendKnown bool
	// Received is the number of backend requests that the stand-ins received,
	// Useful the number that answers needed, and ExtraPercent the rest in
	// percent of Useful.
	Received, Useful uint64
	ExtraPercent     float64
	// Backend divides Received by result.
	Backend load.Counters
	// Executions are the reservations that the stand-ins ran from the start of
	// the run to its end, including those of the warm-up. They are in the result
	// for all phases only.
	Executions load.Executions
	// MachineBusyPercent is the CPU use of the whole machine, zero if unknown.
	MachineBusyPercent float64
	// Violations counts answers that contradict themselves or their request.
	Violations []Count
	// Resends counts the ends of the scenario's repeated requests by code.
	Resends  []Count  `json:",omitempty"`
	Timeline []Bucket `json:",omitempty"`
}

// Results returns one result for each phase, if there are several, and one for
// all of them.
func (r *Recorder) Results(origin Origin, capacity Capacity, spans []PhaseSpan) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := newTally()
	whole := PhaseSpan{Name: AllPhases}
	var results []Result
	for i, span := range spans {
		all.merge(r.phases[i])
		whole.Duration += span.Duration
		if len(spans) > 1 {
			results = append(results, r.result(origin, capacity, span, r.phases[i], i, i+1))
		}
	}
	if len(spans) == 1 {
		whole.Percent = spans[0].Percent
	}
	total := r.result(origin, capacity, whole, all, 0, len(spans))
	total.Timeline = r.timeline()
	total.Resends = r.resends.sorted()
	r.checkExecutions(&total)
	return append(results, total)
}

func (r *Recorder) result(origin Origin, capacity Capacity, span PhaseSpan, t *tally, from, to int) Result {
	seconds := span.Duration.Seconds()
	result := Result{
		Origin:             origin,
		Phase:              span.Name,
		Percent:            span.Percent,
		Seconds:            seconds,
		Capacity:           capacity,
		Offered:            float64(t.requests) / seconds,
		Achieved:           float64(t.replies) / seconds,
		Requests:           t.requests,
		Answers:            t.answers,
		Latency:            latency(t.searches),
		Goodput:            float64(t.complete) / seconds,
		Missed:             t.missed.sorted(),
		Refused:            t.refused.sorted(),
		Failed:             t.failed.sorted(),
		Reservations:       t.outcomes.sorted(),
		ReservationCodes:   t.codes.sorted(),
		ReservationLatency: latency(t.reservations),
		Violations:         t.violations.sorted(),
	}
	if t.answers > 0 {
		result.CompletePercent = percent * float64(t.complete) / float64(t.answers)
		result.CoveragePercent = percent * t.coverage / float64(t.answers)
	}
	if capacity.Searches > 0 {
		result.GoodputPercent = percent * result.Goodput / capacity.Searches
	}
	if to < len(r.boundaries) {
		result.span(r.boundaries[from], r.boundaries[to])
	}
	return result
}

// span fills in what happened between two boundaries.
func (r *Result) span(from, to boundary) {
	r.MachineBusyPercent = to.busy.busySince(from.busy)
	r.Useful = to.useful - from.useful
	if !from.known || !to.known {
		return
	}
	r.BackendKnown = true
	r.Backend = to.counters.Minus(from.counters)
	r.Received = r.Backend.Received()
	if r.Useful > 0 {
		r.ExtraPercent = percent * (float64(r.Received) - float64(r.Useful)) / float64(r.Useful)
	}
}

// Violations of what the stand-ins ran.
const (
	violationTwice  = "reservation_ran_twice"
	violationLess   = "reservation_reported_but_not_run"
	violationHidden = "reservation_run_but_reported_otherwise"
)

// checkExecutions compares what the stand-ins ran with what callers were told.
func (r *Recorder) checkExecutions(total *Result) {
	if !r.executionsKnown {
		return
	}
	total.Executions = r.executions
	distinct := r.executions.Distinct
	add := func(name string, count int) {
		if count > 0 {
			total.Violations = append(total.Violations, Count{Name: name, Count: count})
		}
	}
	add(violationTwice, r.executions.Repeated)
	add(violationLess, r.ran-distinct)
	add(violationHidden, distinct-r.ran-r.unknown)
}

// Write appends results as JSON lines.
func Write(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	return nil
}

// Read reads results that Write wrote.
func Read(r io.Reader) ([]Result, error) {
	decoder := json.NewDecoder(r)
	var results []Result
	for {
		var result Result
		err := decoder.Decode(&result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read result %d", len(results)+1)
		}
		results = append(results, result)
	}
}

// Violated reports whether any result has a violation.
func Violated(results []Result) bool {
	for _, result := range results {
		if len(result.Violations) > 0 {
			return true
		}
	}
	return false
}
