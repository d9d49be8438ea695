// Package evacuation holds the failure domains to whose servers nothing may be sent.
package evacuation

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxDomains bounds the domains, including those whose evacuation was withdrawn;
	// further ones are refused.
	MaxDomains = 1024
	// HoldTime is how long after the store returned from an older copy a state that the
	// copy contradicts stays in force. Operators write again what was lost within 2 s.
	HoldTime = 10 * time.Second
	// maxViews bounds the cached views. A service whose servers change is another one, so
	// that views become unused.
	maxViews = 4096
)

// Domains holds the evacuated domains by the store's revision. It is safe for concurrent
// use. With the zero value, no domain is evacuated.
type Domains struct {
	mutex sync.RWMutex
	// entries has at most MaxDomains entries. Withdrawn evacuations stay, so that an older
	// listing doesn't restore them.
	entries map[ebonyworks.DomainID]entry
	// active counts the entries that are active.
	active int
	// views caches the results of Without since the last change, because filtering the
	// servers of each sub-request would cost a host of the design size 7% of a core. It
	// has at most maxViews entries.
	views map[*ebonyworks.Service]*ebonyworks.Service
}

type entry struct {
	active bool
	// revision is that of the change by which the state came into force.
	revision ebonyworks.StoreRevision
	// contradictedBy is the revision at which a restored copy of the store states the
	// opposite; zero if the store agrees. The state is then reversed at heldUntil.
	contradictedBy ebonyworks.StoreRevision
	heldUntil      time.Time
	// listed is set if the state was taken from a complete listing, which may be that of a
	// restored copy.
	listed bool
}

// Apply applies the evacuations of a listing, or of the changes of one answer of the
// store, and returns those that differ from before, ordered by domain. The store
// returned from its last outage at the given time. What an older copy of the store
// contradicts stays in force until HoldTime after that.
func (d *Domains) Apply(listing ebonyworks.StoreListing, returnedAt time.Time) []ebonyworks.Evacuation {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.activeDomains()
	stated := make([]ebonyworks.StoreChange, 0, len(d.entries))
	listed := make(map[ebonyworks.DomainID]bool)
	restated := make(map[ebonyworks.DomainID]bool)
	for _, change := range listing.Changes {
		if change.Evacuation != nil {
			stated = append(stated, change)
			// What another host holds from an earlier era isn't in the store.
			inEra := change.Revision.Era() >= listing.AsOf.Era()
			domain := change.Evacuation.Domain
			restated[domain] = restated[domain] || inEra
			listed[domain] = listed[domain] || inEra && change.Evacuation.Active
		}
	}
	// A listing of another host may hold both what the store states and what that host
	// knows from before.
	slices.SortStableFunc(stated, func(a, b ebonyworks.StoreChange) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, change := range stated {
		d.put(change, listing, restated[change.Evacuation.Domain], returnedAt)
	}
	if listing.Complete {
		for domain, known := range d.entries {
			switch {
			case listed[domain] || max(known.revision, known.contradictedBy) > listing.AsOf:
			case known.active:
				d.contradict(domain, known, listing.AsOf, listing.AsOf, returnedAt)
			case !known.heldUntil.IsZero():
				// The store doesn't state the evacuation any more.
				d.set(domain, entry{revision: listing.AsOf})
			}
		}
	}
	for _, held := range listing.Held {
		if held.ContradictedBy.Era() == listing.AsOf.Era() {
			d.hold(held)
		}
	}
	return d.differences(before)
}

// hold adopts a state that another host holds against the restored store, unless the state
// here is based on a newer change or has been held before.
func (d *Domains) hold(held ebonyworks.HeldEvacuation) {
	known, found := d.entries[held.Domain]
	until := time.Now().Add(held.Remaining)
	switch {
	case held.Remaining <= 0 || held.Revision.Era() >= held.ContradictedBy.Era():
	case found && known.contradictedBy > 0:
		// No host knows of the return before it, so that the earliest end is the best.
		if until.Before(known.heldUntil) {
			known.heldUntil = until
			d.set(held.Domain, known)
		}
	case found && known.revision < held.Revision,
		found && known.listed && known.revision == held.ContradictedBy,
		!found && held.Active && len(d.entries) < MaxDomains:
		d.set(held.Domain, entry{active: held.Active, revision: held.Revision, contradictedBy: held.ContradictedBy, heldUntil: until})
	}
}

// put applies one change unless it is older than the known state. restated is set if the
// listing has a change of the domain from the era of the store.
func (d *Domains) put(change ebonyworks.StoreChange, listing ebonyworks.StoreListing, restated bool, returnedAt time.Time) {
	domain, active := change.Evacuation.Domain, change.Evacuation.Active
	known, found := d.entries[domain]
	if found && change.Revision <= max(known.revision, known.contradictedBy) || !found && len(d.entries) >= MaxDomains {
		return
	}
	fromCopy := listing.Complete && change.Revision.InEra() <= known.revision.InEra()
	if found && active && !known.active && fromCopy {
		d.contradict(domain, known, change.Revision, listing.AsOf, returnedAt)
		return
	}
	stated := entry{active: active, revision: change.Revision, listed: listing.Complete}
	if active && listing.Complete && change.Revision.Era() < listing.AsOf.Era() && !restated {
		// Another host holds it although the copy of the store doesn't have it. If the
		// listing was merged with later changes, the operator may have written it again.
		stated.contradictedBy, stated.heldUntil = listing.AsOf, returnedAt.Add(HoldTime)
	}
	d.set(domain, stated)
}

// contradict handles the opposite of the known state in a complete listing. If it comes
// from a restored copy of the store, the state is held for a while.
func (d *Domains) contradict(domain ebonyworks.DomainID, known entry, at, asOf ebonyworks.StoreRevision, returnedAt time.Time) {
	if known.revision.Era() == at.Era() {
		d.set(domain, entry{active: !known.active, revision: at})
		return
	}
	if known.contradictedBy.Era() != asOf.Era() || known.heldUntil.IsZero() {
		known.heldUntil = returnedAt.Add(HoldTime)
	}
	known.contradictedBy = at
	d.set(domain, known)
}

func (d *Domains) set(domain ebonyworks.DomainID, next entry) {
	if d.entries == nil {
		d.entries = make(map[ebonyworks.DomainID]entry)
	}
	if d.entries[domain].active {
		d.active--
	}
	if next.active {
		d.active++
	}
	d.entries[domain] = next
	d.views = nil
}

// Expire ends the states that have been held long enough and that the store hasn't
// stated again. It returns the changes, ordered by domain.
func (d *Domains) Expire() []ebonyworks.Evacuation {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.activeDomains()
	now := time.Now()
	for domain, known := range d.entries {
		if !known.heldUntil.IsZero() && !now.Before(known.heldUntil) {
			d.set(domain, entry{active: !known.active, revision: known.contradictedBy})
		}
	}
	return d.differences(before)
}

// Held returns the states that are held against a restored store, ordered by domain.
func (d *Domains) Held() []ebonyworks.HeldEvacuation {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var held []ebonyworks.HeldEvacuation
	for domain, known := range d.entries {
		if remaining := time.Until(known.heldUntil); remaining > 0 {
			held = append(held, ebonyworks.HeldEvacuation{
				Evacuation: ebonyworks.Evacuation{Domain: domain, Active: known.active},
				Revision:   known.revision, ContradictedBy: known.contradictedBy, Remaining: remaining,
			})
		}
	}
	slices.SortFunc(held, func(a, b ebonyworks.HeldEvacuation) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return held
}

// Contains reports whether the domain is evacuated.
func (d *Domains) Contains(domain ebonyworks.DomainID) bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.active > 0 && d.entries[domain].active
}

// Count returns the number of evacuated domains.
func (d *Domains) Count() int {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.active
}

// Without returns the service without the servers in evacuated domains. It returns the
// service itself if it has none. Neither may be changed.
func (d *Domains) Without(service *ebonyworks.Service) *ebonyworks.Service {
	d.mutex.RLock()
	view, found := d.views[service]
	unchanged := d.active == 0
	d.mutex.RUnlock()
	switch {
	case unchanged:
		return service
	case found:
		return view
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	view = service
	evacuated := func(server ebonyworks.Server) bool { return d.entries[server.Domain].active }
	if slices.ContainsFunc(service.Servers, evacuated) {
		rest := *service
		rest.Servers = slices.DeleteFunc(slices.Clone(service.Servers), evacuated)
		view = &rest
	}
	if d.views == nil || len(d.views) >= maxViews {
		d.views = make(map[*ebonyworks.Service]*ebonyworks.Service)
	}
	d.views[service] = view
	return view
}

// ChangesSince returns the changes after the revision, ordered by domain. With complete
// set, it returns all evacuations, and what is held against a restored store.
func (d *Domains) ChangesSince(after ebonyworks.StoreRevision, complete bool) []ebonyworks.StoreChange {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var changes []ebonyworks.StoreChange
	add := func(domain ebonyworks.DomainID, active bool, revision ebonyworks.StoreRevision) {
		changes = append(changes, ebonyworks.StoreChange{Revision: revision, Evacuation: &ebonyworks.Evacuation{Domain: domain, Active: active}})
	}
	for domain, known := range d.entries {
		held := known.contradictedBy > 0
		if complete && (known.active || held) || !complete && known.revision > after {
			add(domain, known.active, known.revision)
		}
		if complete && held && !known.active {
			add(domain, true, known.contradictedBy)
		}
	}
	slices.SortFunc(changes, func(a, b ebonyworks.StoreChange) int {
		return cmp.Or(strings.Compare(string(a.Evacuation.Domain), string(b.Evacuation.Domain)), cmp.Compare(a.Revision, b.Revision))
	})
	return changes
}

// activeDomains returns the evacuated domains. The mutex must be held.
func (d *Domains) activeDomains() map[ebonyworks.DomainID]bool {
	domains := make(map[ebonyworks.DomainID]bool, d.active)
	for domain, known := range d.entries {
		if known.active {
			domains[domain] = true
		}
	}
	return domains
}

// differences returns the changes since the given domains were evacuated.
func (d *Domains) differences(before map[ebonyworks.DomainID]bool) []ebonyworks.Evacuation {
	var changes []ebonyworks.Evacuation
	for domain, known := range d.entries {
		if known.active != before[domain] {
			changes = append(changes, ebonyworks.Evacuation{Domain: domain, Active: known.active})
		}
	}
	slices.SortFunc(changes, func(a, b ebonyworks.Evacuation) int {
		return strings.Compare(string(a.Domain), string(b.Domain))
	})
	return changes
}
