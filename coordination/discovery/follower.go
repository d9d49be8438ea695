// Package discovery follows the platform's store: the configuration in force
// and the servers that registered themselves.
package discovery

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

const (
	// returnTime is how long after the return of the store servers are kept
	// whose entries are missing: live servers register again within 2 s.
	returnTime = 2200 * time.Millisecond
	// watchTime bounds the wait of one watch. Sources bound it further.
	watchTime = 30 * time.Second
	// catchUpTime is how long a watch waits after an old listing, and after a
	// failed call: a source that was silent shows at once whether it answers.
	catchUpTime = time.Millisecond
	// behindPart is the part of the time in which changes have to be in force for
	// which peers may be ahead before the waiting watch is given up. A watch that
	// works returns as soon as there is a change.
	behindPart = 3
	// firstBackoff and maxBackoff bound the pause after a failed call, before
	// jitter. The longest one is a fraction of the 3 s in which changes have
	// to be in force.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Follower keeps the directory and the routes up to date with the store. Its
// fields are set before Run.
type Follower struct {
	Store     ebonyworks.StoreReader
	Directory *serverregistry.Directory
	// ApplyTime is the time in which changes have to be in force. Zero means
	// three seconds.
	ApplyTime time.Duration
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Random spreads the calls of hosts. It must not be shared.
	Random *rand.Rand
	// Changed is called after each change of the configuration or the servers.
	// It must not block. Nil is allowed.
	Changed func()
	// Departed is called for each registration that changed. Nil is allowed.
	Departed func(change serverregistry.Change)

	mutex sync.RWMutex
	table *routing.Table
	// accepted is the store's revision of the configuration in force.
	accepted ebonyworks.StoreRevision
	// asOf is the store's revision up to which all changes are applied.
	asOf ebonyworks.StoreRevision
	// available is set while the last call succeeded.
	available bool
	// returned is when the store came back after an outage; zero if there was
	// none.
	returned time.Time
	outage   time.Time
	// giveUp ends the waiting watch; nil before the first.
	giveUp context.CancelFunc
	// advanced is closed when asOf grows; nil while nobody waits for that.
	advanced chan struct{}
	// behindSince is since when a peer is known to know more, over all watches
	// meanwhile that showed nothing.
	behindSince time.Time
	// heard is the newest revision of the store that a peer named.
	heard ebonyworks.StoreRevision
}

// Table returns the routes in force, or nil if none are known.
func (f *Follower) Table() *routing.Table {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.table
}

// Ready reports whether routes and servers are known.
func (f *Follower) Ready() bool { return f.Table() != nil && f.Directory.Loaded() }

// Run follows the store until the context ends. The first listing may be old:
// the changes since then are asked for before it is used. If they are no longer
// available, only a fresh listing helps.
func (f *Follower) Run(ctx context.Context) {
	for fresh := false; ctx.Err() == nil; fresh = true {
		if !f.contained(ctx, fresh) {
			wakeup.Wait(ctx, f.applyTime()/behindPart, nil)
		}
	}
}

// contained reads everything and follows the changes. It returns false after a
// panic; everything is read again then.
func (f *Follower) contained(ctx context.Context, fresh bool) (completed bool) {
	defer event.Contain(f.Recorder, func() string { return "state of the store" })
	if listing, ok := f.list(ctx, fresh); ok {
		f.follow(ctx, listing, fresh)
	}
	return true
}

// list reads everything, however often that has to be tried.
func (f *Follower) list(ctx context.Context, fresh bool) (ebonyworks.StoreListing, bool) {
	for failures := 0; ctx.Err() == nil; failures++ {
		listing, err := f.Store.List(ctx, fresh)
		if err == nil {
			f.succeeded()
			return listing, true
		}
		f.failed(ctx, err)
		f.pause(ctx, failures)
	}
	return ebonyworks.StoreListing{}, false
}

// follow applies the listing and watches for changes until the history is gone
// or the context ends.
func (f *Follower) follow(ctx context.Context, listing ebonyworks.StoreListing, fresh bool) {
	after := listing.AsOf
	failures := 0
	applied := fresh
	if fresh {
		f.apply(listing)
	}
	for ctx.Err() == nil {
		wait := watchTime
		if !applied || failures > 0 {
			wait = catchUpTime
		}
		changes, err := f.watch(ctx, after, wait)
		if err != nil {
			if ebonyworks.IsHistoryGone(err) {
				f.record(event.StoreHistoryGone, event.Attribute("After", formatRevision(after)))
				return
			}
			failures++
			if errors.Is(err, errGivenUp) && ctx.Err() == nil {
				f.record(event.WatchGivenUp, event.Attribute("After", formatRevision(after)))
				continue
			}
			f.failed(ctx, err)
			f.pause(ctx, failures-1)
			continue
		}
		failures = 0
		f.succeeded()
		after = max(after, changes.AsOf)
		if !applied {
			applied = true
			f.apply(listing)
		}
		f.apply(changes)
		f.Expire()
	}
}

// AsOf returns the store's revision up to which all changes are applied.
func (f *Follower) AsOf() ebonyworks.StoreRevision {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.asOf
}

// Named returns the newest revision of the store that this host knows to exist, for
// peers: they notice sooner that they are behind if it is passed on second-hand.
func (f *Follower) Named() ebonyworks.StoreRevision {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return max(f.asOf, f.heard)
}

// Since returns what this host knows of the store beyond the revision.
func (f *Follower) Since(after ebonyworks.StoreRevision) ebonyworks.StoreListing {
	f.mutex.RLock()
	listing := ebonyworks.StoreListing{AsOf: f.asOf}
	table, accepted := f.table, f.accepted
	f.mutex.RUnlock()
	listing.Changes, listing.Complete = f.Directory.Since(after)
	if table != nil && (listing.Complete || accepted > after) {
		configuration := ebonyworks.StoreChange{Revision: accepted, Configuration: table.Configuration()}
		listing.Changes = append(listing.Changes, configuration)
	}
	return listing
}

// Advanced returns a channel that is closed when AsOf grows.
func (f *Follower) Advanced() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.advanced == nil {
		f.advanced = make(chan struct{})
	}
	return f.advanced
}

func (f *Follower) advance(asOf ebonyworks.StoreRevision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if asOf <= f.asOf {
		return
	}
	f.asOf = asOf
	f.behindSince = time.Time{}
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

// watch asks for changes. It is given up if peers know more for a while: then
// the answer was lost, or the connection went silent.
func (f *Follower) watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mutex.Lock()
	f.giveUp = cancel
	f.mutex.Unlock()
	changes, err := f.Store.Watch(ctx, after, wait)
	if err != nil && ctx.Err() != nil {
		return ebonyworks.StoreListing{}, errGivenUp
	}
	return changes, err
}

var errGivenUp = errors.New("peers know more than the waiting watch has shown")

// Heard learns of a revision of the store that a peer names.
func (f *Follower) Heard(asOf ebonyworks.StoreRevision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heard = max(f.heard, asOf)
	switch {
	case !f.available:
		f.behindSince = time.Time{}
	case asOf <= f.asOf:
		// The store may turn this peer away. Others can still know more.
	case f.behindSince.IsZero() && f.giveUp != nil:
		since := time.Now()
		f.behindSince = since
		time.AfterFunc(f.applyTime()/behindPart, func() { f.stillBehind(since) })
	}
}

// stillBehind gives the waiting watch up if it has shown nothing since the time.
func (f *Follower) stillBehind(since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.behindSince.Equal(since) {
		f.behindSince = time.Time{}
		f.giveUp()
	}
}

// GiveUp ends the waiting watch. The next one shows at once what is new.
func (f *Follower) GiveUp() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.giveUp != nil {
		f.giveUp()
	}
}

// apply applies a listing or changes, and advances to their revision.
func (f *Follower) apply(listing ebonyworks.StoreListing) {
	f.learnReturn(listing.SinceRecovery)
	if listing.Complete {
		f.departed(f.missing(listing))
	}
	f.applyEach(listing.Changes)
	if listing.Complete || len(listing.Changes) > 0 {
		f.changed()
	}
	f.advance(listing.AsOf)
}

// missing takes out the servers that a complete listing doesn't name.
func (f *Follower) missing(listing ebonyworks.StoreListing) []serverregistry.Change {
	listed := make(map[ebonyworks.ServerID]bool, len(listing.Changes))
	for _, change := range listing.Changes {
		if change.Registration != nil {
			listed[change.Registration.Server.ID] = true
		}
	}
	return f.Directory.Missing(listed, listing.AsOf, f.keepUntil())
}

// learnReturn learns how long ago the store came back; zero says nothing.
func (f *Follower) learnReturn(ago time.Duration) {
	if ago <= 0 || ago > returnTime {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if returned := time.Now().Add(-ago); returned.After(f.returned) {
		f.returned = returned
	}
}

func (f *Follower) applyEach(changes []ebonyworks.StoreChange) {
	for _, change := range changes {
		switch {
		case change.Configuration != nil:
			f.accept(change.Configuration, change.Revision)
		case change.Registration != nil:
			if applied, ok := f.Directory.Put(*change.Registration, change.Revision); ok {
				f.departed([]serverregistry.Change{applied})
			}
		case change.Removed != "":
			if applied, ok := f.Directory.Remove(change.Removed, change.Revision, f.keepUntil()); ok {
				f.departed([]serverregistry.Change{applied})
			}
		}
	}
}

// accept puts a configuration in force unless it is older than the one that
// is. A host never goes back.
func (f *Follower) accept(configuration *ebonyworks.ForwardConfiguration, revision ebonyworks.StoreRevision) {
	before := f.Table()
	if before != nil && configuration.Revision <= before.Configuration().Revision {
		return
	}
	table := routing.New(configuration)
	table.InheritWeights(before)
	f.mutex.Lock()
	f.table, f.accepted = table, revision
	f.mutex.Unlock()
	f.Directory.SetServices(configuration.Services)
	f.record(event.RoutesAccepted,
		event.Attribute("Revision", strconv.FormatUint(uint64(configuration.Revision), 10)),
		event.Attribute("StoreRevision", formatRevision(revision)),
		event.Attribute("Routes", strconv.Itoa(len(configuration.Routes))))
}

// Expire drops the servers whose entries didn't come back after an outage.
func (f *Follower) Expire() {
	changes := f.Directory.Expire()
	f.departed(changes)
	if len(changes) > 0 {
		f.changed()
	}
}

// keepUntil returns until when a server is kept whose entry is missing. Entries
// that lapsed while the store was away say nothing about their servers until
// these had the time to register again.
func (f *Follower) keepUntil() time.Time {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	if f.returned.IsZero() {
		return time.Time{}
	}
	return f.returned.Add(returnTime)
}

func (f *Follower) succeeded() {
	f.mutex.Lock()
	back := !f.available && !f.outage.IsZero()
	first := !f.available && f.outage.IsZero()
	f.available = true
	var away time.Duration
	if back {
		away = time.Since(f.outage)
		f.outage = time.Time{}
	}
	f.mutex.Unlock()
	if back {
		f.record(event.StoreReturned, event.Attribute("Away", away.String()))
	}
	if first {
		f.record(event.StoreReached)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mutex.Lock()
	lost := f.outage.IsZero()
	if lost {
		f.outage = time.Now()
	}
	f.available = false
	f.mutex.Unlock()
	if lost {
		f.record(event.StoreLost, event.Attribute("Error", err.Error()))
	}
}

func (f *Follower) departed(changes []serverregistry.Change) {
	for _, change := range changes {
		if f.Departed != nil {
			f.Departed(change)
		}
		f.record(event.RegistrationChanged,
			event.Attribute("Server", string(change.Registration.Server.ID)),
			event.Attribute("Service", string(change.Registration.Service)),
			event.Attribute("Address", change.Registration.Server.Address.String()),
			event.Attribute("Usable", strconv.FormatBool(change.Usable)),
			event.Attribute("New", strconv.FormatBool(change.New)))
	}
}

func (f *Follower) changed() {
	if f.Changed != nil {
		f.Changed()
	}
}

func (f *Follower) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if f.Recorder != nil {
		f.Recorder.Record(event.New(id, attributes...))
	}
}

// pause waits after a failed call, longer after each further one.
func (f *Follower) pause(ctx context.Context, failures int) {
	wakeup.Wait(ctx, wakeup.Spread(min(firstBackoff<<min(failures, 8), maxBackoff), f.Random), nil)
}

func (f *Follower) applyTime() time.Duration {
	if f.ApplyTime <= 0 {
		return ebonyworks.DefaultApplyTime
	}
	return f.ApplyTime
}

func formatRevision(revision ebonyworks.StoreRevision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
