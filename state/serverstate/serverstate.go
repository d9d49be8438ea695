// Package serverstate holds this host's view of each backend server.
package serverstate

import (
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// MaxServers bounds the records. It is above the 2,400 servers of the design size,
	// so that servers of an old and a new configuration fit together.
	MaxServers = 8192
	// RampTime is how long a cold server takes to reach its full share.
	RampTime = 10 * time.Second
	// StaleAge is the age from which facts must be refreshed. It is the time
	// by which a departure has to be known everywhere.
	StaleAge = 3 * time.Second

	rampSteps    = 10
	rampStart    = 0.1
	latencyDecay = 2 * time.Second
	// maxLatency bounds what repeated shed replies can add to the average.
	maxLatency = time.Second
	// statusInterval is the shortest time between status requests of one host
	// to one server.
	statusInterval = time.Second
	// A server becomes slow if its typical latency is above slowFactor times
	// that of the best replica and more than slowSlack above it. The state ends
	// below normalFactor, so that a few lucky samples don't end it.
	slowFactor   = 3
	normalFactor = 1.5
	slowSlack    = 5 * time.Millisecond
	// typicalWeight is the weight of one sample in the typical latency. Three
	// samples show a straggler of ten times the latency; one of the longest
	// exponential service times doesn't.
	typicalWeight = 0.15
	// slowWeight replaces it while the server is slow, so that some ten good
	// probes end the state.
	slowWeight = 0.3
	// survivorFactor estimates the latency of an attempt that was ended early:
	// if nothing else is known, it had lasted for half of its time.
	survivorFactor = 2
	// reportAge is the age from which a load report isn't used to break ties.
	reportAge = 2 * time.Second
	// demandSamples is the weight of the moving average of load reports: about a
	// second of them on a calm day, and less under load.
	demandSamples = 8
	// failuresUntilFailing keeps one lost reply from moving all load to the
	// other replica. A refused connection counts as this many.
	failuresUntilFailing = 3
	firstProbeInterval   = 100 * time.Millisecond
	maxProbeInterval     = 5 * time.Second
	// A probe of a slow server makes a caller wait for its hedge, so the
	// interval grows further than that of a failing one.
	firstSlowInterval = 500 * time.Millisecond
	maxSlowInterval   = 10 * time.Second
	// returnedAge is how long the end of a departure is passed on to peers.
	// Peers that missed it learn it from the server's next report.
	returnedAge = time.Minute
)

// Table holds what this host knows of each backend server. The zero value
// is usable. It is safe for concurrent use after its fields have been set.
type Table struct {
	// Random spreads the probes of failing servers. The register guards it
	// with its own mutex, so it must not be shared. Nil means a fixed seed.
	Random *mathrand.Rand
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// ProbeByRequest lets requests find out whether a failing server works
	// again. It is for services whose status requests take a slot.
	ProbeByRequest bool
	// DrainGrace is how long a server that says that it is leaving may still get
	// requests while no other server of its service takes any. Zero means not at
	// all.
	DrainGrace time.Duration

	mutex sync.Mutex
	// servers has at most MaxServers entries.
	servers map[ebonyworks.ServerID]*record
	// tombstones has at most maxTombstones entries.
	tombstones map[ebonyworks.ServerID]tombstone
	// retained is set once a configuration has named the servers.
	retained bool
	// staleBefore is the time of the latest resume from a pause.
	staleBefore time.Time
}

// MergeDrainState learns a departure from a peer or the host list. It reports whether
// the fact was new, that is, worth passing on.
func (r *Table) MergeDrainState(departure ebonyworks.DrainState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.open(departure.Server)
	if known == nil {
		return false
	}
	now := time.Now()
	if departure.Incarnation >= known.incarnation {
		known.refreshed = now
	}
	return r.learnIncarnation(known, departure, now)
}

// DrainStates returns the facts that peers need, ordered by server: all
// servers that are leaving, and those that returned within the last minute.
func (r *Table) DrainStates() []ebonyworks.DrainState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var departures []ebonyworks.DrainState
	for id, known := range r.servers {
		recent := !known.returned.IsZero() && now.Sub(known.returned) < returnedAge
		if !known.leaving && !recent {
			continue
		}
		departures = append(departures, ebonyworks.DrainState{Server: id, Incarnation: known.incarnation, Draining: known.leaving})
	}
	slices.SortFunc(departures, func(a, b ebonyworks.DrainState) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return departures
}

// MarkStale declares all facts learned before now as stale. It is called
// after a pause of the process.
func (r *Table) MarkStale(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.staleBefore = now
}

// Stale reports whether the facts about the server must be refreshed before
// the host relies on them.
func (r *Table) Stale(server ebonyworks.ServerID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || known.refreshed.IsZero() {
		return true
	}
	return !known.refreshed.After(r.staleBefore) || time.Since(known.refreshed) > StaleAge
}

// Incarnation returns the last known incarnation of the server, or zero.
func (r *Table) Incarnation(server ebonyworks.ServerID) ebonyworks.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil {
		return 0
	}
	return known.incarnation
}

// Retain drops the records of servers that the configuration no longer names.
// Servers that a later configuration adds start slowly.
func (r *Table) Retain(configuration *ebonyworks.Configuration) {
	r.RetainServers(configuration.ServerIDs())
}

// RetainServers drops the records of servers that aren't named. Servers that a
// later call adds start slowly.
func (r *Table) RetainServers(named map[ebonyworks.ServerID]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.servers, func(id ebonyworks.ServerID, known *record) bool {
		if named[id] {
			return false
		}
		r.remember(id, known, now)
		return true
	})
	for id := range named {
		r.add(id, now)
	}
	r.retained = true
}

func (r *Table) add(id ebonyworks.ServerID, now time.Time) {
	if r.servers[id] != nil {
		return
	}
	known := r.open(id)
	if known != nil && r.retained {
		known.rampSince = now
	}
}

// open returns the record of the server, or nil if there is no room for it.
func (r *Table) open(id ebonyworks.ServerID) *record {
	known := r.servers[id]
	if known != nil || id == "" || len(r.servers) >= MaxServers {
		return known
	}
	if r.servers == nil {
		r.servers = make(map[ebonyworks.ServerID]*record)
	}
	known = &record{}
	r.recall(id, known)
	r.servers[id] = known
	return known
}

func (r *Table) record(id ebonyworks.EventID, server ebonyworks.ServerID, more ...ebonyworks.Attribute) {
	if r.Recorder == nil {
		return
	}
	r.Recorder.Record(event.New(id, append([]ebonyworks.Attribute{event.Attribute("Server", string(server))}, more...)...))
}
