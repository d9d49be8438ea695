//go:build unix

package peerrpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
	"github.com/ebonyworks/ebonyworks/transport/peerrpc"
)

// segmentHeaderBytes is the size of the IP and TCP headers of one segment in bytes.
const segmentHeaderBytes = 52

// countingListener counts the bytes and segments that its connections carry.
type countingListener struct {
	net.Listener
	bytes    atomic.Int64
	segments atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// It takes 7 segments to open and close a connection.
	l.segments.Add(7)
	return &countingConn{Conn: conn, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.listener.bytes.Add(int64(n))
	c.listener.segments.Add(1)
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.listener.bytes.Add(int64(n))
	c.listener.segments.Add(1)
	return n, err
}

// BenchmarkPing measures one ping between two members of a cluster, for client and
// server together: time, CPU time, and bytes on the wire in both directions. With 100
// or more members, most pings find their connection closed, since idle connections
// time out between two pings.
func BenchmarkPing(b *testing.B) {
	for _, size := range []int{8, 100, 400} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("members=%d/kept=%t", size, kept), func(b *testing.B) { benchmarkPing(b, size, kept) })
		}
	}
}

func benchmarkPing(b *testing.B, size int, kept bool) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	listener := &countingListener{Listener: inner}
	address := netip.MustParseAddrPort(inner.Addr().String())
	client := peerrpc.NewClient(nil)
	probing, probed := member(b, 0, size, address, client), member(b, 1, size, address, client)
	server := peerrpc.NewServer(&benchHandler{cluster: probed})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		if !kept {
			client.Close()
		}
		answered, err := probing.HandleIndirectPing(b.Context(), address)
		if err != nil || !answered {
			b.Fatal("no answer")
		}
	}
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
	wire := listener.bytes.Load() + segmentHeaderBytes*listener.segments.Load()
	b.ReportMetric(float64(wire)/float64(b.N), "wire-B/op")
	require.NoError(b, server.Close())
	require.NoError(b, <-done)
}

// processorTime returns the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchHandler serves the pings of a cluster.
type benchHandler struct {
	recordingHandler
	cluster *membership.Cluster
}

func (h *benchHandler) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return h.cluster.HandlePing(ctx, message)
}

// versionContributor adds the configuration version and the confirmation that package
// configsync adds to gossip messages.
type versionContributor struct{}

func (versionContributor) Contribute(message *ebonyworks.GossipMessage, _ int) {
	message.Version = ebonyworks.ConfigurationVersion{Revision: 1 << 20, Digest: ebonyworks.Digest{1}}
	message.Synced, message.Confirmed, message.ConfirmedBy = true, true, "entry-sapporo-002"
	message.ConfirmedAge = time.Second
}

func (versionContributor) Receive(ebonyworks.GossipMessage, time.Time) {}

func (versionContributor) MarkStale() {}

// member returns the membership of one host that knows size members and 20 draining
// servers.
func member(b *testing.B, index, size int, address netip.AddrPort, client *peerrpc.Client) *membership.Cluster {
	b.Helper()
	hosts := make([]ebonyworks.Member, size)
	for i := range hosts {
		hosts[i].Host = ebonyworks.Host{
			ID: ebonyworks.HostID(fmt.Sprintf("entry-sapporo-%03d", i)), Incarnation: 1_765_000_000_000_000_000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i)}), 7443), Domain: "Sapporo", Region: "Hokkaido",
		}
	}
	hosts[1].Host.Address = address
	g := membership.New(membership.Config{Self: hosts[index].Host, Peer: client, Random: rand.New(rand.NewPCG(1, uint64(index)))})
	tracker := drainstate.New(drainstate.Config{})
	for i := range 20 {
		tracker.Observe(ebonyworks.ServerReport{Server: ebonyworks.ServerID(fmt.Sprintf("stock-finder-%02d-a", i)), Incarnation: 1 << 60, Draining: true})
	}
	g.Attach(tracker)
	g.Attach(versionContributor{})
	_, err := g.HandlePing(b.Context(), ebonyworks.GossipMessage{From: hosts[2].Host, Members: hosts})
	require.NoError(b, err)
	return g
}
