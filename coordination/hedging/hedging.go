// Package hedging decides when a second attempt is worth its load.
package hedging

import (
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/latency"
)

const (
	// MaxServices bounds the services with state. Further ones use the
	// initial delay.
	MaxServices = 1024

	// minDelay is a round trip between the domains that are farthest apart
	// (1.5 ms one way). A shorter delay would hedge distance, not slowness.
	minDelay = 3 * time.Millisecond
	// maxDelay leaves a hedge some time within usual deadlines when a whole
	// service is slow.
	maxDelay = 200 * time.Millisecond
	// initialDelay holds until there are minSamples. It is close to the time
	// in which 99 in 100 queries have to complete (56 ms).
	initialDelay = 50 * time.Millisecond
	minSamples   = 20
	// medianFactor bounds the delay by the median. While half of the attempts
	// still go to a straggler, the percentile is the straggler's own latency;
	// the ratio of p95 to p50 is 4.3 for exponential service times.
	medianFactor = 4.5

	// The percentile rises from low to high as the balance of hedges falls.
	// With a fixed p95, ordinary slow attempts use up the whole budget of 5%,
	// and none is left for the attempts at a straggler.
	lowPercentile  = 95
	highPercentile = 99
	median         = 50
	// worthwhileFactor is how slow, compared to the delay, the server of a
	// hedge may be.
	worthwhileFactor = 3
	// refreshInterval bounds how often the percentile is computed anew.
	refreshInterval = 100 * time.Millisecond

	// shedPause is how long a shed reply closes a service for hedges.
	shedPause = 2 * time.Second
)

// Budgets in parts of a token; a second attempt costs one token.
const (
	token = 100
	// hedgeCredit and totalCredit are what a useful request adds: 5% and 10%.
	hedgeCredit = 5
	totalCredit = 10
	// The initial allowance lets a quiet host hedge at all. With 16 hosts it
	// adds up to at most 64 extra attempts after a restart of all of them.
	initialHedges = 2 * token
	initialTotal  = 4 * token
	// The largest balance is what a fault may use at once. A killed server
	// ends the attempts in flight of 20 shards of a few searches together.
	maxHedges = 50 * token
	maxTotal  = 100 * token
)

// Budget decides on hedges and retries by recent latencies and by budgets
// that hold for all requests of the host together. It is safe for concurrent
// use, and the zero value is usable.
type Budget struct {
	mutex sync.Mutex
	// started is set once the balances hold the initial allowance.
	started bool
	// hedges is at most maxHedges, total at most maxTotal; neither is negative.
	hedges, total int
	// services has at most MaxServices entries.
	services map[ebonyworks.ServiceID]*service
	// distribution is scratch space to compute percentiles.
	distribution latency.Distribution
}

// service is the state of one service.
type service struct {
	// recent holds the latencies of first attempts and retries.
	recent *latency.Window
	delay  time.Duration
	// refresh is when the delay is computed anew.
	refresh time.Time
	// shedBy is the server that shed last, and hedgesClosed the end of the
	// pause that this started.
	shedBy       ebonyworks.ServerID
	hedgesClosed time.Time
	// retriesClosed is the end of the pause after two servers shed.
	retriesClosed time.Time
}

// Worthwhile reports whether a hedge at the candidate can help, given the
// delay after which it would be sent. A hedge at a straggler or at a failing
// server only adds load.
func Worthwhile(delay time.Duration, candidate ebonyworks.Candidate) bool {
	return !candidate.Failing && candidate.Latency <= worthwhileFactor*delay
}

// Delay returns how long to wait for the first attempt before a hedge: the
// recent 95th percentile, or up to the 99th if the budget runs low, within
// bounds.
func (b *Budget) Delay(id ebonyworks.ServiceID) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.services[id]
	if known == nil {
		return initialDelay
	}
	return b.currentDelay(known, time.Now())
}

// AllowHedge takes one hedge from the budget, or returns false.
func (b *Budget) AllowHedge(id ebonyworks.ServiceID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.start()
	known := b.services[id]
	if known != nil && time.Now().Before(known.hedgesClosed) {
		return false
	}
	if b.hedges < token || b.total < token {
		return false
	}
	b.hedges -= token
	b.total -= token
	return true
}

// AllowRetry takes one retry from the budget, or returns false. One server
// that sheds doesn't close its service for retries, since another replica may
// have room; a second one does.
func (b *Budget) AllowRetry(id ebonyworks.ServiceID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.start()
	known := b.services[id]
	if known != nil && time.Now().Before(known.retriesClosed) {
		return false
	}
	if b.total < token {
		return false
	}
	b.total -= token
	return true
}

// Observe learns from an ended attempt.
func (b *Budget) Observe(record ebonyworks.AttemptRecord) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.start()
	known := b.open(record.Service)
	if known == nil {
		return
	}
	now := time.Now()
	known.recent.Rotate(now)
	switch record.Result {
	case ebonyworks.AttemptServed:
		b.earn(record)
		known.sample(record)
	case ebonyworks.AttemptCanceled, ebonyworks.AttemptTimeout:
		// The attempt took at least this long. Without the losers of hedged
		// pairs the percentile would shrink with every hedge.
		if record.Latency >= b.currentDelay(known, now) {
			known.sample(record)
		}
	case ebonyworks.AttemptShed:
		known.shed(record.Server, now)
	default:
		// The other results say nothing about latency or load.
	}
}

// Retain drops the state of services that the configuration no longer names.
func (b *Budget) Retain(configuration *ebonyworks.Configuration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	retained := make(map[ebonyworks.ServiceID]*service, len(b.services))
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			id := configuration.Catalogues[i].Services[j].ID
			if known := b.services[id]; known != nil {
				retained[id] = known
			}
		}
	}
	b.services = retained
}

func (b *Budget) start() {
	if b.started {
		return
	}
	b.started = true
	b.hedges = initialHedges
	b.total = initialTotal
}

// earn credits a useful request. The winner of a hedged pair earns nothing if
// it is the hedge, so that no request is counted twice.
func (b *Budget) earn(record ebonyworks.AttemptRecord) {
	if record.Hedge {
		return
	}
	b.hedges = min(b.hedges+hedgeCredit, maxHedges)
	b.total = min(b.total+totalCredit, maxTotal)
}

func (b *Budget) open(id ebonyworks.ServiceID) *service {
	known := b.services[id]
	if known != nil || len(b.services) >= MaxServices {
		return known
	}
	if b.services == nil {
		b.services = make(map[ebonyworks.ServiceID]*service)
	}
	known = &service{recent: latency.NewWindow(), delay: initialDelay}
	b.services[id] = known
	return known
}

func (b *Budget) currentDelay(known *service, now time.Time) time.Duration {
	if now.Before(known.refresh) {
		return known.delay
	}
	known.recent.Rotate(now)
	known.refresh = now.Add(refreshInterval)
	if known.recent.Count() < minSamples {
		return known.delay
	}
	b.distribution.Load(known.recent)
	missing := 1 - float64(b.hedges)/maxHedges
	percentile := lowPercentile + (highPercentile-lowPercentile)*missing
	high := b.distribution.Percentile(percentile)
	usual := b.distribution.Percentile(median)
	bound := time.Duration(medianFactor * float64(usual))
	known.delay = min(max(min(high, bound), minDelay), maxDelay)
	return known.delay
}

// sample counts a latency. Hedges are left out: the delay is about how long a
// first attempt takes.
func (s *service) sample(record ebonyworks.AttemptRecord) {
	if record.Hedge {
		return
	}
	s.recent.Record(record.Latency)
}

func (s *service) shed(server ebonyworks.ServerID, now time.Time) {
	if server != s.shedBy && now.Before(s.hedgesClosed) {
		s.retriesClosed = now.Add(shedPause)
	}
	s.shedBy = server
	s.hedgesClosed = now.Add(shedPause)
}
