package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// meterCapacity lets a host read a whole configuration at once.
	meterCapacity = 64
	// meterRate is the number of calls per second that one host may make for
	// longer: 16 hosts together use at most 4% of the service.
	meterRate = 5
)

// ErrTooManyCalls means that a call to the platform exceeded the host's bound.
var ErrTooManyCalls = errors.New("too many calls to the platform")

// RateLimitedPlatform is a Platform that counts the calls of this host and bounds them to 5
// a second, with bursts of 64. All packages of a host share one. Use NewMeter.
type RateLimitedPlatform struct {
	platform ebonyworks.Platform
	mu       sync.Mutex
	tokens   float64
	filled   time.Time
	calls    uint64
	refused  uint64
}

// NewRateLimitedPlatform returns a meter for the platform.
func NewRateLimitedPlatform(platform ebonyworks.Platform) *RateLimitedPlatform {
	return &RateLimitedPlatform{platform: platform, tokens: meterCapacity, filled: time.Now()}
}

// Calls returns the number of calls made so far, and of those that were
// refused because of the bound.
func (m *RateLimitedPlatform) Calls() (made, refused uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls, m.refused
}

// Read returns the current value of the key.
func (m *RateLimitedPlatform) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	if !m.take() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return m.platform.Read(ctx, key)
}

// Watch waits for a value after the version.
func (m *RateLimitedPlatform) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	if !m.take() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return m.platform.Watch(ctx, key, after)
}

// Hosts returns the host list.
func (m *RateLimitedPlatform) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	if !m.take() {
		return nil, ErrTooManyCalls
	}
	return m.platform.Hosts(ctx)
}

func (m *RateLimitedPlatform) take() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.tokens = min(meterCapacity, m.tokens+meterRate*now.Sub(m.filled).Seconds())
	m.filled = now
	if m.tokens < 1 {
		m.refused++
		return false
	}
	m.tokens--
	m.calls++
	return true
}
