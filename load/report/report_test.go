package report

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

func answered(covered, missed int) load.Result {
	result := load.Result{Ending: load.Answered, Covered: covered}
	for range missed {
		result.Missed = append(result.Missed, ebonyworks.MissedShard{Shard: "s", Reason: ebonyworks.MissTimeout})
	}
	return result
}

// Guards against figures that differ from their definitions.
func TestResults(t *testing.T) {
	recorder := NewRecorder(1, 2*time.Second)
	recorder.Add(Sample{Phase: Uncounted, Latency: time.Hour, Result: answered(4, 0)})
	recorder.Boundary(load.Counters{Served: 8, Shed: 2}, true)
	for i := range 99 {
		recorder.Add(Sample{At: time.Duration(i) * 10 * time.Millisecond, Latency: 10 * time.Millisecond, Result: answered(4, 0)})
	}
	recorder.Add(Sample{At: time.Second, Latency: 300 * time.Millisecond, Result: answered(1, 3)})
	recorder.Add(Sample{Result: load.Result{Ending: load.Refused, Code: "overloaded"}})
	recorder.Add(Sample{Result: load.Result{Code: load.FailedReset}})
	recorder.Add(Sample{Latency: 5 * time.Millisecond, Result: load.Result{Ending: load.Settled, Code: "done", Outcome: ebonyworks.OutcomeRan}})
	recorder.Add(Sample{Latency: 7 * time.Millisecond, Result: load.Result{Ending: load.Settled, Code: "timeout"}})
	// 397 shards were covered and one reservation ran.
	recorder.Boundary(load.Counters{Served: 400, Shed: 12, Abandoned: 36}, true)
	results := recorder.Results(Origin{Scenario: "s"}, Capacity{Requests: 120, Searches: 99}, []PhaseSpan{{Name: "One", Percent: 50, Duration: 2 * time.Second}})
	require.Len(t, results, 1)
	result := results[0]
	assert.Equal(t, AllPhases, result.Phase)
	assert.Equal(t, []any{104, 100, 52.0, 51.5, 49.5, 50}, []any{
		result.Requests, result.Answers, result.Offered, result.Achieved, result.Goodput, result.Percent,
	})
	assert.InEpsilon(t, 99.0, result.CompletePercent, 1e-9)
	assert.InEpsilon(t, 50.0, result.GoodputPercent, 1e-9)
	assert.InEpsilon(t, 99.25, result.CoveragePercent, 1e-9)
	assert.InEpsilon(t, 10.0, result.Latency.P99, 0.01)
	assert.InEpsilon(t, 300.0, result.Latency.Max, 0.01)
	assert.Equal(t, []Count{{"timeout", 3}}, result.Missed)
	assert.Equal(t, []Count{{"overloaded", 1}}, result.Refused)
	assert.Equal(t, []Count{{load.FailedReset, 1}}, result.Failed)
	assert.Equal(t, []Count{{"Ran", 1}, {"Unknown", 1}}, result.Reservations)
	assert.Equal(t, []any{uint64(438), uint64(398), uint64(10)}, []any{result.Received, result.Useful, result.Backend.Shed})
	assert.InEpsilon(t, 100*40.0/398, result.ExtraPercent, 1e-9)
	// Samples at 0, 10, ..., 230 ms arrive in the first bucket.
	require.Len(t, result.Timeline, 8)
	assert.InEpsilon(t, 24/0.25, result.Timeline[0].Goodput, 1e-9)
	assert.InEpsilon(t, 300.0, result.Timeline[4].P99, 1e-9)
	assert.InEpsilon(t, 300.0, result.Timeline[7].P99, 1e-9)

	var lines, table bytes.Buffer
	require.NoError(t, Write(&lines, results))
	read, err := Read(&lines)
	require.NoError(t, err)
	assert.Equal(t, results, read)
	require.NoError(t, Table(&table, read))
	assert.Contains(t, table.String(), "99.00%   99.250%")
	assert.Contains(t, table.String(), "missed shards timeout 3; refused overloaded 1; failed reset 1; reservations Ran 1, Unknown 1")
}

// Guards against reservations whose outcome contradicts what the servers ran.
func TestExecutions(t *testing.T) {
	ran := load.Result{Ending: load.Settled, Outcome: ebonyworks.OutcomeRan}
	notRun := load.Result{Ending: load.Settled, Outcome: ebonyworks.OutcomeNotRun}
	unknown := load.Result{Ending: load.Settled, Outcome: ebonyworks.OutcomeUnknown}
	lost := load.Result{Code: load.FailedReset}
	tests := []struct {
		name       string
		results    []load.Result
		executions load.Executions
		want       []Count
	}{
		{"consistent", []load.Result{ran, notRun, unknown, lost}, load.Executions{Distinct: 3}, nil},
		{"unknown and not run", []load.Result{ran, unknown, lost}, load.Executions{Distinct: 1}, nil},
		{"twice", []load.Result{ran}, load.Executions{Distinct: 1, Repeated: 1}, []Count{{violationTwice, 1}}},
		{"not run after all", []load.Result{ran, ran}, load.Executions{Distinct: 1}, []Count{{violationLess, 1}}},
		{"run after all", []load.Result{ran, notRun}, load.Executions{Distinct: 2}, []Count{{violationHidden, 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorder := NewRecorder(1, time.Second)
			for _, result := range test.results {
				recorder.Add(Sample{Kind: ebonyworks.ReservationRoute, Phase: Uncounted, Result: result})
			}
			recorder.SetExecutions(test.executions)
			results := recorder.Results(Origin{}, Capacity{}, []PhaseSpan{{Name: "P", Duration: time.Second}})
			assert.Equal(t, test.want, results[0].Violations)
			assert.Equal(t, test.want != nil, Violated(results))
		})
	}
}

// Guards against figures about the stand-ins that were not read, and against
// a division by zero without answers.
func TestUnknownCounters(t *testing.T) {
	recorder := NewRecorder(2, time.Second)
	recorder.Boundary(load.Counters{Served: 5}, true)
	recorder.Boundary(load.Counters{}, false)
	recorder.Boundary(load.Counters{Served: 9}, true)
	half := PhaseSpan{Name: "P", Duration: time.Second / 2}
	results := recorder.Results(Origin{}, Capacity{}, []PhaseSpan{half, half})
	require.Len(t, results, 3)
	assert.Equal(t, []bool{false, false, true}, []bool{results[0].BackendKnown, results[1].BackendKnown, results[2].BackendKnown})
	var lines bytes.Buffer
	assert.NoError(t, Write(&lines, results))
}

// Guards against memory that grows with the codes of a faulty host.
func TestCountsAreBounded(t *testing.T) {
	var c counts
	for i := range 1000 {
		c.add(fmt.Sprint(i), 1)
	}
	assert.Len(t, c.list, maxNames+1)
	assert.Equal(t, Count{otherName, 1000 - maxNames}, c.list[maxNames])
}

// Guards against guest time that is counted twice and against other systems.
func TestParseCPU(t *testing.T) {
	from := parseCPU("cpu  100 0 50 800 50 0 0 0 30 0\ncpu0 1 1 1 1 1 1 1 1 1 1\n")
	to := parseCPU("cpu  150 0 60 830 60 0 0 0 90 0\n")
	assert.InEpsilon(t, 60.0, to.busySince(from), 1e-9)
	assert.Zero(t, parseCPU("").busySince(from))
	assert.Zero(t, to.busySince(parseCPU("cpu x")))
}
