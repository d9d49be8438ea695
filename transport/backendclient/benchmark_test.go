//go:build unix

package backendclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

// benchmarkServerVariable is the environment variable that makes the test binary run
// as a backend server with the given number of rows in each reply, until its standard
// input is closed.
const benchmarkServerVariable = "EBONYWORKS_BENCHMARK_SERVER"

// TestMain runs the server side of the benchmarks if the variable is set. The server
// runs in a separate process, so that the CPU time of the client can be measured
// alone.
func TestMain(m *testing.M) {
	text, found := os.LookupEnv(benchmarkServerVariable)
	if !found {
		os.Exit(m.Run())
	}
	if err := serveBenchmark(text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serveBenchmark(text string) error {
	rows, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: benchmarkHandler(rows)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	fmt.Println(listener.Addr())
	// Each input line requests the CPU time that this process has used.
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		fmt.Println(processorTime().Nanoseconds())
	}
	if err := server.Close(); err != nil {
		return err
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// benchmarkHandler replies to sub-searches. The name of the shard is also the id of the
// server in the report, so that one process can stand for many servers.
func benchmarkHandler(rows int) http.Handler {
	template := ebonyworks.SubSearchReply{Result: ebonyworks.AttemptServed}
	for i := range rows {
		template.Rows = append(template.Rows, ebonyworks.Row{Key: fmt.Sprintf("b%05d", i), Fields: []ebonyworks.Field{
			{Name: "Length", Value: "45"}, {Name: "Shade", Value: "7N"}, {Name: "Snapshot", Value: "5"}, {Name: "Stock", Value: "3"},
		}})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, err := codec.DecodeSearch(body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer, sent := template, request.Search
		answer.Request, answer.Snapshot, answer.Shard = sent.Request, sent.Snapshot, sent.Shard
		answer.Report = ebonyworks.ServerReport{
			Server: ebonyworks.ServerID(sent.Shard), Incarnation: 1, Snapshots: []ebonyworks.Snapshot{sent.Snapshot},
		}
		_, _ = w.Write(codec.EncodeSearchReply(answer, "").Body)
	})
}

// serverProcess is a backend server in a separate process.
type serverProcess struct {
	address netip.AddrPort
	input   io.WriteCloser
	lines   *bufio.Scanner
}

func startServer(b *testing.B, rows int) serverProcess {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), benchmarkServerVariable+"="+strconv.Itoa(rows))
	input, err := command.StdinPipe()
	require.NoError(b, err)
	output, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_, _ = io.Copy(io.Discard, output)
		_ = command.Wait()
	})
	process := serverProcess{input: input, lines: bufio.NewScanner(output)}
	process.address, err = netip.ParseAddrPort(process.line(b))
	require.NoError(b, err)
	return process
}

func (p serverProcess) line(b *testing.B) string {
	b.Helper()
	require.True(b, p.lines.Scan())
	return strings.TrimSpace(p.lines.Text())
}

// processorTime returns the CPU time that the server process has used.
func (p serverProcess) processorTime(b *testing.B) time.Duration {
	b.Helper()
	_, err := fmt.Fprintln(p.input)
	require.NoError(b, err)
	used, err := strconv.ParseInt(p.line(b), 10, 64)
	require.NoError(b, err)
	return time.Duration(used)
}

// BenchmarkFanOut measures concurrent sub-searches over loopback, one to each server
// on a connection of its own. cpu-ns/sub is the CPU time of the client process alone,
// server-ns/sub that of the server process.
func BenchmarkFanOut(b *testing.B) {
	for _, servers := range []int{20, 100, 350} {
		for _, rows := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("servers=%d/rows=%d", servers, rows), func(b *testing.B) {
				benchmarkFanOut(b, servers, rows)
			})
		}
	}
}

func benchmarkFanOut(b *testing.B, servers, rows int) {
	process := startServer(b, rows)
	client := backendclient.NewClient(backendclient.Options{})
	defer client.Close()
	targets := make([]ebonyworks.Server, servers)
	for i := range targets {
		targets[i] = ebonyworks.Server{ID: ebonyworks.ServerID("server-" + strconv.Itoa(i)), Address: process.address}
	}
	heap := heapBytes()
	for _, target := range targets {
		sendTo(b, client, target)
	}
	perConnection := float64(heapBytes()-heap) / float64(servers)
	b.ReportAllocs()
	serverBefore := process.processorTime(b)
	before := processorTime()
	for b.Loop() {
		var sending sync.WaitGroup
		for _, target := range targets {
			sending.Go(func() { sendTo(b, client, target) })
		}
		sending.Wait()
	}
	used := processorTime() - before
	serverUsed := process.processorTime(b) - serverBefore
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*servers), "cpu-ns/sub")
	b.ReportMetric(float64(serverUsed.Nanoseconds())/float64(b.N*servers), "server-ns/sub")
	b.ReportMetric(perConnection, "heap-B/conn")
}

// BenchmarkShared measures concurrent sub-searches over loopback that share one
// connection. With one row in each reply, they differ from BenchmarkFanOut only by the
// number of connections. The case models unbatched calls from a host to the host that
// owns the servers.
func BenchmarkShared(b *testing.B) {
	for _, streams := range []int{1, 20, 100} {
		b.Run("streams="+strconv.Itoa(streams), func(b *testing.B) {
			client := backendclient.NewClient(backendclient.Options{})
			defer client.Close()
			target := ebonyworks.Server{ID: "a", Address: startServer(b, 1).address}
			sendTo(b, client, target)
			b.ReportAllocs()
			before := processorTime()
			for b.Loop() {
				var sending sync.WaitGroup
				for range streams {
					sending.Go(func() { sendTo(b, client, target) })
				}
				sending.Wait()
			}
			used := processorTime() - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*streams), "cpu-ns/sub")
		})
	}
}

func sendTo(b *testing.B, client *backendclient.Client, target ebonyworks.Server) {
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	sub := search
	sub.Shard = ebonyworks.ShardID(target.ID)
	if got := client.Search(ctx, service, target, sub).Result; got != ebonyworks.AttemptServed {
		b.Errorf("result %d", got)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the CPU time that the process has used. The error is ignored,
// because Getrusage fails only for invalid arguments.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
