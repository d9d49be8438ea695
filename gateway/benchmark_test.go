package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/gateway"
	"github.com/ebonyworks/ebonyworks/platform"
)

const benchmarkShards = 90

// fixedStore is a store whose content never changes.
type fixedStore struct {
	listing ebonyworks.StoreListing
}

func (s fixedStore) List(context.Context, bool) (ebonyworks.StoreListing, error) {
	listing := s.listing
	listing.Complete = true
	return listing, nil
}

func (s fixedStore) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return ebonyworks.StoreListing{AsOf: after}, nil
}

// failingPeer fails all calls.
type failingPeer struct{ ebonyworks.Peer }

// discardObserver ignores all attempts and requests.
type discardObserver struct{}

func (discardObserver) AttemptEnded(ebonyworks.AttemptRecord) {}
func (discardObserver) Forwarded(fanout.Report)               {}
func (discardObserver) Delegated(fanout.Report)               {}

// serveParts answers each request on the listener with one shard's part.
func serveParts(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			body := strings.Repeat("0123456789abcdef", 12)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 1,0,2\r\nContent-Length: %d\r\n\r\n%s",
					request.Header.Get("Request-Id"), len(body), body)
				if err != nil {
					return
				}
			}
		}()
	}
}

// BenchmarkFanOut measures a request to 90 shards over TCP connections. The cost of the
// stand-in servers is included.
func BenchmarkFanOut(b *testing.B) {
	configuration := &ebonyworks.ForwardConfiguration{Revision: 1}
	route := ebonyworks.ForwardRoute{
		ID: "r", Host: "host", Prefix: "/a/", Idempotent: true, Timeout: time.Second,
		TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, TopRecords: 10, MinCoverage: 0.95,
	}
	listing := ebonyworks.StoreListing{AsOf: 1}
	for shard := range benchmarkShards {
		service := ebonyworks.ServiceID(fmt.Sprintf("shard-%d", shard))
		route.Shards = append(route.Shards, service)
		configuration.Services = append(configuration.Services, ebonyworks.ForwardService{ID: service, ConnectionCap: 56})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { _ = listener.Close() })
		go serveParts(listener)
		listing.Changes = append(listing.Changes, ebonyworks.StoreChange{Revision: 1, Registration: &ebonyworks.Registration{
			Server:  ebonyworks.Server{ID: ebonyworks.ServerID("s-" + service), Address: netip.MustParseAddrPort(listener.Addr().String())},
			Service: service, Slots: 2,
		}})
	}
	configuration.Routes = []ebonyworks.ForwardRoute{route}
	listing.Changes = append(listing.Changes, ebonyworks.StoreChange{Revision: 1, Configuration: configuration})
	backend := &platform.BackendClient{}
	host := gateway.New(gateway.Options{
		Store: fixedStore{listing}, Backend: backend, Connections: backend, Peer: failingPeer{}, Observer: discardObserver{},
		RetryBudget: retrybudget.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go host.Run(ctx)
	require.Eventually(b, host.Ready, time.Second, time.Millisecond)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		reply := host.Forward(ctx, &ebonyworks.ForwardRequest{
			ID: ebonyworks.RequestID(fmt.Sprintf("%016x", number)), Host: "host", Method: "GET", Target: "/a/2f", Arrival: time.Now(), CallerTimeout: time.Second,
		})
		if reply.Kind != ebonyworks.ReplyMerged {
			b.Fatal(reply.Reason)
		}
	}
}
