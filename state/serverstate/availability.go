package serverstate

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// MaxBackoff bounds the backoff of a server. A server that wants no requests for
	// longer should drain instead. A new incarnation ends the backoff.
	MaxBackoff = 7 * 24 * time.Hour
	// backoffJitter is the fraction of a backoff, and maxBackoffJitter the time, by which
	// a host extends a backoff at random, so that the hosts don't resume sending to the
	// server at the same moment.
	backoffJitter    = 0.25
	maxBackoffJitter = 500 * time.Millisecond
	// maxTombstones bounds the tombstones of servers without a registration.
	maxTombstones = 4096
)

// tombstone is the drain, backoff, rate limit and cold state of one incarnation of a
// server. It outlives the server's record, because a registration that lapses and is
// renewed is not a new incarnation.
type tombstone struct {
	incarnation  ebonyworks.Incarnation
	announcedAt  time.Time
	backoffUntil time.Time
	limit        rateLimit
	service      ebonyworks.ServiceID
	warmup       warmup
	// removedAt is when the registration was removed.
	removedAt time.Time
}

// RecordDrainAnnouncement records that the server itself reported that it is
// draining, in a response that a peer passed on.
func (r *Table) RecordDrainAnnouncement(state ebonyworks.DrainState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.getOrCreate(state.Server)
	if known == nil || !state.Draining || state.Incarnation < known.incarnation {
		return
	}
	now := time.Now()
	r.applyDrainState(known, state, now)
	known.setAnnounced(now)
}

// RecordRegistration records that the server was registered anew as ready. In the known
// incarnation, this ends a drain state that the server didn't announce itself: another
// server had answered at the address that it was registered with before.
func (r *Table) RecordRegistration(server ebonyworks.ServerID, incarnation ebonyworks.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.getOrCreate(server)
	if known == nil || incarnation < known.incarnation {
		return
	}
	now := time.Now()
	known.confirmedAt = now
	r.applyDrainState(known, ebonyworks.DrainState{Server: server, Incarnation: incarnation}, now)
	if known.draining && known.announcedAt.IsZero() {
		known.draining = false
	}
}

// Availability tells whether requests may be sent to the server now.
func (r *Table) Availability(server ebonyworks.ServerID) ebonyworks.Availability {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.lookup(server)
	if known == nil {
		return ebonyworks.Availability{}
	}
	now := time.Now()
	if known.draining && !r.inDrainGrace(known, now) {
		return ebonyworks.Availability{Draining: true, Incarnation: known.incarnation}
	}
	_, cold := r.coldRate(known, now)
	return ebonyworks.Availability{
		Backoff: known.backoffLeft(now), RateLimited: known.limit.limited || cold, Cold: cold, Incarnation: known.incarnation,
	}
}

// Unavailable returns the servers that get no requests now, because they are
// draining or in backoff. It is nil if there are none.
func (r *Table) Unavailable() map[ebonyworks.ServerID]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var avoided map[ebonyworks.ServerID]bool
	for id, known := range r.servers {
		if !known.draining && known.backoffLeft(now) <= 0 {
			continue
		}
		if avoided == nil {
			avoided = make(map[ebonyworks.ServerID]bool)
		}
		avoided[id] = true
	}
	return avoided
}

// CountUnavailable counts the servers that are draining, and those in backoff.
func (r *Table) CountUnavailable() (draining, backoff int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, known := range r.servers {
		switch {
		case known.draining:
			draining++
		case known.backoffLeft(now) > 0:
			backoff++
		}
	}
	return draining, backoff
}

// inDrainGrace reports whether a draining server may still get requests while no
// other server accepts any. Only the server's own announcement starts the grace
// period.
func (r *Table) inDrainGrace(known *record, now time.Time) bool {
	return r.DrainGrace > 0 && !known.announcedAt.IsZero() && now.Sub(known.announcedAt) < r.DrainGrace && known.backoffLeft(now) <= 0
}

// startBackoff takes the server out of use for the given time. A slow start follows.
func (r *Table) startBackoff(known *record, server ebonyworks.ServerID, length time.Duration, now time.Time) {
	length = min(length, MaxBackoff)
	until := now.Add(length)
	if !until.After(known.backoffUntil) {
		return
	}
	if known.backoffLeft(now) <= 0 {
		r.recordEvent(event.ServerBackoff, server, event.Attribute("For", length.String()))
	}
	spread := min(time.Duration(backoffJitter*float64(length)), maxBackoffJitter)
	known.backoffUntil = until.Add(time.Duration(r.randomFraction() * float64(spread)))
	known.rampSince = known.backoffUntil
	known.rampTime = min(length, RampTime)
}

// addTombstone keeps the drain, backoff, rate limit and cold state of a server whose
// record is dropped.
func (r *Table) addTombstone(id ebonyworks.ServerID, known *record, now time.Time) {
	if known.announcedAt.IsZero() && known.backoffLeft(now) <= 0 && !known.limit.limited && !known.warmup.announced {
		return
	}
	if r.tombstones == nil {
		r.tombstones = make(map[ebonyworks.ServerID]tombstone)
	}
	if len(r.tombstones) >= maxTombstones {
		r.evictOldestTombstone()
	}
	saved := tombstone{
		incarnation: known.incarnation, announcedAt: known.announcedAt, backoffUntil: known.backoffUntil, limit: known.limit,
		service: known.service, warmup: known.warmup, removedAt: now,
	}
	saved.warmup.announced, saved.warmup.timer = false, nil
	r.tombstones[id] = saved
}

func (r *Table) evictOldestTombstone() {
	var oldest ebonyworks.ServerID
	for id, saved := range r.tombstones {
		if oldest == "" || saved.removedAt.Before(r.tombstones[oldest].removedAt) {
			oldest = id
		}
	}
	delete(r.tombstones, oldest)
}

// restoreTombstone copies the tombstone of the server, if there is one, into its new
// record.
func (r *Table) restoreTombstone(id ebonyworks.ServerID, known *record) {
	saved, found := r.tombstones[id]
	if !found {
		return
	}
	delete(r.tombstones, id)
	saved.copyTo(known)
	if known.limit.limited {
		r.limited.Add(1)
	}
	r.updateCold(known, id, time.Now())
}

// copyTo sets the state of the record that outlives a registration.
func (s *tombstone) copyTo(known *record) {
	known.incarnation = s.incarnation
	known.announcedAt = s.announcedAt
	known.draining = !s.announcedAt.IsZero()
	known.backoffUntil = s.backoffUntil
	known.limit = s.limit
	known.service, known.warmup = s.service, s.warmup
}

// lookup returns the record of the server, or nil if nothing is known of it. For a server
// whose registration was removed, it returns a new record with the state of its tombstone:
// attempts that wait, and requests whose service still lists the server, must not be sent
// to it only because its record is gone.
func (r *Table) lookup(id ebonyworks.ServerID) *record {
	if known := r.servers[id]; known != nil {
		return known
	}
	saved, found := r.tombstones[id]
	if !found {
		return nil
	}
	known := &record{robustLatency: r.KeepInDomain}
	saved.copyTo(known)
	return known
}

// setAnnounced records that the server itself reported that it is draining.
func (k *record) setAnnounced(now time.Time) {
	if k.draining && k.announcedAt.IsZero() {
		k.announcedAt = now
	}
}

// backoffLeft returns the rest of the server's backoff.
func (k *record) backoffLeft(now time.Time) time.Duration {
	return max(k.backoffUntil.Sub(now), 0)
}
