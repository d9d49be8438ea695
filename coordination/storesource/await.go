package storesource

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

var _ ebonyworks.StoreSourceWaiter = (*FailoverReader)(nil)

// copyWait is a wait for the first copy of the store at several hosts at the same time.
type copyWait struct {
	// until is when the hosts answer at the latest. Others are asked from then on.
	until time.Time
	// first is the first usable answer; set before found is closed.
	first answer
	found chan struct{}
	// cancel ends the requests.
	cancel context.CancelFunc
}

// AwaitSource waits after a failed listing of a host without a copy of the store. It
// returns as soon as another host has sent its copy. Otherwise the first hosts of each
// domain return after a short pause to try the store again, and the others after a longer
// one, so that not all hosts call the store often. The requests to other hosts continue
// during the next listing. The context must be that of the listings.
func (r *FailoverReader) AwaitSource(ctx context.Context, pause time.Duration) {
	if r.Peers == nil {
		wakeup.Wait(ctx, pause, nil)
		return
	}
	end := time.Now().Add(r.listPause(pause))
	for now := time.Now(); now.Before(end); now = time.Now() {
		wait := r.currentCopyWait(ctx, now)
		if !wakeup.Wait(ctx, min(end.Sub(now), wait.until.Sub(now)), wait.found) || wait.hasEnded() {
			return
		}
	}
}

// hasEnded reports whether a copy was received.
func (w *copyWait) hasEnded() bool {
	select {
	case <-w.found:
		return true
	default:
		return false
	}
}

// listPause returns the pause until the next attempt to list the store. A host that
// knows no others keeps the pause given.
func (r *FailoverReader) listPause(pause time.Duration) time.Duration {
	order := r.currentReaderOrder(time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case len(r.alive) == 0:
		return pause
	case order.IsFirst():
		return wakeup.Jitter(firstListInterval, r.Random)
	default:
		return wakeup.Jitter(otherListInterval, r.Random)
	}
}

// currentCopyWait returns the wait for the first copy. If the last one has ended without
// a copy, another one begins.
func (r *FailoverReader) currentCopyWait(ctx context.Context, now time.Time) *copyWait {
	r.mutex.Lock()
	last := r.copyWait
	if last != nil && (last.first.ok || now.Before(last.until)) {
		defer r.mutex.Unlock()
		return last
	}
	r.mutex.Unlock()
	r.endCopyWait()
	hosts := r.awaitedHosts(now)
	ctx, cancel := context.WithCancel(ctx)
	wait := &copyWait{until: now.Add(copyWaitTime), found: make(chan struct{}), cancel: cancel}
	r.mutex.Lock()
	r.copyWait = wait
	r.mutex.Unlock()
	for _, host := range hosts {
		go func() {
			if received := r.awaitCopy(ctx, host); received.ok {
				r.finish(wait, received)
			}
		}()
	}
	return wait
}

// awaitedHosts returns the hosts to ask for the first copy: a bounded number of those of
// which this host expects it, and one that has a copy according to gossip.
func (r *FailoverReader) awaitedHosts(now time.Time) []ebonyworks.Host {
	hosts, others := r.currentReaderOrder(now).CopySources()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.Random != nil {
		r.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	}
	hosts = append(hosts, others...)
	hosts = hosts[:min(len(hosts), maxAwaitedHosts)]
	if r.suggested.ID != "" && !slices.Contains(hosts, r.suggested) {
		hosts = append(hosts, r.suggested)
	}
	return hosts
}

// awaitCopy requests the copy of the host, which answers once it has one. The host has no
// backoff afterwards, since an answer without a copy says that the time was over.
func (r *FailoverReader) awaitCopy(ctx context.Context, host ebonyworks.Host) answer {
	queried := time.Now()
	report, err := r.followRecoveringPanic(ctx, host, 0, copyWaitTime)
	report.Age += transit(time.Since(queried), copyWaitTime)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return answer{host, report, err == nil && r.isUsable(host, &report, 0, time.Now())}
}

// finish ends the wait with the copy that was received first.
func (r *FailoverReader) finish(wait *copyWait, received answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if wait.first.ok {
		return
	}
	wait.first = received
	close(wait.found)
	wait.cancel()
}

// untilCopy returns a context that ends when another host has sent the first copy, for a
// call of the store that may take long. The function returned ends the context.
func (r *FailoverReader) untilCopy(ctx context.Context) (context.Context, func()) {
	storeCtx, cancel := context.WithCancel(ctx)
	if !r.isAwaitingCopy() {
		return storeCtx, cancel
	}
	var renewal sync.WaitGroup
	renewal.Go(func() {
		for storeCtx.Err() == nil {
			now := time.Now()
			wait := r.currentCopyWait(ctx, now)
			if wakeup.Wait(storeCtx, wait.until.Sub(now), wait.found) && wait.hasEnded() {
				cancel()
			}
		}
	})
	return storeCtx, func() {
		cancel()
		renewal.Wait()
	}
}

// isAwaitingCopy reports whether AwaitSource was called since the last successful listing.
func (r *FailoverReader) isAwaitingCopy() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.copyWait != nil
}

// takeCopy follows the host that has sent the first copy, if there is one, and returns the
// copy.
func (r *FailoverReader) takeCopy() (ebonyworks.StoreListing, bool) {
	r.mutex.Lock()
	if r.copyWait == nil || !r.copyWait.first.ok {
		r.mutex.Unlock()
		return ebonyworks.StoreListing{}, false
	}
	first := r.copyWait.first
	r.mutex.Unlock()
	r.endCopyWait()
	r.applyReport(first.host, &first.report)
	r.resetBackoffs()
	return first.report.StoreListing, true
}

// endCopyWait ends the wait for the first copy.
func (r *FailoverReader) endCopyWait() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.copyWait != nil {
		r.copyWait.cancel()
		r.copyWait = nil
	}
}
