package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// confirm records that the copy held all changes of the store at the time.
func (r *FailoverReader) confirm(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// transit returns a lower bound of the network latency of an answer, which is added to
// the age that it reports. Otherwise hosts that follow each other without any reader of
// the store would notice too late that their copies are stale.
func transit(elapsed, wait time.Duration) time.Duration {
	if elapsed <= maxTransitTime {
		return elapsed
	}
	return max(maxTransitTime, elapsed-wait)
}

// Age returns how long ago the store confirmed the copy of this host. It returns false
// if there is no source or the confirmation is too old.
func (r *FailoverReader) Age() (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.confirmedAt.IsZero() || !r.sourceLostAt.IsZero() {
		return 0, false
	}
	age := time.Since(r.confirmedAt)
	return age, age <= r.applyTimePart(maxAgePart)
}

// SourceLost returns a channel that is closed when the last source fails.
func (r *FailoverReader) SourceLost() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sourceLost == nil {
		r.sourceLost = make(chan struct{})
	}
	return r.sourceLost
}

// noteSilence records that the store didn't answer the watch that was sent at the time.
func (r *FailoverReader) noteSilence(sent time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.silentSince.IsZero() {
		r.silentSince = sent
	}
}

// predatesSilence reports whether a report contains nothing that the store confirmed
// after it stopped answering this host. It isn't used then, because the other host's
// watch of the store may be unanswered, too. The mutex must be held.
func (r *FailoverReader) predatesSilence(report *ebonyworks.StoreReport, after ebonyworks.StoreRevision, now time.Time) bool {
	return !r.silentSince.IsZero() && report.AsOf <= after && !now.Add(-report.Age).After(r.silentSince)
}

// Via returns the hosts between this one and the store, the nearest to this one last.
func (r *FailoverReader) Via() []ebonyworks.HostID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.source == r.Self.ID || r.source == "" {
		return nil
	}
	return append(slices.Clone(r.via), r.source)
}

// ReadsStore reports whether this host reads the store itself.
func (r *FailoverReader) ReadsStore() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source == r.Self.ID
}

// StoreCalls returns the number of calls of the store since the start.
func (r *FailoverReader) StoreCalls() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.storeCalls
}

// MarkStale is called after a pause of the process. The copy isn't passed on until a
// source has confirmed it again.
func (r *FailoverReader) MarkStale() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.confirmedAt = time.Time{}
}

// SinceRecovery returns how long ago the store recovered from an outage; zero if there
// was no recent outage.
func (r *FailoverReader) SinceRecovery() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.recoveredAt.IsZero() {
		return 0
	}
	ago := time.Since(r.recoveredAt)
	if ago > r.applyTimePart(recoveryRetentionPart) {
		return 0
	}
	return max(ago, 1)
}
