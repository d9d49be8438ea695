package server

import (
	"syscall"
	"time"
)

// nap sleeps in the calling thread with the resolution of the kernel.
func nap(d time.Duration) {
	pause := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&pause, nil)
}
