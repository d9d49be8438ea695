// Package never disables hedges and retries. It is a baseline for experiments.
package never

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// delay is longer than any deadline.
const delay = time.Hour

// Hedging allows neither hedges nor retries.
type Hedging struct{}

// Delay returns a time that is longer than any deadline.
func (Hedging) Delay(ebonyworks.ServiceID) time.Duration { return delay }

// AllowHedge returns false.
func (Hedging) AllowHedge(ebonyworks.ServiceID) bool { return false }

// AllowRetry returns false.
func (Hedging) AllowRetry(ebonyworks.ServiceID) bool { return false }

// Observe does nothing.
func (Hedging) Observe(ebonyworks.AttemptRecord) {}
