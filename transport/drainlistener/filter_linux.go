package drainlistener

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The position of the flags in a TCP header, and the flag of the packet that begins a
// handshake (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 2
)

// synFilter is a classic BPF program for a TCP socket, which sees each packet from its
// TCP header on. It drops packets with the SYN flag and keeps all bytes of the others, so
// that the handshakes that have begun can end. Accepted connections inherit it; no packet
// with the SYN flag belongs to an established connection.
var synFilter = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
}

// dropSYN makes the kernel drop packets that begin a connection to the listening socket.
func dropSYN(socket syscall.RawConn) error {
	program := unix.SockFprog{Len: uint16(len(synFilter)), Filter: &synFilter[0]}
	var attachError error
	err := socket.Control(func(fd uintptr) {
		attachError = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = attachError
	}
	if err != nil {
		return errors.Wrap(err, "attach socket filter")
	}
	return nil
}
