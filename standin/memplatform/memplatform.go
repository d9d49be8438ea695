// Package memplatform is a platform in memory, for tests and programs that run
// whole hosts without sockets. standin/platform serves one over HTTP.
package memplatform

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// latency is the time that each call takes.
	latency = 2 * time.Millisecond
	// pollInterval is how often a waiting watch looks for a change.
	pollInterval = 50 * time.Millisecond
	// maxWait is how long a watch waits for a change.
	maxWait = 10 * time.Second
)

// ErrUnavailable is returned during an outage.
var ErrUnavailable = errors.New("configuration service unavailable")

// Values holds the values of a configuration service and an empty host list.
// The zero value has no values. It is safe for concurrent use.
type Values struct {
	mu     sync.Mutex
	values map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue
	outage bool
}

var _ ebonyworks.Platform = (*Values)(nil)

// Publish makes the values the newest of their keys, at the same moment.
func (v *Values) Publish(published []ebonyworks.ConfigurationValue) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.values == nil {
		v.values = make(map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue)
	}
	for _, value := range published {
		value.Version = v.values[value.Key].Version + 1
		v.values[value.Key] = value
	}
}

// SetOutage starts or ends an outage.
func (v *Values) SetOutage(outage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage = outage
}

// Read returns the value of the key.
func (v *Values) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	if err := wait(ctx, latency); err != nil {
		return ebonyworks.ConfigurationValue{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	value, ok := v.values[key]
	if v.outage || !ok {
		return ebonyworks.ConfigurationValue{}, ErrUnavailable
	}
	return value, nil
}

// Watch waits for a value after the version.
func (v *Values) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	for waited := time.Duration(0); waited < maxWait; waited += pollInterval {
		value, err := v.Read(ctx, key)
		if err != nil || value.Version > after {
			return value, err
		}
		if err := wait(ctx, pollInterval); err != nil {
			return ebonyworks.ConfigurationValue{}, err
		}
	}
	return v.Read(ctx, key)
}

// Hosts returns an empty host list.
func (v *Values) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	return nil, wait(ctx, latency)
}

func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
