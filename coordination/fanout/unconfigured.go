package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// startRetryAfter is the time in which a host that has just started usually
	// receives its routes.
	startRetryAfter = 300 * time.Millisecond
	// maxSourcelessRetryAfter bounds Retry-After, before the spread, while no source of
	// the configuration answers.
	maxSourcelessRetryAfter = 5 * time.Second
	// sourcelessSpread is the fraction by which Retry-After is spread, so that callers
	// don't retry together.
	sourcelessSpread = 0.2
)

// unconfiguredRetryAfter returns the Retry-After of a request that this host refuses now
// because it has no configuration.
func (f *Forwarder) unconfiguredRetryAfter(request ebonyworks.RequestID) time.Duration {
	if f.Sourceless == nil {
		return startRetryAfter
	}
	return unconfiguredRetryAfter(request, f.Sourceless())
}

// unconfiguredRetryAfter returns the Retry-After of a request that is refused because this
// host has no configuration yet. While neither the store nor another host has one, that is
// likely to last for as long again as it has lasted. Zero means that no source has failed.
func unconfiguredRetryAfter(request ebonyworks.RequestID, sourceless time.Duration) time.Duration {
	if sourceless <= 0 {
		return startRetryAfter
	}
	spread := sourcelessSpread * float64(xxhash.Sum64String(string(request))%1000) / 1000
	after := min(max(sourceless, startRetryAfter), maxSourcelessRetryAfter)
	return after + time.Duration(spread*float64(after))
}
