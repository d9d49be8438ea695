// Package latency computes percentiles of recent latencies.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// period is the length of each of the two periods that a window covers.
	period = 5 * time.Second
	// unit and maxUnits set the range of the histogram, 0.1 ms to 10 s, and digits, the
	// number of significant digits, sets an error of 1%.
	unit     = 100 * time.Microsecond
	maxUnits = int64(10 * time.Second / unit)
	digits   = 2
)

// Window holds the latencies of the current and the previous period. Use NewWindow. It
// isn't safe for concurrent use.
type Window struct {
	current, previous *hdrhistogram.Histogram
	end               time.Time
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{current: newHistogram(), previous: newHistogram()}
}

// Clone returns a window with the same latencies that shares no memory with this one.
func (w *Window) Clone() *Window {
	clone := &Window{current: newHistogram(), previous: newHistogram(), end: w.end}
	clone.current.Merge(w.current)
	clone.previous.Merge(w.previous)
	return clone
}

// Rotate starts a new period if the current one has ended.
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

// Record adds a latency to the current period. Latencies outside of the histogram's
// range count as its ends.
func (w *Window) Record(latency time.Duration) {
	units := min(max(int64(latency/unit), 1), maxUnits)
	// RecordValue returns no error, since the value is within the range.
	_ = w.current.RecordValue(units)
}

// Count returns the number of latencies in both periods.
func (w *Window) Count() int64 {
	return w.current.TotalCount() + w.previous.TotalCount()
}

// Distribution computes percentiles of a window. One distribution can be reused for many
// windows, to save memory. It isn't safe for concurrent use, and the zero value is usable.
type Distribution struct {
	merged *hdrhistogram.Histogram
}

// Load replaces the content with the latencies of the window.
func (d *Distribution) Load(window *Window) {
	if d.merged == nil {
		d.merged = newHistogram()
	}
	d.merged.Reset()
	d.merged.Merge(window.current)
	d.merged.Merge(window.previous)
}

// Percentile returns the given percentile, from 0 to 100, of the loaded latencies.
func (d *Distribution) Percentile(percentile float64) time.Duration {
	return time.Duration(d.merged.ValueAtQuantile(percentile)) * unit
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxUnits, digits)
}
