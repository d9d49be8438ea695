// Package adaptivelimit adapts a concurrency limit to the ratio of the latency without
// queueing to the measured latency (a gradient limit).
package adaptivelimit

import (
	"time"
)

const (
	// batchSize is the number of samples in one batch mean. The mean of 20 samples of
	// an exponential distribution has a standard deviation of 22%.
	batchSize = 20
	// meanSamples is the weight of the moving average, which has the same standard
	// deviation as a batch mean. It is updated with every sample, so that hosts with
	// small and large limits react to a queue at the same time.
	meanSamples = 10
	// tolerance is the ratio of the mean latency to the floor from which the limit is
	// lowered. The smallest of many batch means is about half of the true mean for
	// exponential service times, so a smaller ratio would lower the limit without any
	// queueing.
	tolerance = 3
	// slack is the latency above the floor that never lowers the limit, so that the
	// noise of the clock and the scheduler doesn't matter to fast servers.
	slack = 3 * time.Millisecond
	// overloadDecrease is the factor by which the limit is multiplied after a refusal
	// or a timeout.
	overloadDecrease = 0.7
	// floorWindow is the shortest time for which a floor is used. After a window in
	// which most attempts began at the limit, the limit is lowered once to a quarter,
	// so that the next floor is measured without the queue that the limit itself has
	// built up. With a half, the floor and the limit would raise each other in a long
	// overload.
	floorWindow = 20 * time.Second
	probeFactor = 0.25
	// minPause is the shortest time between two decreases, since refusals come in
	// bursts that have one cause.
	minPause = 20 * time.Millisecond
)

// Limit is an adaptive concurrency limit. Over a round of as many attempts as the
// limit allows, it changes by 1 - limit x (1 - gradient), where the gradient is the
// accepted latency divided by the mean latency, at most 1. So it settles at 1 / (1 -
// gradient). It only changes while it is reached. The additive increase by one makes
// hosts whose floors differ share a server; with a fixed factor in place of the
// gradient, the host with the highest floor of four took most of the capacity. A
// refusal or timeout lowers the limit at once. It isn't safe for concurrent use; its
// owner must guard it.
type Limit struct {
	// Initial is the first limit; Min, which is at least 1, and Max bound it. They may
	// be changed at any time.
	Initial, Min, Max float64

	// value is zero until the first use.
	value float64
	// sum and count are the total and the number of the samples of the incomplete
	// batch.
	sum   time.Duration
	count int
	// mean is the moving average of all samples, zero if there is none.
	mean time.Duration
	// floor and previousFloor are the smallest batch means of the current and the
	// previous window; zero if there are none.
	floor, previousFloor time.Duration
	windowEnd            time.Time
	// samples counts the samples of the current window, and samplesAtLimit those of
	// attempts that began at the limit.
	samples, samplesAtLimit int
	// nextDecrease is the earliest time of the next decrease.
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

// RecordLatency records the latency of a completed attempt. The limit only adapts if
// atLimit is set, which means that the limit was reached when the attempt began.
func (l *Limit) RecordLatency(now time.Time, latency time.Duration, atLimit bool) {
	l.add(now, latency, atLimit)
}

// RecordMinLatency records the latency of an attempt that was canceled, as a lower
// bound. Since the full latency isn't known, it is only used if it is above the mean
// or shows queueing by itself.
func (l *Limit) RecordMinLatency(now time.Time, latency time.Duration, atLimit bool) {
	if latency > l.MeanLatency() || l.showsQueueing(latency) {
		l.add(now, latency, atLimit)
	}
}

// RecordOverload lowers the limit after a refusal because of load, or a timeout.
func (l *Limit) RecordOverload(now time.Time) {
	if now.Before(l.nextDecrease) {
		return
	}
	l.value = max(1, l.Min, float64(l.Value())*overloadDecrease)
	l.nextDecrease = now.Add(max(minPause, l.mean))
}

// add adds a sample. A limit that isn't reached stays as it is: it isn't the cause of
// a high mean latency, and once lowered it couldn't rise again.
func (l *Limit) add(now time.Time, latency time.Duration, atLimit bool) {
	l.rotate(now)
	l.samples++
	if atLimit {
		l.samplesAtLimit++
	}
	latency = max(latency, time.Nanosecond)
	l.updateMean(latency)
	l.updateFloor(latency)
	if !atLimit {
		return
	}
	value := max(1, l.value)
	step := (1 - value*(1-l.gradient())) / value
	l.value = min(max(1, l.Min, value+step), l.Max)
}

// gradient returns the accepted latency divided by the mean latency, at most 1.
func (l *Limit) gradient() float64 {
	if !l.showsQueueing(l.mean) {
		return 1
	}
	return float64(l.acceptedLatency()) / float64(l.mean)
}

func (l *Limit) updateMean(latency time.Duration) {
	if l.mean == 0 {
		l.mean = latency
	}
	l.mean += (latency - l.mean) / meanSamples
}

// updateFloor adds the latency to the batch. Once the batch is full, it updates the
// floor with the batch mean and starts the next batch.
func (l *Limit) updateFloor(latency time.Duration) {
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

// showsQueueing reports whether the latency is above the accepted latency.
func (l *Limit) showsQueueing(latency time.Duration) bool {
	accepted := l.acceptedLatency()
	return accepted > 0 && latency > accepted
}

// acceptedLatency returns the latency from which queueing is assumed, or zero if it
// isn't known.
func (l *Limit) acceptedLatency() time.Duration {
	floor := l.floor
	if l.previousFloor > 0 && (floor == 0 || l.previousFloor < floor) {
		floor = l.previousFloor
	}
	if floor == 0 {
		return 0
	}
	return time.Duration(tolerance*float64(floor)) + slack
}

// rotate starts a new window of the floor once the current one has ended.
func (l *Limit) rotate(now time.Time) {
	if l.windowEnd.IsZero() {
		l.windowEnd = now.Add(floorWindow)
	}
	if now.Before(l.windowEnd) {
		return
	}
	l.windowEnd = now.Add(floorWindow)
	l.previousFloor = l.floor
	l.floor = 0
	if 2*l.samplesAtLimit > l.samples {
		l.value = max(1, l.Min, l.value*probeFactor)
	}
	l.samples = 0
	l.samplesAtLimit = 0
}
