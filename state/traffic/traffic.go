// Package traffic counts the bytes that a host exchanges with other failure domains.
package traffic

import (
	"sync/atomic"

	"github.com/ebonyworks/ebonyworks"
)

// Counter counts bytes by purpose and direction. It is safe for concurrent use. The zero
// value is usable, and a nil Counter counts nothing.
type Counter struct {
	// bytes never decrease.
	bytes [ebonyworks.TrafficPurposes][ebonyworks.TrafficDirections]atomic.Uint64
}

// Add counts bytes. A count of zero or less has no effect.
func (c *Counter) Add(purpose ebonyworks.TrafficPurpose, direction ebonyworks.TrafficDirection, bytes int) {
	if c != nil && bytes > 0 {
		c.bytes[purpose][direction].Add(uint64(bytes))
	}
}

// Bytes returns the bytes counted so far.
func (c *Counter) Bytes(purpose ebonyworks.TrafficPurpose, direction ebonyworks.TrafficDirection) uint64 {
	if c == nil {
		return 0
	}
	return c.bytes[purpose][direction].Load()
}
