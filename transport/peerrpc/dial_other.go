//go:build !linux

package peerrpc

import "syscall"

// boundUnacknowledged does nothing where there is no such option; pings end
// dead connections there, later.
func boundUnacknowledged(string, string, syscall.RawConn) error { return nil }
