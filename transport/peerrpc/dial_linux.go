package peerrpc

import "syscall"

// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT of Linux (RFC 5482), for
// which package syscall has no constant.
const tcpUserTimeoutOption = 0x12

// setUserTimeout sets how long sent data may stay unacknowledged before the kernel
// closes the connection.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
