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
func (p *RateLimitedPlatform) Calls() (made, refused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.refused
}

// Read returns the current value of the key.
func (p *RateLimitedPlatform) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	if !p.take() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return p.platform.Read(ctx, key)
}

// Watch waits for a value after the version.
func (p *RateLimitedPlatform) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	if !p.take() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return p.platform.Watch(ctx, key, after)
}

// Hosts returns the host list.
func (p *RateLimitedPlatform) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	if !p.take() {
		return nil, ErrTooManyCalls
	}
	return p.platform.Hosts(ctx)
}

func (p *RateLimitedPlatform) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.tokens = min(meterCapacity, p.tokens+meterRate*now.Sub(p.filled).Seconds())
	p.filled = now
	if p.tokens < 1 {
		p.refused++
		return false
	}
	p.tokens--
	p.calls++
	return true
}
