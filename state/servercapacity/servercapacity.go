// Package servercapacity learns how long the requests of a backend server take under the
// load that it reports. It answers loads in which the servers of a service differ in
// speed, slow down before they are full, or share their machine with other work.
package servercapacity

import (
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// reportValidity is how long a report of the load and of the machine's speed is used.
	// Both change several times a second.
	reportValidity = 300 * time.Millisecond
	// knowledgeAge is the time without samples after which everything is forgotten, so
	// that a server that was slow is tried again. A small host sees a server less than
	// once a second.
	knowledgeAge = 10 * time.Second
	// durationWeight and growthWeight are the weights of one sample. The speed of a server
	// changes within seconds, its behavior under load doesn't.
	durationWeight = 0.3
	growthWeight   = 0.2
	// maxFactor bounds the factor by which one sample may differ from the estimate, so
	// that a pause of the server counts as little more than a slow request.
	maxFactor = 4
	// usualWorkTime is the work time that means as usual.
	usualWorkTime = 100
)

// Levels of load, in requests for each slot. The lowest one is idle.
const (
	busyLoad       = 0.5
	fullLoad       = 1
	overloadedLoad = 2

	loadedLevels = 3
)

// assumedGrowth is the growth of each level above idle before it is learned: requests wait
// only for a slot.
var assumedGrowth = [loadedLevels]float64{0, math.Log(1.5), math.Log(2.5)}

// Estimator learns about one incarnation of a server. The zero value knows nothing. It isn't
// safe for concurrent use.
//
// All durations and factors are logarithms, so that averages are those of factors.
type Estimator struct {
	// idle is the duration in seconds of a request at an idle server on a machine that is
	// as fast as usual.
	idle float64
	// usual is the average over requests at any load, otherwise as idle.
	usual float64
	// growth has the factor between each level above idle and idle. It isn't below 1 and
	// doesn't decrease from one level to the next.
	growth [loadedLevels]float64
	// sampledAt is the time of the last sample; zero if there is none.
	sampledAt time.Time
	// reportedAt is the time of the last report, to which load, slots and workTime belong.
	reportedAt time.Time
	load       int
	// slots is positive once there is a report.
	slots int
	// workTime is positive once there is a report.
	workTime ebonyworks.Percent
}

// Observe records a request that the server completed, and the report that came with the
// response. A report without slots is ignored.
func (e *Estimator) Observe(duration time.Duration, report ebonyworks.ServerReport, now time.Time) {
	if report.Slots <= 0 || duration <= 0 {
		return
	}
	e.load = max(report.SlotsBusy, 0) + max(report.Queued, 0)
	e.slots = report.Slots
	e.workTime = report.WorkTime
	if e.workTime <= 0 {
		e.workTime = usualWorkTime
	}
	e.reportedAt = now
	sample := math.Log(duration.Seconds()) - e.workTimeFactor()
	level := levelOf(e.load, e.slots)
	if !e.Known(now) {
		e.growth = assumedGrowth
		e.idle = sample - e.growthAt(level)
		e.usual = sample
		e.sampledAt = now
		return
	}
	e.sampledAt = now
	e.usual += durationWeight * difference(sample, e.usual)
	gap := difference(sample, e.idle+e.growthAt(level))
	e.idle += durationWeight * gap
	if level > 0 {
		e.growth[level-1] += growthWeight * gap
		e.orderGrowth(level)
	}
}

// ObserveLowerBound records a request that was ended after the duration, so that it would
// have taken longer. It is ignored if it is no longer than usual. It makes nothing known.
func (e *Estimator) ObserveLowerBound(duration time.Duration) {
	gap := difference(math.Log(duration.Seconds()), e.usual)
	if gap <= 0 {
		return
	}
	e.usual += durationWeight * gap
	e.idle += durationWeight * gap
}

// Known reports whether there is a sample that is recent enough.
func (e *Estimator) Known(now time.Time) bool {
	return now.Sub(e.sampledAt) <= knowledgeAge
}

// Expected returns how long one more request would take now, or zero if that isn't known.
//
// Each attempt in flight is assumed to delay the next one, even if the last report had free
// slots: a server that pauses reports nothing, and the attempts in flight are the only sign.
func (e *Estimator) Expected(inFlight int, now time.Time) time.Duration {
	if !e.Known(now) {
		return 0
	}
	expected := e.usual
	if now.Sub(e.reportedAt) <= reportValidity {
		expected = e.idle + e.growthAt(levelOf(e.load, e.slots)) + e.workTimeFactor()
	}
	return seconds(math.Exp(expected) * float64(inFlight+1))
}

// workTimeFactor returns the factor by which the machine was slower than usual at the last
// report.
func (e *Estimator) workTimeFactor() float64 {
	return math.Log(float64(e.workTime) / usualWorkTime)
}

func (e *Estimator) growthAt(level int) float64 {
	if level == 0 {
		return 0
	}
	return e.growth[level-1]
}

// orderGrowth restores the order of the growth after that of the level has changed.
func (e *Estimator) orderGrowth(changed int) {
	for level := changed; level <= loadedLevels; level++ {
		e.growth[level-1] = max(e.growth[level-1], e.growthAt(level-1))
	}
}

// levelOf returns the level of the load, from 0 for idle to loadedLevels.
func levelOf(load, slots int) int {
	switch share := float64(load) / float64(slots); {
	case share <= busyLoad:
		return 0
	case share <= fullLoad:
		return 1
	case share <= overloadedLoad:
		return 2
	default:
		return loadedLevels
	}
}

// difference returns the difference of the logarithms, bounded by maxFactor.
func difference(sample, estimate float64) float64 {
	bound := math.Log(maxFactor)
	return max(-bound, min(sample-estimate, bound))
}

func seconds(value float64) time.Duration {
	return max(time.Duration(value*float64(time.Second)), time.Nanosecond)
}
