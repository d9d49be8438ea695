// Package drainstate merges reports that backend servers are draining and
// spreads them by gossip.
package drainstate

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// maxServers bounds the servers that are tracked; the design size is 2,400.
	maxServers = 8192
	// sendLimit is the number of messages that carry a new drain state.
	sendLimit = 20
	// olderStates is the number of older drain states that each message repeats.
	olderStates = 2
	// stateOverhead is the encoded size of a drain state without its server id.
	stateOverhead = 18
	// Drain states without an incarnation expire, since a later incarnation of the
	// server can't be told from the one that was draining.
	listedTTL  = time.Minute
	relayedTTL = 30 * time.Second
	refusedTTL = 10 * time.Second
	// forwardTime bounds how long a drain state without an incarnation is passed on.
	// It is much shorter than relayedTTL, so that hosts don't renew each other's
	// states for ever.
	forwardTime = 3 * time.Second
)

// Config holds the callbacks of a Tracker and its event recorder. All fields may be
// zero.
type Config struct {
	// SendNow makes the next gossip messages go out now.
	SendNow func()
	// Changed is called without locks after a server's state may have changed.
	Changed  func(server ebonyworks.ServerID)
	Recorder ebonyworks.EventRecorder
}

// record is the drain state of one server.
type record struct {
	// incarnation is the latest known incarnation, zero if none.
	incarnation ebonyworks.Incarnation
	draining    bool
	// shouldGossip is set if the state is worth sending: the server is draining, or a new
	// incarnation ended the draining of an earlier one.
	shouldGossip bool
	sent         int
	// unversionedUntil is when a drain state without an incarnation expires.
	unversionedUntil time.Time
	forwardUntil     time.Time
	// firstLearned is when that state was first learned.
	firstLearned time.Time
	// ignoreList is set when a new incarnation was seen while the platform's list
	// still had the server as draining, until the list has it as not draining.
	ignoreList bool
	listed     bool
}

// Tracker merges drain states from all sources. Within one incarnation of a server,
// draining never ends. Use New. Methods can be called concurrently.
type Tracker struct {
	config Config
	mu     sync.Mutex
	// records has at most maxServers entries.
	records map[ebonyworks.ServerID]*record
	// next is the index at which the next message continues with older states.
	next int
}

// New returns a tracker without drain states.
func New(config Config) *Tracker {
	return &Tracker{config: config, records: make(map[ebonyworks.ServerID]*record)}
}

// Draining reports whether the server must get no new requests.
func (t *Tracker) Draining(server ebonyworks.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[server]
	return found && (known.draining || time.Now().Before(known.unversionedUntil))
}

// DrainStates returns the drain states in force of draining servers, ordered by
// server. States without an incarnation have incarnation zero.
func (t *Tracker) DrainStates() []ebonyworks.DrainState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var states []ebonyworks.DrainState
	for server, known := range t.records {
		switch {
		case known.draining:
			states = append(states, ebonyworks.DrainState{Server: server, Incarnation: known.incarnation, Draining: true})
		case now.Before(known.unversionedUntil):
			states = append(states, ebonyworks.DrainState{Server: server, Draining: true})
		}
	}
	sortByServer(states)
	return states
}

// Observe records the report of a server in its own reply or status.
func (t *Tracker) Observe(report ebonyworks.ServerReport) {
	if report.Server == "" || report.Incarnation == 0 {
		return
	}
	t.merge(ebonyworks.DrainState{Server: report.Server, Incarnation: report.Incarnation, Draining: report.Draining}, "reply")
}

// ObserveGoAway records that the server announced the end of a connection (HTTP/2
// GOAWAY), as draining of its latest known incarnation.
func (t *Tracker) ObserveGoAway(server ebonyworks.ServerID) {
	t.mu.Lock()
	known, found := t.records[server]
	var incarnation ebonyworks.Incarnation
	if found {
		incarnation = known.incarnation
	}
	t.mu.Unlock()
	if incarnation == 0 {
		t.mergeUnversioned(server, refusedTTL, "goaway")
		return
	}
	t.merge(ebonyworks.DrainState{Server: server, Incarnation: incarnation, Draining: true}, "goaway")
}

// ObserveList records the platform's host list, which has no incarnations and was
// requested at the given time.
func (t *Tracker) ObserveList(hosts []ebonyworks.ListedHost, requestedAt time.Time) {
	for _, host := range hosts {
		if host.Role != ebonyworks.ServerRole {
			continue
		}
		server := ebonyworks.ServerID(host.Name)
		if !host.Leaving {
			t.unlist(server, requestedAt)
			continue
		}
		if t.list(server) {
			t.mergeUnversioned(server, listedTTL, "list")
		}
	}
}

// Contribute adds drain states of at most budget bytes to a gossip message: new ones
// first, then some older ones.
func (t *Tracker) Contribute(message *ebonyworks.GossipMessage, budget int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh, older := t.splitByAge(time.Now(), message.Full)
	for range min(olderStates, len(older)) {
		fresh = append(fresh, older[t.next%len(older)])
		t.next++
	}
	for _, state := range fresh {
		budget -= stateOverhead + len(state.Server)
		if budget < 0 {
			return
		}
		t.records[state.Server].sent++
		message.DrainStates = append(message.DrainStates, state)
	}
}

// Receive merges the drain states of another host.
func (t *Tracker) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	for _, state := range message.DrainStates {
		switch {
		case state.Incarnation != 0:
			t.merge(state, "peer")
		case state.Draining:
			t.mergeUnversioned(state.Server, relayedTTL, "peer")
		}
	}
}

// MarkStale does nothing: a drain state of an incarnation stays true. After a pause of
// the process, the membership requests the complete state of peers before the host is
// ready.
func (t *Tracker) MarkStale() {}

// splitByAge returns the states that are new, and the others that are in force.
func (t *Tracker) splitByAge(now time.Time, full bool) (fresh, older []ebonyworks.DrainState) {
	for server, known := range t.records {
		state := ebonyworks.DrainState{Server: server, Incarnation: known.incarnation, Draining: known.draining}
		switch {
		case now.Before(known.forwardUntil) && now.Before(known.unversionedUntil) && !known.draining:
			fresh = append(fresh, ebonyworks.DrainState{Server: server, Draining: true})
		case known.shouldGossip && (full || known.sent < sendLimit):
			fresh = append(fresh, state)
		case known.shouldGossip:
			older = append(older, state)
		}
	}
	sortByServer(older)
	slices.SortFunc(fresh, func(a, b ebonyworks.DrainState) int {
		bySent := cmp.Compare(t.records[a.Server].sent, t.records[b.Server].sent)
		return cmp.Or(bySent, cmp.Compare(a.Server, b.Server))
	})
	return fresh, older
}

// merge merges a drain state whose incarnation is known.
func (t *Tracker) merge(state ebonyworks.DrainState, source string) {
	t.mu.Lock()
	known := t.record(state.Server)
	if known == nil || state.Incarnation < known.incarnation {
		t.mu.Unlock()
		return
	}
	before := known.draining
	newIncarnation := state.Incarnation > known.incarnation
	if newIncarnation {
		t.startIncarnation(known, state)
	}
	known.draining = known.draining || state.Draining
	startedDraining := known.draining && (newIncarnation || !before)
	changed := startedDraining || (before && !known.draining)
	if changed {
		known.shouldGossip, known.sent = true, 0
	}
	t.mu.Unlock()
	t.report(state.Server, startedDraining, changed, source)
}

// startIncarnation records a new incarnation of a server, which ends the draining of
// earlier ones.
func (t *Tracker) startIncarnation(known *record, state ebonyworks.DrainState) {
	if known.incarnation != 0 {
		known.unversionedUntil = time.Time{}
		known.ignoreList = known.listed
	}
	known.incarnation = state.Incarnation
	known.draining = false
	known.sent = 0
}

// mergeUnversioned merges an unversioned drain state: the server is draining in an
// unknown incarnation.
func (t *Tracker) mergeUnversioned(server ebonyworks.ServerID, ttl time.Duration, source string) {
	now := time.Now()
	t.mu.Lock()
	known := t.record(server)
	if known == nil || known.draining {
		t.mu.Unlock()
		return
	}
	fresh := !now.Before(known.unversionedUntil)
	if fresh {
		known.sent = 0
		known.firstLearned = now
		known.forwardUntil = now.Add(forwardTime)
	}
	if until := now.Add(ttl); fresh || (source != "peer" && until.After(known.unversionedUntil)) {
		known.unversionedUntil = until
	}
	t.mu.Unlock()
	t.report(server, fresh, fresh, source)
}

// list records that the platform lists the server as draining, and reports whether
// that is used.
func (t *Tracker) list(server ebonyworks.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.record(server)
	if known == nil {
		return false
	}
	known.listed = true
	return !known.ignoreList
}

// unlist records that the platform lists the server as not draining, which ends a
// state without an incarnation that is older than the list.
func (t *Tracker) unlist(server ebonyworks.ServerID, requestedAt time.Time) {
	t.mu.Lock()
	known, found := t.records[server]
	if !found {
		t.mu.Unlock()
		return
	}
	wasListed := known.listed
	known.listed, known.ignoreList = false, false
	// Another host may have read a newer list, so a state from it is kept for a while.
	ended := !known.unversionedUntil.IsZero() && (wasListed || requestedAt.After(known.firstLearned.Add(refusedTTL)))
	if ended {
		known.unversionedUntil = time.Time{}
	}
	t.mu.Unlock()
	t.report(server, false, ended, "list")
}

// record returns the record of a server, or nil if there is no room.
func (t *Tracker) record(server ebonyworks.ServerID) *record {
	known, found := t.records[server]
	if found {
		return known
	}
	if len(t.records) >= maxServers {
		t.evict()
	}
	if len(t.records) >= maxServers {
		return nil
	}
	known = &record{}
	t.records[server] = known
	return known
}

// evict drops the records of servers that aren't draining.
func (t *Tracker) evict() {
	now := time.Now()
	for server, known := range t.records {
		if !known.draining && !now.Before(known.unversionedUntil) {
			delete(t.records, server)
		}
	}
}

// report calls the callbacks and records the event of a change.
func (t *Tracker) report(server ebonyworks.ServerID, startedDraining, changed bool, source string) {
	if changed && t.config.Changed != nil {
		t.config.Changed(server)
	}
	if !startedDraining {
		return
	}
	if t.config.Recorder != nil {
		t.config.Recorder.Record(event.New(event.DrainStateLearned,
			event.Attribute("Server", string(server)),
			event.Attribute("Source", source),
			event.Attribute("Incarnation", strconv.FormatUint(uint64(t.incarnation(server)), 10))))
	}
	if t.config.SendNow != nil {
		t.config.SendNow()
	}
}

func (t *Tracker) incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, found := t.records[server]; found {
		return known.incarnation
	}
	return 0
}

func sortByServer(states []ebonyworks.DrainState) {
	slices.SortFunc(states, func(a, b ebonyworks.DrainState) int { return cmp.Compare(a.Server, b.Server) })
}
