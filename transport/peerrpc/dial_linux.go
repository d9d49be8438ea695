package peerrpc

import "syscall"

// tcpUserTimeout is the TCP_USER_TIMEOUT option of Linux (RFC 5482), which
// package syscall doesn't name.
const tcpUserTimeout = 0x12

// boundUnacknowledged sets how long sent data may stay unacknowledged.
func boundUnacknowledged(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
