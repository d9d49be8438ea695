// Package register holds what this host knows of each backend server.
package register

import (
	"math"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// MaxServers bounds the records. It is above the 2,400 servers of the design size,
	// so that servers of an old and a new configuration fit together.
	MaxServers = 8192
	// RampTime is how long a cold server takes to reach its full share.
	RampTime = 10 * time.Second
	// StaleAge is the age from which facts must be refreshed. It is the time
	// by which a departure has to be known everywhere.
	StaleAge = 3 * time.Second

	rampStep     = time.Second
	rampStart    = 0.1
	latencyDecay = 2 * time.Second
	// maxLatency bounds what repeated shed replies can add to the average.
	maxLatency = time.Second
	// statusInterval is the shortest time between status requests of one host
	// to one server.
	statusInterval = time.Second
	// A server becomes slow if its typical latency is above slowFactor times
	// that of the best replica and more than slowSlack above it. The state ends
	// below normalFactor, so that a few lucky samples don't end it.
	slowFactor   = 3
	normalFactor = 1.5
	slowSlack    = 5 * time.Millisecond
	// typicalWeight is the weight of one sample in the typical latency. Three
	// samples show a straggler of ten times the latency; one of the longest
	// exponential service times doesn't.
	typicalWeight = 0.15
	// slowWeight replaces it while the server is slow, so that some ten good
	// probes end the state.
	slowWeight = 0.3
	// survivorFactor estimates the latency of an attempt that was ended early:
	// if nothing else is known, it had lasted for half of its time.
	survivorFactor = 2
	// reportAge is the age from which a load report isn't used to break ties.
	reportAge = 2 * time.Second
	// failuresUntilFailing keeps one lost reply from moving all load to the
	// other replica. A refused connection counts as this many.
	failuresUntilFailing = 3
	firstProbeInterval   = 100 * time.Millisecond
	maxProbeInterval     = 5 * time.Second
	// A probe of a slow server makes a caller wait for its hedge, so the
	// interval grows further than that of a failing one.
	firstSlowInterval = 500 * time.Millisecond
	maxSlowInterval   = 10 * time.Second
	// returnedAge is how long the end of a departure is passed on to peers.
	// Peers that missed it learn it from the server's next report.
	returnedAge = time.Minute
)

// Register holds what this host knows of each backend server. The zero value
// is usable. It is safe for concurrent use after its fields have been set.
type Register struct {
	// Random spreads the probes of failing servers. The register guards it
	// with its own mutex, so it must not be shared. Nil means a fixed seed.
	Random *mathrand.Rand
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.Recorder

	mutex sync.Mutex
	// servers has at most MaxServers entries.
	servers map[ebonyworks.ServerID]*record
	// retained is set once a configuration has named the servers.
	retained bool
	// staleBefore is the time of the latest resume from a pause.
	staleBefore time.Time
}

// record is what is known of one server. Times are zero if unknown.
type record struct {
	// incarnation never decreases; zero means unknown.
	incarnation ebonyworks.Incarnation
	// leaving is only cleared by a newer incarnation.
	leaving bool
	// returned is when a newer incarnation cleared leaving.
	returned time.Time
	// rampSince is the start of the slow start.
	rampSince time.Time
	// latency is the average as of latencyAt, zero if there is no sample.
	latency   time.Duration
	latencyAt time.Time
	// typical is the average over the last samples, zero if there is none.
	typical time.Duration
	// best is the typical latency of the best replica when last compared.
	best time.Duration
	// slow is set while the typical latency is far above that of a replica.
	slow bool
	// promising is set if the last sample of a slow server was a good one.
	promising bool
	failures  int
	// interval is the next time between probes, before jitter.
	interval  time.Duration
	nextProbe time.Time
	// probing is set from the probe of a failing server to its result.
	probing     bool
	lastSuccess time.Time
	// lastReport is when slotsBusy and queued were reported.
	lastReport time.Time
	slotsBusy  int
	queued     int
	// asked is when Due last returned the server for its missing report.
	asked time.Time
	// refreshed is when a fact was last confirmed by the server or a peer.
	refreshed time.Time
}

// Observe learns from an ended attempt or status request.
func (r *Register) Observe(attempt ebonyworks.AttemptRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	known := r.open(attempt.Server)
	if known == nil {
		return
	}
	r.learnReport(known, attempt, now)
	r.learnResult(known, attempt, now)
}

// Depart learns a departure from a peer or the host list. It reports whether
// the fact was new, that is, worth passing on.
func (r *Register) Depart(departure ebonyworks.Departure) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.open(departure.Server)
	if known == nil {
		return false
	}
	now := time.Now()
	if departure.Incarnation >= known.incarnation {
		known.refreshed = now
	}
	return r.learnIncarnation(known, departure, now)
}

// Departures returns the facts that peers need, ordered by server: all
// servers that are leaving, and those that returned within the last minute.
func (r *Register) Departures() []ebonyworks.Departure {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var departures []ebonyworks.Departure
	for id, known := range r.servers {
		recent := !known.returned.IsZero() && now.Sub(known.returned) < returnedAge
		if !known.leaving && !recent {
			continue
		}
		departures = append(departures, ebonyworks.Departure{Server: id, Incarnation: known.incarnation, Leaving: known.leaving})
	}
	slices.SortFunc(departures, func(a, b ebonyworks.Departure) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return departures
}

// Candidates returns the servers of the service that the route may use and
// that aren't leaving, in the order of the configuration. The quota supplies
// the attempts in flight; nil means none.
//
// A server that is far slower than another replica keeps its latency until
// probes show that it has recovered, while that of other servers decays. It
// counts as far.
//
// When the probe of a slow server is due, one call for a search route gets it
// marked as Probe, or after a good probe with the lowest latency, so that it is
// chosen.
// Failing servers are probed by status requests only (Due): a search that fails
// there needs a retry, and without budget it would miss a shard.
func (r *Register) Candidates(
	service *ebonyworks.Service,
	route ebonyworks.Route,
	near ebonyworks.DomainID,
	quota ebonyworks.Quota,
) []ebonyworks.Candidate {
	candidates := make([]ebonyworks.Candidate, 0, len(service.Servers))
	candidates = r.appendUsable(candidates, service, route, near)
	if quota == nil {
		return candidates
	}
	for i := range candidates {
		candidates[i].InFlight, candidates[i].Limit = quota.Load(service, candidates[i].Server.ID)
	}
	return candidates
}

// Due returns at most limit of the servers that should be asked for their
// status now: those without a report for a second, and failing ones whose
// next probe is due. The caller passes the result of each to Observe.
func (r *Register) Due(servers []ebonyworks.Server, limit int) []ebonyworks.Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var due []ebonyworks.Server
	for _, server := range servers {
		if len(due) >= limit {
			break
		}
		known := r.open(server.ID)
		if known != nil && r.takeStatus(known, now) {
			due = append(due, server)
		}
	}
	return due
}

// MarkStale declares all facts learned before now as stale. It is called
// after a pause of the process.
func (r *Register) MarkStale(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.staleBefore = now
}

// Stale reports whether the facts about the server must be refreshed before
// the host relies on them.
func (r *Register) Stale(server ebonyworks.ServerID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || known.refreshed.IsZero() {
		return true
	}
	return !known.refreshed.After(r.staleBefore) || time.Since(known.refreshed) > StaleAge
}

// Incarnation returns the last known incarnation of the server, or zero.
func (r *Register) Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil {
		return 0
	}
	return known.incarnation
}

// ReportAge returns the age of the server's last report, or false if it sent
// none.
func (r *Register) ReportAge(server ebonyworks.ServerID) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || known.lastReport.IsZero() {
		return 0, false
	}
	return time.Since(known.lastReport), true
}

// LastSuccess returns when an attempt at the server last succeeded, or the
// zero time.
func (r *Register) LastSuccess(server ebonyworks.ServerID) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil {
		return time.Time{}
	}
	return known.lastSuccess
}

// Retain drops the records of servers that the configuration no longer names.
// Servers that a later configuration adds start slowly.
func (r *Register) Retain(configuration *ebonyworks.Configuration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	named := make(map[ebonyworks.ServerID]bool)
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			for _, server := range configuration.Catalogues[i].Services[j].Servers {
				named[server.ID] = true
			}
		}
	}
	for id := range r.servers {
		if !named[id] {
			delete(r.servers, id)
		}
	}
	for id := range named {
		r.add(id, now)
	}
	r.retained = true
}

func (r *Register) add(id ebonyworks.ServerID, now time.Time) {
	if r.servers[id] != nil {
		return
	}
	known := r.open(id)
	if known != nil && r.retained {
		known.rampSince = now
	}
}

// open returns the record of the server, or nil if there is no room for it.
func (r *Register) open(id ebonyworks.ServerID) *record {
	known := r.servers[id]
	if known != nil || id == "" || len(r.servers) >= MaxServers {
		return known
	}
	if r.servers == nil {
		r.servers = make(map[ebonyworks.ServerID]*record)
	}
	known = &record{}
	r.servers[id] = known
	return known
}

func (r *Register) learnReport(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	report := attempt.Report
	if report.Server != "" && report.Server != attempt.Server {
		return
	}
	if report.Incarnation == 0 {
		report.Incarnation = known.incarnation
	}
	if report.Incarnation < known.incarnation {
		return
	}
	leaving := report.Leaving || attempt.Result == ebonyworks.AttemptDraining
	r.learnIncarnation(known, ebonyworks.Departure{Server: attempt.Server, Incarnation: report.Incarnation, Leaving: leaving}, now)
	if attempt.Report.Server == "" {
		return
	}
	known.refreshed = now
	known.lastReport = now
	known.slotsBusy = report.SlotsBusy
	known.queued = report.Queued
}

// learnIncarnation applies the fact if it isn't older than the known one, and
// reports whether it changed anything.
func (r *Register) learnIncarnation(known *record, fact ebonyworks.Departure, now time.Time) bool {
	changed := false
	if fact.Incarnation > known.incarnation {
		r.beginIncarnation(known, fact, now)
		changed = true
	}
	if fact.Incarnation == known.incarnation && fact.Leaving && !known.leaving {
		known.leaving = true
		r.record(event.ServerLeaving, fact.Server)
		changed = true
	}
	return changed
}

func (r *Register) beginIncarnation(known *record, fact ebonyworks.Departure, now time.Time) {
	first := known.incarnation == 0 && !known.leaving
	known.incarnation = fact.Incarnation
	if first {
		// A host that has just started meets every server for the first
		// time; that says nothing about how warm the server is.
		return
	}
	if known.leaving {
		known.returned = now
	}
	known.leaving = false
	known.rampSince = now
	known.latency = 0
	known.typical = 0
	known.slow = false
	known.failures = 0
	known.resetProbes()
	r.record(event.ServerReturned, fact.Server)
}

func (r *Register) learnResult(known *record, attempt ebonyworks.AttemptRecord, now time.Time) {
	switch attempt.Result {
	case ebonyworks.AttemptServed:
		if attempt.Latency == 0 {
			r.answer(known, attempt.Server, now)
			return
		}
		r.succeed(known, attempt.Server, now)
		known.sample(now, attempt.Latency)
	case ebonyworks.AttemptShed:
		// The quick refusal must not make the server look fast. It doesn't make
		// it slow either: under overload that would leave its slots unused.
		known.peak(now, min(2*known.decayed(now), maxLatency))
	case ebonyworks.AttemptCancelled:
		// The loser of a hedged pair took at least this long.
		known.raise(now, attempt.Latency)
	case ebonyworks.AttemptTimeout:
		known.raise(now, attempt.Latency)
		r.fail(known, attempt.Server, 1, now)
	case ebonyworks.AttemptLost, ebonyworks.AttemptInvalid:
		r.fail(known, attempt.Server, 1, now)
	case ebonyworks.AttemptUnreachable:
		known.refreshed = now
		r.fail(known, attempt.Server, failuresUntilFailing, now)
	case ebonyworks.AttemptDraining, ebonyworks.AttemptSnapshotGone, ebonyworks.AttemptExpired, ebonyworks.AttemptRejected:
		// These refusals say nothing about speed or health.
	}
}

func (r *Register) succeed(known *record, server ebonyworks.ServerID, now time.Time) {
	if known.failing() {
		r.record(event.ServerRecovered, server)
	}
	known.lastSuccess = now
	known.refreshed = now
	known.failures = 0
	if !known.slow {
		known.resetProbes()
	}
}

// answer learns from the reply to a status request, which takes no slot and
// states no latency. A failing server is used again, but the next failure marks
// it as failing at once, with a longer interval: it can answer such requests
// and still fail others.
func (r *Register) answer(known *record, server ebonyworks.ServerID, now time.Time) {
	known.refreshed = now
	if !known.failing() {
		return
	}
	r.record(event.ServerRecovered, server)
	known.failures = failuresUntilFailing - 1
	known.probing = true
}

func (r *Register) fail(known *record, server ebonyworks.ServerID, count int, now time.Time) {
	wasFailing := known.failing()
	known.failures = min(known.failures+count, 2*failuresUntilFailing)
	if !known.failing() {
		return
	}
	if !wasFailing {
		r.record(event.ServerFailing, server)
	}
	// Attempts that were in flight when the server failed end together and
	// must not each lengthen the interval.
	if wasFailing && !known.probing {
		return
	}
	known.probing = false
	known.interval = min(max(2*known.interval, firstProbeInterval), maxProbeInterval)
	known.nextProbe = now.Add(r.jitter(known.interval))
}

// jitter returns a duration between half and one and a half times the given
// one, so that hosts don't probe a returning server at the same moment.
func (r *Register) jitter(interval time.Duration) time.Duration {
	if r.Random == nil {
		r.Random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	return time.Duration(float64(interval) * (0.5 + r.Random.Float64()))
}

func (r *Register) appendUsable(
	candidates []ebonyworks.Candidate,
	service *ebonyworks.Service,
	route ebonyworks.Route,
	near ebonyworks.DomainID,
) []ebonyworks.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	mayProbe := route.Kind == ebonyworks.SearchRoute
	// The buffer is large enough for the replicas of usual services, so that
	// each server is looked up once and without an allocation.
	var buffer [16]*record
	records := buffer[:0]
	for _, server := range service.Servers {
		records = append(records, r.servers[server.ID])
	}
	best := bestTypical(service, route, records)
	for i, server := range service.Servers {
		known := records[i]
		if !route.Allows(server.Domain) || (known != nil && known.leaving) {
			continue
		}
		candidate := ebonyworks.Candidate{Server: server, Near: server.Domain == near, Share: 1}
		if known != nil {
			r.compare(known, best, now)
			r.describe(known, &candidate, mayProbe, now)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// bestTypical returns the lowest typical latency of the usable servers, or
// zero if there are no samples. The records are in the order of the servers.
func bestTypical(service *ebonyworks.Service, route ebonyworks.Route, records []*record) time.Duration {
	var best time.Duration
	for i, known := range records {
		if known == nil || known.leaving || known.failing() || known.typical == 0 || !route.Allows(service.Servers[i].Domain) {
			continue
		}
		if best == 0 || known.typical < best {
			best = known.typical
		}
	}
	return best
}

// compare sets or clears the slow state of a server.
func (r *Register) compare(known *record, best time.Duration, now time.Time) {
	known.best = best
	if best == 0 {
		return
	}
	factor := float64(known.typical) / float64(best)
	switch {
	case known.slow && factor < normalFactor:
		known.slow = false
	case !known.slow && factor > slowFactor && known.typical > best+slowSlack:
		known.slow = true
		known.promising = false
		known.interval = firstSlowInterval
		known.nextProbe = now.Add(r.jitter(known.interval))
	}
}

func (r *Register) describe(known *record, candidate *ebonyworks.Candidate, mayProbe bool, now time.Time) {
	candidate.Incarnation = known.incarnation
	candidate.Latency = known.decayed(now)
	if known.slow {
		// The advantage of being near is a small part of a straggler's latency
		// and must not attract load to it.
		candidate.Near = false
		candidate.Latency = max(known.latency, known.typical)
	}
	candidate.Share = known.share(now)
	if now.Sub(known.lastReport) < reportAge {
		candidate.SlotsBusy = known.slotsBusy
		candidate.Queued = known.queued
	}
	candidate.Failing = known.failing()
	if known.slow && !candidate.Failing && mayProbe && r.takeProbe(known, now) {
		known.offer(candidate)
	}
}

// offer marks the candidate for the probe that is due. After a good probe the
// next ones take the place of attempts: copies would use up the budget of hedges
// when many servers recover together.
func (k *record) offer(candidate *ebonyworks.Candidate) {
	if k.promising {
		candidate.Latency = time.Nanosecond
		return
	}
	candidate.Probe = true
}

// takeProbe reports whether a probe is due, and gives it to this caller only.
func (r *Register) takeProbe(known *record, now time.Time) bool {
	if now.Before(known.nextProbe) {
		return false
	}
	known.nextProbe = now.Add(r.jitter(known.interval))
	known.probing = true
	if known.slow && !known.failing() {
		// A hedge may end the probe before its latency is known. A good one
		// shortens the interval again.
		known.interval = min(2*known.interval, maxSlowInterval)
	}
	return true
}

func (r *Register) takeStatus(known *record, now time.Time) bool {
	if known.failing() {
		return r.takeProbe(known, now)
	}
	if now.Sub(known.lastReport) < statusInterval && known.refreshed.After(r.staleBefore) {
		return false
	}
	if now.Sub(known.asked) < statusInterval {
		return false
	}
	known.asked = now
	return true
}

func (r *Register) record(id ebonyworks.EventID, server ebonyworks.ServerID) {
	if r.Recorder == nil {
		return
	}
	r.Recorder.Record(event.New(id, event.Attribute("Server", string(server))))
}

func (k *record) resetProbes() {
	k.interval = 0
	k.nextProbe = time.Time{}
	k.probing = false
}

func (k *record) failing() bool { return k.failures >= failuresUntilFailing }

// share returns the part of its normal traffic that the server may get.
func (k *record) share(now time.Time) float64 {
	if k.rampSince.IsZero() {
		return 1
	}
	steps := float64(now.Sub(k.rampSince) / rampStep)
	total := float64(RampTime / rampStep)
	return min(1, rampStart+(1-rampStart)*steps/total)
}

// decayed returns the latency average as of now. It decays while there are no
// samples, so that a server that was slow is tried again.
func (k *record) decayed(now time.Time) time.Duration {
	if k.latency == 0 {
		return 0
	}
	age := now.Sub(k.latencyAt)
	latency := time.Duration(float64(k.latency) * math.Exp(-float64(age)/float64(latencyDecay)))
	return max(latency, time.Nanosecond)
}

// sample moves the average to the latency: at once if it is slower, else by
// the part that the time since the last sample stands for.
func (k *record) sample(now time.Time, latency time.Duration) {
	latency = max(latency, time.Nanosecond)
	k.sampleTypical(latency)
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

// sampleTypical moves the typical latency by the weight of one sample.
func (k *record) sampleTypical(latency time.Duration) {
	if k.typical == 0 {
		k.typical = latency
		return
	}
	weight := typicalWeight
	if k.slow {
		weight = slowWeight
		k.shorten(latency)
	}
	k.typical += time.Duration(weight * float64(latency-k.typical))
}

// shorten sets the interval between probes of a slow server after a good one.
func (k *record) shorten(latency time.Duration) {
	k.promising = latency < slowFactor*k.best
	if float64(latency) < normalFactor*float64(k.best) {
		k.interval = max(k.interval/4, firstSlowInterval)
	}
}

// raise applies a sample of which only a lower bound is known.
func (k *record) raise(now time.Time, latency time.Duration) {
	if latency > k.typical {
		k.sampleTypical(survivorFactor * latency)
	}
	k.peak(now, latency)
}

// peak raises the peak-sensitive average to the latency.
func (k *record) peak(now time.Time, latency time.Duration) {
	if latency > k.decayed(now) {
		k.latency = latency
		k.latencyAt = now
	}
}
