// Package memberlist holds the entry hosts that a host knows and their membership
// states. A membership state that is gossiped is called an update.
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
	// maxMembers bounds the list; the design size is 400.
	maxMembers = 4096
	// deadRetention is how long dead members are kept. It is longer than the longest
	// expected partition (an hour), so that both sides still know each other when it
	// heals.
	deadRetention = 6 * time.Hour
	// leftRetention is how long members that left are kept. It is longer than any message
	// about the member can be in flight.
	leftRetention = time.Hour
	// memberOverhead is the encoded size of an update without its names.
	memberOverhead = 52
)

// Change describes the effect of an update on the list.
type Change struct {
	// Applied is set if the update replaced the known state.
	Applied bool
	// New is set if the host or its incarnation was unknown.
	New bool
	// Refuted is set if the update was about this host and wrong, and was refuted.
	Refuted bool
	// Replaced is set if the update is about a later incarnation of this host.
	Replaced bool
	// Before is the previous state; it is meaningful only if New isn't set.
	Before ebonyworks.MemberState
}

// entry is a member with the data for its expiry and dissemination.
type entry struct {
	member ebonyworks.Member
	// changedAt is when the state was last changed.
	changedAt time.Time
	// transmissions counts the messages that carried the update.
	transmissions int
}

// List holds the members that a host knows, itself included. A state is only replaced by
// a larger one in the order of compareStates. It is safe for concurrent use.
type List struct {
	// BumpIncarnation is set if nothing but the membership uses the incarnation of this
	// host, so that it can be changed. A later incarnation at the same address then belongs to an earlier run of
	// the host, whose clock was ahead, and the host takes a still later one. It is set
	// before the first use.
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

// New returns a list that holds only the host itself.
func New(self ebonyworks.Host) *List {
	return &List{
		self:    entry{member: ebonyworks.Member{Host: self}},
		members: make(map[ebonyworks.HostID]*entry),
	}
}

// Self returns the membership state of this host.
func (l *List) Self() ebonyworks.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.member
}

// Replaced reports whether a later incarnation of this host is known.
func (l *List) Replaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replaced
}

// Leave marks this host as stopping, with a new refutation number, so that no earlier
// update overrides it.
func (l *List) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.member.State == ebonyworks.MemberLeft {
		return
	}
	l.self.member.RefutationNumber++
	l.self.member.State = ebonyworks.MemberLeft
	l.self.transmissions = 0
}

// Merge applies an update that was received from another host.
func (l *List) Merge(update ebonyworks.Member, now time.Time) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Host.ID == l.self.member.Host.ID {
		return l.mergeSelf(update)
	}
	known, found := l.members[update.Host.ID]
	if !found {
		if len(l.members) >= maxMembers && !l.evict() {
			return Change{}
		}
		l.members[update.Host.ID] = &entry{member: update, changedAt: now}
		l.alive, l.sorted = nil, nil
		return Change{Applied: true, New: true}
	}
	change := Change{Before: known.member.State, New: update.Host.Incarnation > known.member.Host.Incarnation}
	if compareStates(update, known.member) <= 0 {
		return Change{Before: change.Before}
	}
	change.Applied = true
	if update.State != known.member.State || change.New {
		known.changedAt = now
	}
	known.member, known.transmissions = update, 0
	l.alive = nil
	return change
}

// Suspect marks an alive member as suspect if its incarnation is still the given one.
func (l *List) Suspect(host ebonyworks.Host, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.members[host.ID]
	if !found || known.member.Host.Incarnation != host.Incarnation || known.member.State != ebonyworks.MemberAlive {
		return false
	}
	known.member.State = ebonyworks.MemberSuspect
	known.changedAt, known.transmissions = now, 0
	return true
}

// Expire declares members dead that have been suspected for the timeout, and removes
// dead members and those that left after their retention time. It returns those newly
// declared dead.
func (l *List) Expire(timeout time.Duration, now time.Time) []ebonyworks.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var dead []ebonyworks.Member
	for id, known := range l.members {
		age := now.Sub(known.changedAt)
		switch {
		case known.member.State == ebonyworks.MemberSuspect && age >= timeout:
			known.member.State = ebonyworks.MemberDead
			known.changedAt, known.transmissions = now, 0
			l.alive = nil
			dead = append(dead, known.member)
		case known.member.State == ebonyworks.MemberDead && age >= deadRetention,
			known.member.State == ebonyworks.MemberLeft && age >= leftRetention:
			delete(l.members, id)
			l.sorted = nil
		}
	}
	return dead
}

// RestartSuspicions restarts the timeouts of all suspicions. It is called after a pause
// of the process, when the host can't tell whether the members didn't answer or it
// couldn't receive the answers itself.
func (l *List) RestartSuspicions(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.members {
		if known.member.State == ebonyworks.MemberSuspect {
			known.changedAt = now
		}
	}
}

// Member returns the membership state of another host.
func (l *List) Member(id ebonyworks.HostID) (ebonyworks.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.members[id]
	if !found {
		return ebonyworks.Member{}, false
	}
	return known.member, true
}

// IDAt returns the id of the member at the address, or an empty id. Of several members
// with the address, it is the one with the smallest state, alive being the smallest.
func (l *List) IDAt(address netip.AddrPort) ebonyworks.HostID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best ebonyworks.Member
	for _, known := range l.entries() {
		if known.member.Host.Address != address {
			continue
		}
		if best.Host.ID == "" || known.member.State < best.State {
			best = known.member
		}
	}
	return best.Host.ID
}

// Size returns the number of known hosts, this one included.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members) + 1
}

// Members returns all members but this host, ordered by id.
func (l *List) Members() []ebonyworks.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]ebonyworks.Member, 0, len(l.members))
	for _, known := range l.entries() {
		members = append(members, known.member)
	}
	return members
}

// Alive returns the members that are alive or only suspected, without this
// host, ordered by id. Callers must not modify the slice.
func (l *List) Alive() []ebonyworks.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alive != nil {
		return l.alive
	}
	l.alive = make([]ebonyworks.Host, 0, len(l.members))
	for _, known := range l.entries() {
		if known.member.State <= ebonyworks.MemberSuspect {
			l.alive = append(l.alive, known.member.Host)
		}
	}
	return l.alive
}

// SelectUpdates returns the updates for one message: those sent in fewer than limit
// messages, fewest first, then up to others random ones, until the budget in bytes is
// used up. The state of this host isn't included.
func (l *List) SelectUpdates(budget, limit, others int, random *rand.Rand) []ebonyworks.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending, sent := l.splitByTransmissions(limit)
	pending = append(pending, pickRandom(sent, others, random)...)
	var updates []ebonyworks.Member
	for _, known := range pending {
		budget -= EncodedSize(known.member)
		if budget < 0 {
			break
		}
		known.transmissions++
		updates = append(updates, known.member)
	}
	return updates
}

// EncodedSize returns an upper bound of the encoded size of an update in bytes.
func EncodedSize(member ebonyworks.Member) int {
	return memberOverhead + len(member.Host.ID) + len(member.Host.Domain) + len(member.Host.Region)
}

// splitByTransmissions returns the members that were sent in fewer than limit
// messages, fewest first, and the others, both in a reproducible order.
func (l *List) splitByTransmissions(limit int) (pending, sent []*entry) {
	for _, known := range l.entries() {
		if known.transmissions < limit {
			pending = append(pending, known)
			continue
		}
		sent = append(sent, known)
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return cmp.Compare(a.transmissions, b.transmissions) })
	return pending, sent
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

// entries returns the members ordered by id. The caller holds l.mu.
func (l *List) entries() []*entry {
	if l.sorted != nil {
		return l.sorted
	}
	l.sorted = make([]*entry, 0, len(l.members))
	for _, known := range l.members {
		l.sorted = append(l.sorted, known)
	}
	slices.SortFunc(l.sorted, func(a, b *entry) int { return cmp.Compare(a.member.Host.ID, b.member.Host.ID) })
	return l.sorted
}

func (l *List) mergeSelf(update ebonyworks.Member) Change {
	self := &l.self.member
	if update.Host.Incarnation > self.Host.Incarnation {
		if l.BumpIncarnation && update.Host.Address == self.Host.Address && update.Host.Incarnation < math.MaxUint64 {
			self.Host.Incarnation = update.Host.Incarnation + 1
			self.RefutationNumber, l.self.transmissions = 0, 0
			return Change{Refuted: true}
		}
		l.replaced = true
		return Change{Replaced: true}
	}
	if compareStates(update, *self) <= 0 || update.RefutationNumber == math.MaxUint64 {
		return Change{}
	}
	// No other host may have a larger state of this incarnation than the host itself.
	self.RefutationNumber = update.RefutationNumber + 1
	l.self.transmissions = 0
	return Change{Refuted: true}
}

// evict removes the member that has been dead or has left for longest. It returns
// false if there is none.
func (l *List) evict() bool {
	var oldest *entry
	for _, known := range l.members {
		removable := known.member.State >= ebonyworks.MemberDead
		if removable && (oldest == nil || known.changedAt.Before(oldest.changedAt)) {
			oldest = known
		}
	}
	if oldest == nil {
		return false
	}
	delete(l.members, oldest.member.Host.ID)
	l.sorted = nil
	return true
}

// compareStates compares two states of the same host.
func compareStates(a, b ebonyworks.Member) int {
	return cmp.Or(
		cmp.Compare(a.Host.Incarnation, b.Host.Incarnation),
		cmp.Compare(a.RefutationNumber, b.RefutationNumber),
		cmp.Compare(a.State, b.State),
	)
}
