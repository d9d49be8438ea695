package storesource

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/evacuation"
)

// maxHeldQueries bounds the requests of a starting host for held evacuations, also where
// all hosts start together. Several hosts are asked, because the first ones may have started
// from the same copy.
const maxHeldQueries = 16

// heldQueries are the requests by which a host that started from a restored store learns
// of the evacuations that other hosts hold against it, and of the registrations that the
// store has lost.
type heldQueries struct {
	// until is when the holds have ended.
	until time.Time
	// hosts are the next ones to ask. It has room for all that are added.
	hosts chan ebonyworks.Host
	// added are the hosts that were added and haven't failed to answer.
	added map[ebonyworks.HostID]bool
	// left is the number of hosts that may still be added.
	left int
}

// beginHeldQueries is called after a listing of the store. Only a host that hasn't
// followed the store before asks, since others know what was lost.
func (r *FailoverReader) beginHeldQueries(era ebonyworks.StoreEra, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.LearnHeld && r.Peers != nil && era > 0 && !r.watched {
		r.held = &heldQueries{
			until: now.Add(evacuation.HoldTime),
			hosts: make(chan ebonyworks.Host, maxHeldQueries),
			added: make(map[ebonyworks.HostID]bool),
			left:  maxHeldQueries,
		}
	}
}

// openHeldQueries returns the queries until they end, and nil otherwise.
func (r *FailoverReader) openHeldQueries(now time.Time) *heldQueries {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.held != nil && !now.Before(r.held.until) {
		r.held = nil
	}
	return r.held
}

// add adds a host to ask, unless it was added before. The reader's mutex must be held.
func (q *heldQueries) add(host ebonyworks.Host) {
	if q.left > 0 && !q.added[host.ID] {
		q.left--
		q.added[host.ID] = true
		q.hosts <- host
	}
}

// watchAndLearnHeld watches the store and asks other hosts meanwhile. The watch ends early
// if one of them holds anything or knows registrations that the store has lost.
func (r *FailoverReader) watchAndLearnHeld(ctx context.Context, queries *heldQueries, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var answered answer
	var asking sync.WaitGroup
	asking.Go(func() {
		if answered = r.askForHeld(watchCtx, queries, after); answered.ok {
			cancel()
		}
	})
	listing, err := r.watchSources(watchCtx, after, wait)
	cancel()
	asking.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !answered.ok {
		return listing, err
	}
	if err != nil {
		// The answer ended the watch. The next one returns any other error again.
		listing, r.interrupted = ebonyworks.StoreListing{AsOf: after}, false
	}
	listing.Held = append(listing.Held, answered.report.Held...)
	listing.Changes = append(slices.Clone(listing.Changes), lostRegistrations(answered.report, after.Era())...)
	r.held = nil
	return listing, nil
}

// lostRegistrations returns the registrations of the report that the host keeps from an
// earlier era, since they are newer than those of the restored store, and those that it
// defers.
func lostRegistrations(report ebonyworks.StoreReport, era ebonyworks.StoreEra) []ebonyworks.StoreChange {
	var lost []ebonyworks.StoreChange
	for _, change := range report.Changes {
		if change.Registration != nil && (change.Revision.Era() < era || change.DeferredFor > 0) {
			lost = append(lost, change)
		}
	}
	return lost
}

// askForHeld asks the hosts one after the other, as they become known, and returns the
// answer of the first that holds anything or knows lost registrations. It requests the
// whole content, since changes after a revision of this era have no registrations of an
// earlier one.
func (r *FailoverReader) askForHeld(ctx context.Context, queries *heldQueries, after ebonyworks.StoreRevision) answer {
	for {
		select {
		case <-ctx.Done():
			return answer{}
		case host := <-queries.hosts:
			queryCtx, cancel := context.WithTimeout(ctx, answerTimeout)
			report, err := r.followRecoveringPanic(queryCtx, host, 0, 0)
			cancel()
			switch {
			case err != nil && ctx.Err() != nil:
				// The next watch asks the host again.
				queries.hosts <- host
				return answer{}
			case err != nil || report.Stale || report.AsOf.Era() != after.Era():
				r.mutex.Lock()
				delete(queries.added, host.ID)
				r.mutex.Unlock()
			case len(report.Held) > 0 || len(lostRegistrations(report, after.Era())) > 0:
				return answer{host, report, true}
			}
		}
	}
}
