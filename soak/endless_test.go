package soak

import (
	"fmt"
	"os"
	"strings"
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
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
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
		peak := peakMemory(t, f.command.Process.Pid)
		f.kill()
		assert.Less(t, peak, int64(memoryMb<<10), "kilobytes at the peak")
		t.Logf("%d MB at the peak", peak>>10)
	}
}

// peakMemory returns the peak of a running process's resident memory in kilobytes. The
// resource usage of an ended child includes the memory of this process at the fork.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, after, found := strings.Cut(string(status), "\nVmHWM:")
	require.True(t, found)
	var peak int64
	_, err = fmt.Sscanf(after, "%d kB", &peak)
	require.NoError(t, err)
	return peak
}
