package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// callBurst lets a host read a whole configuration at once.
	callBurst = 64
	// callsPerSecond is the sustained rate of one host. With it, 16 hosts together
	// use at most 4% of the service's call limit.
	callsPerSecond = 5
)

// ErrTooManyCalls means that a call to the platform exceeded the rate limit of
// this host.
var ErrTooManyCalls = errors.New("too many calls to the platform")

// RateLimitedPlatform is a Platform that counts the calls of this host and limits
// them to 5 per second, with bursts of 64. All packages of a host share one. Create
// it with NewRateLimitedPlatform.
type RateLimitedPlatform struct {
	platform ebonyworks.Platform
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	calls    uint64
	refused  uint64
}

// NewRateLimitedPlatform wraps the platform.
func NewRateLimitedPlatform(platform ebonyworks.Platform) *RateLimitedPlatform {
	return &RateLimitedPlatform{platform: platform, tokens: callBurst, refilled: time.Now()}
}

// Calls returns the number of calls that were passed on, and of those that were
// refused because of the rate limit.
func (p *RateLimitedPlatform) Calls() (made, refused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.refused
}

// Read returns the value of the key, or ErrTooManyCalls.
func (p *RateLimitedPlatform) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	if !p.allow() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return p.platform.Read(ctx, key)
}

// Watch waits for a value with a later version, or returns ErrTooManyCalls.
func (p *RateLimitedPlatform) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	if !p.allow() {
		return ebonyworks.ConfigurationValue{}, ErrTooManyCalls
	}
	return p.platform.Watch(ctx, key, after)
}

// Hosts returns the host list, or ErrTooManyCalls.
func (p *RateLimitedPlatform) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	if !p.allow() {
		return nil, ErrTooManyCalls
	}
	return p.platform.Hosts(ctx)
}

func (p *RateLimitedPlatform) allow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.tokens = min(callBurst, p.tokens+callsPerSecond*now.Sub(p.refilled).Seconds())
	p.refilled = now
	if p.tokens < 1 {
		p.refused++
		return false
	}
	p.tokens--
	p.calls++
	return true
}
