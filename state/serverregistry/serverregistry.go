// Package serverregistry holds the backend servers that registered themselves,
// by service.
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
	// defaultSlots is assumed for a server that stated none.
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
	// services are immutable views of the servers in use. They are built anew
	// when a registration of the service changes.
	services map[ebonyworks.ServiceID]*ebonyworks.Service
	// caps are the connection caps that the configuration names.
	caps map[ebonyworks.ServiceID]int
	// loaded is set once a complete listing has been applied.
	loaded bool
	// removalRevisions are the revisions at which servers left that are no longer known.
	// It has at most MaxServers entries.
	removalRevisions map[ebonyworks.ServerID]ebonyworks.StoreRevision
	// compactedRevision is the revision up to which removals may be unknown.
	compactedRevision ebonyworks.StoreRevision
}

type entry struct {
	registration ebonyworks.Registration
	revision     ebonyworks.StoreRevision
	// removed is set while the entry is missing from the store and kept until
	// the given time, since servers register again after an outage.
	removed   bool
	keptUntil time.Time
	// removalRevision is the revision of the removalRevision, at least revision if removed is set.
	removalRevision ebonyworks.StoreRevision
}

// Change tells what a registration or a removal changed.
type Change struct {
	Registration ebonyworks.Registration
	// Usable tells if the server is in use after the change.
	Usable bool
	// New is set for a server or an incarnation that wasn't known.
	New bool
}

// Put applies a registration. It returns false if nothing relevant changed, if
// the change is older than the known one or than the server's removal, or if an
// earlier life of the server wrote it after a later one.
func (d *Registry) Put(registration ebonyworks.Registration, revision ebonyworks.StoreRevision) (Change, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if revision <= d.removalRevisions[registration.Server.ID] {
		return Change{}, false
	}
	known := d.servers[registration.Server.ID]
	if known != nil && known.removed && revision <= known.removalRevision {
		return Change{}, false
	}
	if known != nil && (revision < known.revision || registration.Incarnation < known.registration.Incarnation) {
		return Change{}, false
	}
	if known == nil && len(d.servers) >= MaxServers {
		return Change{}, false
	}
	fresh := known == nil || registration.Incarnation > known.registration.Incarnation
	changed := fresh || known.removed || differs(known.registration, registration)
	if known != nil && known.registration.Service != registration.Service {
		d.drop(registration.Server.ID, known)
	}
	delete(d.removalRevisions, registration.Server.ID)
	d.insert(&entry{registration: registration, revision: revision})
	if !changed {
		return Change{}, false
	}
	d.rebuild(registration.Service)
	return Change{Registration: registration, Usable: !registration.Draining, New: fresh}, true
}

// Remove applies the removal of an entry. The server stays in use until
// keepUntil; the zero time takes it out at once. It returns false if the
// server wasn't known, or if the removal is older than the known registration.
func (d *Registry) Remove(id ebonyworks.ServerID, revision ebonyworks.StoreRevision, keepUntil time.Time) (Change, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.servers[id]
	if known == nil {
		d.recordRemoval(id, revision)
		return Change{}, false
	}
	if revision < known.revision || known.removed {
		return Change{}, false
	}
	known.removalRevision = revision
	if time.Now().Before(keepUntil) {
		known.removed = true
		known.keptUntil = keepUntil
		return Change{Registration: known.registration, Usable: !known.registration.Draining}, true
	}
	return d.drop(id, known), true
}

// RemoveUnlisted removes, in the manner of Remove, the entries that a listing as of
// the revision doesn't contain.
func (d *Registry) RemoveUnlisted(listed map[ebonyworks.ServerID]bool, asOf ebonyworks.StoreRevision, keepUntil time.Time) []Change {
	var missing []ebonyworks.ServerID
	d.mutex.Lock()
	for id, known := range d.servers {
		if !listed[id] && known.revision <= asOf {
			missing = append(missing, id)
		}
	}
	d.loaded = true
	// Servers that came and left before the listing were never known here.
	d.compactedRevision = max(d.compactedRevision, asOf)
	d.mutex.Unlock()
	slices.Sort(missing)
	var changes []Change
	for _, id := range missing {
		if change, ok := d.Remove(id, asOf, keepUntil); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// Expire drops the removed entries that have been kept long enough.
func (d *Registry) Expire() []Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	var changes []Change
	for id, known := range d.servers {
		if known.removed && !now.Before(known.keptUntil) {
			changes = append(changes, d.drop(id, known))
		}
	}
	return changes
}

// SetServices learns the services of a configuration.
func (d *Registry) SetServices(services []ebonyworks.ForwardService) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.caps = make(map[ebonyworks.ServiceID]int, len(services))
	for _, service := range services {
		d.caps[service.ID] = service.ConnectionCap
	}
	for id, view := range d.services {
		if view.ConnectionCap != d.caps[id] {
			d.rebuild(id)
		}
	}
}

// Service returns the servers in use of a service, or nil if none is known.
// The result isn't changed later.
func (d *Registry) Service(id ebonyworks.ServiceID) *ebonyworks.Service {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.services[id]
}

// ChangesSince returns what changed after the revision, ordered by server. The result is
// complete, with all servers that have an entry, if removals since then may be
// unknown.
func (d *Registry) ChangesSince(after ebonyworks.StoreRevision) (changes []ebonyworks.StoreChange, complete bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	complete = after == 0 || after < d.compactedRevision
	for id, known := range d.servers {
		switch {
		case known.removed && !complete && known.removalRevision > after:
			changes = append(changes, ebonyworks.StoreChange{Revision: known.removalRevision, Removed: id})
		case !known.removed && (complete || known.revision > after):
			registration := known.registration
			changes = append(changes, ebonyworks.StoreChange{Revision: known.revision, Registration: &registration})
		}
	}
	if !complete {
		for id, removal := range d.removalRevisions {
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

// recordRemoval records the removal of a server that isn't known.
func (d *Registry) recordRemoval(id ebonyworks.ServerID, removal ebonyworks.StoreRevision) {
	if d.removalRevisions == nil {
		d.removalRevisions = make(map[ebonyworks.ServerID]ebonyworks.StoreRevision)
	}
	if len(d.removalRevisions) >= MaxServers {
		d.compactRemovals()
	}
	d.removalRevisions[id] = max(removal, d.removalRevisions[id])
}

// compactRemovals makes room for removals. Hosts that last read the store before
// those that are forgotten get complete listings.
func (d *Registry) compactRemovals() {
	revisions := slices.Sorted(maps.Values(d.removalRevisions))
	d.compactedRevision = max(d.compactedRevision, revisions[len(revisions)/2])
	maps.DeleteFunc(d.removalRevisions, func(_ ebonyworks.ServerID, removal ebonyworks.StoreRevision) bool {
		return removal <= d.compactedRevision
	})
}

// Loaded reports whether a complete listing has been applied.
func (d *Registry) Loaded() bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.loaded
}

// Servers returns the servers in use of all services.
func (d *Registry) Servers() map[ebonyworks.ServerID]bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	servers := make(map[ebonyworks.ServerID]bool, len(d.servers))
	for server := range d.inUse() {
		servers[server.ID] = true
	}
	return servers
}

// Addresses returns the addresses of the servers in use.
func (d *Registry) Addresses() map[netip.AddrPort]bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	addresses := make(map[netip.AddrPort]bool, len(d.servers))
	for server := range d.inUse() {
		addresses[server.Address] = true
	}
	return addresses
}

// inUse walks over the servers in use of all services.
func (d *Registry) inUse() iter.Seq[ebonyworks.Server] {
	return func(yield func(ebonyworks.Server) bool) {
		for _, service := range d.services {
			for _, server := range service.Servers {
				if !yield(server) {
					return
				}
			}
		}
	}
}

func (d *Registry) insert(added *entry) {
	id, service := added.registration.Server.ID, added.registration.Service
	if d.servers == nil {
		d.servers = make(map[ebonyworks.ServerID]*entry)
		d.members = make(map[ebonyworks.ServiceID]map[ebonyworks.ServerID]*entry)
	}
	if d.members[service] == nil {
		d.members[service] = make(map[ebonyworks.ServerID]*entry)
	}
	d.servers[id] = added
	d.members[service][id] = added
}

func (d *Registry) drop(id ebonyworks.ServerID, known *entry) Change {
	service := known.registration.Service
	if known.removalRevision > 0 {
		d.recordRemoval(id, known.removalRevision)
	}
	delete(d.servers, id)
	delete(d.members[service], id)
	if len(d.members[service]) == 0 {
		delete(d.members, service)
	}
	d.rebuild(service)
	return Change{Registration: known.registration}
}

// rebuild makes a new view of the servers in use of the service.
func (d *Registry) rebuild(id ebonyworks.ServiceID) {
	view := &ebonyworks.Service{ID: id, Slots: defaultSlots, ConnectionCap: d.caps[id]}
	for _, known := range d.members[id] {
		if known.registration.Draining {
			continue
		}
		view.Servers = append(view.Servers, known.registration.Server)
		view.Slots = max(view.Slots, known.registration.Slots)
	}
	slices.SortFunc(view.Servers, func(a, b ebonyworks.Server) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	if d.services == nil {
		d.services = make(map[ebonyworks.ServiceID]*ebonyworks.Service)
	}
	if len(view.Servers) == 0 {
		delete(d.services, id)
		return
	}
	d.services[id] = view
}

// differs reports whether the registrations differ in more than their sequence
// and the progress of the warm-up.
func differs(a, b ebonyworks.Registration) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a != b
}
