// Package serverstate holds this host's view of each backend server.
package serverstate

import (
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// MaxServers bounds the records. It is above the design size of 2,400 servers, so
	// that the servers of an old and a new configuration fit together.
	MaxServers = 8192
	// RampTime is the length of a slow start, after which a server gets its full share.
	RampTime = 10 * time.Second
	// StaleAge is the age from which the state of a server must be refreshed. It is the
	// time within which every host must know that a server is draining.
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
	// samples reveal a straggler with ten times the latency; a single one of the longest
	// exponentially distributed service times doesn't.
	typicalWeight = 0.15
	// slowWeight replaces typicalWeight while the server is slow, so that about ten
	// good probes end the slow state.
	slowWeight = 0.3
	// canceledFactor estimates the latency of an attempt that was ended early: without
	// other information, it is assumed to have run for half of its time.
	canceledFactor = 2
	// MinReplicasForFailureRate is the number of servers of a service from which the
	// choice takes account of their failure rates. With two, the load of one that fails
	// sometimes would move to a single other one.
	MinReplicasForFailureRate = 3
	// minReplicasForCapacity is the number of servers of a service from which the choice
	// takes account of what is learned about them, for the same reason.
	minReplicasForCapacity = 3
	// reportAge is the age from which a load report isn't used to break ties.
	reportAge = 2 * time.Second
	// loadSamples is the number of load reports that the moving average spans: about
	// one second of reports at low load, and less under high load.
	loadSamples = 8
	// failuresUntilFailing is the number of failures that mark a server as failing, so
	// that one lost reply doesn't move all load to the other replica. A refused
	// connection counts as this many failures.
	failuresUntilFailing = 3
	firstProbeInterval   = 100 * time.Millisecond
	maxProbeInterval     = 5 * time.Second
	// A probe of a slow server makes a caller wait for its hedge, so the
	// interval grows further than that of a failing one.
	firstSlowInterval = 500 * time.Millisecond
	maxSlowInterval   = 10 * time.Second
	// maxSlowIntervalInDomain replaces maxSlowInterval where KeepInDomain is set: callers
	// need a server of their domain back within 3 s of its recovery.
	maxSlowIntervalInDomain = 2 * time.Second
	// recoveryInterval is the time after a probe that took about as long as the best
	// replica until the next one, where KeepInDomain is set.
	recoveryInterval = 100 * time.Millisecond
	// returnedRetention is how long the end of a drain is passed on to peers. Peers
	// that missed it learn it from the server's next report.
	returnedRetention = time.Minute
)

// Table holds the state of each backend server as this host sees it. The zero value
// is usable. It is safe for concurrent use after its fields have been set.
type Table struct {
	// Random adds jitter to probes and backoffs. The table guards it with its own
	// mutex, so it must not be shared. Nil means a fixed seed.
	Random *mathrand.Rand
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// ProbeByRequest lets regular requests probe whether a failing server has
	// recovered. It is for services whose status requests take a slot.
	ProbeByRequest bool
	// DrainGrace is how long a server that reported that it is draining may still get
	// requests while no other server of its service accepts any. Zero means that it
	// gets none.
	DrainGrace time.Duration
	// KeepInDomain keeps requests in the failure domain of the host unless they leave it
	// for a reason. Otherwise a server of another domain seems fast once it hasn't been
	// used for a while, and one long request makes the server of the host's domain seem
	// slow for seconds. It isn't changed after the first use.
	KeepInDomain bool
	// LearnCapacity learns how long requests of each server take under the load that it
	// reports, and states the expected duration of one more. It isn't changed after the first
	// use.
	LearnCapacity bool
	// OnFailure is called when a server has lost or spoiled an answer, or answered with an
	// error. It must not block or call the table. It may be nil.
	OnFailure func(service ebonyworks.ServiceID, server ebonyworks.ServerID, incarnation ebonyworks.Incarnation)
	// OnRateLimitChange is called when a response states another rate limit than before.
	// It must not block or call the table. It may be nil.
	OnRateLimitChange func()
	// OnOutage is called when this host learns, by itself or from another host, that a
	// server can't be reached and may restart. It must not block or call the table. It may
	// be nil.
	OnOutage func()
	// Warmup returns how long servers of the service stay cold after a start, and the
	// requests a second that they accept meanwhile; zero means no bound. It must not call
	// the table. Nil means that no service sets a bound.
	Warmup func(service ebonyworks.ServiceID) (time.Duration, ebonyworks.RequestRate)

	mutex sync.Mutex
	// servers has at most MaxServers entries.
	servers map[ebonyworks.ServerID]*record
	// tombstones has at most maxTombstones entries.
	tombstones map[ebonyworks.ServerID]tombstone
	// configured is set once the set of servers has been given to RetainServers.
	configured bool
	// staleBefore is the time of the latest resume from a pause.
	staleBefore time.Time
	// limited counts the servers with a rate limit.
	limited atomic.Int64
	// cold counts the servers whose warm-up is announced.
	cold atomic.Int64
}

// MergeDrainState merges a drain state from a peer or the host list. It reports
// whether the state was new, that is, whether it should be passed on.
func (r *Table) MergeDrainState(state ebonyworks.DrainState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.getOrCreate(state.Server)
	if known == nil {
		return false
	}
	now := time.Now()
	if state.Incarnation >= known.incarnation {
		known.confirmedAt = now
	}
	return r.applyDrainState(known, state, now)
}

// DrainStates returns the drain states that peers need, ordered by server: all
// draining servers, and those that returned within the last minute.
func (r *Table) DrainStates() []ebonyworks.DrainState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var states []ebonyworks.DrainState
	for id, known := range r.servers {
		recent := !known.returnedAt.IsZero() && now.Sub(known.returnedAt) < returnedRetention
		if !known.draining && !recent {
			continue
		}
		states = append(states, ebonyworks.DrainState{Server: id, Incarnation: known.incarnation, Draining: known.draining})
	}
	slices.SortFunc(states, func(a, b ebonyworks.DrainState) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return states
}

// MarkStale marks the state of servers that was last confirmed before now as stale.
// It is called after a pause of the process.
func (r *Table) MarkStale(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.staleBefore = now
}

// Stale reports whether the state of the server must be refreshed before the host
// relies on it.
func (r *Table) Stale(server ebonyworks.ServerID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.servers[server]
	if known == nil || known.confirmedAt.IsZero() {
		return true
	}
	return !known.confirmedAt.After(r.staleBefore) || time.Since(known.confirmedAt) > StaleAge
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

// Retain drops the records of servers that aren't in the configuration. Servers that
// a later configuration adds get a slow start.
func (r *Table) Retain(configuration *ebonyworks.Configuration) {
	r.RetainServers(configuration.ServerIDs())
}

// RetainServers drops the records of servers that aren't in the set. Servers that a
// later call adds get a slow start.
func (r *Table) RetainServers(named map[ebonyworks.ServerID]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.servers, func(id ebonyworks.ServerID, known *record) bool {
		if named[id] {
			// The configuration of the service may have changed.
			r.updateCold(known, id, now)
			return false
		}
		r.addTombstone(id, known, now)
		r.clearRateLimit(known)
		r.clearWarmup(known)
		return true
	})
	for id := range named {
		r.add(id, now)
	}
	r.configured = true
}

// BeginSlowStart starts a slow start of the servers, to which nothing was sent for a
// while.
func (r *Table) BeginSlowStart(servers []ebonyworks.ServerID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, id := range servers {
		if known := r.getOrCreate(id); known != nil {
			known.rampSince, known.rampTime = now, 0
		}
	}
}

func (r *Table) add(id ebonyworks.ServerID, now time.Time) {
	if r.servers[id] != nil {
		return
	}
	known := r.getOrCreate(id)
	if known != nil && r.configured {
		known.rampSince = now
	}
}

// getOrCreate returns the record of the server. It returns nil if the id is empty or
// the table is full.
func (r *Table) getOrCreate(id ebonyworks.ServerID) *record {
	known := r.servers[id]
	if known != nil || id == "" || len(r.servers) >= MaxServers {
		return known
	}
	if r.servers == nil {
		r.servers = make(map[ebonyworks.ServerID]*record)
	}
	known = &record{robustLatency: r.KeepInDomain}
	r.restoreTombstone(id, known)
	r.servers[id] = known
	return known
}

func (r *Table) recordEvent(id ebonyworks.EventID, server ebonyworks.ServerID, more ...ebonyworks.Attribute) {
	if r.Recorder == nil {
		return
	}
	r.Recorder.Record(event.New(id, append([]ebonyworks.Attribute{event.Attribute("Server", string(server))}, more...)...))
}
