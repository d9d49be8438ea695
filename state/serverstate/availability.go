package serverstate

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// MaxBackoff bounds how long a server gets no requests. One that wants no work for longer
	// leaves; a new incarnation ends the backoff.
	MaxBackoff = 7 * 24 * time.Hour
	// returnSpread is the part of a backoff, and maxReturnSpread the time, within which
	// the hosts return to the server, so that they don't return at one moment.
	returnSpread    = 0.25
	maxReturnSpread = 500 * time.Millisecond
	// maxTombstones bounds the servers that are remembered without a registration.
	maxTombstones = 4096
)

// tombstone is what one incarnation of a server said about the requests that it
// wants. It outlives the server's record: a registration that lapses and comes back
// is no new incarnation.
type tombstone struct {
	incarnation  ebonyworks.Incarnation
	announced    time.Time
	backoffUntil time.Time
	// at is when the registration went.
	at time.Time
}

// RecordDrainAnnouncement learns that the server itself said that it is leaving, in a response
// that a peer passed on.
func (r *Table) RecordDrainAnnouncement(departure ebonyworks.DrainState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.open(departure.Server)
	if known == nil || !departure.Draining || departure.Incarnation < known.incarnation {
		return
	}
	now := time.Now()
	r.learnIncarnation(known, departure, now)
	known.announce(now)
}

// Availability tells whether the server may be sent a request now.
func (r *Table) Availability(server ebonyworks.ServerID) ebonyworks.Availability {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil {
		return ebonyworks.Availability{}
	}
	now := time.Now()
	if known.leaving && !r.mayStillServe(known, now) {
		return ebonyworks.Availability{Draining: true}
	}
	return ebonyworks.Availability{Backoff: known.backoffLeft(now)}
}

// Unavailable returns the servers that get no request now: they are leaving or in backoff. It is nil
// if there are none.
func (r *Table) Unavailable() map[ebonyworks.ServerID]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var avoided map[ebonyworks.ServerID]bool
	for id, known := range r.servers {
		if !known.leaving && known.backoffLeft(now) <= 0 {
			continue
		}
		if avoided == nil {
			avoided = make(map[ebonyworks.ServerID]bool)
		}
		avoided[id] = true
	}
	return avoided
}

// CountUnavailable counts the servers that are leaving, and those in backoff.
func (r *Table) CountUnavailable() (leaving, backoff int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, known := range r.servers {
		switch {
		case known.leaving:
			leaving++
		case known.backoffLeft(now) > 0:
			backoff++
		}
	}
	return leaving, backoff
}

// mayStillServe reports whether a server that is leaving may get requests while no
// other server takes any. Only its own announcement opens that time.
func (r *Table) mayStillServe(known *record, now time.Time) bool {
	return r.DrainGrace > 0 && !known.announced.IsZero() && now.Sub(known.announced) < r.DrainGrace && known.backoffLeft(now) <= 0
}

// backOff takes the server out for the time. It then returns slowly.
func (r *Table) backOff(known *record, server ebonyworks.ServerID, length time.Duration, now time.Time) {
	length = min(length, MaxBackoff)
	until := now.Add(length)
	if !until.After(known.backoffUntil) {
		return
	}
	if known.backoffLeft(now) <= 0 {
		r.record(event.ServerBackoff, server, event.Attribute("For", length.String()))
	}
	spread := min(time.Duration(returnSpread*float64(length)), maxReturnSpread)
	known.backoffUntil = until.Add(time.Duration(r.chance() * float64(spread)))
	known.rampSince = known.backoffUntil
	known.rampTime = min(length, RampTime)
}

// remember keeps what the server said about the requests that it wants.
func (r *Table) remember(id ebonyworks.ServerID, known *record, now time.Time) {
	if known.announced.IsZero() && known.backoffLeft(now) <= 0 {
		return
	}
	if r.tombstones == nil {
		r.tombstones = make(map[ebonyworks.ServerID]tombstone)
	}
	if len(r.tombstones) >= maxTombstones {
		r.forgetOldest()
	}
	r.tombstones[id] = tombstone{incarnation: known.incarnation, announced: known.announced, backoffUntil: known.backoffUntil, at: now}
}

func (r *Table) forgetOldest() {
	var oldest ebonyworks.ServerID
	for id, said := range r.tombstones {
		if oldest == "" || said.at.Before(r.tombstones[oldest].at) {
			oldest = id
		}
	}
	delete(r.tombstones, oldest)
}

// recall gives a new record what the server said while an earlier one was kept.
func (r *Table) recall(id ebonyworks.ServerID, known *record) {
	said, found := r.tombstones[id]
	if !found {
		return
	}
	delete(r.tombstones, id)
	known.incarnation = said.incarnation
	known.announced = said.announced
	known.leaving = !said.announced.IsZero()
	known.backoffUntil = said.backoffUntil
}

// announce records that the server itself said that it is leaving.
func (k *record) announce(now time.Time) {
	if k.leaving && k.announced.IsZero() {
		k.announced = now
	}
}

// backoffLeft returns how long the server still wants no request.
func (k *record) backoffLeft(now time.Time) time.Duration {
	return max(k.backoffUntil.Sub(now), 0)
}
