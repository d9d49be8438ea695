// Package adaptivelimit adapts a concurrency limit to the ratio of the latency
// without queueing to the latency under the limit (a gradient limit).
package adaptivelimit

import (
	"time"
)

const (
	// batchSize is the number of samples in one mean. The mean of 20 samples
	// of an exponential distribution has a deviation of 22%.
	batchSize = 20
	// meanSamples is the weight of the moving average, with the same deviation
	// as a batch. It is updated with every sample, so that hosts with small
	// and large limits react to a queue at the same time.
	meanSamples = 10
	// tolerance is the ratio of a mean to the floor from which the limit is
	// lowered. The smallest mean of many is about half of the true one for
	// exponential service times, so a smaller ratio would cut the limit
	// without any queueing.
	tolerance = 3
	// slack is the latency above the floor that is never held against the
	// limit, so that noise of the clock and scheduler doesn't matter to fast
	// servers.
	slack = 3 * time.Millisecond
	// refusedDecrease is the factor after a refusal or a timeout.
	refusedDecrease = 0.7
	// floorWindow is how long a floor counts at least. After a window in which
	// the limit was reached by most attempts, it is lowered once to a quarter,
	// so that the next floor is measured without the queue that the limit
	// itself has built up. With a half, the floor and the limit would raise
	// each other in a long overload.
	floorWindow = 20 * time.Second
	probing     = 0.25
	// minPause is the shortest time between two decreases. Refusals come in
	// bursts that have one cause.
	minPause = 20 * time.Millisecond
)

// Limit is an adaptive concurrency limit. While it is reached, it moves in each
// round of attempts by 1 - limit x (1 - gradient), where the gradient is the
// bound of the latency divided by its mean, at most 1. So it settles at
// 1 / (1 - gradient). The steady rise by one makes hosts whose floors differ
// share a server; with a fixed factor in place of the gradient, the host with
// the highest floor of four took most of the capacity. A refusal or timeout
// lowers the limit at once. It isn't safe for concurrent use; its owner guards
// it.
type Limit struct {
	// Initial, Min and Max bound the limit; Min is at least 1. They may be
	// changed at any time.
	Initial, Min, Max float64

	// value is zero until the first use.
	value float64
	// sum and count are the unfinished batch.
	sum   time.Duration
	count int
	// mean is the moving average of all samples, zero if there is none.
	mean time.Duration
	// floor and previous are the smallest batch means of the current and the
	// last window; zero if there are none.
	floor, previous time.Duration
	windowEnd       time.Time
	// samples counts those of the current window, and used the ones whose
	// attempt began at the limit.
	samples, used int
	// nextDecrease is the end of the pause after a decrease.
	nextDecrease time.Time
}

// Value returns the limit, at least 1.
func (l *Limit) Value() int {
	if l.value == 0 {
		l.value = l.Initial
	}
	l.value = max(1, l.Min, min(l.value, l.Max))
	return int(l.value)
}

// MeanLatency returns the recent mean latency, or zero if it isn't known.
func (l *Limit) MeanLatency() time.Duration { return l.mean }

// RecordLatency takes the latency of a completed attempt, and whether the limit was
// reached when the attempt began. The limit only adapts if it was.
func (l *Limit) RecordLatency(now time.Time, latency time.Duration, inUse bool) {
	l.add(now, latency, inUse)
}

// RecordMinLatency takes the latency of an attempt that was ended early. Since the
// full latency isn't known, it counts only if it is above the mean or shows
// queueing by itself.
func (l *Limit) RecordMinLatency(now time.Time, latency time.Duration, inUse bool) {
	if latency > l.MeanLatency() || l.exceeds(latency) {
		l.add(now, latency, inUse)
	}
}

// RecordOverload lowers the limit after a refusal because of load, or a timeout.
func (l *Limit) RecordOverload(now time.Time) {
	if now.Before(l.nextDecrease) {
		return
	}
	l.value = max(1, l.Min, float64(l.Value())*refusedDecrease)
	l.nextDecrease = now.Add(max(minPause, l.mean))
}

// add takes a sample. A limit that isn't reached is left alone: it isn't the
// cause of a slow mean, and once lowered it couldn't rise again.
func (l *Limit) add(now time.Time, latency time.Duration, inUse bool) {
	l.rotate(now)
	l.samples++
	if inUse {
		l.used++
	}
	latency = max(latency, time.Nanosecond)
	l.average(latency)
	l.batch(latency)
	if !inUse {
		return
	}
	value := max(1, l.value)
	step := (1 - value*(1-l.gradient())) / value
	l.value = min(max(1, l.Min, value+step), l.Max)
}

// gradient returns the part of the limit that the mean latency justifies.
func (l *Limit) gradient() float64 {
	if !l.exceeds(l.mean) {
		return 1
	}
	return float64(l.bound()) / float64(l.mean)
}

func (l *Limit) average(latency time.Duration) {
	if l.mean == 0 {
		l.mean = latency
	}
	l.mean += (latency - l.mean) / meanSamples
}

// batch finishes a batch of samples now and then, and keeps the smallest mean.
func (l *Limit) batch(latency time.Duration) {
	l.sum += latency
	l.count++
	if l.count < batchSize {
		return
	}
	mean := l.sum / batchSize
	if l.floor == 0 || mean < l.floor {
		l.floor = mean
	}
	l.sum = 0
	l.count = 0
}

// exceeds reports whether the latency shows queueing.
func (l *Limit) exceeds(latency time.Duration) bool {
	bound := l.bound()
	return bound > 0 && latency > bound
}

// bound returns the latency from which queueing is assumed, or zero if it
// isn't known.
func (l *Limit) bound() time.Duration {
	floor := l.floor
	if l.previous > 0 && (floor == 0 || l.previous < floor) {
		floor = l.previous
	}
	if floor == 0 {
		return 0
	}
	return time.Duration(tolerance*float64(floor)) + slack
}

// rotate starts a new window of the floor when the current one has ended.
func (l *Limit) rotate(now time.Time) {
	if l.windowEnd.IsZero() {
		l.windowEnd = now.Add(floorWindow)
	}
	if now.Before(l.windowEnd) {
		return
	}
	l.windowEnd = now.Add(floorWindow)
	l.previous = l.floor
	l.floor = 0
	if 2*l.used > l.samples {
		l.value = max(1, l.Min, l.value*probing)
	}
	l.samples = 0
	l.used = 0
}
