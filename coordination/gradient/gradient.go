// Package gradient adapts a concurrency limit to the latency that it leads
// to, relative to the latency without queueing.
package gradient

import (
	"time"
)

const (
	// batchSize is the number of samples in one mean. The mean of 20 samples
	// of an exponential distribution has a deviation of 22%.
	batchSize = 20
	// tolerance is the ratio of a mean to the floor from which the limit is
	// lowered. The smallest mean of many is about half of the true one for
	// exponential service times, so a smaller ratio would cut the limit
	// without any queueing.
	tolerance = 2.5
	// slack is the latency above the floor that is never held against the
	// limit, so that noise of the clock and scheduler doesn't matter to fast
	// servers.
	slack = 3 * time.Millisecond
	// decrease is the factor after a slow mean, and refusedDecrease the one
	// after a refusal or a timeout, which is the stronger sign.
	decrease        = 0.9
	refusedDecrease = 0.7
	// floorWindow is how long a floor counts at least. After it a limit that
	// was reached is halved once, so that the next floor is measured without the queue that
	// the limit itself has built up.
	floorWindow = 20 * time.Second
	halving     = 0.5
	// minPause is the shortest time between two decreases. Refusals come in
	// bursts that have one cause.
	minPause = 20 * time.Millisecond
)

// Limit is an adaptive concurrency limit. It rises by one for each round of
// attempts while it is in use, and falls when latency or refusals say so. It
// isn't safe for concurrent use; its owner guards it.
type Limit struct {
	// Start, Min and Max bound the limit; Min is at least 1. They may be
	// changed at any time.
	Start, Min, Max float64

	// value is zero until the first use.
	value float64
	// sum and count are the unfinished batch.
	sum   time.Duration
	count int
	// batchUsed is set if the limit was reached in the unfinished batch. Slow
	// batches without it don't lower the limit: it isn't their cause, and a
	// limit that isn't reached couldn't rise again.
	batchUsed bool
	// mean is that of the last batch, zero if there is none.
	mean time.Duration
	// floor and previous are the smallest means of the current and the last
	// window; zero if there are none.
	floor, previous time.Duration
	windowEnd       time.Time
	// used is set if the limit was reached in the current window.
	used bool
	// nextDecrease is the end of the pause after a decrease.
	nextDecrease time.Time
}

// Value returns the limit, at least 1.
func (l *Limit) Value() int {
	if l.value == 0 {
		l.value = l.Start
	}
	l.value = max(1, l.Min, min(l.value, l.Max))
	return int(l.value)
}

// Mean returns the recent mean latency, or zero if it isn't known.
func (l *Limit) Mean() time.Duration {
	if l.mean == 0 && l.count > 0 {
		return l.sum / time.Duration(l.count)
	}
	return l.mean
}

// Served takes the latency of a completed attempt. The limit only rises if it
// was in use, since the latency says nothing of a limit that isn't reached.
func (l *Limit) Served(now time.Time, latency time.Duration, inUse bool) {
	value := float64(l.Value())
	l.add(now, latency, inUse)
	if inUse && !l.slow() {
		l.value = min(l.value+1/value, l.Max)
	}
}

// AtLeast takes the latency of an attempt that was ended early. Since the
// full latency isn't known, it counts only if it is above the mean or shows
// queueing by itself.
func (l *Limit) AtLeast(now time.Time, latency time.Duration, inUse bool) {
	if latency > l.Mean() || l.exceeds(latency) {
		l.add(now, latency, inUse)
	}
}

// Refused lowers the limit after a refusal because of load, or a timeout.
func (l *Limit) Refused(now time.Time) {
	l.lower(now, refusedDecrease)
}

func (l *Limit) add(now time.Time, latency time.Duration, inUse bool) {
	l.rotate(now)
	l.used = l.used || inUse
	l.batchUsed = l.batchUsed || inUse
	l.sum += max(latency, time.Nanosecond)
	l.count++
	if l.count < batchSize {
		return
	}
	l.mean = l.sum / batchSize
	l.sum = 0
	l.count = 0
	if l.floor == 0 || l.mean < l.floor {
		l.floor = l.mean
	}
	if l.batchUsed && l.slow() {
		l.lower(now, decrease)
	}
	l.batchUsed = false
}

// slow reports whether the last mean shows queueing.
func (l *Limit) slow() bool { return l.exceeds(l.mean) }

// exceeds reports whether the latency is well above the floor.
func (l *Limit) exceeds(latency time.Duration) bool {
	floor := l.floor
	if l.previous > 0 && (floor == 0 || l.previous < floor) {
		floor = l.previous
	}
	return floor > 0 && latency > time.Duration(tolerance*float64(floor))+slack
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
	if l.used {
		l.value = max(1, l.Min, l.value*halving)
	}
	l.used = false
}

func (l *Limit) lower(now time.Time, factor float64) {
	if now.Before(l.nextDecrease) {
		return
	}
	l.value = max(1, l.Min, float64(l.Value())*factor)
	l.nextDecrease = now.Add(max(minPause, l.Mean()))
}
