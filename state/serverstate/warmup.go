package serverstate

import (
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// entryDelay is the longest time after which an entry of the store arrives. An entry
	// that arrives earlier may have been written before a connection failed.
	entryDelay = ebonyworks.DefaultApplyTime
	// warmupTolerance is the change of a warm-up's end that other hosts aren't told: it
	// comes from the delay of messages.
	warmupTolerance = 200 * time.Millisecond
)

// warmup is the cold state of one incarnation of a server.
type warmup struct {
	// until is when the warm-up ends; zero if nothing is known of one.
	until time.Time
	// rate is what another host told; it applies while the service isn't known here.
	rate ebonyworks.RequestRate
	// pending is set from a failed connection of any host to the first indication that the
	// server is alive. The warm-up doesn't end before that, because it may begin then.
	pending bool
	// pendingSince is when this host learned that pending was set.
	pendingSince time.Time
	// unreachable is set from a failed connection of this host to its next one that
	// doesn't fail.
	unreachable bool
	// told is set from a failed connection of this host, of which the others are told, to
	// its next one that doesn't fail. Unlike unreachable, it outlives renewed entries.
	told bool
	// unreachableAt is when a connection of any host last failed, as far as is known; zero
	// if none did since the last entry that is known to be later.
	unreachableAt time.Time
	// statedAt is the time of the latest evidence; zero if it is only assumed. changedAt
	// is when this host learned of the last change.
	statedAt, changedAt time.Time
	// announced is set between the events that the server is cold and that it is warm.
	announced bool
	// timer ends the warm-up; nil before the first.
	timer *time.Timer
}

// RecordWarmup records the warm-up in the store's entry of the server, which registered
// itself or renewed its registration.
func (r *Table) RecordWarmup(registration ebonyworks.Registration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.getOrCreate(registration.Server.ID)
	if known == nil || registration.Incarnation < known.incarnation {
		return
	}
	now := time.Now()
	known.service = registration.Service
	until := now.Add(registration.Warmup)
	w := &known.warmup
	if now.Sub(w.unreachableAt) < entryDelay {
		// The entry may have been written before the connection failed.
		if until.After(w.until) {
			r.setWarmup(known, registration.Server.ID, until, now, now)
		}
		return
	}
	w.pending, w.unreachable, w.unreachableAt = false, false, time.Time{}
	if registration.Warmup > 0 && r.warmupRate(known) > 0 {
		known.failures = 0
		known.resetProbes()
	}
	r.setWarmup(known, registration.Server.ID, until, now, now)
}

// CountCold returns the number of servers that are cold.
func (r *Table) CountCold() int { return int(r.cold.Load()) }

// coldRate returns the number of requests a second that the server accepts while it is
// cold, or false if it is warm or its service sets no bound.
func (r *Table) coldRate(known *record, now time.Time) (ebonyworks.RequestRate, bool) {
	w := &known.warmup
	if !w.pending && !w.unreachable && !now.Before(w.until) {
		return 0, false
	}
	rate := r.warmupRate(known)
	return rate, rate > 0
}

// warmupRate returns the bound of the requests a second while the server is cold; zero
// if there is none.
func (r *Table) warmupRate(known *record) ebonyworks.RequestRate {
	if known.service == "" {
		return known.warmup.rate
	}
	_, rate := r.warmupOf(known)
	return rate
}

// warmupOf returns how long servers of the service stay cold, and the requests a second
// that they accept meanwhile.
func (r *Table) warmupOf(known *record) (time.Duration, ebonyworks.RequestRate) {
	if r.Warmup == nil || known.service == "" {
		return 0, 0
	}
	return r.Warmup(known.service)
}

// observeWarmup updates the cold state from an attempt, and reports whether the server is
// alive and cold, so that the attempt says nothing about its health and speed.
func (r *Table) observeWarmup(known *record, attempt ebonyworks.AttemptRecord, now time.Time) bool {
	if known.service == "" {
		known.service = attempt.Service
	}
	w := &known.warmup
	length, rate := r.warmupOf(known)
	changed := false
	switch {
	case length <= 0 || rate <= 0:
		w.pending, w.unreachable, w.told = false, false, false
	case attempt.Result == ebonyworks.AttemptUnreachable && attempt.LocalCause:
	case attempt.Result == ebonyworks.AttemptUnreachable:
		// Hosts tell each other only of the first failed connection. Otherwise one host
		// with a broken link would keep the server cold for all.
		first := !w.told
		w.unreachable, w.unreachableAt, w.told = true, now, true
		if first {
			r.setPending(w, true, now)
			r.setWarmup(known, attempt.Server, now.Add(length), now, now)
			w.changedAt, changed = now, true
		} else {
			r.updateCold(known, attempt.Server, now)
		}
	case (w.pending || w.unreachable) && indicatesAlive(attempt):
		wasPending := w.pending
		w.pending, w.unreachable, w.told = false, false, false
		known.failures = 0
		known.resetProbes()
		changed = r.setWarmup(known, attempt.Server, now.Add(length), now, now)
		if wasPending {
			// Without this, the others would wait for the first indication even if the
			// expected end of the warm-up hardly differs.
			w.changedAt, changed = now, true
		}
	case indicatesAlive(attempt):
		w.told = false
	}
	if changed && r.OnRateLimitChange != nil {
		r.OnRateLimitChange()
	}
	return r.reachableWhileCold(known, now)
}

// setPending sets whether the warm-up begins when the server is reached again.
func (r *Table) setPending(w *warmup, pending bool, now time.Time) {
	if pending == w.pending {
		return
	}
	// The end of the warm-up may hardly differ, so it alone wouldn't be told.
	w.pending, w.changedAt = pending, now
	if !pending {
		return
	}
	w.pendingSince = now
	if r.OnOutage != nil {
		r.OnOutage()
	}
}

// Outages returns the limits of at most maxServers servers that couldn't be reached when
// last tried, as far as this host has learned of that since the time.
func (r *Table) Outages(since time.Time, maxServers int) []ebonyworks.RateLimit {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var limits []ebonyworks.RateLimit
	for id, known := range r.servers {
		if len(limits) >= maxServers {
			break
		}
		if w := &known.warmup; w.pending && !w.pendingSince.Before(since) {
			limits = append(limits, r.rateLimit(known, id, now))
		}
	}
	return limits
}

// indicatesAlive reports whether the server itself accepted the connection. A response
// 421 comes from another server at its address.
func indicatesAlive(attempt ebonyworks.AttemptRecord) bool {
	return attempt.Result != ebonyworks.AttemptUnreachable && (attempt.Result != ebonyworks.AttemptDraining || attempt.Report.Draining)
}

// reachableWhileCold reports whether the server is cold and this host can reach it.
func (r *Table) reachableWhileCold(known *record, now time.Time) bool {
	_, cold := r.coldRate(known, now)
	return cold && !known.warmup.unreachable
}

// setWarmup applies the latest evidence about the end of the warm-up, and reports whether
// other hosts have to be told.
func (r *Table) setWarmup(known *record, server ebonyworks.ServerID, until, statedAt, now time.Time) bool {
	w := &known.warmup
	cold, wasCold := until.After(now), w.until.After(now)
	if !cold && w.until.IsZero() {
		return false
	}
	changed := cold != wasCold || cold && until.Sub(w.until).Abs() > warmupTolerance
	w.until, w.statedAt = until, statedAt
	if changed {
		w.changedAt = now
	}
	r.updateCold(known, server, now)
	return changed
}

// assumeWarmup begins the warm-up of a new incarnation until its entry is known.
func (r *Table) assumeWarmup(known *record, server ebonyworks.ServerID, now time.Time) {
	r.clearWarmup(known)
	if length, rate := r.warmupOf(known); length > 0 && rate > 0 {
		r.setWarmup(known, server, now.Add(length), time.Time{}, now)
	}
}

// updateCold records the event if the server has become cold or warm, and sets the timer
// of the end.
func (r *Table) updateCold(known *record, server ebonyworks.ServerID, now time.Time) {
	w := &known.warmup
	rate, cold := r.coldRate(known, now)
	switch {
	case cold && !w.announced:
		w.announced = true
		r.cold.Add(1)
		r.recordEvent(event.ServerCold, server,
			event.Attribute("For", max(w.until.Sub(now), 0).Round(time.Millisecond).String()),
			event.Attribute("PerSecond", strconv.FormatFloat(float64(rate), 'g', -1, 64)))
	case !cold && w.announced:
		w.announced = false
		r.cold.Add(-1)
		r.recordEvent(event.ServerWarm, server)
	}
	if !cold || w.pending || w.unreachable {
		return
	}
	if w.timer == nil {
		w.timer = time.AfterFunc(w.until.Sub(now), func() { r.endWarmup(server) })
		return
	}
	w.timer.Reset(w.until.Sub(now))
}

func (r *Table) endWarmup(server ebonyworks.ServerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.servers[server]; known != nil {
		r.updateCold(known, server, time.Now())
	}
}

// clearWarmup forgets the cold state of an earlier incarnation.
func (r *Table) clearWarmup(known *record) {
	if known.warmup.announced {
		r.cold.Add(-1)
	}
	known.warmup = warmup{}
}

// addWarmup adds the cold state to what other hosts are told.
func (r *Table) addWarmup(known *record, limit *ebonyworks.RateLimit, now time.Time) {
	w := &known.warmup
	rate := r.warmupRate(known)
	if w.until.IsZero() || rate <= 0 {
		return
	}
	limit.WarmupRate = rate
	limit.WarmupAge = ageOf(w.statedAt, now)
	limit.Warmup = max(w.until.Sub(now), 0)
	if limit.WarmupPending = w.pending; w.pending {
		length, _ := r.warmupOf(known)
		limit.Warmup = max(limit.Warmup, length, time.Millisecond)
	}
}

// mergeWarmup merges the cold state that another host told. The latest evidence applies.
func (r *Table) mergeWarmup(known *record, limit ebonyworks.RateLimit, now time.Time) {
	if limit.WarmupRate <= 0 {
		return
	}
	w := &known.warmup
	statedAt := now.Add(-limit.WarmupAge)
	if statedAt.Before(w.statedAt) {
		return
	}
	w.rate = limit.WarmupRate
	r.setPending(w, limit.WarmupPending, now)
	if limit.WarmupPending && statedAt.After(w.unreachableAt) {
		w.unreachableAt = statedAt
	}
	if w.until.IsZero() && limit.Warmup <= 0 {
		// The sender may ask for permits, which are issued only for servers that are known.
		w.until, w.statedAt = now, statedAt
		return
	}
	r.setWarmup(known, limit.Server, now.Add(limit.Warmup), statedAt, now)
}

// ageOf returns the time since the statement, or UnstatedAge if there was none.
func ageOf(statedAt, now time.Time) time.Duration {
	if statedAt.IsZero() {
		return ebonyworks.UnstatedAge
	}
	return now.Sub(statedAt)
}
