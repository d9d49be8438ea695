package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against processes that grow beyond their memory, or end, while servers
// send bytes that are no answer until the connection is closed.
func TestEndlessBytesLeaveMemory(t *testing.T) {
	binary := buildFront(t)
	site := newSite(t, binary, 1001, 3)
	site.start(t)
	callers := site.startCallers(t)
	starts := []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: ",
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 9223372036854775807\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n",
		"",
	}
	for i, server := range site.servers {
		server.set(func() { server.fault = "endless " + starts[i%len(starts)] })
	}
	time.Sleep(4 * time.Second)
	for _, f := range site.fronts {
		select {
		case <-f.done:
			t.Error("a process ended")
		default:
		}
	}
	for _, server := range site.servers {
		server.set(func() { server.fault = "" })
	}
	time.Sleep(settleTime)
	settled := time.Now()
	time.Sleep(2 * time.Second)
	callers.stop()
	site.check(t, settled)
	for _, f := range site.fronts {
		f.kill()
		used, ok := f.command.ProcessState.SysUsage().(*syscall.Rusage)
		require.True(t, ok)
		assert.Less(t, used.Maxrss, int64(memoryMb<<10), "kilobytes at the peak")
		t.Logf("%d MB at the peak", used.Maxrss>>10)
	}
}
