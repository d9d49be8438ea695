package platform

import (
	"sync"
	"time"
)

// CallCounts are the calls that the platform has taken. A waiting watch counts
// as one call, when it begins.
type CallCounts struct {
	Reads, Watches, Hosts int64
	// Limited were refused because of the limit, Failed because of an outage.
	Limited, Failed int64
	// PeakPerSecond is the largest number of calls in one second of the clock.
	PeakPerSecond int64
}

// callKind is what a call asks for.
type callKind int

const (
	readCall callKind = iota
	watchCall
	hostsCall
)

// meter counts calls and limits them in each second of the clock.
type meter struct {
	mu     sync.Mutex
	counts CallCounts
	second int64
	// current is the number of calls in the second.
	current int64
}

// admit counts a call. If it is beyond the limit, it returns how long the
// second still lasts.
func (m *meter) admit(kind callKind, limit int) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if second := now.Unix(); second != m.second {
		m.second = second
		m.current = 0
	}
	m.current++
	m.counts.PeakPerSecond = max(m.counts.PeakPerSecond, m.current)
	if m.current > int64(limit) {
		m.counts.Limited++
		return time.Second - time.Duration(now.Nanosecond()), false
	}
	switch kind {
	case readCall:
		m.counts.Reads++
	case watchCall:
		m.counts.Watches++
	case hostsCall:
		m.counts.Hosts++
	}
	return 0, true
}

func (m *meter) fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Failed++
}

func (m *meter) read() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// reset sets all counts to zero.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts = CallCounts{}
}

// Calls returns the calls so far.
func (p *Platform) Calls() CallCounts { return p.calls.read() }
