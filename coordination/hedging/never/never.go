// Package never allows no second attempts. It is a baseline for experiments.
package never

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// wait is beyond every deadline.
const wait = time.Hour

// Hedging allows neither hedges nor retries.
type Hedging struct{}

// Delay returns a time beyond every deadline.
func (Hedging) Delay(ebonyworks.ServiceID) time.Duration { return wait }

// AllowHedge returns false.
func (Hedging) AllowHedge(ebonyworks.ServiceID) bool { return false }

// AllowRetry returns false.
func (Hedging) AllowRetry(ebonyworks.ServiceID) bool { return false }

// Observe does nothing.
func (Hedging) Observe(ebonyworks.AttemptRecord) {}
