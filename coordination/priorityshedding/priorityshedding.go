// Package priorityshedding sheds requests of lower priority so that they aren't
// served more often than those of higher priority that need the same service.
package priorityshedding

import (
	"maps"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/refusalrate"
)

const (
	// MaxServices bounds the services with state. Requests for others never yield.
	MaxServices = 1024
	// maxRanks bounds the priorities of one service with state.
	maxRanks = 16
	// tolerance is the refused share of the more urgent requests that is
	// accepted: below it, single refusals of a calm day would cost others.
	tolerance = 0.05
)

// Shedder compares how often requests of each priority are turned away because
// of load. It answers the load in which less urgent requests are easier to serve,
// for example since they need fewer shards: they would fill the servers while
// the urgent ones are turned away. It is safe for concurrent use. The zero value
// is usable.
type Shedder struct {
	mutex sync.Mutex
	// services has at most MaxServices entries of at most maxRanks each.
	services map[ebonyworks.ServiceID]map[int]*refusalrate.Rate
}

// Count counts a request that was taken on, or turned away because of load.
// Priority zero is the most urgent.
func (b *Shedder) Count(service ebonyworks.ServiceID, priority int, turnedAway bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if share := b.open(service, priority); share != nil {
		share.Add(time.Now(), turnedAway)
	}
}

// Refused returns the recent share of the requests that were turned away.
func (b *Shedder) Refused(service ebonyworks.ServiceID, priority int) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.refused(service, priority, time.Now())
}

// Yields reports whether more urgent requests are turned away more often than
// those of the priority. It never makes the latter the ones that are turned away
// more often, so neither starves.
func (b *Shedder) Yields(service ebonyworks.ServiceID, priority int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	own := b.refused(service, priority, now)
	for other, share := range b.services[service] {
		if other < priority && share.Value(now) > max(own, tolerance) {
			return true
		}
	}
	return false
}

// Retain drops the state of services that aren't named.
func (b *Shedder) Retain(named map[ebonyworks.ServiceID]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	maps.DeleteFunc(b.services, func(id ebonyworks.ServiceID, _ map[int]*refusalrate.Rate) bool { return !named[id] })
}

func (b *Shedder) refused(service ebonyworks.ServiceID, priority int, now time.Time) float64 {
	share := b.services[service][priority]
	if share == nil {
		return 0
	}
	return share.Value(now)
}

func (b *Shedder) open(service ebonyworks.ServiceID, priority int) *refusalrate.Rate {
	ranks := b.services[service]
	if ranks == nil {
		if len(b.services) >= MaxServices {
			return nil
		}
		if b.services == nil {
			b.services = make(map[ebonyworks.ServiceID]map[int]*refusalrate.Rate)
		}
		ranks = make(map[int]*refusalrate.Rate)
		b.services[service] = ranks
	}
	if ranks[priority] == nil {
		if len(ranks) >= maxRanks {
			return nil
		}
		ranks[priority] = &refusalrate.Rate{}
	}
	return ranks[priority]
}
