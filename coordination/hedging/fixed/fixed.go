// Package fixed hedges after a fixed delay and without a budget. It is a
// baseline for experiments.
package fixed

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Delay is the time after which attempts are hedged. Every hedge and retry is allowed.
type Delay time.Duration

// Delay returns the fixed delay.
func (d Delay) Delay(ebonyworks.ServiceID) time.Duration { return time.Duration(d) }

// AllowHedge returns true.
func (d Delay) AllowHedge(ebonyworks.ServiceID) bool { return true }

// AllowRetry returns true.
func (d Delay) AllowRetry(ebonyworks.ServiceID) bool { return true }

// Observe does nothing.
func (d Delay) Observe(ebonyworks.AttemptRecord) {}
