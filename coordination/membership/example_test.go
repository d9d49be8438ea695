package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
)

// inMemoryPeer is an ebonyworks.Peer that calls another Cluster of this process.
type inMemoryPeer struct {
	ebonyworks.Peer
	other *membership.Cluster
}

func (w *inMemoryPeer) Ping(ctx context.Context, _ netip.AddrPort, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	return w.other.HandlePing(ctx, message)
}

func Example() {
	host := func(id ebonyworks.HostID, address string) ebonyworks.Host {
		return ebonyworks.Host{ID: id, Incarnation: 1, Address: netip.MustParseAddrPort(address)}
	}
	second := membership.New(membership.Config{Self: host("entry-2", "10.0.0.2:7443"), Random: rand.New(rand.NewPCG(1, 2))})
	first := membership.New(membership.Config{
		Self:   host("entry-1", "10.0.0.1:7443"),
		Peer:   &inMemoryPeer{other: second},
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	// A running cluster finds its peers by itself; this contacts one of them.
	if err := first.PullState(context.Background(), netip.MustParseAddrPort("10.0.0.2:7443")); err != nil {
		fmt.Println(err)
	}
	fmt.Println(first.Alive()[0].ID, second.Alive()[0].ID)
	// Output: entry-2 entry-1
}
