// Package discovery keeps a host up to date with the platform's store: with the
// configuration of routes and with the servers that registered themselves.
package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/evacuation"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

const (
	// recoveryGrace is how long after the recovery of the store servers are kept
	// whose entries are missing: live servers register again within 2 s.
	recoveryGrace = 2200 * time.Millisecond
	// maxWatchWait is how long one watch waits for a change. Sources may end it
	// sooner.
	maxWatchWait = 30 * time.Second
	// catchUpWait is how long a watch waits after a listing that may be old, and
	// after a failed call: so it shows at once whether the source answers again.
	catchUpWait = time.Millisecond
	// behindDivisor gives the time for which peers may be ahead before the pending
	// watch is canceled: the time in which changes have to be in force, divided by
	// it. A watch that works returns as soon as there is a change.
	behindDivisor = 3
	// firstBackoff and maxBackoff bound the backoff after a failed call, before
	// jitter. maxBackoff is a fraction of the 3 s in which changes have to be in
	// force.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Follower keeps the server registry and the routes up to date with the platform's
// store. Its exported fields are set before Run.
type Follower struct {
	Store    ebonyworks.StoreReader
	Registry *serverregistry.Registry
	// SourceWaiter waits between the attempts to get the first listing. Nil means a
	// backoff of this host alone.
	SourceWaiter ebonyworks.StoreSourceWaiter
	// Evacuations holds the evacuated failure domains. Nil means that the host obeys no
	// evacuation.
	Evacuations *evacuation.Domains
	// ApplyTime is the time within which changes of the store have to be in force
	// on this host. Zero means three seconds.
	ApplyTime time.Duration
	// Recorder receives log events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Random is the source of jitter. It must not be shared.
	Random *rand.Rand
	// Changed is called after each change of the configuration or the servers.
	// It must not block. Nil is allowed.
	Changed func()
	// RegistrationChanged is called for each registration that was added, changed,
	// renewed or removed. Nil is allowed.
	RegistrationChanged func(change serverregistry.Change)
	// EvacuationChanged is called for each evacuation that began or was withdrawn. Nil is
	// allowed.
	EvacuationChanged func(change ebonyworks.Evacuation)

	mutex  sync.RWMutex
	routes *routing.Table
	// configRevision is the store's revision of the configuration in force.
	configRevision ebonyworks.StoreRevision
	// asOf is the store's revision up to which all changes are applied.
	asOf ebonyworks.StoreRevision
	// available is set while the last call succeeded.
	available bool
	// recoveredAt is when the store became reachable after the last outage; zero if
	// there was none.
	recoveredAt time.Time
	outageStart time.Time
	// cancelWatch cancels the pending watch; nil before the first.
	cancelWatch context.CancelFunc
	// advanced is closed when asOf increases; nil while no caller waits for that.
	advanced chan struct{}
	// behindSince is since when a peer is known to have a newer revision than this
	// host, over all watches since then that returned no changes.
	behindSince time.Time
	// latestPeerRevision is the newest revision of the store that a peer reported.
	latestPeerRevision ebonyworks.StoreRevision
}

// Table returns the routes in force, or nil if none are known.
func (f *Follower) Table() *routing.Table {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.routes
}

// Ready reports whether routes and servers are known.
func (f *Follower) Ready() bool { return f.Table() != nil && f.Registry.Loaded() }

// Run follows the store until the context ends. The first listing may be old, so
// the changes since then are requested before it is used. If they are no longer
// available, a fresh listing is requested.
func (f *Follower) Run(ctx context.Context) {
	for fresh := false; ctx.Err() == nil; fresh = true {
		if !f.syncOnce(ctx, fresh) {
			wakeup.Wait(ctx, f.applyTime()/behindDivisor, nil)
		}
	}
}

// syncOnce lists the content of the store and watches its changes. It returns false
// after a panic, after which the content is listed again.
func (f *Follower) syncOnce(ctx context.Context, fresh bool) (completed bool) {
	defer event.RecoverPanic(f.Recorder, func() string { return "state of the store" })
	if listing, ok := f.listAll(ctx, fresh); ok {
		f.watchChanges(ctx, listing, fresh)
	}
	return true
}

// listAll lists the content of the store, and retries until it succeeds or the
// context ends.
func (f *Follower) listAll(ctx context.Context, fresh bool) (ebonyworks.StoreListing, bool) {
	for failures := 0; ctx.Err() == nil; failures++ {
		listing, err := f.Store.List(ctx, fresh)
		if err == nil {
			f.noteSuccess()
			return listing, true
		}
		f.noteFailure(ctx, err)
		if f.SourceWaiter != nil && !fresh {
			f.SourceWaiter.AwaitSource(ctx, f.backoff(failures))
			continue
		}
		f.backOff(ctx, failures)
	}
	return ebonyworks.StoreListing{}, false
}

// watchChanges applies the listing and watches for changes until the history is
// gone or the context ends.
func (f *Follower) watchChanges(ctx context.Context, listing ebonyworks.StoreListing, fresh bool) {
	after := listing.AsOf
	failures := 0
	applied := fresh
	if fresh {
		f.apply(listing)
	}
	for ctx.Err() == nil {
		wait := maxWatchWait
		if !applied || failures > 0 {
			wait = catchUpWait
		}
		changes, err := f.watch(ctx, after, wait)
		if err != nil {
			if ebonyworks.IsHistoryGone(err) {
				f.record(event.StoreHistoryDropped, event.Attribute("After", formatRevision(after)))
				return
			}
			failures++
			if errors.Is(err, errWatchCanceled) && ctx.Err() == nil {
				f.record(event.WatchReplaced, event.Attribute("After", formatRevision(after)))
				continue
			}
			f.noteFailure(ctx, err)
			f.backOff(ctx, failures-1)
			continue
		}
		failures = 0
		f.noteSuccess()
		after = max(after, changes.AsOf)
		if !applied {
			applied = true
			changes = merge(listing, changes)
		}
		f.apply(changes)
		f.Expire()
	}
}

// merge returns the listing with the later changes. A complete listing replaces it.
func merge(listing, changes ebonyworks.StoreListing) ebonyworks.StoreListing {
	if changes.Complete {
		return changes
	}
	changes.Complete = listing.Complete
	changes.AsOf = max(listing.AsOf, changes.AsOf)
	changes.Changes = slices.Concat(listing.Changes, changes.Changes)
	changes.Held = slices.Concat(listing.Held, changes.Held)
	return changes
}

// AsOf returns the store's revision up to which all changes are applied.
func (f *Follower) AsOf() ebonyworks.StoreRevision {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.asOf
}

// LatestKnownRevision returns the newest revision of the store that this host knows
// to exist, even if it hasn't applied its changes. Peers to which it is passed on
// notice sooner that they are behind.
func (f *Follower) LatestKnownRevision() ebonyworks.StoreRevision {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return max(f.asOf, f.latestPeerRevision)
}

// Since returns the changes of the store after the revision, as far as this host has
// applied them, or its complete copy if they are no longer known.
func (f *Follower) Since(after ebonyworks.StoreRevision) ebonyworks.StoreListing {
	f.mutex.RLock()
	listing := ebonyworks.StoreListing{AsOf: f.asOf}
	routes, configRevision := f.routes, f.configRevision
	f.mutex.RUnlock()
	listing.Changes, listing.Complete = f.Registry.ChangesSince(after)
	if routes != nil {
		dropUnboundWarmups(listing.Changes, routes)
	}
	if f.Evacuations != nil {
		listing.Changes = append(listing.Changes, f.Evacuations.ChangesSince(after, listing.Complete)...)
	}
	// Until the operator has written it again, a configuration that a restored store has
	// lost is passed on to all followers.
	lost := configRevision.Era() < listing.AsOf.Era()
	if routes != nil && (listing.Complete || configRevision > after || lost) {
		configuration := ebonyworks.StoreChange{Revision: configRevision, Configuration: routes.Configuration()}
		listing.Changes = append(listing.Changes, configuration)
	}
	return listing
}

// Held returns the evacuations that this host holds against a restored store.
func (f *Follower) Held() []ebonyworks.HeldEvacuation {
	if f.Evacuations == nil {
		return nil
	}
	return f.Evacuations.Held()
}

// dropUnboundWarmups removes the remaining warm-up of servers whose service sets no bound
// for cold servers. Nobody uses it, and reports that state remaining times are encoded
// anew for followers that ask later.
func dropUnboundWarmups(changes []ebonyworks.StoreChange, routes *routing.Table) {
	for i := range changes {
		registration := changes[i].Registration
		if registration == nil || registration.Warmup == 0 {
			continue
		}
		if service, _ := routes.Service(registration.Service); service.WarmupRate <= 0 {
			registration.Warmup = 0
		}
	}
}

// Advanced returns a channel that is closed when the result of AsOf increases.
func (f *Follower) Advanced() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.advanced == nil {
		f.advanced = make(chan struct{})
	}
	return f.advanced
}

func (f *Follower) advanceTo(asOf ebonyworks.StoreRevision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if asOf <= f.asOf {
		return
	}
	before := f.asOf
	f.asOf = asOf
	f.behindSince = time.Time{}
	if before > 0 && asOf.Era() > before.Era() {
		f.record(event.StoreRestored,
			event.Attribute("Era", formatEra(asOf.Era())),
			event.Attribute("Before", formatEra(before.Era())))
	}
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

// watch requests changes. It is canceled if peers have a newer revision for a while,
// because then the reply was lost or the connection has stopped delivering data.
func (f *Follower) watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.cancelWatch = cancel
	f.mutex.Unlock()
	changes, err := f.Store.Watch(ctx, after, wait)
	if err != nil && ctx.Err() != nil {
		return ebonyworks.StoreListing{}, errWatchCanceled
	}
	return changes, err
}

var errWatchCanceled = errors.New("watch canceled because peers have a newer revision of the store")

// ObservePeerRevision records a revision of the store that a peer reported. If it is
// newer than that of this host, the pending watch is canceled after a while.
func (f *Follower) ObservePeerRevision(asOf ebonyworks.StoreRevision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.latestPeerRevision = max(f.latestPeerRevision, asOf)
	switch {
	case !f.available:
		f.behindSince = time.Time{}
	case asOf <= f.asOf:
		// The store may refuse the calls of this peer. Others can still have a newer
		// revision, so behindSince stays.
	case f.behindSince.IsZero() && f.cancelWatch != nil:
		since := time.Now()
		f.behindSince = since
		time.AfterFunc(f.applyTime()/behindDivisor, func() { f.cancelIfStillBehind(since) })
	}
}

// cancelIfStillBehind cancels the pending watch if no newer revision was applied
// since the given time.
func (f *Follower) cancelIfStillBehind(since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.behindSince.Equal(since) {
		f.behindSince = time.Time{}
		f.cancelWatch()
	}
}

// RestartWatch cancels the pending watch. The next one returns pending changes at
// once.
func (f *Follower) RestartWatch() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// apply applies a listing or changes, then advances asOf to their revision.
func (f *Follower) apply(listing ebonyworks.StoreListing) {
	f.noteRecovery(listing.SinceRecovery)
	// They come first, since the host may be ready after the rest.
	if f.Evacuations != nil {
		f.reportEvacuations(f.Evacuations.Apply(listing, time.Now().Add(-listing.SinceRecovery)))
	}
	f.acceptNewest(listing.Changes)
	f.reportRegistrations(f.Registry.Apply(listing, f.keepUnlistedUntil()))
	if listing.Complete || len(listing.Changes) > 0 {
		f.notifyChanged()
	}
	f.advanceTo(listing.AsOf)
}

// noteRecovery records how long ago the store became reachable after an outage; zero
// means that this isn't known.
func (f *Follower) noteRecovery(ago time.Duration) {
	if ago <= 0 || ago > recoveryGrace {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if recoveredAt := time.Now().Add(-ago); recoveredAt.After(f.recoveredAt) {
		f.recoveredAt = recoveredAt
	}
}

// acceptNewest puts the newest of the configurations in force. The older ones among them
// are outdated already.
func (f *Follower) acceptNewest(changes []ebonyworks.StoreChange) {
	var newest *ebonyworks.StoreChange
	for i, change := range changes {
		if change.Configuration != nil && (newest == nil || change.Configuration.Revision > newest.Configuration.Revision) {
			newest = &changes[i]
		}
	}
	if newest != nil {
		f.accept(newest.Configuration, newest.Revision)
	}
}

// accept puts a configuration in force if it is newer than the current one. A host
// never returns to an older one. The current one is passed on again if it was written
// again, since followers may have it only as far as a restored store had it.
func (f *Follower) accept(configuration *ebonyworks.ForwardConfiguration, revision ebonyworks.StoreRevision) {
	before := f.Table()
	if before != nil && configuration.Revision <= before.Configuration().Revision {
		if configuration.Revision == before.Configuration().Revision {
			f.noteConfigRevision(revision)
		}
		return
	}
	routes := routing.New(configuration)
	routes.InheritWeights(before)
	f.mutex.Lock()
	f.routes, f.configRevision = routes, revision
	f.mutex.Unlock()
	f.Registry.SetServices(configuration.Services)
	f.record(event.RoutesAccepted,
		event.Attribute("Revision", strconv.FormatUint(uint64(configuration.Revision), 10)),
		event.Attribute("StoreRevision", formatRevision(revision)),
		event.Attribute("Routes", strconv.Itoa(len(configuration.Routes))))
}

// noteConfigRevision records at which revision of the store the configuration in force
// was written last.
func (f *Follower) noteConfigRevision(revision ebonyworks.StoreRevision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configRevision = max(f.configRevision, revision)
}

// Expire removes the servers that didn't register again within the grace time after
// an outage of the store. After a restore, it puts in use those that were deferred, and
// ends the evacuations that the store doesn't state.
func (f *Follower) Expire() {
	if f.Evacuations != nil {
		f.reportEvacuations(f.Evacuations.Expire())
	}
	changes := f.Registry.Expire()
	f.reportRegistrations(changes)
	if len(changes) > 0 {
		f.notifyChanged()
	}
}

// keepUnlistedUntil returns until when a server is kept whose entry is missing.
// Entries that expired during an outage of the store say nothing about their servers
// until these have had the time to register again.
func (f *Follower) keepUnlistedUntil() time.Time {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	if f.recoveredAt.IsZero() {
		return time.Time{}
	}
	return f.recoveredAt.Add(recoveryGrace)
}

// OutageLength returns how long ago the first of the calls failed since the last
// successful one; zero if the last call succeeded.
func (f *Follower) OutageLength() time.Duration {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	if f.outageStart.IsZero() {
		return 0
	}
	return time.Since(f.outageStart)
}

func (f *Follower) noteSuccess() {
	f.mutex.Lock()
	recovered := !f.available && !f.outageStart.IsZero()
	first := !f.available && f.outageStart.IsZero()
	f.available = true
	var outageLength time.Duration
	if recovered {
		outageLength = time.Since(f.outageStart)
		f.outageStart = time.Time{}
	}
	f.mutex.Unlock()
	if recovered {
		f.record(event.StoreRecovered, event.Attribute("Away", outageLength.String()))
	}
	if first {
		f.record(event.StoreConnected)
	}
}

func (f *Follower) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mutex.Lock()
	outageBegan := f.outageStart.IsZero()
	if outageBegan {
		f.outageStart = time.Now()
	}
	f.available = false
	f.mutex.Unlock()
	if outageBegan {
		f.record(event.StoreUnavailable, event.Attribute("Error", err.Error()))
	}
}

func (f *Follower) reportRegistrations(changes []serverregistry.Change) {
	for _, change := range changes {
		if f.RegistrationChanged != nil {
			f.RegistrationChanged(change)
		}
		if change.Renewed {
			continue
		}
		f.record(event.RegistrationChanged,
			event.Attribute("Server", string(change.Registration.Server.ID)),
			event.Attribute("Service", string(change.Registration.Service)),
			event.Attribute("Address", change.Registration.Server.Address.String()),
			event.Attribute("Usable", strconv.FormatBool(change.Usable)),
			event.Attribute("New", strconv.FormatBool(change.New)))
	}
}

func (f *Follower) reportEvacuations(changes []ebonyworks.Evacuation) {
	for _, change := range changes {
		if f.EvacuationChanged != nil {
			f.EvacuationChanged(change)
		}
		id := event.DomainEvacuated
		if !change.Active {
			id = event.DomainReturned
		}
		f.record(id, event.Attribute("Domain", string(change.Domain)))
	}
}

func (f *Follower) notifyChanged() {
	if f.Changed != nil {
		f.Changed()
	}
}

func (f *Follower) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if f.Recorder != nil {
		f.Recorder.Record(event.New(id, attributes...))
	}
}

// backOff waits after a failed call, with exponential backoff and jitter.
func (f *Follower) backOff(ctx context.Context, failures int) {
	wakeup.Wait(ctx, f.backoff(failures), nil)
}

func (f *Follower) backoff(failures int) time.Duration {
	return wakeup.Jitter(min(firstBackoff<<min(failures, 8), maxBackoff), f.Random)
}

func (f *Follower) applyTime() time.Duration {
	if f.ApplyTime <= 0 {
		return ebonyworks.DefaultApplyTime
	}
	return f.ApplyTime
}

func formatRevision(revision ebonyworks.StoreRevision) string {
	return revision.String()
}

func formatEra(era ebonyworks.StoreEra) string { return strconv.FormatUint(uint64(era), 10) }
