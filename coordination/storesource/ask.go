package storesource

import (
	"context"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// answer is the report of a host; ok is set if it is usable.
type answer struct {
	host   ebonyworks.Host
	report ebonyworks.StoreReport
	ok     bool
}

// firstAnswer asks all hosts at the same time and follows the first with newer changes
// or, if there is none, the first that answered.
func (r *FailoverReader) firstAnswer(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (ebonyworks.StoreListing, bool) {
	return r.queryFirst(ctx, hosts, after, true)
}

// firstNewer asks all hosts at the same time and follows the first with newer changes.
func (r *FailoverReader) firstNewer(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (ebonyworks.StoreListing, bool) {
	return r.queryFirst(ctx, hosts, after, false)
}

// queryFirst asks all hosts at the same time and follows the one that pickAnswer
// chooses.
func (r *FailoverReader) queryFirst(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision, allowOld bool) (ebonyworks.StoreListing, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, queried := r.queryAll(ctx, hosts, after)
	picked := pickAnswer(answers, queried, after, allowOld)
	if !picked.ok {
		return ebonyworks.StoreListing{}, false
	}
	r.applyReport(picked.host, &picked.report)
	return picked.report.StoreListing, true
}

// pickAnswer returns the first answer with changes after the revision. If old answers
// are allowed and no newer one arrives within maxTransitTime, it returns the first
// answer.
func pickAnswer(answers <-chan answer, queried int, after ebonyworks.StoreRevision, allowOld bool) answer {
	var old answer
	var late <-chan time.Time
	for range queried {
		select {
		case next := <-answers:
			if next.ok && next.report.AsOf > after {
				return next
			}
			if next.ok && allowOld && !old.ok {
				old, late = next, time.After(maxTransitTime)
			}
		case <-late:
			return old
		}
	}
	return old
}

// queryAll asks all hosts that aren't in backoff, and returns the number of answers
// that will arrive on the channel.
func (r *FailoverReader) queryAll(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (<-chan answer, int) {
	answers := make(chan answer, len(hosts))
	queried := 0
	for _, host := range hosts {
		// After a canceled watch the remaining hosts aren't asked, since a failure
		// would tell nothing about them.
		if ctx.Err() != nil || r.isBackingOff(host.ID, time.Now()) {
			continue
		}
		queried++
		go func() {
			report, ok := r.query(ctx, host, after, 0, answerTimeout)
			answers <- answer{host, report, ok}
		}()
	}
	return answers, queried
}

// noteInterruption records whether the watch was canceled.
func (r *FailoverReader) noteInterruption(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.interrupted = r.interrupted || ctx.Err() != nil
}

// takeInterruption reports whether the last watch was canceled, and resets that.
func (r *FailoverReader) takeInterruption() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	interrupted := r.interrupted
	r.interrupted = false
	return interrupted
}

// query requests a report from another host. It returns false if the host has no
// current copy of the store.
func (r *FailoverReader) query(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait, timeout time.Duration) (ebonyworks.StoreReport, bool) {
	queryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	queried := time.Now()
	report, err := r.followRecoveringPanic(queryCtx, host, after, wait)
	now := time.Now()
	report.Age += transit(now.Sub(queried), wait)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err != nil && ctx.Err() != nil:
		// Another host was faster, or the watch was canceled because other hosts know
		// newer changes. Either way this host shouldn't be asked next.
		r.backOff(host.ID, now, staleHostBackoff)
		return ebonyworks.StoreReport{}, false
	case err != nil:
		backoff := r.backOff(host.ID, now, 0)
		backoff.failures++
		r.lastError = "host " + string(host.ID) + ": " + err.Error()
		backoff.until = now.Add(wakeup.Jitter(min(minHostBackoff<<min(backoff.failures-1, 8), maxHostBackoff), r.Random))
		return ebonyworks.StoreReport{}, false
	case !r.isUsable(host, &report, after, now):
		r.othersLost = r.othersLost || report.Stale
		r.lastError = "host " + string(host.ID) + ": " + r.unusableReason(host, &report, after, now)
		backoff := r.backOff(host.ID, now, wakeup.Jitter(staleHostBackoff, r.Random))
		backoff.failures, backoff.sourceless = 0, report.Stale
		return ebonyworks.StoreReport{}, false
	}
	delete(r.backoffs, host.ID)
	return report, true
}

// isUsable reports whether the host with the report has a current copy of the store. The
// mutex must be held.
func (r *FailoverReader) isUsable(host ebonyworks.Host, report *ebonyworks.StoreReport, after ebonyworks.StoreRevision, now time.Time) bool {
	return !report.Stale && report.Age <= r.applyTimePart(maxAgePart) && !r.isLoop(report) && !isEarlierEra(report, after) && !r.mayBeOfEarlierEra(host, report, now) && !r.predatesSilence(report, after, now)
}

// followRecoveringPanic requests a report from another host. A panic is recovered and
// counts as a failed request.
func (r *FailoverReader) followRecoveringPanic(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (report ebonyworks.StoreReport, err error) {
	defer event.RecoverPanic(r.Recorder, func() string {
		err = event.ErrPanicked
		return "report of host " + string(host.ID)
	})
	return r.Peers.Follow(ctx, host, after, wait)
}

// unusableReason tells why a report isn't usable, for the log.
func (r *FailoverReader) unusableReason(host ebonyworks.Host, report *ebonyworks.StoreReport, after ebonyworks.StoreRevision, now time.Time) string {
	switch {
	case report.Stale:
		return "has no source"
	case report.Age > r.applyTimePart(maxAgePart):
		return "has a copy of the store that was confirmed " + report.Age.String() + " ago"
	case isEarlierEra(report, after):
		return "has a copy of the store from before it was restored"
	case r.mayBeOfEarlierEra(host, report, now):
		return "doesn't know whether its copy of the store is from before it was restored"
	case r.isLoop(report):
		return "follows this host, or is too many hosts away from the store"
	default:
		return "has no confirmation of the store since the store stopped answering this host"
	}
}

// isEarlierEra reports whether the report comes from a host that doesn't know yet that
// the store was restored.
func isEarlierEra(report *ebonyworks.StoreReport, after ebonyworks.StoreRevision) bool {
	return report.AsOf.Era() < after.Era()
}

// mayBeOfEarlierEra reports whether the copy of a host that doesn't know eras may contain what
// the store has lost, and needn't be used. After a restore, such a host holds and confirms its
// copy until the store's revisions have passed it. It is a source only for a host that has no
// other, and not shortly after a restore. The mutex must be held.
func (r *FailoverReader) mayBeOfEarlierEra(host ebonyworks.Host, report *ebonyworks.StoreReport, now time.Time) bool {
	if !report.LacksEra || report.AsOf.Era() == 0 {
		return false
	}
	hasOther := r.source != "" && r.source != host.ID
	return hasOther || !r.newEraAt.IsZero() && now.Sub(r.newEraAt) < r.applyTimePart(recoveryRetentionPart)
}

// isLoop reports whether the host follows this one, so that its copy comes from here,
// or is too many hosts away from the store.
func (r *FailoverReader) isLoop(report *ebonyworks.StoreReport) bool {
	return len(report.Via) >= maxHops || slices.Contains(report.Via, r.Self.ID)
}
