package serverstate

import (
	mathrand "math/rand/v2"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Candidates returns the servers of the service that the route may use and
// that aren't leaving, in the order of the configuration; those in backoff say for
// how long. If none of them takes requests, servers that have just begun to leave
// follow. The quota supplies the attempts in flight; nil means none.
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
func (r *Table) Candidates(
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

// DueForStatus returns at most limit of the servers that should be asked for their
// status now: those without a report for a second, and failing ones whose
// next probe is due. The caller passes the result of each to Observe.
func (r *Table) DueForStatus(servers []ebonyworks.Server, limit int) []ebonyworks.Server {
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

// jitter returns a duration between half and one and a half times the given
// one, so that hosts don't probe a returning server at the same moment.
func (r *Table) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.5 + r.chance()))
}

// chance returns a random number from 0 to 1.
func (r *Table) chance() float64 {
	if r.Random == nil {
		r.Random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	return r.Random.Float64()
}

func (r *Table) appendUsable(
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
	explores := mayProbe && r.ProbeByRequest && degraded(best, records)
	spare := r.DrainGrace > 0
	for i, server := range service.Servers {
		known := records[i]
		if !route.Allows(server.Domain) || (known != nil && known.leaving) {
			continue
		}
		candidate := ebonyworks.Candidate{Server: server, SameDomain: server.Domain == near, Share: 1}
		if known != nil {
			r.compare(known, best, now)
			r.describe(known, &candidate, mayProbe, now)
		}
		if explores && candidate.Backoff == 0 && (known == nil || known.typical == 0) && r.takeTrial(server.ID, now) {
			candidate.Probe = true
		}
		spare = spare && candidate.Backoff > 0
		candidates = append(candidates, candidate)
	}
	if !spare {
		return candidates
	}
	for i, server := range service.Servers {
		if known := records[i]; known != nil && known.leaving && route.Allows(server.Domain) && r.mayStillServe(known, now) {
			candidates = append(candidates, ebonyworks.Candidate{Server: server, Incarnation: known.incarnation, SameDomain: server.Domain == near, Share: 1})
		}
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

// degraded reports whether the best replica has become far slower than it was. A
// replica without any sample is then worth a probe: it is taken to be as slow as
// the others, and a near server would be used for ever.
func degraded(best time.Duration, records []*record) bool {
	var fastest time.Duration
	for _, known := range records {
		if known != nil && known.fastest > 0 && (fastest == 0 || known.fastest < fastest) {
			fastest = known.fastest
		}
	}
	return fastest > 0 && best > slowFactor*fastest && best > fastest+slowSlack
}

// takeTrial reports whether a server without samples is due for a probe.
func (r *Table) takeTrial(id ebonyworks.ServerID, now time.Time) bool {
	known := r.open(id)
	if known == nil || known.failing() || known.leaving || known.backoffLeft(now) > 0 || now.Before(known.nextProbe) {
		return false
	}
	known.nextProbe = now.Add(r.jitter(firstSlowInterval))
	return true
}

// compare sets or clears the slow state of a server.
func (r *Table) compare(known *record, best time.Duration, now time.Time) {
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

func (r *Table) describe(known *record, candidate *ebonyworks.Candidate, mayProbe bool, now time.Time) {
	candidate.Incarnation = known.incarnation
	candidate.Backoff = known.backoffLeft(now)
	candidate.Latency = known.decayed(now)
	if known.slow {
		// The advantage of being near is a small part of a straggler's latency
		// and must not attract load to it.
		candidate.SameDomain = false
		candidate.Latency = max(known.latency, known.typical)
	}
	candidate.Share = known.share(now)
	if now.Sub(known.lastReport) < reportAge {
		candidate.SlotsBusy = known.slotsBusy
		candidate.Queued = known.queued
		candidate.ReportedLoad = known.demand
	}
	candidate.Failing = known.failing()
	if candidate.Backoff > 0 {
		return
	}
	if known.slow && !candidate.Failing && mayProbe && r.takeProbe(known, now) {
		known.offer(candidate)
	}
	if candidate.Failing && r.ProbeByRequest && r.takeProbe(known, now) {
		// A copy of a request that may be repeated costs its caller nothing.
		// Without one, the request itself is the probe.
		candidate.Probe = mayProbe
		candidate.Failing = mayProbe
	}
}

// takeProbe reports whether a probe is due, and gives it to this caller only.
func (r *Table) takeProbe(known *record, now time.Time) bool {
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

func (r *Table) takeStatus(known *record, now time.Time) bool {
	if known.backoffLeft(now) > 0 {
		return false
	}
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
