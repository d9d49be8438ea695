package serverstate

import (
	mathrand "math/rand/v2"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Candidates returns the servers of the service that the route may use and
// that aren't draining, in the order of the configuration; Backoff is set for those
// in backoff. If all of them are in backoff, draining servers within DrainGrace
// follow. The quota supplies the attempts in flight; nil means none.
//
// A server that is far slower than another replica keeps its latency until
// probes show that it has recovered, while that of other servers decays. Its
// SameDomain is false.
//
// When the probe of a slow server is due, one call for a search route returns it
// with Probe set. After a good probe, it is returned with the lowest latency instead,
// so that it is chosen.
// Failing servers are probed by status requests only (DueForStatus): a search that fails
// there needs a retry, and without retry budget it would miss a shard.
func (r *Table) Candidates(
	service *ebonyworks.Service,
	route ebonyworks.Route,
	localDomain ebonyworks.DomainID,
	quota ebonyworks.Quota,
) []ebonyworks.Candidate {
	candidates := make([]ebonyworks.Candidate, 0, len(service.Servers))
	candidates = r.appendUsable(candidates, service, route, localDomain)
	if quota != nil {
		for i := range candidates {
			candidates[i].InFlight, candidates[i].Limit = quota.Load(service, candidates[i].Server.ID)
		}
	}
	r.setExpectedDurations(service, candidates)
	return candidates
}

// DueForStatus returns at most limit servers that should get a status request now:
// those without a report for a second, and failing ones whose next probe is due. The
// caller passes the result of each to Observe.
func (r *Table) DueForStatus(servers []ebonyworks.Server, limit int) []ebonyworks.Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var due []ebonyworks.Server
	for _, server := range servers {
		if len(due) >= limit {
			break
		}
		known := r.getOrCreate(server.ID)
		if known != nil && r.claimStatusRequest(known, now) {
			due = append(due, server)
		}
	}
	return due
}

// jitter returns a duration between half and one and a half times the given
// one, so that hosts don't probe a recovering server at the same moment.
func (r *Table) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.5 + r.randomFraction()))
}

// randomFraction returns a random number from 0 to 1.
func (r *Table) randomFraction() float64 {
	if r.Random == nil {
		r.Random = mathrand.New(mathrand.NewPCG(1, 2))
	}
	return r.Random.Float64()
}

func (r *Table) appendUsable(
	candidates []ebonyworks.Candidate,
	service *ebonyworks.Service,
	route ebonyworks.Route,
	localDomain ebonyworks.DomainID,
) []ebonyworks.Candidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	mayProbe := route.Kind == ebonyworks.SearchRoute
	// The buffer fits the replicas of typical services, so that each server is
	// looked up once and without an allocation.
	var buffer [16]*record
	records := buffer[:0]
	for _, server := range service.Servers {
		records = append(records, r.lookup(server.ID))
	}
	best := bestTypical(service, route, records)
	probeUnsampled := mayProbe && r.ProbeByRequest && degraded(best, records)
	allInBackoff := r.DrainGrace > 0
	for i, server := range service.Servers {
		known := records[i]
		if !route.Allows(server.Domain) || (known != nil && known.draining) {
			continue
		}
		candidate := ebonyworks.Candidate{Server: server, SameDomain: server.Domain == localDomain, Share: 1}
		if known != nil {
			r.updateSlow(known, best, now)
			r.fillCandidate(known, &candidate, mayProbe, now)
			if len(service.Servers) >= MinReplicasForFailureRate {
				candidate.FailureRate = known.failureRate.At(now)
			}
		}
		if probeUnsampled && candidate.Backoff == 0 && !candidate.Cold && (known == nil || known.typical == 0) && r.claimFirstProbe(server.ID, now) {
			candidate.Probe = true
		}
		allInBackoff = allInBackoff && candidate.Backoff > 0
		candidates = append(candidates, candidate)
	}
	if !allInBackoff {
		return candidates
	}
	for i, server := range service.Servers {
		if known := records[i]; known != nil && known.draining && route.Allows(server.Domain) && r.inDrainGrace(known, now) {
			candidates = append(candidates, ebonyworks.Candidate{Server: server, Incarnation: known.incarnation, SameDomain: server.Domain == localDomain, Share: 1})
		}
	}
	return candidates
}

// bestTypical returns the lowest typical latency of the usable servers, or
// zero if there are no samples. The records are in the order of the servers.
func bestTypical(service *ebonyworks.Service, route ebonyworks.Route, records []*record) time.Duration {
	var best time.Duration
	for i, known := range records {
		if known == nil || known.draining || known.failing() || known.typical == 0 || !route.Allows(service.Servers[i].Domain) {
			continue
		}
		if best == 0 || known.typical < best {
			best = known.typical
		}
	}
	return best
}

// degraded reports whether the best replica has become far slower than it was. A
// replica without samples is then worth a probe: otherwise it is assumed to be as
// slow as the others, and a server of the same domain would be used forever.
func degraded(best time.Duration, records []*record) bool {
	var fastest time.Duration
	for _, known := range records {
		if known != nil && known.fastest > 0 && (fastest == 0 || known.fastest < fastest) {
			fastest = known.fastest
		}
	}
	return fastest > 0 && best > slowFactor*fastest && best > fastest+slowSlack
}

// claimFirstProbe reports whether a server without samples is due for a probe, and
// schedules the next one.
func (r *Table) claimFirstProbe(id ebonyworks.ServerID, now time.Time) bool {
	known := r.getOrCreate(id)
	if known == nil || known.failing() || known.draining || known.backoffLeft(now) > 0 || now.Before(known.nextProbe) {
		return false
	}
	known.nextProbe = now.Add(r.jitter(firstSlowInterval))
	return true
}

// updateSlow sets or clears the slow state of a server by comparing it with the best
// replica.
func (r *Table) updateSlow(known *record, best time.Duration, now time.Time) {
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
		known.lastProbeGood = false
		known.interval = firstSlowInterval
		known.nextProbe = now.Add(r.jitter(known.interval))
	}
}

func (r *Table) fillCandidate(known *record, candidate *ebonyworks.Candidate, mayProbe bool, now time.Time) {
	candidate.Incarnation = known.incarnation
	candidate.Backoff = known.backoffLeft(now)
	_, candidate.Cold = r.coldRate(known, now)
	candidate.RateLimited = known.limit.limited || candidate.Cold
	candidate.Latency = known.decayed(now)
	if known.slow {
		// The latency saved within the same domain is a small part of a straggler's
		// latency and must not attract load to it.
		candidate.SameDomain = false
		candidate.Slow = true
		candidate.Latency = max(known.latency, known.typical)
	}
	candidate.Share = known.share(now)
	if now.Sub(known.lastReport) < reportAge {
		candidate.SlotsBusy = known.slotsBusy
		candidate.Queued = known.queued
		candidate.ReportedLoad = known.reportedLoad
	}
	reachableWhileCold := candidate.Cold && !known.warmup.unreachable
	candidate.Failing = known.failing() && !reachableWhileCold
	if candidate.Backoff > 0 || reachableWhileCold {
		return
	}
	if known.slow && !candidate.Failing && mayProbe && r.claimProbe(known, now) {
		known.markForProbe(candidate)
	}
	if candidate.Failing && r.ProbeByRequest && r.claimProbe(known, now) {
		// A copy of an idempotent request doesn't delay its caller. For requests
		// that aren't idempotent, the request itself is the probe. It may go to a server
		// that counts as cold because it couldn't be reached: otherwise it wouldn't be
		// tried while others have capacity, and its next outage wouldn't be told.
		candidate.Probe = mayProbe
		candidate.Failing = mayProbe
		candidate.Cold = candidate.Cold && mayProbe
	}
}

// claimProbe reports whether a probe is due. It returns true to one caller only.
func (r *Table) claimProbe(known *record, now time.Time) bool {
	if now.Before(known.nextProbe) {
		return false
	}
	known.nextProbe = now.Add(r.jitter(known.interval))
	known.probing = true
	if known.slow && !known.failing() {
		// A hedge may end the probe before its latency is known, so the interval
		// grows already now. A good probe shortens it again.
		known.interval = min(2*known.interval, r.maxSlowInterval())
	}
	return true
}

// maxSlowInterval returns the interval between probes to which that of a slow server
// grows, before jitter.
func (r *Table) maxSlowInterval() time.Duration {
	if r.KeepInDomain {
		return maxSlowIntervalInDomain
	}
	return maxSlowInterval
}

func (r *Table) claimStatusRequest(known *record, now time.Time) bool {
	if known.backoffLeft(now) > 0 {
		return false
	}
	if known.failing() {
		return r.claimProbe(known, now)
	}
	if now.Sub(known.lastReport) < statusInterval && known.confirmedAt.After(r.staleBefore) {
		return false
	}
	if now.Sub(known.statusRequestedAt) < statusInterval {
		return false
	}
	known.statusRequestedAt = now
	return true
}
