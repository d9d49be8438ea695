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
	// sendLimit is the number of messages that carry a new fact.
	sendLimit = 20
	// otherFacts is the number of older facts that each message repeats.
	otherFacts = 2
	// departureOverhead is the encoded size of a fact without its name.
	departureOverhead = 18
	// Facts without an incarnation expire, since a later life of the server
	// can't be told from the one that was leaving.
	listedTime  = time.Minute
	relayedTime = 30 * time.Second
	refusedTime = 10 * time.Second
	// forwardTime bounds how long such a fact is passed on. It is much shorter
	// than relayedTime, so that hosts don't renew each other's facts for ever.
	forwardTime = 3 * time.Second
)

// Config holds what a Tracker needs. All fields may be zero.
type Config struct {
	// SendNow makes the next messages go out now.
	SendNow func()
	// Changed is called without locks after a server's state may have changed.
	Changed  func(server ebonyworks.ServerID)
	Recorder ebonyworks.EventRecorder
}

// record is what is known about one server.
type record struct {
	// incarnation is the latest life that is known, zero if none.
	incarnation ebonyworks.Incarnation
	leaving     bool
	// spread is set if the fact is worth sending: the server is leaving, or a
	// new life ended a departure.
	spread bool
	sent   int
	// looseUntil is when a fact without an incarnation expires.
	looseUntil   time.Time
	forwardUntil time.Time
	// learnedLoose is when that fact was first learned.
	learnedLoose time.Time
	// ignoreList is set when a new life was seen while the list still said
	// leaving, until the list says otherwise.
	ignoreList bool
	listed     bool
}

// Tracker merges departures from all sources. Within one incarnation of a
// server, leaving never ends. Use New. Methods can be called concurrently.
type Tracker struct {
	config Config
	mu     sync.Mutex
	// records has at most maxServers entries.
	records map[ebonyworks.ServerID]*record
	// next is where the next message continues with older facts.
	next int
}

// New returns a tracker that knows nothing.
func New(config Config) *Tracker {
	return &Tracker{config: config, records: make(map[ebonyworks.ServerID]*record)}
}

// Draining reports whether the server must get no new work.
func (t *Tracker) Draining(server ebonyworks.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[server]
	return found && (known.leaving || time.Now().Before(known.looseUntil))
}

// DrainStates returns all departures in force, ordered by server. DrainStates without an
// incarnation have incarnation zero.
func (t *Tracker) DrainStates() []ebonyworks.DrainState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var facts []ebonyworks.DrainState
	for server, known := range t.records {
		switch {
		case known.leaving:
			facts = append(facts, ebonyworks.DrainState{Server: server, Incarnation: known.incarnation, Draining: true})
		case now.Before(known.looseUntil):
			facts = append(facts, ebonyworks.DrainState{Server: server, Draining: true})
		}
	}
	sortByServer(facts)
	return facts
}

// Observe learns from a server's own reply or status.
func (t *Tracker) Observe(report ebonyworks.ServerReport) {
	if report.Server == "" || report.Incarnation == 0 {
		return
	}
	t.learn(ebonyworks.DrainState{Server: report.Server, Incarnation: report.Incarnation, Draining: report.Draining}, "reply")
}

// ObserveGoAway learns that the server announced the end of a connection (HTTP/2
// GOAWAY) in the life that was last known.
func (t *Tracker) ObserveGoAway(server ebonyworks.ServerID) {
	t.mu.Lock()
	known, found := t.records[server]
	var incarnation ebonyworks.Incarnation
	if found {
		incarnation = known.incarnation
	}
	t.mu.Unlock()
	if incarnation == 0 {
		t.learnLoose(server, refusedTime, "goaway")
		return
	}
	t.learn(ebonyworks.DrainState{Server: server, Incarnation: incarnation, Draining: true}, "goaway")
}

// Listed learns from the platform's list, which names no incarnations.
func (t *Tracker) Listed(hosts []ebonyworks.ListedHost, asked time.Time) {
	for _, host := range hosts {
		if host.Role != ebonyworks.ServerRole {
			continue
		}
		server := ebonyworks.ServerID(host.Name)
		if !host.Leaving {
			t.unlist(server, asked)
			continue
		}
		if t.list(server) {
			t.learnLoose(server, listedTime, "list")
		}
	}
}

// Contribute adds facts to a message: new ones first, then some older ones.
func (t *Tracker) Contribute(message *ebonyworks.GossipMessage, budget int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh, older := t.split(time.Now(), message.Full)
	for range min(otherFacts, len(older)) {
		fresh = append(fresh, older[t.next%len(older)])
		t.next++
	}
	for _, fact := range fresh {
		budget -= departureOverhead + len(fact.Server)
		if budget < 0 {
			return
		}
		t.records[fact.Server].sent++
		message.DrainStates = append(message.DrainStates, fact)
	}
}

// Receive learns the facts of another host.
func (t *Tracker) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	for _, fact := range message.DrainStates {
		switch {
		case fact.Incarnation != 0:
			t.learn(fact, "peer")
		case fact.Draining:
			t.learnLoose(fact.Server, relayedTime, "peer")
		}
	}
}

// MarkStale does nothing: what was true of an incarnation stays true. After a
// pause the guild asks peers for all facts before the host is ready.
func (t *Tracker) MarkStale() {}

// split returns the facts that are new, and the others that are in force.
func (t *Tracker) split(now time.Time, full bool) (fresh, older []ebonyworks.DrainState) {
	for server, known := range t.records {
		fact := ebonyworks.DrainState{Server: server, Incarnation: known.incarnation, Draining: known.leaving}
		switch {
		case now.Before(known.forwardUntil) && now.Before(known.looseUntil) && !known.leaving:
			fresh = append(fresh, ebonyworks.DrainState{Server: server, Draining: true})
		case known.spread && (full || known.sent < sendLimit):
			fresh = append(fresh, fact)
		case known.spread:
			older = append(older, fact)
		}
	}
	sortByServer(older)
	slices.SortFunc(fresh, func(a, b ebonyworks.DrainState) int {
		bySent := cmp.Compare(t.records[a.Server].sent, t.records[b.Server].sent)
		return cmp.Or(bySent, cmp.Compare(a.Server, b.Server))
	})
	return fresh, older
}

// learn merges a fact about an incarnation.
func (t *Tracker) learn(fact ebonyworks.DrainState, source string) {
	t.mu.Lock()
	known := t.record(fact.Server)
	if known == nil || fact.Incarnation < known.incarnation {
		t.mu.Unlock()
		return
	}
	before := known.leaving
	renewed := fact.Incarnation > known.incarnation
	if renewed {
		t.begin(known, fact)
	}
	known.leaving = known.leaving || fact.Draining
	departed := known.leaving && (renewed || !before)
	changed := departed || (before && !known.leaving)
	if changed {
		known.spread, known.sent = true, 0
	}
	t.mu.Unlock()
	t.report(fact.Server, departed, changed, source)
}

// begin starts a new life of a server, which ends earlier departures.
func (t *Tracker) begin(known *record, fact ebonyworks.DrainState) {
	if known.incarnation != 0 {
		known.looseUntil = time.Time{}
		known.ignoreList = known.listed
	}
	known.incarnation = fact.Incarnation
	known.leaving = false
	known.sent = 0
}

// learnLoose learns that a server is leaving without knowing in which life.
func (t *Tracker) learnLoose(server ebonyworks.ServerID, keep time.Duration, source string) {
	now := time.Now()
	t.mu.Lock()
	known := t.record(server)
	if known == nil || known.leaving {
		t.mu.Unlock()
		return
	}
	fresh := !now.Before(known.looseUntil)
	if fresh {
		known.sent = 0
		known.learnedLoose = now
		known.forwardUntil = now.Add(forwardTime)
	}
	if until := now.Add(keep); fresh || (source != "peer" && until.After(known.looseUntil)) {
		known.looseUntil = until
	}
	t.mu.Unlock()
	t.report(server, fresh, fresh, source)
}

// list notes that the platform lists the server as leaving, and reports
// whether that counts.
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

// unlist notes that the platform lists the server as not leaving, which ends
// a fact without an incarnation that is older than the list.
func (t *Tracker) unlist(server ebonyworks.ServerID, asked time.Time) {
	t.mu.Lock()
	known, found := t.records[server]
	if !found {
		t.mu.Unlock()
		return
	}
	wasListed := known.listed
	known.listed, known.ignoreList = false, false
	// Another host may have read a newer list, so its fact stays for a while.
	ended := !known.looseUntil.IsZero() && (wasListed || asked.After(known.learnedLoose.Add(refusedTime)))
	if ended {
		known.looseUntil = time.Time{}
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

// evict drops the records of servers that aren't leaving.
func (t *Tracker) evict() {
	now := time.Now()
	for server, known := range t.records {
		if !known.leaving && !now.Before(known.looseUntil) {
			delete(t.records, server)
		}
	}
}

// report tells others what changed.
func (t *Tracker) report(server ebonyworks.ServerID, departed, changed bool, source string) {
	if changed && t.config.Changed != nil {
		t.config.Changed(server)
	}
	if !departed {
		return
	}
	if t.config.Recorder != nil {
		t.config.Recorder.Record(event.New(event.DepartureLearned,
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

func sortByServer(facts []ebonyworks.DrainState) {
	slices.SortFunc(facts, func(a, b ebonyworks.DrainState) int { return cmp.Compare(a.Server, b.Server) })
}
