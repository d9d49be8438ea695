//go:build !linux

package courier

import "syscall"

// boundUnacknowledged does nothing where there is no such option; pings end
// dead connections there, later.
func boundUnacknowledged(string, string, syscall.RawConn) error { return nil }
