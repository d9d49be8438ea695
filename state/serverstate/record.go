package serverstate

import (
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/failurerate"
	"github.com/ebonyworks/ebonyworks/state/servercapacity"
)

// record is the state of one server. Times are zero if unknown.
type record struct {
	// incarnation never decreases; zero means unknown.
	incarnation ebonyworks.Incarnation
	// draining is cleared by a newer incarnation. If the server didn't announce it
	// itself, a new registration clears it, too.
	draining bool
	// returnedAt is when a newer incarnation cleared draining.
	returnedAt time.Time
	// announcedAt is when the server itself first reported that this incarnation is
	// draining; zero if it didn't.
	announcedAt time.Time
	// backoffUntil is the time until which this incarnation gets no requests of this
	// host.
	backoffUntil time.Time
	// limit is the rate limit that this incarnation stated.
	limit rateLimit
	// service is empty until an entry or an attempt has named it.
	service ebonyworks.ServiceID
	warmup  warmup
	// rampSince is the start of the slow start, and rampTime its length; zero means
	// RampTime.
	rampSince time.Time
	rampTime  time.Duration
	// latency is the average as of latencyAt, zero if there is no sample.
	latency   time.Duration
	latencyAt time.Time
	// robustLatency is set if single outliers don't raise latency, and latency isn't
	// assumed to be below that of the best replica; see Table.KeepInDomain.
	robustLatency bool
	// last is the last sample, zero if there is none.
	last time.Duration
	// typical is the average over the last samples, zero if there is none.
	typical time.Duration
	// fastest is the lowest typical latency so far, zero if there is none.
	fastest time.Duration
	// best is the typical latency of the best replica when last compared.
	best time.Duration
	// slow is set while the typical latency is far above that of a replica.
	slow bool
	// lastProbeGood is set if the last sample of a slow server was close to the best
	// replica's latency.
	lastProbeGood bool
	failures      int
	// failureRate is the share of recent requests that failed.
	failureRate failurerate.Rate
	// capacity is what is learned about this incarnation; nil if nothing is.
	capacity *servercapacity.Estimator
	// interval is the next time between probes, before jitter.
	interval  time.Duration
	nextProbe time.Time
	// probing is set from the probe of a failing server to its result.
	probing bool
	// lastReport is when slotsBusy and queued were reported.
	lastReport time.Time
	slotsBusy  int
	queued     int
	// reportedLoad is the moving average of the sum of both.
	reportedLoad float64
	// statusRequestedAt is when DueForStatus last returned the server for its missing report.
	statusRequestedAt time.Time
	// confirmedAt is when the server or a peer last confirmed the state.
	confirmedAt time.Time
}

// markForProbe marks the candidate for the probe that is due. After a good probe, the
// next ones replace regular attempts, because copies would use up the retry budget
// when many servers recover together.
func (k *record) markForProbe(candidate *ebonyworks.Candidate) {
	if k.lastProbeGood {
		candidate.Latency = time.Nanosecond
		// The selection looks at two random servers of other domains only, and the probe
		// would be lost if this one weren't among them.
		candidate.SameDomain = true
		return
	}
	candidate.Probe = true
}

func (k *record) resetProbes() {
	k.interval = 0
	k.nextProbe = time.Time{}
	k.probing = false
}

func (k *record) failing() bool { return k.failures >= failuresUntilFailing }

// share returns the fraction of its normal traffic that the server may get.
func (k *record) share(now time.Time) float64 {
	if k.rampSince.IsZero() {
		return 1
	}
	length := k.rampTime
	if length == 0 {
		length = RampTime
	}
	step := math.Floor(rampSteps * float64(now.Sub(k.rampSince)) / float64(length))
	return min(1, rampStart+(1-rampStart)*max(step, 0)/rampSteps)
}

// decayed returns the latency average as of now. The average decays while there are
// no samples, so that a server that was slow is tried again.
func (k *record) decayed(now time.Time) time.Duration {
	if k.latency == 0 {
		return 0
	}
	age := now.Sub(k.latencyAt)
	latency := time.Duration(float64(k.latency) * math.Exp(-float64(age)/float64(latencyDecay)))
	if k.robustLatency || k.failureRate.At(now) > 0 {
		// A server that isn't used since it fails must not seem fast after a while.
		latency = max(latency, k.best)
	}
	return max(latency, time.Nanosecond)
}

// addSample moves the peak-sensitive average to the latency: at once if it is
// higher, else weighted by the time since the last sample.
func (k *record) addSample(now time.Time, latency time.Duration) {
	latency = max(latency, time.Nanosecond)
	k.addTypicalSample(now, latency)
	latency = k.withoutOutlier(latency)
	average := k.decayed(now)
	if latency >= average {
		k.latency = latency
		k.latencyAt = now
		return
	}
	weight := math.Exp(-float64(now.Sub(k.latencyAt)) / float64(latencyDecay))
	k.latency = latency + time.Duration(float64(average-latency)*weight)
	k.latencyAt = now
}

// addTypicalSample updates the typical latency, an exponentially weighted average.
func (k *record) addTypicalSample(now time.Time, latency time.Duration) {
	if k.typical == 0 {
		k.typical = latency
		k.fastest = latency
		return
	}
	weight := typicalWeight
	if k.slow {
		weight = slowWeight
		k.shortenInterval(now, latency)
	}
	k.typical += time.Duration(weight * float64(latency-k.typical))
	k.fastest = min(k.fastest, k.typical)
}

// shortenInterval shortens the interval between probes of a slow server after a good
// one. If the latency is robust, the next probe follows soon, since a server that has
// recovered needs about ten good probes, and requests leave the domain until then. The
// interval is that after a bad probe.
func (k *record) shortenInterval(now time.Time, latency time.Duration) {
	k.lastProbeGood = latency < slowFactor*k.best
	if float64(latency) >= normalFactor*float64(k.best) {
		return
	}
	k.interval = max(k.interval/4, firstSlowInterval)
	if next := now.Add(recoveryInterval); k.robustLatency && next.Before(k.nextProbe) {
		k.nextProbe = next
	}
}

// addLowerBound adds a sample of which only a lower bound is known.
func (k *record) addLowerBound(now time.Time, latency time.Duration) {
	if latency > k.typical {
		k.addTypicalSample(now, canceledFactor*latency)
	}
	k.raiseLatency(now, k.withoutOutlier(latency))
}

// withoutOutlier returns the lower one of the sample and the sample before it if the
// latency is robust. One long request is a pause of the server or an expensive request;
// two in a row are a slow server.
func (k *record) withoutOutlier(latency time.Duration) time.Duration {
	last := k.last
	k.last = latency
	if !k.robustLatency || last == 0 {
		return latency
	}
	return min(latency, last)
}

// raiseLatency raises the peak-sensitive average to the latency.
func (k *record) raiseLatency(now time.Time, latency time.Duration) {
	if latency > k.decayed(now) {
		k.latency = latency
		k.latencyAt = now
	}
}
