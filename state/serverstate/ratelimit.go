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

// RateLimit returns the rate limit of the server, or false if it has none.
func (r *Table) RateLimit(server ebonyworks.ServerID) (ebonyworks.RequestRate, bool) {
	if r.limited.Load() == 0 {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || !known.limit.limited {
		return 0, false
	}
	return known.limit.rate, true
}

// CountRateLimited returns the number of servers with a rate limit.
func (r *Table) CountRateLimited() int { return int(r.limited.Load()) }

// RateLimited returns the servers with a rate limit, or nil if there are none.
func (r *Table) RateLimited() map[ebonyworks.ServerID]bool {
	if r.limited.Load() == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	limited := make(map[ebonyworks.ServerID]bool)
	for id, known := range r.servers {
		if known.limit.limited {
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
		if known.limit.statedAt.IsZero() || known.limit.changedAt.Before(since) {
			continue
		}
		limits = append(limits, ebonyworks.RateLimit{
			Server:      id,
			Incarnation: known.incarnation,
			Limited:     known.limit.limited,
			Rate:        known.limit.rate,
			Age:         now.Sub(known.limit.statedAt),
		})
	}
	return limits
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
}

// applyRateLimit applies what the current incarnation of the server stated at the
// given time.
func (r *Table) applyRateLimit(known *record, server ebonyworks.ServerID, report ebonyworks.RateLimitReport, statedAt, now time.Time) {
	if !report.Stated || statedAt.Before(known.limit.statedAt) {
		return
	}
	before := known.limit
	if !report.Limited {
		if before.statedAt.IsZero() {
			return
		}
		known.limit = rateLimit{statedAt: statedAt, changedAt: before.changedAt}
		if before.limited {
			known.limit.changedAt = now
			r.limited.Add(-1)
			r.recordEvent(event.ServerRateLimitEnded, server)
		}
		return
	}
	known.limit = rateLimit{limited: true, rate: report.Rate, statedAt: statedAt, changedAt: before.changedAt}
	if !before.limited {
		r.limited.Add(1)
	}
	if !before.limited || before.rate != report.Rate {
		known.limit.changedAt = now
		r.recordEvent(event.ServerRateLimited, server,
			event.Attribute("PerSecond", strconv.FormatFloat(float64(report.Rate), 'g', -1, 64)),
			event.Attribute("Age", now.Sub(statedAt).Round(time.Millisecond).String()))
	}
}

// clearRateLimit forgets the rate limit of an earlier incarnation.
func (r *Table) clearRateLimit(known *record) {
	if known.limit.limited {
		r.limited.Add(-1)
	}
	known.limit = rateLimit{}
}
