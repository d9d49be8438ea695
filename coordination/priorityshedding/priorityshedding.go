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
	// MaxServices bounds the services with state. Requests for other services are
	// never shed.
	MaxServices = 1024
	// maxPriorities bounds the priorities of one service with state.
	maxPriorities = 16
	// tolerance is the refusal rate of requests of higher priority that is accepted,
	// since otherwise single refusals without an overload would cause shedding of
	// others.
	tolerance = 0.05
)

// Shedder compares the refusal rates of requests of each priority. It is meant for
// loads in which requests of lower priority are easier to serve, for example since
// they need fewer shards: they would fill the servers while those of higher priority
// are refused. It is safe for concurrent use. The zero value is usable.
type Shedder struct {
	mutex sync.Mutex
	// services has at most MaxServices entries of at most maxPriorities each.
	services map[ebonyworks.ServiceID]map[int]*refusalrate.Rate
}

// Record records a request that was accepted, or refused because of load. Priority zero
// is the highest.
func (s *Shedder) Record(service ebonyworks.ServiceID, priority int, refused bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if rate := s.getOrCreate(service, priority); rate != nil {
		rate.Add(time.Now(), refused)
	}
}

// RefusalRate returns the recent refusal rate of the priority's requests.
func (s *Shedder) RefusalRate(service ebonyworks.ServiceID, priority int) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refusalRate(service, priority, time.Now())
}

// PeekRefusalRate returns the refusal rate that RefusalRate would return after Record with
// the same arguments, which it doesn't record.
func (s *Shedder) PeekRefusalRate(service ebonyworks.ServiceID, priority int, refused bool) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var rate refusalrate.Rate
	if known := s.services[service][priority]; known != nil {
		rate = *known
	}
	rate.Add(now, refused)
	return rate.Value(now)
}

// ShouldShed reports whether requests of the priority should be shed because those of a
// higher priority have a higher refusal rate. Once the rates are equal, nothing is
// shed, so neither starves.
func (s *Shedder) ShouldShed(service ebonyworks.ServiceID, priority int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	own := s.refusalRate(service, priority, now)
	for other, rate := range s.services[service] {
		if other < priority && rate.Value(now) > max(own, tolerance) {
			return true
		}
	}
	return false
}

// Retain drops the state of services that aren't in named.
func (s *Shedder) Retain(named map[ebonyworks.ServiceID]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.services, func(id ebonyworks.ServiceID, _ map[int]*refusalrate.Rate) bool { return !named[id] })
}

func (s *Shedder) refusalRate(service ebonyworks.ServiceID, priority int, now time.Time) float64 {
	rate := s.services[service][priority]
	if rate == nil {
		return 0
	}
	return rate.Value(now)
}

func (s *Shedder) getOrCreate(service ebonyworks.ServiceID, priority int) *refusalrate.Rate {
	rates := s.services[service]
	if rates == nil {
		if len(s.services) >= MaxServices {
			return nil
		}
		if s.services == nil {
			s.services = make(map[ebonyworks.ServiceID]map[int]*refusalrate.Rate)
		}
		rates = make(map[int]*refusalrate.Rate)
		s.services[service] = rates
	}
	if rates[priority] == nil {
		if len(rates) >= maxPriorities {
			return nil
		}
		rates[priority] = &refusalrate.Rate{}
	}
	return rates[priority]
}
