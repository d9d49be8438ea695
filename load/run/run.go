// Package run carries out one scenario: it sends requests when they are due,
// whatever became of earlier ones, and starts and ends faults.
package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/arrival"
	"github.com/ebonyworks/ebonyworks/load/report"
	"github.com/ebonyworks/ebonyworks/load/scenario"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

const (
	// replySlack is how long after the deadline of its request a client waits
	// for the reply.
	replySlack = time.Second
	// meterTimeout bounds the reading of the stand-ins' counters.
	meterTimeout = 2 * time.Second
)

// Streams of random numbers that are drawn from the seed of a run.
const (
	arrivalStream = iota
	demandStream
)

// Injector gives faults to stand-in servers.
type Injector interface {
	// Start gives the fault to its servers.
	Start(ctx context.Context, fault scenario.Fault) error
	// Stop ends the fault.
	Stop(ctx context.Context, fault scenario.Fault) error
}

// Primer sends requests to chosen hosts.
type Primer interface {
	// Hosts returns the number of hosts.
	Hosts() int
	// DoAt sends the request to the host with the index.
	DoAt(ctx context.Context, host int, request load.Request) load.Result
}

// Run is one run of a scenario. All fields but Primer, Meter, Injector and
// Events must be set.
type Run struct {
	Settings      *scenario.Settings
	Scenario      scenario.Scenario
	Configuration *ebonyworks.Configuration
	Target        load.Target
	// Primer is nil if there are no hosts that learn.
	Primer Primer
	// Meter is nil if the stand-ins' counters are not available.
	Meter load.Meter
	// Injector is nil if the scenario has no faults.
	Injector Injector
	Events   ebonyworks.EventRecorder
	Seed     uint64

	recorder    *report.Recorder
	outstanding atomic.Int64
	// requests are those that were sent and have not ended.
	requests sync.WaitGroup
	start    time.Time
}

// Capacity returns the rate of requests per second that uses all slots of the
// busiest service.
func (r *Run) Capacity() float64 {
	return scenario.Capacity(r.Configuration, r.Settings.Mix, r.Settings.MeanServiceTime)
}

// Do carries out the scenario and returns its figures. The error is that of a
// fault that could not be changed, or of the context. Do returns after all its
// requests have ended.
func (r *Run) Do(ctx context.Context, origin report.Origin) ([]report.Result, error) {
	r.recorder = report.NewRecorder(len(r.Scenario.Phases), r.Scenario.Duration())
	r.record(event.RunStarted, event.Attribute("Scenario", r.Scenario.Name), event.Attribute("Policy", origin.Policy))
	defer r.requests.Wait()
	executions, known := r.executions(ctx)
	r.prime(ctx)
	r.start = time.Now().Add(r.Scenario.WarmUp)
	faults := r.startFaults(ctx)
	var helpers sync.WaitGroup
	helpers.Go(func() { r.boundaries(ctx) })
	helpers.Go(func() { r.resend(ctx) })
	r.dispatch(ctx)
	helpers.Wait()
	r.requests.Wait()
	if after, ok := r.executions(ctx); ok && known {
		r.recorder.SetExecutions(after.Minus(executions))
	}
	err := faults.wait()
	if err == nil {
		err = ctx.Err()
	}
	r.record(event.RunEnded, event.Attribute("Scenario", r.Scenario.Name))
	if err != nil {
		return nil, err
	}
	return r.recorder.Results(origin, r.capacities(), r.spans()), nil
}

// capacities returns the capacity for the whole mix and for its searches.
func (r *Run) capacities() report.Capacity {
	var all, searches int
	for _, route := range r.Settings.Mix.Routes {
		all += route.Weight
		if route.Kind == ebonyworks.SearchRoute {
			searches += route.Weight
		}
	}
	capacity := r.Capacity()
	return report.Capacity{Requests: capacity, Searches: capacity * float64(searches) / float64(all)}
}

func (r *Run) spans() []report.PhaseSpan {
	var spans []report.PhaseSpan
	for _, phase := range r.Scenario.Phases {
		spans = append(spans, report.PhaseSpan{Name: phase.Name, Percent: phase.Percent, Duration: phase.Duration})
	}
	return spans
}

// dispatch sends the requests of the warm-up and of all phases.
func (r *Run) dispatch(ctx context.Context) {
	arrivals := rand.New(rand.NewPCG(r.Seed, arrivalStream))
	draws := workload.New(r.Settings.Mix, rand.New(rand.NewPCG(r.Seed, demandStream)))
	first := r.Scenario.Phases[0]
	r.phase(ctx, arrivals, draws, report.Uncounted, -r.Scenario.WarmUp, scenario.Phase{Percent: first.Percent, Duration: r.Scenario.WarmUp})
	var at time.Duration
	for i, phase := range r.Scenario.Phases {
		r.record(event.PhaseStarted, event.Attribute("Phase", phase.Name), event.Attribute("Percent", fmt.Sprint(phase.Percent)))
		r.phase(ctx, arrivals, draws, i, at, phase)
		at += phase.Duration
	}
}

// phase sends the requests of one phase that starts at the offset.
func (r *Run) phase(ctx context.Context, arrivals *rand.Rand, draws *workload.Demand, index int, offset time.Duration, phase scenario.Phase) {
	process := arrival.New(arrivals, r.Capacity()*float64(phase.Percent)/percent)
	for ctx.Err() == nil {
		due, ok := process.Next(phase.Duration)
		if !ok {
			break
		}
		r.sleepUntil(ctx, offset+due)
		r.send(ctx, index, offset+due, draws.Draw())
	}
	r.sleepUntil(ctx, offset+phase.Duration)
}

const percent = 100

func (r *Run) sleepUntil(ctx context.Context, offset time.Duration) {
	load.Sleep(ctx, time.Until(r.start.Add(offset)))
}

// send starts the request that was due at the offset. Its latency counts from
// that time, even if the tool itself is late.
func (r *Run) send(ctx context.Context, phase int, due time.Duration, request load.Request) {
	request.Timeout = r.Settings.Timeout
	r.spawn(ctx, request, r.Target.Do, func(result load.Result) {
		latency := time.Since(r.start) - due + result.Delay
		r.recorder.Add(report.Sample{Kind: request.Kind, Phase: phase, At: due, Latency: latency, Result: result})
	})
}

// spawn runs one request in a goroutine that ends with the request, or fails it
// if too many are outstanding.
func (r *Run) spawn(ctx context.Context, request load.Request, do func(context.Context, load.Request) load.Result, done func(load.Result)) {
	if r.outstanding.Add(1) > int64(r.Settings.MaxOutstanding) {
		r.outstanding.Add(-1)
		done(load.Result{Code: load.FailedLimit})
		return
	}
	r.requests.Go(func() {
		defer r.outstanding.Add(-1)
		bounded, cancel := context.WithTimeout(ctx, r.patience(request))
		defer cancel()
		done(do(bounded, request))
	})
}

// patience returns how long the client waits for the end of the request.
func (r *Run) patience(request load.Request) time.Duration {
	deadline := request.Timeout
	if deadline == 0 {
		route, _ := r.Configuration.Route(request.Route)
		deadline = route.DefaultDeadline
	}
	return deadline + replySlack
}

// prime sends every distinct search once to each host, evenly spaced, so that
// the counted time doesn't measure how hosts meet requests for the first time.
func (r *Run) prime(ctx context.Context) {
	if r.Primer == nil || r.Scenario.Prime == 0 {
		return
	}
	mix := r.Settings.Mix
	mix.Routes = nil
	for _, route := range r.Settings.Mix.Routes {
		if route.Kind == ebonyworks.SearchRoute {
			route.Weight = 1
			mix.Routes = append(mix.Routes, route)
		}
	}
	if mix.Routes == nil {
		return
	}
	perSecond := scenario.Capacity(r.Configuration, mix, r.Settings.MeanServiceTime) * float64(r.Scenario.Prime) / percent
	gap := time.Duration(float64(time.Second) / perSecond)
	// The distinct searches are those of the whole mix, since they depend on
	// the position of the route.
	distinct := workload.New(r.Settings.Mix, rand.New(rand.NewPCG(r.Seed, demandStream))).Distinct()
	due := time.Now()
	for _, i := range interleaved(len(distinct), r.Settings.Mix.Distinct) {
		for host := range r.Primer.Hosts() {
			load.Sleep(ctx, time.Until(due))
			if ctx.Err() != nil {
				return
			}
			due = due.Add(gap)
			r.primeOne(ctx, host, distinct[i])
		}
	}
}

func (r *Run) primeOne(ctx context.Context, host int, request load.Request) {
	request.Timeout = r.Settings.Timeout
	do := func(ctx context.Context, request load.Request) load.Result {
		return r.Primer.DoAt(ctx, host, request)
	}
	r.spawn(ctx, request, do, func(result load.Result) {
		r.recorder.Add(report.Sample{Phase: report.Uncounted, Result: result})
	})
}

// interleaved returns the indexes of the searches of all routes so that routes
// take turns, which loads all catalogues evenly.
func interleaved(total, perRoute int) []int {
	indexes := make([]int, 0, total)
	for i := range perRoute {
		for k := i; k < total; k += perRoute {
			indexes = append(indexes, k)
		}
	}
	return indexes
}

// boundaries reads the counters of the stand-ins between phases.
func (r *Run) boundaries(ctx context.Context) {
	var at time.Duration
	r.boundary(ctx, at)
	for _, phase := range r.Scenario.Phases {
		at += phase.Duration
		r.boundary(ctx, at)
	}
}

func (r *Run) boundary(ctx context.Context, at time.Duration) {
	r.sleepUntil(ctx, at)
	if r.Meter == nil {
		r.recorder.Boundary(load.Counters{}, false)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, meterTimeout)
	defer cancel()
	counters, err := r.Meter.Read(bounded)
	if err != nil {
		r.record(event.CountersUnavailable, event.Attribute("Error", err.Error()))
	}
	r.recorder.Boundary(counters, err == nil)
}

func (r *Run) executions(ctx context.Context) (load.Executions, bool) {
	if r.Meter == nil {
		return load.Executions{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, meterTimeout)
	defer cancel()
	executions, err := r.Meter.Executions(bounded)
	if err != nil {
		r.record(event.CountersUnavailable, event.Attribute("Error", err.Error()))
	}
	return executions, err == nil
}

// resend sends the scenario's repeated requests.
func (r *Run) resend(ctx context.Context) {
	var pending sync.WaitGroup
	for _, each := range r.Scenario.Resends {
		pending.Go(func() {
			for at := each.At; at < r.Scenario.Duration() && ctx.Err() == nil; at += each.Every {
				r.sleepUntil(ctx, at)
				request := load.Request{
					Route:   each.Route,
					House:   each.House,
					Filters: []ebonyworks.Field{each.Filter},
					Timeout: r.Settings.Timeout,
				}
				r.spawn(ctx, request, r.Target.Do, r.recorder.AddResend)
			}
		})
	}
	pending.Wait()
}

func (r *Run) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if r.Events != nil {
		r.Events.Record(event.New(id, attributes...))
	}
}
