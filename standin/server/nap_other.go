//go:build !linux

package server

import "time"

// nap sleeps with the resolution of the runtime.
func nap(d time.Duration) { time.Sleep(d) }
