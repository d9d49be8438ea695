//go:build !linux

package peerrpc

import "syscall"

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT. There, HTTP/2 pings
// detect dead connections, which takes longer.
func setUserTimeout(string, string, syscall.RawConn) error { return nil }
