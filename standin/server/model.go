package server

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Model describes how servers behave without faults. Zero fields take their
// defaults.
type Model struct {
	// MeanServiceTime is the mean time that a request holds its slot, 4 ms by
	// default.
	MeanServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time,
	// 0.5 by default.
	Sigma float64
	// QueuePerSlot is the number of queued requests per slot beyond which a
	// server sheds, 8 by default.
	QueuePerSlot int
	// ColdRequests and ColdTime tell how long a started server is slower by
	// ColdFactor: until it has run so many requests and so much time has passed.
	ColdRequests int
	ColdTime     time.Duration
	ColdFactor   float64
	// ReportLag is the age of the load that a report states.
	ReportLag time.Duration
	// DrainNotice is how long a draining server still refuses new work with a
	// reply before it sends GOAWAY and closes its listener.
	DrainNotice time.Duration
	// Origins tell the failure domain of a connection by the address of its
	// host. The first that contains the address counts.
	Origins []Origin
	// FarDelay is the one-way delay of connections from another failure
	// domain, NearDelay that of all others.
	NearDelay time.Duration
	FarDelay  time.Duration
}

// Origin is the addresses of hosts in one failure domain.
type Origin struct {
	Prefix netip.Prefix
	Domain ebonyworks.DomainID
}

const (
	defaultMeanServiceTime = 4 * time.Millisecond
	defaultSigma           = 0.5
	defaultQueuePerSlot    = 8
)

func (m Model) withDefaults() Model {
	if m.MeanServiceTime <= 0 {
		m.MeanServiceTime = defaultMeanServiceTime
	}
	if m.Sigma <= 0 {
		m.Sigma = defaultSigma
	}
	if m.QueuePerSlot <= 0 {
		m.QueuePerSlot = defaultQueuePerSlot
	}
	return m
}

// delay returns the one-way delay between a host and a server's domain.
func (m Model) delay(host netip.Addr, domain ebonyworks.DomainID) time.Duration {
	for _, origin := range m.Origins {
		if !origin.Prefix.Contains(host) {
			continue
		}
		if origin.Domain != domain {
			return m.FarDelay
		}
		break
	}
	return m.NearDelay
}

// dice is a seeded source of randomness that requests share.
type dice struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newDice(seed, stream uint64) *dice {
	return &dice{source: rand.New(rand.NewPCG(seed, stream))}
}

// chance returns true for the given share of calls.
func (d *dice) chance(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.Float64() < share
}

// serviceTime draws from the log-normal distribution with the model's mean.
func (d *dice) serviceTime(model Model) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	location := math.Log(float64(model.MeanServiceTime)) - model.Sigma*model.Sigma/2
	return time.Duration(math.Exp(location + model.Sigma*d.source.NormFloat64()))
}
