package serverstate

import (
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// rateLimit is what an incarnation of a server last stated about its rate limit.
type rateLimit struct {
	// limited is cleared only by a later response or a new incarnation: a limited
	// server may get so few requests that it can't confirm the limit for a long time.
	limited bool
	// rate is zero unless limited is set.
	rate ebonyworks.RequestRate
	// statedAt is when the server last stated it, as far as this host knows; zero if
	// it never named a limit.
	statedAt time.Time
	// changedAt is when this host learned of the last change.
	changedAt time.Time
}

// RateLimit returns what the server last stated about its rate limit and what is known of
// its warm-up, or false if it has never named a limit or been cold.
func (r *Table) RateLimit(server ebonyworks.ServerID) (ebonyworks.RateLimit, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || known.limit.statedAt.IsZero() && known.warmup.until.IsZero() {
		return ebonyworks.RateLimit{}, false
	}
	return r.rateLimit(known, server, time.Now()), true
}

// CountRateLimited returns the number of servers that have named a rate limit.
func (r *Table) CountRateLimited() int { return int(r.limited.Load()) }

// AnyLimited reports whether any server has a rate limit or is cold.
func (r *Table) AnyLimited() bool { return r.limited.Load() > 0 || r.cold.Load() > 0 }

// RateLimited returns the servers with a rate limit and the cold ones, or nil if there
// are none.
func (r *Table) RateLimited() map[ebonyworks.ServerID]bool {
	if !r.AnyLimited() {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	limited := make(map[ebonyworks.ServerID]bool)
	for id, known := range r.servers {
		if _, cold := r.coldRate(known, now); cold || known.limit.limited {
			limited[id] = true
		}
	}
	return limited
}

// RateLimits returns the rate limits that this host has learned of or that have
// changed since the time, with those that have ended.
func (r *Table) RateLimits(since time.Time) []ebonyworks.RateLimit {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var limits []ebonyworks.RateLimit
	for id, known := range r.servers {
		named := !known.limit.statedAt.IsZero() && !known.limit.changedAt.Before(since)
		// A warm-up without a bound concerns no other host.
		warmupChanged := !known.warmup.until.IsZero() && !known.warmup.changedAt.Before(since) && r.warmupRate(known) > 0
		if named || warmupChanged {
			limits = append(limits, r.rateLimit(known, id, now))
		}
	}
	return limits
}

// rateLimit returns what is known of the server's rate limit and its warm-up, for other
// hosts.
func (r *Table) rateLimit(known *record, server ebonyworks.ServerID, now time.Time) ebonyworks.RateLimit {
	limit := ebonyworks.RateLimit{
		Server:      server,
		Incarnation: known.incarnation,
		Limited:     known.limit.limited,
		Rate:        known.limit.rate,
		Age:         ageOf(known.limit.statedAt, now),
	}
	r.addWarmup(known, &limit, now)
	return limit
}

// MergeRateLimit merges a rate limit that another host learned of. The latest
// statement of the latest incarnation applies.
func (r *Table) MergeRateLimit(limit ebonyworks.RateLimit) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.getOrCreate(limit.Server)
	if known == nil || limit.Incarnation < known.incarnation {
		return
	}
	now := time.Now()
	if limit.Incarnation > known.incarnation {
		r.beginIncarnation(known, ebonyworks.DrainState{Server: limit.Server, Incarnation: limit.Incarnation}, now)
	}
	report := ebonyworks.RateLimitReport{Stated: true, Limited: limit.Limited, Rate: limit.Rate}
	r.applyRateLimit(known, limit.Server, report, now.Add(-limit.Age), now)
	r.mergeWarmup(known, limit, now)
}

// applyRateLimit applies what the current incarnation of the server stated at the
// given time. It reports whether the limit changed.
func (r *Table) applyRateLimit(known *record, server ebonyworks.ServerID, report ebonyworks.RateLimitReport, statedAt, now time.Time) bool {
	before := known.limit
	neverLimited := before.statedAt.IsZero() && !report.Limited
	if !report.Stated || neverLimited || statedAt.Before(before.statedAt) {
		return false
	}
	known.limit = rateLimit{limited: report.Limited, statedAt: statedAt, changedAt: before.changedAt}
	if report.Limited {
		known.limit.rate = report.Rate
	}
	if known.limit.limited == before.limited && known.limit.rate == before.rate {
		return false
	}
	known.limit.changedAt = now
	switch {
	case !report.Limited:
		r.limited.Add(-1)
		r.recordEvent(event.ServerRateLimitEnded, server)
		return true
	case !before.limited:
		r.limited.Add(1)
	}
	r.recordEvent(event.ServerRateLimited, server,
		event.Attribute("PerSecond", strconv.FormatFloat(float64(report.Rate), 'g', -1, 64)),
		event.Attribute("Age", now.Sub(statedAt).Round(time.Millisecond).String()))
	return true
}

// clearRateLimit forgets the rate limit of an earlier incarnation.
func (r *Table) clearRateLimit(known *record) {
	if known.limit.limited {
		r.limited.Add(-1)
	}
	known.limit = rateLimit{}
}
