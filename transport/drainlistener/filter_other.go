//go:build !linux

package drainlistener

import (
	"syscall"

	"github.com/go-faster/errors"
)

func dropSYN(syscall.RawConn) error { return errors.New("socket filters need Linux") }
