package peerrpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
	"github.com/ebonyworks/ebonyworks/transport/peerrpc"
)

// unavailablePlatform is a platform whose host list can't be read.
type unavailablePlatform struct{ ebonyworks.Platform }

func (unavailablePlatform) Hosts(context.Context) ([]ebonyworks.ListedHost, error) {
	return nil, errors.New("unavailable")
}

// memberHandler serves the pings and indirect pings of one host.
type memberHandler struct {
	recordingHandler
	cluster *membership.Cluster
}

func (h *memberHandler) HandlePing(ctx context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return h.cluster.HandlePing(ctx, message)
}

func (h *memberHandler) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	return h.cluster.HandleIndirectPing(ctx, target)
}

// Guards against a membership protocol that works only with fakes: hosts on real
// connections must find each other through one seed, spread the drain state of a
// server, and detect that one member left and that another one crashed.
func TestMembershipOverSockets(t *testing.T) {
	const size = 5
	clusters, trackers := make([]*membership.Cluster, size), make([]*drainstate.Tracker, size)
	stops := make([]func(), size)
	var seed netip.AddrPort
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := netip.MustParseAddrPort(listener.Addr().String())
		if i == 0 {
			seed = address
		}
		c := client(t)
		clusters[i] = membership.New(membership.Config{
			Self:  ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprintf("entry-%d", i)), Incarnation: 1, Address: address},
			Seeds: []netip.AddrPort{seed}, Peer: c, Platform: unavailablePlatform{}, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		trackers[i] = drainstate.New(drainstate.Config{SendNow: clusters[i].TriggerGossip})
		clusters[i].Attach(trackers[i])
		server := peerrpc.NewServer(&memberHandler{cluster: clusters[i]})
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		runs.Go(func() { clusters[i].Run(ctx) })
		runs.Go(func() { _ = server.Serve(listener) })
		stops[i] = sync.OnceFunc(func() {
			_ = server.Close()
			cancel()
			runs.Wait()
		})
		t.Cleanup(stops[i])
	}
	// states counts which of hosts 0 to 2 see the host in the state.
	states := func(id ebonyworks.HostID, state ebonyworks.MemberState) int {
		count := 0
		for _, g := range clusters[:3] {
			for _, member := range g.Members() {
				if member.Host.ID == id && member.State == state {
					count++
				}
			}
		}
		return count
	}
	eventually := func(within time.Duration, condition func() bool) {
		require.Eventually(t, condition, within, 20*time.Millisecond)
	}
	eventually(10*time.Second, func() bool {
		return states("entry-3", ebonyworks.MemberAlive) == 3 && states("entry-4", ebonyworks.MemberAlive) == 3 && clusters[4].Readiness().Ready()
	})
	trackers[1].Observe(ebonyworks.ServerReport{Server: "server", Incarnation: 1, Draining: true})
	eventually(3*time.Second, func() bool { return trackers[0].Draining("server") && trackers[4].Draining("server") })
	clusters[3].Leave(t.Context())
	stops[3]()
	stops[4]()
	eventually(3*time.Second, func() bool { return states("entry-3", ebonyworks.MemberLeft) == 3 })
	eventually(20*time.Second, func() bool { return states("entry-4", ebonyworks.MemberDead) == 3 })
}
