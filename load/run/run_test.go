package run_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/report"
	"github.com/ebonyworks/ebonyworks/load/run"
	"github.com/ebonyworks/ebonyworks/load/scenario"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

// world is a fake system: it answers after a time that may change during the
// run, and counts what it received.
type world struct {
	begin time.Time
	// stallFrom and stallTo are times since begin; requests that arrive between
	// them are answered at stallTo.
	stallFrom, stallTo time.Duration

	mu       sync.Mutex
	received uint64
	primed   []int
	log      []string
	failStop bool
}

const (
	service = 20 * time.Millisecond
	shards  = 20
)

func (w *world) Do(ctx context.Context, request load.Request) load.Result {
	w.mu.Lock()
	w.received += 2 * shards
	w.mu.Unlock()
	wait := service
	if now := time.Since(w.begin); now >= w.stallFrom && now < w.stallTo {
		wait = w.stallTo - now
	}
	load.Sleep(ctx, wait)
	if ctx.Err() != nil {
		return load.Result{Code: load.FailedTimeout}
	}
	if request.Filters[0].Value == "bad" {
		return load.Result{Ending: load.Refused, Code: "crash_suspect"}
	}
	return load.Result{Ending: load.Answered, Covered: shards, Delay: 6 * time.Millisecond}
}

func (w *world) Hosts() int { return 3 }

func (w *world) DoAt(ctx context.Context, host int, request load.Request) load.Result {
	w.mu.Lock()
	w.primed = append(w.primed, host)
	w.mu.Unlock()
	return w.Do(ctx, request)
}

func (w *world) Read(context.Context) (load.Counters, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return load.Counters{Served: w.received / 2, Abandoned: w.received / 2}, nil
}

func (w *world) Executions(context.Context) (load.Executions, error) {
	return load.Executions{Distinct: 7, Repeated: 1}, nil
}

func (w *world) note(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, time.Since(w.begin).String()+" "+text)
}

func (w *world) Start(_ context.Context, fault scenario.Fault) error {
	w.note("start " + string(fault.Kind))
	return nil
}

func (w *world) Stop(_ context.Context, fault scenario.Fault) error {
	w.note("stop " + string(fault.Kind))
	if w.failStop {
		return errors.New("no such server")
	}
	return nil
}

func newRun(t *testing.T, w *world, s scenario.Scenario) *run.Run {
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	w.begin = time.Now()
	return &run.Run{
		Settings: &scenario.Settings{
			MeanServiceTime: 20 * time.Millisecond,
			MaxOutstanding:  100,
			Mix: workload.Mix{
				Houses:   []workload.House{{ID: "sapporo", Weight: 1}},
				Routes:   []workload.Route{{ID: kitakaze.SearchHair, Weight: 1, Filter: "Shade"}},
				Distinct: 40,
				Skew:     1.1,
			},
		},
		Scenario:      s,
		Configuration: configuration,
		Target:        w,
		Primer:        w,
		Meter:         w,
		Injector:      w,
		Seed:          5,
	}
}

func phases(percent int, durations ...time.Duration) []scenario.Phase {
	var list []scenario.Phase
	for _, duration := range durations {
		list = append(list, scenario.Phase{Name: "P", Percent: percent, Duration: duration})
	}
	return list
}

// Guards against latency that counts from when the tool got to send a request
// instead of when it was due, and against figures of another rate, time or
// phase.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The primer sends 40 searches to 3 hosts, 200 a second, so the phases
		// start 1 s after the last one at 595 ms.
		w := &world{stallFrom: 2600 * time.Millisecond, stallTo: 2700 * time.Millisecond}
		r := newRun(t, w, scenario.Scenario{
			Prime: 100, WarmUp: time.Second,
			Phases: phases(100, time.Second, 2*time.Second),
			Faults: []scenario.Fault{{Kind: scenario.Slow, At: time.Second, For: time.Second}, {Kind: scenario.Lie, At: time.Second}},
		})
		assert.InEpsilon(t, 200.0, r.Capacity(), 1e-9)
		results, err := r.Do(t.Context(), report.Origin{Policy: "Adaptive"})
		require.NoError(t, err)
		require.Len(t, results, 3)
		first, second, all := results[0], results[1], results[2]
		assert.InDelta(t, 200, first.Offered, 50)
		assert.InDelta(t, 200, second.Offered, 50)
		assert.Equal(t, all.Requests, first.Requests+second.Requests)
		assert.Equal(t, all.Requests, all.Answers)
		assert.InDelta(t, 26, first.Latency.Max, 0.1)
		assert.InDelta(t, 26, second.Latency.P50, 0.1)
		// About 20 requests were due in the stall, the first right at its start.
		assert.InDelta(t, 106, second.Latency.Max, 15)
		assert.Greater(t, second.Latency.P99, 60.0)
		// The fake receives twice the requests that answers need.
		assert.True(t, all.BackendKnown)
		assert.InDelta(t, 100, all.ExtraPercent, 5)
		assert.Len(t, w.primed, 3*40)
		assert.ElementsMatch(t, []string{"2.595s start Slow", "2.595s start Lie", "3.595s stop Slow", "4.595s stop Lie"}, w.log)
		assert.Len(t, all.Timeline, 12)
		assert.Empty(t, all.Violations)
	})
}

// Guards against requests that wait silently when too many are outstanding.
func TestOutstandingLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{stallTo: time.Second}
		r := newRun(t, w, scenario.Scenario{Phases: phases(100, time.Second, time.Second)})
		results, err := r.Do(t.Context(), report.Origin{})
		require.NoError(t, err)
		require.Len(t, results, 3)
		assert.Equal(t, 100, results[0].Answers)
		assert.Equal(t, []report.Count{{Name: load.FailedLimit, Count: results[0].Requests - 100}}, results[0].Failed)
		assert.Equal(t, results[1].Requests, results[1].Answers)
	})
}

// Guards against repeated requests that are counted as normal ones or sent at
// other times.
func TestResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		r := newRun(t, w, scenario.Scenario{
			Phases: phases(0, 5*time.Second),
			Resends: []scenario.Resend{{
				Route: kitakaze.SearchHair, Filter: ebonyworks.Field{Name: "Shade", Value: "bad"}, At: time.Second, Every: time.Second,
			}},
		})
		results, err := r.Do(t.Context(), report.Origin{})
		require.NoError(t, err)
		assert.Equal(t, 0, results[0].Requests)
		assert.Equal(t, []report.Count{{Name: "crash_suspect", Count: 4}}, results[0].Resends)
	})
}

// Guards against figures of a run whose faults didn't happen, and against
// faults that stay after an interrupted run.
func TestFaultErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty := scenario.Scenario{Phases: phases(10, 5*time.Second), Faults: []scenario.Fault{{Kind: scenario.Kill}}}
		_, err := newRun(t, &world{failStop: true}, faulty).Do(t.Context(), report.Origin{})
		require.ErrorContains(t, err, "no such server")
		w := &world{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = newRun(t, w, faulty).Do(ctx, report.Origin{})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, []string{"0s start Kill", "1s stop Kill"}, w.log)
	})
}
