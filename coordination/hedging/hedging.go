// Package hedging decides when to hedge or retry an attempt, within budgets that bound
// the extra load.
package hedging

import (
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/latency"
)

const (
	// MaxServices bounds the number of services with state. Further services use the
	// initial delay.
	MaxServices = 1024

	// minDelay is the round-trip time between the failure domains that are farthest
	// apart (1.5 ms one way). A shorter delay would hedge requests because of the
	// distance and not because the server is slow.
	minDelay = 3 * time.Millisecond
	// maxDelay leaves time for a hedge within usual deadlines when a whole service is
	// slow.
	maxDelay = 200 * time.Millisecond
	// initialDelay is used until there are minSamples. It is close to the time in which
	// 99 in 100 queries have to complete (56 ms).
	initialDelay = 50 * time.Millisecond
	minSamples   = 20
	// medianFactor limits the delay to a multiple of the median: while half of
	// the attempts still go to a slow server, the percentile is the latency of that
	// server. For exponential service times the ratio of p95 to p50 is 4.3.
	medianFactor = 4.5

	// The percentile rises from lowPercentile to highPercentile as the balance of
	// hedges falls. With a fixed p95, normal variation alone would use up the whole
	// budget of 5%, and none would be left for attempts at a slow server.
	lowPercentile  = 95
	highPercentile = 99
	median         = 50
	// worthwhileFactor bounds the average latency of the server that gets a hedge, as a
	// multiple of the delay.
	worthwhileFactor = 3
	// refreshInterval is the shortest time after which the percentile is computed again.
	refreshInterval = 100 * time.Millisecond

	// shedPause is how long a service gets no hedges after a server has shed load.
	shedPause = 2 * time.Second
)

// The budgets are counted in hundredths of a token; a hedge or retry costs one token.
const (
	token = 100
	// hedgeCredit and totalCredit are what a served request adds: 5% and 10% of a
	// token.
	hedgeCredit = 5
	totalCredit = 10
	// The initial balance lets a host with little traffic hedge at all. With 16 hosts it
	// adds up to at most 64 extra attempts after a restart of all of them.
	initialHedges = 2 * token
	initialTotal  = 4 * token
	// The largest balance bounds the extra attempts that one fault can cause at once.
	// When a server is killed, its attempts in flight, for 20 shards of a few searches,
	// all fail at the same time.
	maxHedges = 50 * token
	maxTotal  = 100 * token
)

// Budget decides on hedges and retries by recent latencies and by token buckets,
// filled by served requests, that all requests of the host share. It is safe for concurrent use, and the zero value is
// usable.
type Budget struct {
	mutex sync.Mutex
	// initialized is set once the balances have their initial values.
	initialized bool
	// hedges is the balance for hedges, at most maxHedges. total is the balance for
	// hedges and retries together, at most maxTotal. Neither is negative.
	hedges, total int
	// services has at most MaxServices entries.
	services map[ebonyworks.ServiceID]*serviceState
	// distribution is reused to compute percentiles.
	distribution latency.Distribution
}

// serviceState is the state of one service.
type serviceState struct {
	// recent holds the latencies of first attempts and retries.
	recent *latency.Window
	delay  time.Duration
	// refresh is the time from which on the delay is computed again.
	refresh time.Time
	// shedBy is the server that shed last, and hedgesPausedUntil the end of the pause
	// that this started.
	shedBy            ebonyworks.ServerID
	hedgesPausedUntil time.Time
	// retriesPausedUntil is the end of the pause that starts when a second server sheds
	// while hedges are paused.
	retriesPausedUntil time.Time
}

// Worthwhile reports whether a hedge to the candidate can help, given the delay after
// which it is sent. A hedge to a slow or failing server only adds load.
func Worthwhile(delay time.Duration, candidate ebonyworks.Candidate) bool {
	return !candidate.Failing && candidate.Latency <= worthwhileFactor*delay
}

// Delay returns how long to wait for the first attempt before a hedge: the 95th
// percentile of recent latencies, rising to the 99th as the budget runs low, within
// bounds.
func (b *Budget) Delay(id ebonyworks.ServiceID) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.services[id]
	if state == nil {
		return initialDelay
	}
	return b.currentDelay(state, time.Now())
}

// AllowHedge takes one hedge from the budget, or returns false.
func (b *Budget) AllowHedge(id ebonyworks.ServiceID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.initBalances()
	state := b.services[id]
	if state != nil && time.Now().Before(state.hedgesPausedUntil) {
		return false
	}
	if b.hedges < token || b.total < token {
		return false
	}
	b.hedges -= token
	b.total -= token
	return true
}

// AllowRetry takes one retry from the budget, or returns false. One server that sheds
// load doesn't pause the retries of its service, since another replica may have
// capacity; a second one does.
func (b *Budget) AllowRetry(id ebonyworks.ServiceID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.initBalances()
	state := b.services[id]
	if state != nil && time.Now().Before(state.retriesPausedUntil) {
		return false
	}
	if b.total < token {
		return false
	}
	b.total -= token
	return true
}

// Observe updates the latencies and the budgets with a finished attempt.
func (b *Budget) Observe(record ebonyworks.AttemptRecord) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.initBalances()
	state := b.stateOf(record.Service)
	if state == nil {
		return
	}
	now := time.Now()
	state.recent.Rotate(now)
	switch record.Result {
	case ebonyworks.AttemptServed:
		b.addCredit(record)
		state.recordLatency(record)
	case ebonyworks.AttemptCanceled, ebonyworks.AttemptTimeout:
		// The attempt took at least this long. If the slower attempts of hedged pairs
		// weren't counted, the percentile would shrink with every hedge.
		if record.Latency >= b.currentDelay(state, now) {
			state.recordLatency(record)
		}
	case ebonyworks.AttemptShed:
		state.recordShed(record.Server, now)
	default:
		// The other results say nothing about latency or load.
	}
}

// Retain drops the state of services that the configuration no longer names.
func (b *Budget) Retain(configuration *ebonyworks.Configuration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	retained := make(map[ebonyworks.ServiceID]*serviceState, len(b.services))
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			id := configuration.Catalogues[i].Services[j].ID
			if state := b.services[id]; state != nil {
				retained[id] = state
			}
		}
	}
	b.services = retained
}

func (b *Budget) initBalances() {
	if b.initialized {
		return
	}
	b.initialized = true
	b.hedges = initialHedges
	b.total = initialTotal
}

// addCredit adds the credit of a served request to the balances. Hedges add none, so
// that no request is counted twice.
func (b *Budget) addCredit(record ebonyworks.AttemptRecord) {
	if record.Hedge {
		return
	}
	b.hedges = min(b.hedges+hedgeCredit, maxHedges)
	b.total = min(b.total+totalCredit, maxTotal)
}

func (b *Budget) stateOf(id ebonyworks.ServiceID) *serviceState {
	state := b.services[id]
	if state != nil || len(b.services) >= MaxServices {
		return state
	}
	if b.services == nil {
		b.services = make(map[ebonyworks.ServiceID]*serviceState)
	}
	state = &serviceState{recent: latency.NewWindow(), delay: initialDelay}
	b.services[id] = state
	return state
}

func (b *Budget) currentDelay(state *serviceState, now time.Time) time.Duration {
	if now.Before(state.refresh) {
		return state.delay
	}
	state.recent.Rotate(now)
	state.refresh = now.Add(refreshInterval)
	if state.recent.Count() < minSamples {
		return state.delay
	}
	b.distribution.Load(state.recent)
	spent := 1 - float64(b.hedges)/maxHedges
	percentile := lowPercentile + (highPercentile-lowPercentile)*spent
	high := b.distribution.Percentile(percentile)
	usual := b.distribution.Percentile(median)
	bound := time.Duration(medianFactor * float64(usual))
	state.delay = min(max(min(high, bound), minDelay), maxDelay)
	return state.delay
}

// recordLatency adds the latency of a first attempt or a retry. Hedges are left out,
// since the delay is about how long a first attempt takes.
func (s *serviceState) recordLatency(record ebonyworks.AttemptRecord) {
	if record.Hedge {
		return
	}
	s.recent.Record(record.Latency)
}

func (s *serviceState) recordShed(server ebonyworks.ServerID, now time.Time) {
	if server != s.shedBy && now.Before(s.hedgesPausedUntil) {
		s.retriesPausedUntil = now.Add(shedPause)
	}
	s.shedBy = server
	s.hedgesPausedUntil = now.Add(shedPause)
}
