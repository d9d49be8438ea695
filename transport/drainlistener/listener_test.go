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

// Guards against established connections that are reset when the listener closes,
// because the process accepts connections more slowly than they arrive.
func TestDrainResetsNoConnection(t *testing.T) {
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
	var callers sync.WaitGroup
	var served, failed atomic.Int64
	for range 20 {
		callers.Go(func() {
			for {
				conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
				if err != nil {
					return
				}
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					failed.Add(1)
				} else {
					served.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, listener.Drain(context.Background()))
	callers.Wait()
	assert.Zero(t, failed.Load())
	assert.Greater(t, served.Load(), int64(20))
	_, err = net.Dial("tcp", listener.Addr().String())
	require.ErrorContains(t, err, "refused")
}
