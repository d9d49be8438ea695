// Package serverregistry holds the registrations of backend servers, by service.
package serverregistry

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxServers bounds the registrations; further ones are refused.
	MaxServers = 16384
	// defaultSlots is used for a server whose registration has no slots.
	defaultSlots = 1
	// deferralTime is how long after the return of a restored store an entry isn't
	// used whose server has departed. Operators and servers have written again by then
	// what the store lost, which takes 2 s.
	deferralTime = 10 * time.Second
)

// Registry holds registrations. It is safe for concurrent use. The zero value
// is usable.
type Registry struct {
	mutex sync.RWMutex
	// servers has at most MaxServers entries, and members the same ones by
	// service.
	servers map[ebonyworks.ServerID]*entry
	members map[ebonyworks.ServiceID]map[ebonyworks.ServerID]*entry
	// services are immutable views of the servers in use. A view is replaced when a
	// registration of the service changes.
	services map[ebonyworks.ServiceID]*ebonyworks.Service
	// caps are the connection caps in the configuration.
	caps map[ebonyworks.ServiceID]int
	// loaded is set once a complete listing has been applied.
	loaded bool
	// removals are those of the servers that have no entry in servers. It has at most
	// MaxServers entries.
	removals map[ebonyworks.ServerID]removal
	// deferred are registrations in the store that aren't used. None of them is in
	// servers, and both together have at most MaxServers entries.
	deferred map[ebonyworks.ServerID]deferredEntry
	// era is the newest known era of the store, and deferralEnd the end of the
	// deferralTime after its beginning.
	era         ebonyworks.StoreEra
	deferralEnd time.Time
	// compacted is the revision up to which removals may have been discarded.
	compacted ebonyworks.StoreRevision
	// outdated are the services whose views differ from their members. It is empty
	// while the mutex is free.
	outdated map[ebonyworks.ServiceID]bool
}

// entry isn't changed once it is inserted.
type entry struct {
	registration ebonyworks.Registration
	revision     ebonyworks.StoreRevision
	// coldUntil is when the warm-up ends that the registration states; zero if it states
	// none.
	coldUntil time.Time
	// createdRevision is the revision of the first registration after the last removal.
	createdRevision ebonyworks.StoreRevision
	// removed is set if the entry is missing from the store. It is then kept until
	// keptUntil, since servers register again after an outage.
	removed   bool
	keptUntil time.Time
	// removalRevision is the revision of the removal, at least revision if removed is
	// set.
	removalRevision ebonyworks.StoreRevision
}

// removal is the removal of a server.
type removal struct {
	revision ebonyworks.StoreRevision
	// incarnation and sequence are those of the last known registration. The
	// incarnation is zero if none is known.
	incarnation ebonyworks.Incarnation
	sequence    uint64
}

// deferredEntry is a registration in the store that isn't used until the end.
type deferredEntry struct {
	registration ebonyworks.Registration
	revision     ebonyworks.StoreRevision
	end          time.Time
}

// Change describes the effect of a registration or a removal.
type Change struct {
	Registration ebonyworks.Registration
	// Usable is set if the server is in use after the change.
	Usable bool
	// Renewed is set if the server only wrote its entry again: nothing but the sequence
	// and the warm-up differ.
	Renewed bool
	// New is set if the server or its incarnation had no entry.
	New bool
	// Removed is set if the entry is missing from the store. The server may be kept in
	// use.
	Removed bool
}

// Apply applies a listing, or the changes of one answer of the store, as a whole: others
// see either all or none of its changes. It returns one change for each server that is
// registered differently afterwards, in the order in which they were first named. A
// removed server stays in use until keepUntil, unless it is registered again.
func (r *Registry) Apply(listing ebonyworks.StoreListing, keepUntil time.Time) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.rebuildOutdated()
	if era := listing.AsOf.Era(); era > r.era {
		r.era, r.deferralEnd = era, time.Now().Add(deferralTime-listing.SinceRecovery)
	}
	// before has the entries of the named servers, or nil for those without one.
	before := make(map[ebonyworks.ServerID]*entry, len(listing.Changes))
	named := make([]ebonyworks.ServerID, 0, len(listing.Changes))
	remember := func(id ebonyworks.ServerID) {
		if _, found := before[id]; !found {
			before[id] = r.servers[id]
			named = append(named, id)
		}
	}
	if listing.Complete {
		for _, id := range r.unlisted(listing) {
			remember(id)
			r.remove(id, listing.AsOf, keepUntil)
		}
		r.loaded = true
		// Servers that were registered and removed before the listing are unknown here.
		r.compacted = max(r.compacted, listing.AsOf)
	}
	for _, change := range listing.Changes {
		switch {
		case change.Registration != nil:
			remember(change.Registration.Server.ID)
			r.put(*change.Registration, change.Revision, change.DeferredFor)
		case change.Removed != "":
			remember(change.Removed)
			r.remove(change.Removed, change.Revision, keepUntil)
		}
	}
	var changes []Change
	for _, id := range named {
		if change, changed := difference(before[id], r.servers[id]); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// difference returns the change from one entry of a server to another one. An entry is
// nil if the server isn't registered.
func difference(before, after *entry) (Change, bool) {
	switch {
	case before == nil && after == nil:
		return Change{}, false
	case after == nil:
		return Change{Registration: before.registration, Removed: true}, true
	}
	fresh := before == nil || after.registration.Incarnation != before.registration.Incarnation
	changed := fresh || after.createdRevision != before.createdRevision || after.removed != before.removed ||
		differs(before.registration, after.registration)
	renewed := !changed && !after.removed && (after.registration.Sequence > before.registration.Sequence || !after.coldUntil.Equal(before.coldUntil))
	return Change{Registration: after.registration, Usable: !after.registration.Draining, New: fresh, Removed: after.removed, Renewed: renewed}, changed || renewed
}

// Put applies a registration. It returns false if nothing relevant changed, if the
// registration is older than the known one or than the server's removal, or if an
// earlier incarnation of the server wrote it after a later one.
func (r *Registry) Put(registration ebonyworks.Registration, revision ebonyworks.StoreRevision) (Change, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.rebuildOutdated()
	return r.put(registration, revision, 0)
}

func (r *Registry) put(registration ebonyworks.Registration, revision ebonyworks.StoreRevision, deferred time.Duration) (Change, bool) {
	if revision <= r.removals[registration.Server.ID].revision {
		return Change{}, false
	}
	known := r.servers[registration.Server.ID]
	if known != nil && known.removed && revision <= known.removalRevision {
		return Change{}, false
	}
	if known != nil && (known.isNewer(&registration, revision) || registration.Incarnation < known.registration.Incarnation) {
		return Change{}, false
	}
	if known == nil && len(r.servers)+len(r.deferred) >= MaxServers {
		return Change{}, false
	}
	if end := r.deferredUntil(&registration, revision, deferred); time.Now().Before(end) {
		return r.deferUse(deferredEntry{registration: registration, revision: revision, end: end}, known)
	}
	delete(r.deferred, registration.Server.ID)
	fresh := known == nil || registration.Incarnation > known.registration.Incarnation
	changed := fresh || known.removed || differs(known.registration, registration)
	added := &entry{registration: registration, revision: revision, createdRevision: revision}
	if known != nil && !known.removed {
		added.createdRevision = known.createdRevision
	}
	switch {
	case known != nil && known.isSameWrite(&registration, revision):
		// The store lists an entry with the time that remained when it was written.
		added.coldUntil = known.coldUntil
	case registration.Warmup > 0:
		added.coldUntil = time.Now().Add(registration.Warmup)
	}
	if known != nil && known.registration.Service != registration.Service {
		r.drop(registration.Server.ID, known)
	}
	delete(r.removals, registration.Server.ID)
	r.insert(added)
	if !changed {
		return Change{}, false
	}
	r.markOutdated(registration.Service)
	return Change{Registration: registration, Usable: !registration.Draining, New: fresh}, true
}

// isNewer reports whether the entry is newer than the registration. The revision orders
// the registrations of one era. In the copy from which a store was restored, the same
// incarnation has a lower sequence than in what the store lost.
func (e *entry) isNewer(registration *ebonyworks.Registration, revision ebonyworks.StoreRevision) bool {
	known := &e.registration
	if revision.Era() != e.revision.Era() && known.Incarnation != 0 &&
		registration.Incarnation == known.Incarnation && registration.Sequence != known.Sequence {
		return registration.Sequence < known.Sequence
	}
	return revision < e.revision
}

// isSameWrite reports whether the registration is the known one, listed again. A copy from
// which a store was restored has it with the same revision in a later era.
func (e *entry) isSameWrite(registration *ebonyworks.Registration, revision ebonyworks.StoreRevision) bool {
	known := &e.registration
	return e.revision.InEra() == revision.InEra() && known.Incarnation == registration.Incarnation && known.Sequence == registration.Sequence
}

// deferredUntil returns until when the registration isn't used: if its server was removed
// in an earlier era and hasn't registered since, or if another host defers its use. The
// zero time means that it is used.
func (r *Registry) deferredUntil(registration *ebonyworks.Registration, revision ebonyworks.StoreRevision, deferred time.Duration) time.Time {
	var end time.Time
	if deferred > 0 {
		end = time.Now().Add(deferred)
	}
	removed := r.removals[registration.Server.ID]
	if revision.Era() > removed.revision.Era() && predates(registration, removed.incarnation, removed.sequence) && r.deferralEnd.After(end) {
		end = r.deferralEnd
	}
	known, found := r.deferred[registration.Server.ID]
	if found && predates(registration, known.registration.Incarnation, known.registration.Sequence) && known.end.After(end) {
		end = known.end
	}
	return end
}

// predates reports whether a server wrote the registration not after the one with the
// incarnation and the sequence. Without an incarnation, that isn't known.
func predates(registration *ebonyworks.Registration, incarnation ebonyworks.Incarnation, sequence uint64) bool {
	if registration.Incarnation == 0 || incarnation == 0 {
		return false
	}
	return registration.Incarnation < incarnation || registration.Incarnation == incarnation && registration.Sequence <= sequence
}

// deferUse keeps the registration out of use, in place of the known entry of its server,
// if there is one.
func (r *Registry) deferUse(added deferredEntry, known *entry) (Change, bool) {
	if r.deferred == nil {
		r.deferred = make(map[ebonyworks.ServerID]deferredEntry)
	}
	r.deferred[added.registration.Server.ID] = added
	if known == nil {
		return Change{}, false
	}
	return r.drop(added.registration.Server.ID, known), true
}

// Remove applies the removal of a registration. The server stays in use until
// keepUntil; with the zero time, it is dropped at once. It returns false if the
// server wasn't known, or if the removal is older than the known registration.
func (r *Registry) Remove(id ebonyworks.ServerID, revision ebonyworks.StoreRevision, keepUntil time.Time) (Change, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.rebuildOutdated()
	return r.remove(id, revision, keepUntil)
}

func (r *Registry) remove(id ebonyworks.ServerID, revision ebonyworks.StoreRevision, keepUntil time.Time) (Change, bool) {
	known := r.servers[id]
	if known == nil {
		if revision >= r.deferred[id].revision {
			delete(r.deferred, id)
		}
		r.recordRemoval(id, removal{revision: revision})
		return Change{}, false
	}
	if revision < known.revision || known.removed {
		return Change{}, false
	}
	removed := *known
	removed.removalRevision = revision
	if time.Now().Before(keepUntil) {
		removed.removed = true
		removed.keptUntil = keepUntil
		r.insert(&removed)
		return Change{Registration: removed.registration, Usable: !removed.registration.Draining, Removed: true}, true
	}
	return r.drop(id, &removed), true
}

// unlisted returns the servers that aren't in a complete listing and were registered
// before it, ordered by id. It drops deferred registrations of which that is true.
func (r *Registry) unlisted(listing ebonyworks.StoreListing) []ebonyworks.ServerID {
	listed := make(map[ebonyworks.ServerID]bool, len(listing.Changes))
	for _, change := range listing.Changes {
		if change.Registration != nil {
			listed[change.Registration.Server.ID] = true
		}
	}
	var missing []ebonyworks.ServerID
	for id, known := range r.servers {
		if !listed[id] && known.revision <= listing.AsOf {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	maps.DeleteFunc(r.deferred, func(id ebonyworks.ServerID, known deferredEntry) bool {
		return !listed[id] && known.revision <= listing.AsOf
	})
	return missing
}

// Expire drops the removed entries that have been kept long enough, and puts in use those
// that have been deferred long enough.
func (r *Registry) Expire() []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.rebuildOutdated()
	now := time.Now()
	var changes []Change
	for id, known := range r.servers {
		if known.removed && !now.Before(known.keptUntil) {
			changes = append(changes, r.drop(id, known))
		}
	}
	for id, known := range r.deferred {
		if now.Before(known.end) {
			continue
		}
		delete(r.deferred, id)
		if change, changed := r.put(known.registration, known.revision, 0); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// SetServices applies the connection caps of a configuration's services.
func (r *Registry) SetServices(services []ebonyworks.ForwardService) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.caps = make(map[ebonyworks.ServiceID]int, len(services))
	for _, service := range services {
		r.caps[service.ID] = service.ConnectionCap
	}
	for id, view := range r.services {
		if view.ConnectionCap != r.caps[id] {
			r.rebuild(id)
		}
	}
}

// Service returns the servers in use of a service, or nil if there are none. The
// result is immutable.
func (r *Registry) Service(id ebonyworks.ServiceID) *ebonyworks.Service {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.services[id]
}

// ChangesSince returns the changes after the revision, ordered by server. If removals
// since then may have been discarded, complete is set and the result lists all
// registered servers.
func (r *Registry) ChangesSince(after ebonyworks.StoreRevision) (changes []ebonyworks.StoreChange, complete bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	complete = after == 0 || after < r.compacted
	now := time.Now()
	for id, known := range r.servers {
		switch {
		case known.removed && !complete && known.removalRevision > after:
			changes = append(changes, ebonyworks.StoreChange{Revision: known.removalRevision, Removed: id})
		case !known.removed && (complete || known.revision > after):
			registration := known.registration
			registration.Warmup = known.warmupLeft(now)
			changes = append(changes, ebonyworks.StoreChange{Revision: known.revision, Registration: &registration})
		}
	}
	for _, known := range r.deferred {
		if complete || known.revision > after {
			registration := known.registration
			changes = append(changes, ebonyworks.StoreChange{Revision: known.revision, Registration: &registration, DeferredFor: time.Until(known.end)})
		}
	}
	if !complete {
		for id, removed := range r.removals {
			if removed.revision > after {
				changes = append(changes, ebonyworks.StoreChange{Revision: removed.revision, Removed: id})
			}
		}
	}
	slices.SortFunc(changes, func(a, b ebonyworks.StoreChange) int {
		return strings.Compare(string(serverID(a)), string(serverID(b)))
	})
	return changes, complete
}

func serverID(change ebonyworks.StoreChange) ebonyworks.ServerID {
	if change.Registration != nil {
		return change.Registration.Server.ID
	}
	return change.Removed
}

// recordRemoval records the removal of a server that has no entry.
func (r *Registry) recordRemoval(id ebonyworks.ServerID, removed removal) {
	if r.removals == nil {
		r.removals = make(map[ebonyworks.ServerID]removal)
	}
	if len(r.removals) >= MaxServers {
		r.compactRemovals()
	}
	known := r.removals[id]
	removed.revision = max(removed.revision, known.revision)
	if removed.incarnation == 0 {
		removed.incarnation, removed.sequence = known.incarnation, known.sequence
	}
	r.removals[id] = removed
}

// compactRemovals discards the older half of the removals to make room. Hosts that last
// read the changes before a discarded removal get complete listings.
func (r *Registry) compactRemovals() {
	revisions := make([]ebonyworks.StoreRevision, 0, len(r.removals))
	for _, removed := range r.removals {
		revisions = append(revisions, removed.revision)
	}
	slices.Sort(revisions)
	r.compacted = max(r.compacted, revisions[len(revisions)/2])
	maps.DeleteFunc(r.removals, func(_ ebonyworks.ServerID, removed removal) bool { return removed.revision <= r.compacted })
}

// Loaded reports whether a complete listing has been applied.
func (r *Registry) Loaded() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.loaded
}

// Servers returns the servers in use of all services.
func (r *Registry) Servers() map[ebonyworks.ServerID]bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	servers := make(map[ebonyworks.ServerID]bool, len(r.servers))
	for server := range r.inUse() {
		servers[server.ID] = true
	}
	return servers
}

// ServersWhere returns the servers in use whose failure domain the predicate accepts.
func (r *Registry) ServersWhere(accepts func(domain ebonyworks.DomainID) bool) []ebonyworks.ServerID {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var servers []ebonyworks.ServerID
	for server := range r.inUse() {
		if accepts(server.Domain) {
			servers = append(servers, server.ID)
		}
	}
	return servers
}

// Addresses returns the addresses of the servers in use.
func (r *Registry) Addresses() map[netip.AddrPort]bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	addresses := make(map[netip.AddrPort]bool, len(r.servers))
	for server := range r.inUse() {
		addresses[server.Address] = true
	}
	return addresses
}

// inUse iterates over the servers in use of all services.
func (r *Registry) inUse() iter.Seq[ebonyworks.Server] {
	return func(yield func(ebonyworks.Server) bool) {
		for _, service := range r.services {
			for _, server := range service.Servers {
				if !yield(server) {
					return
				}
			}
		}
	}
}

func (r *Registry) insert(added *entry) {
	id, service := added.registration.Server.ID, added.registration.Service
	if r.servers == nil {
		r.servers = make(map[ebonyworks.ServerID]*entry)
		r.members = make(map[ebonyworks.ServiceID]map[ebonyworks.ServerID]*entry)
	}
	if r.members[service] == nil {
		r.members[service] = make(map[ebonyworks.ServerID]*entry)
	}
	r.servers[id] = added
	r.members[service][id] = added
}

func (r *Registry) drop(id ebonyworks.ServerID, known *entry) Change {
	service := known.registration.Service
	if known.removalRevision > 0 {
		r.recordRemoval(id, removal{revision: known.removalRevision, incarnation: known.registration.Incarnation, sequence: known.registration.Sequence})
	}
	delete(r.servers, id)
	delete(r.members[service], id)
	if len(r.members[service]) == 0 {
		delete(r.members, service)
	}
	r.markOutdated(service)
	return Change{Registration: known.registration, Removed: true}
}

// markOutdated notes that the view of the service must be rebuilt.
func (r *Registry) markOutdated(id ebonyworks.ServiceID) {
	if r.outdated == nil {
		r.outdated = make(map[ebonyworks.ServiceID]bool)
	}
	r.outdated[id] = true
}

// rebuildOutdated rebuilds the views that don't show the changes since the mutex was
// locked.
func (r *Registry) rebuildOutdated() {
	for id := range r.outdated {
		r.rebuild(id)
	}
	clear(r.outdated)
}

// rebuild replaces the view of the servers in use of the service.
func (r *Registry) rebuild(id ebonyworks.ServiceID) {
	view := &ebonyworks.Service{ID: id, Slots: defaultSlots, ConnectionCap: r.caps[id]}
	for _, known := range r.members[id] {
		if known.registration.Draining {
			continue
		}
		view.Servers = append(view.Servers, known.registration.Server)
		view.Slots = max(view.Slots, known.registration.Slots)
	}
	slices.SortFunc(view.Servers, func(a, b ebonyworks.Server) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	if r.services == nil {
		r.services = make(map[ebonyworks.ServiceID]*ebonyworks.Service)
	}
	if len(view.Servers) == 0 {
		delete(r.services, id)
		return
	}
	r.services[id] = view
}

// warmupLeft returns the remaining time of the warm-up.
func (e *entry) warmupLeft(now time.Time) time.Duration { return max(e.coldUntil.Sub(now), 0) }

// differs reports whether the registrations differ in more than their sequence
// and the progress of the warm-up.
func differs(a, b ebonyworks.Registration) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a != b
}
