// Package report turns the results of requests into figures, JSON lines and
// tables.
package report

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

// Histograms hold microseconds with three digits.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// maxNames bounds the distinct codes of one tally. Codes come from replies.
const maxNames = 64

// otherName counts codes beyond maxNames.
const otherName = "other"

// Count is how often something with a name occurred.
type Count struct {
	Name  string
	Count int
}

// counts are ordered by name when they are read.
type counts struct {
	list []Count
}

func (c *counts) add(name string, n int) {
	for i := range c.list {
		if c.list[i].Name == name {
			c.list[i].Count += n
			return
		}
	}
	if len(c.list) >= maxNames {
		name = otherName
		if last := &c.list[len(c.list)-1]; last.Name == otherName {
			last.Count += n
			return
		}
	}
	c.list = append(c.list, Count{Name: name, Count: n})
}

func (c *counts) sorted() []Count {
	sorted := slices.Clone(c.list)
	slices.SortFunc(sorted, func(a, b Count) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

func (c *counts) merge(other *counts) {
	for _, each := range other.list {
		c.add(each.Name, each.Count)
	}
}

// tally sums up the requests of one phase.
type tally struct {
	requests int
	// replies are the requests that ended with an answer, an outcome or a
	// refusal.
	replies      int
	searches     *hdrhistogram.Histogram
	reservations *hdrhistogram.Histogram
	answers      int
	complete     int
	// coverage is the sum of the covered parts of all answers.
	coverage   float64
	missed     counts
	refused    counts
	failed     counts
	outcomes   counts
	codes      counts
	violations counts
}

func newTally() *tally {
	return &tally{
		searches:     hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits),
		reservations: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits),
	}
}

func (t *tally) add(sample Sample) {
	t.requests++
	result := sample.Result
	for _, violation := range result.Violations {
		t.violations.add(violation, 1)
	}
	if result.Ending == load.Failed {
		t.failed.add(result.Code, 1)
		return
	}
	t.replies++
	switch result.Ending {
	case load.Answered:
		t.answer(sample)
	case load.Settled:
		record(t.reservations, sample.Latency)
		t.outcomes.add(outcomeName(result.Outcome), 1)
		t.codes.add(result.Code, 1)
	default:
		t.refused.add(result.Code, 1)
	}
}

func (t *tally) answer(sample Sample) {
	result := sample.Result
	record(t.searches, sample.Latency)
	t.answers++
	if result.Complete() {
		t.complete++
	}
	if shards := result.Covered + len(result.Missed); shards > 0 {
		t.coverage += float64(result.Covered) / float64(shards)
	}
	for _, miss := range result.Missed {
		t.missed.add(string(miss.Reason), 1)
	}
}

func (t *tally) merge(other *tally) {
	t.requests += other.requests
	t.replies += other.replies
	t.searches.Merge(other.searches)
	t.reservations.Merge(other.reservations)
	t.answers += other.answers
	t.complete += other.complete
	t.coverage += other.coverage
	t.missed.merge(&other.missed)
	t.refused.merge(&other.refused)
	t.failed.merge(&other.failed)
	t.outcomes.merge(&other.outcomes)
	t.codes.merge(&other.codes)
	t.violations.merge(&other.violations)
}

// record clamps the latency to the range of the histogram.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency.Microseconds(), lowestMicroseconds), highestMicroseconds)
	// The value is within the range, so there is no error.
	_ = histogram.RecordValue(value)
}

func outcomeName(kind ebonyworks.OutcomeKind) string {
	switch kind {
	case ebonyworks.OutcomeRan:
		return "Ran"
	case ebonyworks.OutcomeNotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}
