package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
)

// network connects clusters in memory. Blocked connections lose every message.
type network struct {
	mu       sync.Mutex
	clusters map[netip.AddrPort]*membership.Cluster
	blocked  map[[2]netip.AddrPort]bool
	random   *rand.Rand
	loss     float64
	listed   []ebonyworks.ListedHost
	// panics is set while every call to a host panics.
	panics bool
	// paused holds a channel for each paused host, closed when it is resumed.
	paused map[netip.AddrPort]chan struct{}
}

// pause blocks all calls and heartbeats of the host at the address until resume is
// called.
func (n *network) pause(address netip.AddrPort) (resume func()) {
	resumed := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[address] = resumed
	return func() {
		n.mu.Lock()
		delete(n.paused, address)
		n.mu.Unlock()
		close(resumed)
	}
}

// await blocks while the host at the address is paused.
func (n *network) await(address netip.AddrPort) {
	n.mu.Lock()
	resumed := n.paused[address]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// peer is the ebonyworks.Peer of one host. The embedded nil interface stands for
// methods that a Cluster doesn't call.
type peer struct {
	ebonyworks.Peer
	network *network
	own     netip.AddrPort
}

func (p peer) reach(ctx context.Context, to netip.AddrPort) (*membership.Cluster, error) {
	defer p.network.await(p.own)
	p.network.await(p.own)
	time.Sleep(time.Millisecond)
	p.network.mu.Lock()
	target := p.network.clusters[to]
	panics := p.network.panics
	lost := p.network.blocked[[2]netip.AddrPort{p.own, to}] || p.network.random.Float64() < p.network.loss
	p.network.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target == nil {
		return nil, errors.New("connection refused")
	}
	if panics {
		panic("unexpected answer")
	}
	return target, nil
}

func (p peer) Ping(ctx context.Context, to netip.AddrPort, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	target, err := p.reach(ctx, to)
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	return target.HandlePing(ctx, message)
}

func (p peer) IndirectPing(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	relay, err := p.reach(ctx, via)
	if err != nil {
		return false, err
	}
	return relay.HandleIndirectPing(ctx, target)
}

type hostList struct {
	ebonyworks.Platform
	network *network
	own     netip.AddrPort
}

func (l hostList) Hosts(context.Context) ([]ebonyworks.ListedHost, error) {
	l.network.await(l.own)
	if l.network.listed == nil {
		return nil, errors.New("unavailable")
	}
	return l.network.listed, nil
}

// fleet is a number of hosts that are started and stopped together.
type fleet struct {
	*network
	hosts []ebonyworks.Host
	stops []func()
	// mayRaiseIncarnation is the setting of clusters that start from now on.
	mayRaiseIncarnation bool
}

func newFleet(size int, loss float64) *fleet {
	p := &fleet{network: &network{
		clusters: map[netip.AddrPort]*membership.Cluster{},
		blocked:  map[[2]netip.AddrPort]bool{},
		random:   rand.New(rand.NewPCG(1, 9)),
		loss:     loss,
		listed:   []ebonyworks.ListedHost{},
		paused:   map[netip.AddrPort]chan struct{}{},
	}}
	for i := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7443)
		host := ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprintf("entry-%02d", i)), Incarnation: 1, Address: address}
		p.hosts = append(p.hosts, host)
		p.stops = append(p.stops, nil)
		p.start(i)
	}
	return p
}

func (p *fleet) start(i int) {
	address := p.hosts[i].Address
	g := membership.New(membership.Config{
		Self: p.hosts[i], MayRaiseIncarnation: p.mayRaiseIncarnation, Seeds: []netip.AddrPort{p.hosts[0].Address}, Peer: peer{network: p.network, own: address},
		Platform: hostList{network: p.network, own: address}, Random: rand.New(rand.NewPCG(uint64(i), 1)),
		OnHeartbeat: func() { p.await(address) },
	})
	p.mu.Lock()
	p.clusters[p.hosts[i].Address] = g
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	p.stops[i] = func() {
		p.mu.Lock()
		delete(p.clusters, p.hosts[i].Address)
		p.mu.Unlock()
		cancel()
		<-done
	}
}

func (p *fleet) stopAll() {
	for _, stop := range p.stops {
		stop()
	}
}

func (p *fleet) cluster(i int) *membership.Cluster {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clusters[p.hosts[i].Address]
}

// setPartitioned blocks or unblocks the connections between two hosts in both
// directions.
func (p *fleet) setPartitioned(i, j int, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[[2]netip.AddrPort{p.hosts[i].Address, p.hosts[j].Address}] = blocked
	p.blocked[[2]netip.AddrPort{p.hosts[j].Address, p.hosts[i].Address}] = blocked
}

// states counts the other hosts by the state in which they consider host i.
func (p *fleet) states(i int) map[ebonyworks.MemberState]int {
	states := map[ebonyworks.MemberState]int{}
	for j := range p.hosts {
		if g := p.cluster(j); g != nil && j != i {
			for _, member := range g.Members() {
				if member.Host.ID == p.hosts[i].ID {
					states[member.State]++
				}
			}
		}
	}
	return states
}

// Guards against hosts that aren't found, crashes that aren't detected, dead members
// that stay dead after a restart, and members that leave but are declared dead.
func TestJoinCrashAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(12, 0)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		for i := range p.hosts {
			assert.Len(t, p.cluster(i).Alive(), 11)
			assert.True(t, p.cluster(i).Readiness().Ready(), p.cluster(i).Readiness().Reasons)
		}
		p.stops[3]()
		time.Sleep(15 * time.Second)
		assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberDead: 11}, p.states(3))
		assert.Equal(t, []netip.AddrPort{p.hosts[3].Address}, p.cluster(0).View().Unreachable)
		p.hosts[3].Incarnation++
		p.start(3)
		time.Sleep(3 * time.Second)
		assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberAlive: 11}, p.states(3))

		p.cluster(5).Leave(t.Context())
		assert.False(t, p.cluster(5).Readiness().Ready())
		p.stops[5]()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberLeft: 11}, p.states(5))
		p.start(5)
	})
}

// Guards against members that are declared dead because a few messages are lost, or
// because two hosts can't reach each other directly.
func TestMessageLossCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(10, 0.05)
		defer p.stopAll()
		p.setPartitioned(0, 1, true)
		for range 120 {
			time.Sleep(time.Second)
			for i := range p.hosts {
				require.Zero(t, p.states(i)[ebonyworks.MemberDead], p.hosts[i].ID)
			}
		}
	})
}

// Guards against sides of a partition that don't find each other after it heals,
// and against a host that doesn't report that it is isolated.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(6, 0)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		for i := 1; i < 6; i++ {
			p.setPartitioned(0, i, true)
		}
		time.Sleep(time.Hour)
		assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberDead: 5}, p.states(0))
		assert.True(t, p.cluster(0).View().Isolated)
		assert.Len(t, p.cluster(0).View().Unreachable, 5)
		assert.Empty(t, p.cluster(0).Alive())
		for i := 1; i < 6; i++ {
			p.setPartitioned(0, i, false)
		}
		time.Sleep(5 * time.Second)
		for i := range p.hosts {
			assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberAlive: 5}, p.states(i))
			assert.False(t, p.cluster(i).View().Isolated)
		}
	})
}

// Guards against a host that acts on state from before a pause, and against an old
// incarnation that stays ready although a later one of its host is running.
func TestPauseAndReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(3, 0)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		g := p.cluster(2)
		require.True(t, g.Readiness().Ready())
		resume := p.pause(p.hosts[2].Address)
		p.setPartitioned(0, 2, true)
		p.setPartitioned(1, 2, true)
		time.Sleep(3 * time.Second)
		p.setPartitioned(0, 2, false)
		p.setPartitioned(1, 2, false)
		assert.False(t, g.Readiness().Ready(), "paused for 3 s")
		resume()
		time.Sleep(time.Second)
		assert.True(t, g.Readiness().Ready(), g.Readiness().Reasons)

		later := p.hosts[2]
		later.Incarnation = 7
		_, err := g.HandlePing(t.Context(), ebonyworks.GossipMessage{From: p.hosts[0], Members: []ebonyworks.Member{{Host: later}}})
		require.NoError(t, err)
		assert.Equal(t, []string{"a later incarnation of this host is running"}, g.Readiness().Reasons)
	})
}

// Guards against a host that all others ignore after a restart because the system
// clock was set back: its incarnation is the time of its start.
func TestRestartAfterClockJumpedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(3, 0)
		defer p.stopAll()
		p.mayRaiseIncarnation = true
		p.stops[2]()
		p.hosts[2].Incarnation = 2_000
		p.start(2)
		time.Sleep(5 * time.Second)
		p.stops[2]()
		p.hosts[2].Incarnation = 1_000
		p.start(2)
		time.Sleep(5 * time.Second)
		assert.Equal(t, map[ebonyworks.MemberState]int{ebonyworks.MemberAlive: 2}, p.states(2))
		assert.Greater(t, p.cluster(2).Self().Host.Incarnation, ebonyworks.Incarnation(2_000))
		assert.True(t, p.cluster(2).Readiness().Ready(), p.cluster(2).Readiness().Reasons)

		elsewhere := p.hosts[2]
		elsewhere.Incarnation = 9_000
		elsewhere.Address = netip.AddrPortFrom(elsewhere.Address.Addr(), 9)
		_, err := p.cluster(2).HandlePing(t.Context(), ebonyworks.GossipMessage{From: p.hosts[0], Members: []ebonyworks.Member{{Host: elsewhere}}})
		require.NoError(t, err)
		assert.False(t, p.cluster(2).Readiness().Ready(), "another process uses the name")
	})
}

// Guards against a host that is ready although it reaches neither a peer nor the
// platform, and against one that waits for peers although the host list names none.
func TestReadinessAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(1, 0)
		defer p.stopAll()
		time.Sleep(3 * time.Second)
		assert.True(t, p.cluster(0).Readiness().Ready())
		p.stops[0]()
		p.listed = nil
		p.start(0)
		time.Sleep(time.Minute)
		assert.False(t, p.cluster(0).Readiness().Ready())
	})
}

// crashStore is a CrashStore that records the reports merged into it.
type crashStore struct{ reports, merged []ebonyworks.CrashReport }

func (c *crashStore) Reports() []ebonyworks.CrashReport      { return c.reports }
func (c *crashStore) Merge(reports []ebonyworks.CrashReport) { c.merged = append(c.merged, reports...) }

// Guards against crash reports that aren't exchanged, and against messages that grow
// without bound.
func TestMessagesAreBounded(t *testing.T) {
	host := ebonyworks.Host{ID: "entry-00", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	g := membership.New(membership.Config{Self: host, Random: rand.New(rand.NewPCG(1, 1))})
	store := &crashStore{reports: make([]ebonyworks.CrashReport, 1000)}
	g.Attach(membership.CrashGossip{Store: store})
	message := ebonyworks.GossipMessage{From: ebonyworks.Host{ID: "entry-01", Address: host.Address}, Crashes: make([]ebonyworks.CrashReport, 3)}
	for i := range 400 {
		id := ebonyworks.HostID(fmt.Sprintf("other-%03d", i))
		message.Members = append(message.Members, ebonyworks.Member{Host: ebonyworks.Host{ID: id, Address: host.Address}})
	}
	reply, err := g.HandlePing(t.Context(), message)
	require.NoError(t, err)
	assert.Len(t, store.merged, 3)
	assert.LessOrEqual(t, len(reply.Members), 10)
	assert.LessOrEqual(t, len(reply.Crashes), 10)
	assert.NotEmpty(t, reply.Crashes)
	message.Full = true
	reply, err = g.HandlePing(t.Context(), message)
	require.NoError(t, err)
	assert.Len(t, reply.Members, 402)
}

// Guards against hosts that start together and know only a part of each other for
// ten seconds or more: each host's share of the fleet's limits, and the choice of the
// hosts that read on behalf of others, depend on the number of hosts.
func TestHostsThatStartTogetherFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 200
		p := newFleet(0, 0)
		defer func() { p.stopAll() }()
		for i := range size {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7443)
			p.hosts = append(p.hosts, ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprintf("entry-%03d", i)), Incarnation: 1, Address: address})
			p.stops = append(p.stops, nil)
			p.start(i)
			time.Sleep(300 * time.Millisecond / size)
		}
		time.Sleep(2700 * time.Millisecond)
		fewestKnown := size
		for i := range size {
			fewestKnown = min(fewestKnown, len(p.cluster(i).Alive())+1)
		}
		assert.GreaterOrEqual(t, fewestKnown, size*95/100)
	})
}

// Guards against a panic during a call to another host that crashes the process.
func TestPanicOnPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(3, 0)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		p.panics = true
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		p.panics = false
		p.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.Len(t, p.cluster(0).Alive(), 2)
	})
}
