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
	// removalRevisions are the revisions at which servers were removed that have no
	// entry anymore. It has at most MaxServers entries.
	removalRevisions map[ebonyworks.ServerID]ebonyworks.StoreRevision
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

// Change describes the effect of a registration or a removal.
type Change struct {
	Registration ebonyworks.Registration
	// Usable is set if the server is in use after the change.
	Usable bool
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
			r.put(*change.Registration, change.Revision)
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
	return Change{Registration: after.registration, Usable: !after.registration.Draining, New: fresh, Removed: after.removed}, changed
}

// Put applies a registration. It returns false if nothing relevant changed, if the
// registration is older than the known one or than the server's removal, or if an
// earlier incarnation of the server wrote it after a later one.
func (r *Registry) Put(registration ebonyworks.Registration, revision ebonyworks.StoreRevision) (Change, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.rebuildOutdated()
	return r.put(registration, revision)
}

func (r *Registry) put(registration ebonyworks.Registration, revision ebonyworks.StoreRevision) (Change, bool) {
	if revision <= r.removalRevisions[registration.Server.ID] {
		return Change{}, false
	}
	known := r.servers[registration.Server.ID]
	if known != nil && known.removed && revision <= known.removalRevision {
		return Change{}, false
	}
	if known != nil && (revision < known.revision || registration.Incarnation < known.registration.Incarnation) {
		return Change{}, false
	}
	if known == nil && len(r.servers) >= MaxServers {
		return Change{}, false
	}
	fresh := known == nil || registration.Incarnation > known.registration.Incarnation
	changed := fresh || known.removed || differs(known.registration, registration)
	added := &entry{registration: registration, revision: revision, createdRevision: revision}
	if known != nil && !known.removed {
		added.createdRevision = known.createdRevision
	}
	if known != nil && known.registration.Service != registration.Service {
		r.drop(registration.Server.ID, known)
	}
	delete(r.removalRevisions, registration.Server.ID)
	r.insert(added)
	if !changed {
		return Change{}, false
	}
	r.markOutdated(registration.Service)
	return Change{Registration: registration, Usable: !registration.Draining, New: fresh}, true
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
		r.recordRemoval(id, revision)
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
// before it, ordered by id.
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
	return missing
}

// Expire drops the removed entries that have been kept long enough.
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
	for id, known := range r.servers {
		switch {
		case known.removed && !complete && known.removalRevision > after:
			changes = append(changes, ebonyworks.StoreChange{Revision: known.removalRevision, Removed: id})
		case !known.removed && (complete || known.revision > after):
			registration := known.registration
			changes = append(changes, ebonyworks.StoreChange{Revision: known.revision, Registration: &registration})
		}
	}
	if !complete {
		for id, removal := range r.removalRevisions {
			if removal > after {
				changes = append(changes, ebonyworks.StoreChange{Revision: removal, Removed: id})
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
func (r *Registry) recordRemoval(id ebonyworks.ServerID, removal ebonyworks.StoreRevision) {
	if r.removalRevisions == nil {
		r.removalRevisions = make(map[ebonyworks.ServerID]ebonyworks.StoreRevision)
	}
	if len(r.removalRevisions) >= MaxServers {
		r.compactRemovals()
	}
	r.removalRevisions[id] = max(removal, r.removalRevisions[id])
}

// compactRemovals discards the older half of the removals to make room. Hosts that last
// read the changes before a discarded removal get complete listings.
func (r *Registry) compactRemovals() {
	revisions := slices.Sorted(maps.Values(r.removalRevisions))
	r.compacted = max(r.compacted, revisions[len(revisions)/2])
	maps.DeleteFunc(r.removalRevisions, func(_ ebonyworks.ServerID, removal ebonyworks.StoreRevision) bool { return removal <= r.compacted })
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
		r.recordRemoval(id, known.removalRevision)
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

// differs reports whether the registrations differ in more than their sequence
// and the progress of the warm-up.
func differs(a, b ebonyworks.Registration) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a != b
}
