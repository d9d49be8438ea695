// Package memberlist holds the known entry hosts and their membership states.
package memberlist

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// maxMembers bounds the roster; the design size is 400.
	maxMembers = 4096
	// deadRetention is longer than the longest expected partition (an hour), so
	// that both sides still know each other when it heals.
	deadRetention = 6 * time.Hour
	// leftRetention is longer than any message about the member can be in flight.
	leftRetention = time.Hour
	// memberOverhead is the encoded size of a fact without its names.
	memberOverhead = 52
)

// Change tells what a fact did to the roster.
type Change struct {
	// Applied is set if the fact replaced what was known.
	Applied bool
	// New is set if the host or its incarnation was unknown.
	New bool
	// Refuted is set if the fact was about this host and wrong.
	Refuted bool
	// Replaced is set if the fact tells of a later incarnation of this host.
	Replaced bool
	// Before is the state before, meaningful if New isn't set.
	Before ebonyworks.MemberState
}

// entry is a member with its bookkeeping.
type entry struct {
	member ebonyworks.Member
	// changedAt is when the state was last changed.
	changedAt time.Time
	// transmissions counts the messages that carried the fact.
	transmissions int
}

// List holds the members that a host knows, itself included. Facts only
// move forward in their order. Methods can be called concurrently.
type List struct {
	// BumpIncarnation is set if nothing but the membership names the incarnation of this
	// host. A later incarnation at the same address is then an earlier life of the
	// host, whose clock was ahead, and the host takes one that is later still. It
	// is set before the first use.
	BumpIncarnation bool

	mu   sync.Mutex
	self entry
	// members has at most maxMembers entries, without this host.
	members  map[ebonyworks.HostID]*entry
	replaced bool
	// alive is what Alive returned last; nil after a change.
	alive []ebonyworks.Host
	// sorted are the members ordered by id; nil after one was added or dropped.
	sorted []*entry
}

// New returns a roster that knows only the host itself.
func New(self ebonyworks.Host) *List {
	return &List{
		self:    entry{member: ebonyworks.Member{Host: self}},
		members: make(map[ebonyworks.HostID]*entry),
	}
}

// Self returns the fact about this host.
func (r *List) Self() ebonyworks.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.member
}

// Replaced reports whether a later incarnation of this host is known.
func (r *List) Replaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replaced
}

// Leave marks this host as stopping, in a way that no earlier fact overrides.
func (r *List) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.member.State == ebonyworks.MemberLeft {
		return
	}
	r.self.member.RefutationNumber++
	r.self.member.State = ebonyworks.MemberLeft
	r.self.transmissions = 0
}

// Merge learns a fact.
func (r *List) Merge(fact ebonyworks.Member, now time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fact.Host.ID == r.self.member.Host.ID {
		return r.mergeSelf(fact)
	}
	known, found := r.members[fact.Host.ID]
	if !found {
		if len(r.members) >= maxMembers && !r.evict() {
			return Change{}
		}
		r.members[fact.Host.ID] = &entry{member: fact, changedAt: now}
		r.alive, r.sorted = nil, nil
		return Change{Applied: true, New: true}
	}
	change := Change{Before: known.member.State, New: fact.Host.Incarnation > known.member.Host.Incarnation}
	if compareStates(fact, known.member) <= 0 {
		return Change{Before: change.Before}
	}
	change.Applied = true
	if fact.State != known.member.State || change.New {
		known.changedAt = now
	}
	known.member, known.transmissions = fact, 0
	r.alive = nil
	return change
}

// Suspect lowers an alive member to suspect, if it is still the given one.
func (r *List) Suspect(host ebonyworks.Host, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.members[host.ID]
	if !found || known.member.Host.Incarnation != host.Incarnation || known.member.State != ebonyworks.MemberAlive {
		return false
	}
	known.member.State = ebonyworks.MemberSuspect
	known.changedAt, known.transmissions = now, 0
	return true
}

// Expire declares members dead that have been suspected for the timeout, and
// forgets members that have been gone for hours. It returns the new dead.
func (r *List) Expire(timeout time.Duration, now time.Time) []ebonyworks.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dead []ebonyworks.Member
	for id, known := range r.members {
		age := now.Sub(known.changedAt)
		switch {
		case known.member.State == ebonyworks.MemberSuspect && age >= timeout:
			known.member.State = ebonyworks.MemberDead
			known.changedAt, known.transmissions = now, 0
			r.alive = nil
			dead = append(dead, known.member)
		case known.member.State == ebonyworks.MemberDead && age >= deadRetention,
			known.member.State == ebonyworks.MemberLeft && age >= leftRetention:
			delete(r.members, id)
			r.sorted = nil
		}
	}
	return dead
}

// RestartSuspicions restarts the time of all suspicions. A host that was paused doesn't
// know whether the members were silent or itself.
func (r *List) RestartSuspicions(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.members {
		if known.member.State == ebonyworks.MemberSuspect {
			known.changedAt = now
		}
	}
}

// Member returns what is known about a host.
func (r *List) Member(id ebonyworks.HostID) (ebonyworks.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.members[id]
	if !found {
		return ebonyworks.Member{}, false
	}
	return known.member, true
}

// IDAt returns the id of the member at the address, or an empty id. If several
// were there, it is the one whose state is best.
func (r *List) IDAt(address netip.AddrPort) ebonyworks.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best ebonyworks.Member
	for _, known := range r.entries() {
		if known.member.Host.Address != address {
			continue
		}
		if best.Host.ID == "" || known.member.State < best.State {
			best = known.member
		}
	}
	return best.Host.ID
}

// Size returns the number of hosts that are known, this one included.
func (r *List) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members) + 1
}

// Members returns all members but this host, ordered by id.
func (r *List) Members() []ebonyworks.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make([]ebonyworks.Member, 0, len(r.members))
	for _, known := range r.entries() {
		members = append(members, known.member)
	}
	return members
}

// Alive returns the members that are alive or only suspected, without this
// host, ordered by id. Callers must not modify the slice.
func (r *List) Alive() []ebonyworks.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alive != nil {
		return r.alive
	}
	r.alive = make([]ebonyworks.Host, 0, len(r.members))
	for _, known := range r.entries() {
		if known.member.State <= ebonyworks.MemberSuspect {
			r.alive = append(r.alive, known.member.Host)
		}
	}
	return r.alive
}

// SelectUpdates returns the facts for one message: those sent in fewer than limit
// messages, fewest first, then random others, until the budget in bytes is
// used. The fact about this host isn't included.
func (r *List) SelectUpdates(budget, limit, others int, random *rand.Rand) []ebonyworks.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh, settled := r.splitByTransmissions(limit)
	fresh = append(fresh, pickRandom(settled, others, random)...)
	var facts []ebonyworks.Member
	for _, known := range fresh {
		budget -= EncodedSize(known.member)
		if budget < 0 {
			break
		}
		known.transmissions++
		facts = append(facts, known.member)
	}
	return facts
}

// EncodedSize bounds the encoded size of a fact in bytes.
func EncodedSize(member ebonyworks.Member) int {
	return memberOverhead + len(member.Host.ID) + len(member.Host.Domain) + len(member.Host.Region)
}

// splitByTransmissions returns the facts that were sent in fewer than limit messages, fewest
// first, and the others, both in a reproducible order.
func (r *List) splitByTransmissions(limit int) (fresh, settled []*entry) {
	for _, known := range r.entries() {
		if known.transmissions < limit {
			fresh = append(fresh, known)
			continue
		}
		settled = append(settled, known)
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(a.transmissions, b.transmissions) })
	return fresh, settled
}

// pickRandom moves up to count random entries to the front and returns them.
func pickRandom(entries []*entry, count int, random *rand.Rand) []*entry {
	count = min(count, len(entries))
	for i := range count {
		j := i + random.IntN(len(entries)-i)
		entries[i], entries[j] = entries[j], entries[i]
	}
	return entries[:count]
}

// entries returns the members ordered by id. r.mu is held.
func (r *List) entries() []*entry {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted = make([]*entry, 0, len(r.members))
	for _, known := range r.members {
		r.sorted = append(r.sorted, known)
	}
	slices.SortFunc(r.sorted, func(a, b *entry) int { return cmp.Compare(a.member.Host.ID, b.member.Host.ID) })
	return r.sorted
}

func (r *List) mergeSelf(fact ebonyworks.Member) Change {
	self := &r.self.member
	if fact.Host.Incarnation > self.Host.Incarnation {
		if r.BumpIncarnation && fact.Host.Address == self.Host.Address && fact.Host.Incarnation < math.MaxUint64 {
			self.Host.Incarnation = fact.Host.Incarnation + 1
			self.RefutationNumber, r.self.transmissions = 0, 0
			return Change{Refuted: true}
		}
		r.replaced = true
		return Change{Replaced: true}
	}
	if compareStates(fact, *self) <= 0 || fact.RefutationNumber == math.MaxUint64 {
		return Change{}
	}
	// Nobody else may know more about this incarnation than the host itself.
	self.RefutationNumber = fact.RefutationNumber + 1
	r.self.transmissions = 0
	return Change{Refuted: true}
}

// evict drops the member that has been gone for longest.
func (r *List) evict() bool {
	var oldest *entry
	for _, known := range r.members {
		gone := known.member.State >= ebonyworks.MemberDead
		if gone && (oldest == nil || known.changedAt.Before(oldest.changedAt)) {
			oldest = known
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.members, oldest.member.Host.ID)
	r.sorted = nil
	return true
}

// compareStates compares two facts about the same host.
func compareStates(a, b ebonyworks.Member) int {
	return cmp.Or(
		cmp.Compare(a.Host.Incarnation, b.Host.Incarnation),
		cmp.Compare(a.RefutationNumber, b.RefutationNumber),
		cmp.Compare(a.State, b.State),
	)
}
