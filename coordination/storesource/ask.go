package storesource

import (
	"context"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// answer is what a host told.
type answer struct {
	host   ebonyworks.Host
	report ebonyworks.StoreReport
	ok     bool
}

// firstAnswer asks all hosts at once and follows one that knows more than this one or,
// if there is none, the first that answered.
func (u *FailoverReader) firstAnswer(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (ebonyworks.StoreListing, bool) {
	return u.first(ctx, hosts, after, true)
}

// news asks all hosts at once and follows the first that knows more than this one.
func (u *FailoverReader) news(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (ebonyworks.StoreListing, bool) {
	return u.first(ctx, hosts, after, false)
}

// first asks all hosts at once and follows the one that it picks.
func (u *FailoverReader) first(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision, allowOld bool) (ebonyworks.StoreListing, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, asked := u.askAll(ctx, hosts, after)
	picked := pick(answers, asked, after, allowOld)
	if !picked.ok {
		return ebonyworks.StoreListing{}, false
	}
	u.follow(picked.host, &picked.report)
	return picked.report.StoreListing, true
}

// pick returns the first answer with changes after the revision. If old ones are
// allowed, the first answer stands in for one that doesn't come within transitTime.
func pick(answers <-chan answer, asked int, after ebonyworks.StoreRevision, allowOld bool) answer {
	var old answer
	var late <-chan time.Time
	for range asked {
		select {
		case next := <-answers:
			if next.ok && next.report.AsOf > after {
				return next
			}
			if next.ok && allowOld && !old.ok {
				old, late = next, time.After(transitTime)
			}
		case <-late:
			return old
		}
	}
	return old
}

// askAll asks all hosts that aren't avoided, and returns how many answers there will
// be.
func (u *FailoverReader) askAll(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision) (<-chan answer, int) {
	answers := make(chan answer, len(hosts))
	asked := 0
	for _, host := range hosts {
		// A watch that was given up says nothing about the hosts that weren't asked.
		if ctx.Err() != nil || u.isAvoided(host.ID, time.Now()) {
			continue
		}
		asked++
		go func() {
			report, ok := u.ask(ctx, host, after, 0, answerTime)
			answers <- answer{host, report, ok}
		}()
	}
	return answers, asked
}

// checkBehind notes that a watch was given up.
func (u *FailoverReader) checkBehind(ctx context.Context) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.behind = u.behind || ctx.Err() != nil
}

// takeBehind reports once whether the last watch was given up.
func (u *FailoverReader) takeBehind() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	behind := u.behind
	u.behind = false
	return behind
}

// ask asks another host, and returns false if it doesn't know the state of the
// store.
func (u *FailoverReader) ask(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait, patience time.Duration) (ebonyworks.StoreReport, bool) {
	asking, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	report, err := u.followContained(asking, host, after, wait)
	now := time.Now()
	report.Age += transit(now.Sub(asked), wait)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	switch {
	case err != nil && ctx.Err() != nil:
		// Another host was faster, or the watch was given up since others know
		// more: then this isn't the one to be asked next.
		u.avoid(host.ID, now, staleAvoidTime)
		return ebonyworks.StoreReport{}, false
	case err != nil:
		known := u.avoid(host.ID, now, 0)
		known.failures++
		u.trouble = "host " + string(host.ID) + ": " + err.Error()
		known.until = now.Add(wakeup.Spread(min(firstAvoidTime<<min(known.failures-1, 8), maxAvoidTime), u.Random))
		return ebonyworks.StoreReport{}, false
	case report.Stale || report.Age > u.part(maxAgePart) || u.isLoop(&report) || u.predatesSilence(&report, after, now):
		u.othersLost = u.othersLost || report.Stale
		u.trouble = "host " + string(host.ID) + ": " + u.defect(&report)
		known := u.avoid(host.ID, now, wakeup.Spread(staleAvoidTime, u.Random))
		known.failures, known.sourceless = 0, report.Stale
		return ebonyworks.StoreReport{}, false
	}
	delete(u.avoided, host.ID)
	return report, true
}

// followContained asks another host. A panic counts as no answer.
func (u *FailoverReader) followContained(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (report ebonyworks.StoreReport, err error) {
	defer event.Contain(u.Recorder, func() string {
		err = event.ErrUnexpected
		return "report of host " + string(host.ID)
	})
	return u.Peers.Follow(ctx, host, after, wait)
}

// defect tells why a report isn't used.
func (u *FailoverReader) defect(report *ebonyworks.StoreReport) string {
	switch {
	case report.Stale:
		return "has no source"
	case report.Age > u.part(maxAgePart):
		return "knows the store as of " + report.Age.String() + " ago"
	case u.isLoop(report):
		return "follows this host, or is too far from the store"
	default:
		return "has heard nothing of the store since it fell silent here"
	}
}

// isLoop reports whether the host follows this one, so that what it knows comes
// from here, or is too many hosts away from the store.
func (u *FailoverReader) isLoop(report *ebonyworks.StoreReport) bool {
	return len(report.Via) >= maxVia || slices.Contains(report.Via, u.Self.ID)
}
