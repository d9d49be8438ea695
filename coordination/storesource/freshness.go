package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// confirm notes that the state of the store as of the time is known.
func (u *FailoverReader) confirm(at time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if at.After(u.confirmed) {
		u.confirmed = at
	}
}

// transit returns how long an answer was on its way, at least. Hosts that follow
// each other without any reader of the store would otherwise grow stale late.
func transit(elapsed, wait time.Duration) time.Duration {
	if elapsed <= transitTime {
		return elapsed
	}
	return max(transitTime, elapsed-wait)
}

// Age returns how long ago the store confirmed what this host knows, and false
// if it has no source or what it knows is too old.
func (u *FailoverReader) Age() (time.Duration, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.confirmed.IsZero() || !u.lostAt.IsZero() {
		return 0, false
	}
	age := time.Since(u.confirmed)
	return age, age <= u.part(maxAgePart)
}

// SourceLost returns a channel that is closed when there is no source any more.
func (u *FailoverReader) SourceLost() <-chan struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.abandoned == nil {
		u.abandoned = make(chan struct{})
	}
	return u.abandoned
}

// noteSilence notes that the store left the watch unanswered that was sent at the
// time.
func (u *FailoverReader) noteSilence(sent time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.silentSince.IsZero() {
		u.silentSince = sent
	}
}

// predatesSilence reports whether a host tells nothing that the store confirmed since it
// left this host's watch unanswered: that host's own watch may be as silent. The mutex
// is held.
func (u *FailoverReader) predatesSilence(report *ebonyworks.StoreReport, after ebonyworks.StoreRevision, now time.Time) bool {
	return !u.silentSince.IsZero() && report.AsOf <= after && !now.Add(-report.Age).After(u.silentSince)
}

// Via returns the hosts between this one and the store, the nearest one last.
func (u *FailoverReader) Via() []ebonyworks.HostID {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.source == u.Self.ID || u.source == "" {
		return nil
	}
	return append(slices.Clone(u.via), u.source)
}

// ReadsStore reports whether the source is the store itself.
func (u *FailoverReader) ReadsStore() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.source == u.Self.ID
}

// StoreCalls returns the number of calls of the store so far.
func (u *FailoverReader) StoreCalls() uint64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.calls
}

// MarkStale tells that the process was paused: what it knows isn't passed on
// until a source has confirmed it.
func (u *FailoverReader) MarkStale() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.confirmed = time.Time{}
}

// SinceRecovery returns how long ago the store came back after an outage; zero if it
// wasn't away lately.
func (u *FailoverReader) SinceRecovery() time.Duration {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.returned.IsZero() {
		return 0
	}
	ago := time.Since(u.returned)
	if ago > u.part(forgottenPart) {
		return 0
	}
	return max(ago, 1)
}
