// Package storesource reads the platform's store with failover: from the store itself,
// or from another host that has a current copy of it.
package storesource

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// Durations as fractions of the apply time, in which changes have to be in force.
const (
	// storeWaitPart is the longest wait of a watch of the store. A watch that was sent
	// while the store didn't answer is never answered, so it must end within this
	// time for changes to be in force in time once the store has recovered.
	storeWaitPart = 2.0 / 3
	// batchIntervalPart is the interval between two watches of the store that return
	// changes. It batches changes, because they come in bursts and each call has a
	// cost.
	batchIntervalPart = 1.0 / 6
	// hostWaitPart is the longest wait of a watch of another host. A watch that takes
	// answerTimeout longer shows that the host is unreachable or frozen.
	hostWaitPart = 1.0 / 6
	// maxAgePart is the age from which the copy of a host isn't used. Without any
	// fault, the age reaches the sum of the fractions above.
	maxAgePart = 1.25
	// substituteIntervalPart is the time without any source after which more hosts of a
	// domain may read the store. Their number doubles after each further such time.
	substituteIntervalPart = 1.0 / 12
	// recoveryRetentionPart is how long a recovery of the store is reported to
	// followers.
	recoveryRetentionPart = 2.0
)

const (
	// storeTimeoutReserve is the part of the apply time that a watch of the store and one of
	// another host leave together: for the time-out of the unanswered watch (0.5 s), and for
	// the change to pass through the host that reads the store next.
	storeTimeoutReserve = time.Second
	// urgentBatchInterval replaces the interval of batchIntervalPart where changes are
	// urgent. Servers of a domain that return together write their entries within
	// milliseconds, and with the longer interval the ones that aren't known as cold yet got
	// the requests of all.
	urgentBatchInterval = 25 * time.Millisecond
	// maxSubstitutes bounds the hosts of a domain that read the store while no host has a
	// source, so that not every host of the fleet calls the store during an outage.
	maxSubstitutes = 4
	// answerTimeout is the timeout of a request to another host, in addition to its
	// wait.
	answerTimeout = 400 * time.Millisecond
	// listTimeout is the timeout for the whole content from another host.
	listTimeout = time.Second
	// minHostBackoff and maxHostBackoff bound the backoff of a host after a failure. It
	// doubles with each further failure.
	minHostBackoff = time.Second
	maxHostBackoff = 8 * time.Second
	// staleHostBackoff is the backoff of a host that answered but has no usable copy.
	staleHostBackoff = 250 * time.Millisecond
	// maxQueriesWithoutSource is the number of hosts, besides the first one of the
	// domain, that are asked at a time while this host has no source.
	maxQueriesWithoutSource = 2
	// minStoreBackoff and maxStoreBackoff bound the backoff after failed calls of the
	// store while other hosts have a current copy, and maxBackoffWithoutSource bounds
	// it while there is no source.
	minStoreBackoff         = 250 * time.Millisecond
	maxStoreBackoff         = 3 * time.Second
	maxBackoffWithoutSource = time.Second
	// startTimeout is how long a host that starts looks for hosts with a current copy,
	// plus a random time of up to as much again, before it reads the store itself.
	// Seeds that work answer within milliseconds. The longer firstStartTimeout applies
	// at the first start of the fleet, since seeds are starting as well then and no
	// caller waits.
	startTimeout      = 50 * time.Millisecond
	firstStartTimeout = 500 * time.Millisecond
	// readerStartTimeout is how long the first host of a domain looks, from the time
	// when it has discovered another host. It is shorter because, if all hosts start
	// together, the others wait for that host.
	readerStartTimeout = 250 * time.Millisecond
	// startPollInterval is the time between two rounds of requests at the start, and
	// startHostBackoff that between two requests to one host, which may be starting as
	// well.
	startPollInterval = 5 * time.Millisecond
	startHostBackoff  = 50 * time.Millisecond
	// firstListInterval and otherListInterval are the pauses, before jitter, between the
	// attempts of a host without a copy to list the store: of the first hosts of a domain
	// and of the others. The shorter one leaves time to pass the copy on within 0.3 s of
	// the return of the store. The longer one is for a store that answers only some hosts.
	firstListInterval = 150 * time.Millisecond
	otherListInterval = time.Second
	// copyWaitTime is how long other hosts wait for a copy before they answer that they
	// have none. Afterwards the hosts are chosen again, from the members known then.
	copyWaitTime = 500 * time.Millisecond
	// maxAwaitedHosts bounds the hosts that are asked for the first copy at a time.
	maxAwaitedHosts = 64
	// orderMaxAge is how long a computed order of the hosts is used.
	orderMaxAge = 500 * time.Millisecond
	// backlogSize is the number of changes in one watch from which the store is
	// assumed to hold more, as after an outage: it returns some hundred at a time.
	backlogSize = 100
	// maxTransitTime is the assumed network latency of an answer where it can't be
	// distinguished from the wait at the other host.
	maxTransitTime = 100 * time.Millisecond
	// recoveryTolerance is how much later than the known recovery of the store a
	// reported one must be to count as another recovery. Each host that passes the
	// time on adds the network latency of a message.
	recoveryTolerance = time.Second
	// maxHops bounds the number of hosts between the store and a host that is followed.
	maxHops = 3
	// maxBackoffs bounds the hosts in backoff; the member list has no more hosts.
	maxBackoffs = 4096
)

// FailoverReader is a StoreReader that fails over between several sources. One host
// of each failure domain reads the store, and the others follow it. The next host
// takes its place when it crashes, freezes, is partitioned, or is refused by the
// store. If a source fails, the next one is tried at once, and an error is returned
// only if no source has a current copy of the store. The exported fields are set
// before the first use.
type FailoverReader struct {
	Self  ebonyworks.Host
	Store ebonyworks.StoreReader
	// Peers reads the store through other hosts; nil if there are none.
	Peers ebonyworks.StorePeer
	// Alive returns the other hosts that membership considers alive. It isn't used if
	// Peers is nil.
	Alive func() []ebonyworks.Host
	// Seed is set if this host is a seed, through which other hosts join. It knows no
	// hosts to ask when it starts.
	Seed bool
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// ApplyTime is the time in which changes have to be in force. Zero means
	// ebonyworks.DefaultApplyTime, three seconds.
	ApplyTime time.Duration
	// Urgent reports whether changes have to be read as soon as possible; nil means never.
	Urgent func() bool
	// LearnHeld is set if this host obeys evacuations. If it starts from a restored store,
	// it asks other hosts for the evacuations that they hold against the store.
	LearnHeld bool
	// Recorder records events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Random adds jitter to the calls of this host. It must not be shared.
	Random *rand.Rand

	mutex sync.Mutex
	// confirmedAt is when the store last confirmed, to this host or another one, that
	// it held nothing newer; zero if that isn't known.
	confirmedAt time.Time
	// recoveredAt is when the store recovered from an outage; zero if there was none.
	recoveredAt time.Time
	// newest is the newest revision that was listed, or from which changes were watched.
	newest ebonyworks.StoreRevision
	// newEraAt is when newest reached a later era than it had; zero if it never did.
	newEraAt time.Time
	// sourceLostAt is when the last source failed; zero while there is a source.
	sourceLostAt time.Time
	// sourceLost is closed when the last source fails; nil while nobody waits for that.
	sourceLost chan struct{}
	// silentSince is when the first long watch was sent that the store didn't answer;
	// zero while it answers. Short watches aren't considered, since they can't
	// distinguish a store that doesn't answer from one that refuses.
	silentSince time.Time
	// othersLost is set if another host reported, since this host lost its source, that
	// it has none either: then the store itself is unavailable.
	othersLost bool
	// backoffs holds the hosts in backoff. It has at most maxBackoffs entries.
	backoffs map[ebonyworks.HostID]*hostBackoff
	// storeFailures counts the failed calls of the store since the last successful one,
	// and storeBackoffEnd is when the backoff after them ends.
	storeFailures   int
	storeBackoffEnd time.Time
	// nextStoreWatch is when the next watch of the store may be sent.
	nextStoreWatch time.Time
	// source is the host that is followed, or this host if it reads the store itself;
	// empty if there is no source.
	source ebonyworks.HostID
	// followedHost is the last other host that was followed, and via are the hosts
	// between it and the store.
	followedHost ebonyworks.Host
	via          []ebonyworks.HostID
	// suggested is a host that has a current copy of the store according to gossip.
	suggested ebonyworks.Host
	// copyWait is the wait for the first copy; nil before the first failed listing, and
	// after a successful one.
	copyWait *copyWait
	// order is the order of the hosts in alive, computed at orderAt.
	order      storereaders.ReaderOrder
	alive      []ebonyworks.Host
	orderAt    time.Time
	storeCalls uint64
	// lastError is the last error of a source, for the log.
	lastError string
	// interrupted is set if the last watch was canceled because other hosts know newer
	// changes than its source has returned.
	interrupted bool
	// watched is set after the first successful watch.
	watched bool
	// held are the queries for held evacuations; nil unless this host makes any.
	held *heldQueries
}

var _ ebonyworks.StoreReader = (*FailoverReader)(nil)

// errNoSource is returned while neither the store nor another host is usable as a
// source.
var errNoSource = &ebonyworks.StoreError{Kind: ebonyworks.StoreUnavailable, Message: "neither the store nor another host answers"}

// List returns the whole content. A fresh listing comes from the store. Any other
// listing comes from another host with a current copy, if one is found in time.
func (r *FailoverReader) List(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	if !fresh && r.Peers != nil && !r.Seed && !r.isAwaitingCopy() {
		if listing, ok := r.listFromHosts(ctx); ok {
			return listing, nil
		}
	}
	if listing, ok := r.takeCopy(); ok {
		return listing, nil
	}
	queried := time.Now()
	listing, err := r.listFromStore(ctx, fresh)
	if err != nil {
		return ebonyworks.StoreListing{}, err
	}
	r.endCopyWait()
	if fresh {
		r.confirm(queried)
	}
	r.noteEra(listing.AsOf, time.Now())
	r.beginHeldQueries(listing.AsOf.Era(), time.Now())
	listing.SinceRecovery = r.SinceRecovery()
	return listing, nil
}

// listFromStore lists the store. The call ends early if another host sends its copy.
func (r *FailoverReader) listFromStore(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	ctx, end := r.untilCopy(ctx)
	defer end()
	listing, err := r.Store.List(ctx, fresh)
	r.noteStoreCall(ctx, err)
	return listing, err
}

// listFromHosts asks other hosts for a listing as they are discovered, until a timeout.
func (r *FailoverReader) listFromHosts(ctx context.Context) (ebonyworks.StoreListing, bool) {
	timeout := startTimeout
	if r.FirstStart {
		timeout = firstStartTimeout
	}
	deadline := time.Now().Add(timeout + r.randomUpTo(timeout))
	var firstPeerSeen time.Time
	for time.Now().Before(deadline) {
		order := r.currentReaderOrder(time.Now())
		if firstPeerSeen.IsZero() && len(order.Fallbacks()) > 0 {
			firstPeerSeen = time.Now()
		}
		if order.Rank() == 0 && !firstPeerSeen.IsZero() && time.Since(firstPeerSeen) >= readerStartTimeout {
			return ebonyworks.StoreListing{}, false
		}
		for _, host := range append(order.Preceding(), order.Fallbacks()...) {
			if r.isBackingOff(host.ID, time.Now()) {
				continue
			}
			if report, ok := r.query(ctx, host, 0, 0, listTimeout); ok {
				r.applyReport(host, &report)
				r.resetBackoffs()
				return report.StoreListing, true
			}
			if ctx.Err() != nil || !time.Now().Before(deadline) {
				return ebonyworks.StoreListing{}, false
			}
			r.mutex.Lock()
			r.backOff(host.ID, time.Now(), startHostBackoff).failures = 0
			r.mutex.Unlock()
		}
		if !wakeup.Wait(ctx, startPollInterval, nil) {
			break
		}
	}
	return ebonyworks.StoreListing{}, false
}

// Watch returns the changes after the revision from the best usable source. It returns
// early if this host learns of held evacuations.
func (r *FailoverReader) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	r.noteWatched(after)
	queries := r.openHeldQueries(time.Now())
	var listing ebonyworks.StoreListing
	var err error
	if queries == nil {
		listing, err = r.watchSources(ctx, after, wait)
	} else {
		listing, err = r.watchAndLearnHeld(ctx, queries, after, wait)
	}
	if err == nil {
		r.mutex.Lock()
		r.watched = true
		r.mutex.Unlock()
	}
	return listing, err
}

// watchSources returns the changes after the revision from the best usable source.
func (r *FailoverReader) watchSources(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	if r.Peers == nil {
		listing, err := r.watchStore(ctx, after, wait)
		if err != nil && !ebonyworks.IsHistoryGone(err) {
			r.noteSourceLost(ctx)
		}
		return listing, err
	}
	defer r.noteInterruption(ctx)
	order := r.readerOrder(time.Now())
	before, others := r.candidates(order)
	if r.takeInterruption() {
		if listing, ok := r.firstNewer(ctx, append(slices.Clone(before), others...), after); ok {
			return listing, nil
		}
	}
	reads := r.mayRead(order, time.Now())
	if !reads {
		before = append(before, r.followedHosts()...)
	}
	if listing, ok := r.watchHosts(ctx, before, after, wait); ok {
		return listing, nil
	}
	if ctx.Err() != nil {
		return ebonyworks.StoreListing{}, errNoSource
	}
	reads = r.mayRead(order, time.Now())
	if reads {
		listing, err := r.watchStore(ctx, after, wait)
		if err == nil || ebonyworks.IsHistoryGone(err) {
			return listing, err
		}
	}
	if listing, ok := r.firstAnswer(ctx, others, after); ok {
		return listing, nil
	}
	if !reads && ctx.Err() == nil && r.allFailed(append(order.Preceding(), others...)) {
		return r.watchStore(ctx, after, wait)
	}
	r.noteSourceLost(ctx)
	return ebonyworks.StoreListing{}, errNoSource
}

// watchHosts watches the first of the hosts that isn't in backoff. If that fails, all
// others are asked at the same time for what they know already.
func (r *FailoverReader) watchHosts(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, bool) {
	first := slices.IndexFunc(hosts, func(host ebonyworks.Host) bool { return !r.isBackingOff(host.ID, time.Now()) })
	if first < 0 {
		return ebonyworks.StoreListing{}, false
	}
	if listing, ok := r.watchHost(ctx, hosts[first], after, wait); ok {
		return listing, true
	}
	return r.firstAnswer(ctx, hosts[first+1:], after)
}

// watchStore watches the store itself, after the pause that batches changes.
func (r *FailoverReader) watchStore(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	r.mutex.Lock()
	pause := time.Until(r.nextStoreWatch)
	if r.storeFailures > 0 {
		wait = min(wait, time.Millisecond)
	}
	r.mutex.Unlock()
	if !wakeup.Wait(ctx, pause, nil) {
		return ebonyworks.StoreListing{}, errNoSource
	}
	wait = min(wait, r.maxStoreWait())
	sent := time.Now()
	listing, err := r.Store.Watch(ctx, after, wait)
	now := time.Now()
	if err != nil && ctx.Err() == nil && wait >= r.applyTimePart(hostWaitPart) && now.Sub(sent) >= wait {
		r.noteSilence(sent)
	}
	recovered := r.noteStoreCall(ctx, err)
	if err != nil {
		return ebonyworks.StoreListing{}, err
	}
	if len(listing.Changes) < backlogSize {
		r.confirm(now)
	}
	r.mutex.Lock()
	r.nextStoreWatch = time.Time{}
	if !recovered && len(listing.Changes) > 0 && len(listing.Changes) < backlogSize {
		r.nextStoreWatch = now.Add(wakeup.Jitter(r.batchInterval(), r.Random))
	}
	r.mutex.Unlock()
	listing.SinceRecovery = r.SinceRecovery()
	return listing, nil
}

// maxStoreWait returns the longest wait of a watch of the store.
func (r *FailoverReader) maxStoreWait() time.Duration {
	return min(r.applyTimePart(storeWaitPart), max(r.applyTimePart(1-hostWaitPart)-storeTimeoutReserve, 0))
}

// batchInterval returns the interval between two watches of the store that return changes.
func (r *FailoverReader) batchInterval() time.Duration {
	if r.Urgent != nil && r.Urgent() {
		return urgentBatchInterval
	}
	return r.applyTimePart(batchIntervalPart)
}

// noteStoreCall updates the state after a call of the store, and reports whether the
// call before had failed.
func (r *FailoverReader) noteStoreCall(ctx context.Context, err error) bool {
	now := time.Now()
	r.mutex.Lock()
	r.storeCalls++
	recovered := r.storeFailures > 0
	switch {
	case err == nil:
		if !r.sourceLostAt.IsZero() && (recovered || r.othersLost) {
			r.recoveredAt = now
		}
		r.storeFailures = 0
		// A listing isn't kept back by the backoff. The watch after it must not be either:
		// after an outage in which all hosts have started, no other host has a copy yet.
		r.storeBackoffEnd = time.Time{}
		r.silentSince = time.Time{}
		r.sourceLostAt = time.Time{}
		r.othersLost = false
	case ctx.Err() != nil || ebonyworks.IsHistoryGone(err):
	default:
		r.storeFailures++
		r.lastError = "store: " + err.Error()
		pause := min(minStoreBackoff<<min(r.storeFailures-1, 8), maxStoreBackoff)
		if !r.sourceLostAt.IsZero() {
			pause = min(pause, maxBackoffWithoutSource)
		}
		r.storeBackoffEnd = now.Add(wakeup.Jitter(pause, r.Random))
	}
	r.mutex.Unlock()
	if err == nil {
		r.setSource(r.Self.ID)
	}
	return recovered
}

// noteEra records a recovery of the store if the listing is the first one since the store
// was restored: servers need time to write again what it lost.
func (r *FailoverReader) noteEra(asOf ebonyworks.StoreRevision, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.newest > 0 && asOf.Era() > r.newest.Era() {
		r.recoveredAt = now
	}
	r.advanceNewest(asOf, now)
}

// advanceNewest updates the newest revision. The mutex must be held.
func (r *FailoverReader) advanceNewest(revision ebonyworks.StoreRevision, now time.Time) {
	if r.newest > 0 && revision.Era() > r.newest.Era() {
		r.newEraAt = now
	}
	r.newest = max(r.newest, revision)
}

// noteWatched records the revision from which changes are watched.
func (r *FailoverReader) noteWatched(after ebonyworks.StoreRevision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advanceNewest(after, time.Now())
}

// noteSourceLost records that there is no source, unless the context was canceled.
func (r *FailoverReader) noteSourceLost(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.mutex.Lock()
	first := r.sourceLostAt.IsZero()
	if first {
		r.sourceLostAt = time.Now()
		if r.sourceLost != nil {
			close(r.sourceLost)
			r.sourceLost = nil
		}
	}
	r.mutex.Unlock()
	if first {
		r.setSource("")
	}
}

// watchHost watches the store through another host.
func (r *FailoverReader) watchHost(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, bool) {
	wait = min(wait, r.applyTimePart(hostWaitPart))
	if r.hasFailed(host.ID) {
		// Without a wait, a host that failed shows at once whether it answers again.
		wait = 0
	}
	report, ok := r.query(ctx, host, after, wait, wait+answerTimeout)
	if !ok {
		return ebonyworks.StoreListing{}, false
	}
	r.applyReport(host, &report)
	return report.StoreListing, true
}

// applyReport makes the host the source and updates the state from its report.
func (r *FailoverReader) applyReport(host ebonyworks.Host, report *ebonyworks.StoreReport) {
	now := time.Now()
	r.confirm(now.Add(-report.Age))
	r.mutex.Lock()
	r.sourceLostAt = time.Time{}
	r.othersLost = false
	r.followedHost, r.via = host, report.Via
	if report.SinceRecovery > 0 {
		if recoveredAt := now.Add(-report.SinceRecovery); recoveredAt.Sub(r.recoveredAt) > recoveryTolerance {
			r.recoveredAt = recoveredAt
		}
	}
	r.mutex.Unlock()
	r.setSource(host.ID)
}

// setSource sets the source, and records an event if it changed.
func (r *FailoverReader) setSource(source ebonyworks.HostID) {
	r.mutex.Lock()
	before := r.source
	r.source = source
	lastError := r.lastError
	r.lastError = ""
	r.mutex.Unlock()
	if before == source || r.Recorder == nil {
		return
	}
	r.Recorder.Record(event.New(event.StoreSourceChanged,
		event.Attribute("Source", r.sourceName(source)),
		event.Attribute("Before", r.sourceName(before)),
		event.Attribute("Trouble", lastError)))
}

// sourceName returns the name of a source in the log.
func (r *FailoverReader) sourceName(source ebonyworks.HostID) string {
	switch source {
	case r.Self.ID:
		return "store"
	case "":
		return "none"
	default:
		return "host " + string(source)
	}
}

// applyTimePart returns a fraction of the apply time.
func (r *FailoverReader) applyTimePart(of float64) time.Duration {
	applyTime := r.ApplyTime
	if applyTime <= 0 {
		applyTime = ebonyworks.DefaultApplyTime
	}
	return time.Duration(of * float64(applyTime))
}

// randomUpTo returns a random duration up to the limit.
func (r *FailoverReader) randomUpTo(limit time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.Random == nil {
		return 0
	}
	return time.Duration(r.Random.Float64() * float64(limit))
}
