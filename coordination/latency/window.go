// Package latency keeps the distribution of recent latencies.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// period is the length of one of the two windows that are kept.
	period = 5 * time.Second
	// unit and maxUnits set the range, 0.1 ms to 10 s, and digits an error of 1%.
	unit     = 100 * time.Microsecond
	maxUnits = int64(10 * time.Second / unit)
	digits   = 2
)

// Window holds the latencies of the current and the previous period. Use
// NewWindow. It isn't safe for concurrent use; its owner guards it.
type Window struct {
	current, previous *hdrhistogram.Histogram
	end               time.Time
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{current: newHistogram(), previous: newHistogram()}
}

// Rotate starts a new period when the current one has ended.
func (w *Window) Rotate(now time.Time) {
	if now.Before(w.end) {
		return
	}
	if now.After(w.end.Add(period)) {
		w.current.Reset()
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.end = now.Add(period)
}

// Record counts a latency.
func (w *Window) Record(latency time.Duration) {
	units := min(max(int64(latency/unit), 1), maxUnits)
	// The value is within the range of the histogram.
	_ = w.current.RecordValue(units)
}

// Count returns the number of latencies.
func (w *Window) Count() int64 {
	return w.current.TotalCount() + w.previous.TotalCount()
}

// Distribution merges windows to read their percentiles. One serves all windows
// of an owner. The zero value is usable.
type Distribution struct {
	merged *hdrhistogram.Histogram
}

// Load takes the latencies of the window in place of earlier ones.
func (d *Distribution) Load(window *Window) {
	if d.merged == nil {
		d.merged = newHistogram()
	}
	d.merged.Reset()
	d.merged.Merge(window.current)
	d.merged.Merge(window.previous)
}

// Percentile returns a percentile, from 0 to 100, of the loaded latencies.
func (d *Distribution) Percentile(percentile float64) time.Duration {
	return time.Duration(d.merged.ValueAtQuantile(percentile)) * unit
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxUnits, digits)
}
