package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are lost in a planned stop on connections that were
// just accepted, by the kernel or by the process. Each caller whose connection was
// established gets a response, until connections are refused.
func TestPlannedStopAnswersNewConnections(t *testing.T) {
	s := newTestGateway(t)
	s.serviceTime.Store(int64(20 * time.Millisecond))
	var clients sync.WaitGroup
	var answered, dropped atomic.Int64
	for range maxCallerConnections / 2 {
		clients.Go(func() {
			for {
				conn, err := net.Dial("tcp", s.callerAddress)
				if err != nil {
					return
				}
				status, err := sendOnce(conn)
				_ = conn.Close()
				if err != nil {
					dropped.Add(1)
					t.Log(err)
					continue
				}
				if status > 0 {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.stop()
	require.NoError(t, <-s.stopped)
	clients.Wait()
	assert.Zero(t, dropped.Load())
	assert.Greater(t, answered.Load(), int64(maxCallerConnections))
}

// sendOnce sends a request on the connection and returns the status code once the
// complete response was read.
func sendOnce(conn net.Conn) (int, error) {
	const request = "GET /all/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 900\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
