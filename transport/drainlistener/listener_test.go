package drainlistener_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks/transport/drainlistener"
)

// Guards against callers whose connection was opened and is reset when the
// listener closes, while the process accepts more slowly than they come.
func TestDrainCutsNoConnection(t *testing.T) {
	listener, err := drainlistener.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			go func() {
				_, _ = io.WriteString(conn, "!")
				_ = conn.Close()
			}()
		}
	}()
	var asking sync.WaitGroup
	var served, cut atomic.Int64
	for range 20 {
		asking.Go(func() {
			for {
				conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
				if err != nil {
					return
				}
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					cut.Add(1)
				} else {
					served.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, listener.Drain(context.Background()))
	asking.Wait()
	assert.Zero(t, cut.Load())
	assert.Greater(t, served.Load(), int64(20))
	_, err = net.Dial("tcp", listener.Addr().String())
	require.ErrorContains(t, err, "refused")
}
