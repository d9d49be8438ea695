// Package membership tracks the membership of entry hosts with the SWIM protocol:
// which are alive, suspected, dead, and which left. The state of other packages is
// piggybacked on its messages.
package membership

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/memberlist"
)

const (
	// probeInterval is the time between two probes that this host sends.
	probeInterval = time.Second
	// pingTimeout and indirectPingTimeout together are shorter than probeInterval,
	// so that a probe ends before the next one starts.
	pingTimeout         = 350 * time.Millisecond
	indirectPingTimeout = 550 * time.Millisecond
	// indirectPingCount is the number of other members that are asked to ping a
	// member before it is suspected.
	indirectPingCount = 3
	// maxRelayedPings bounds the indirect pings that this host runs for others at a
	// time.
	maxRelayedPings = 16
	// maxProbes bounds the probes in flight.
	maxProbes = 4
	// suspicionFactor times probeInterval times the decimal logarithm of the
	// cluster size is the time that a suspected member has to refute the suspicion.
	suspicionFactor = 4
	// heartbeatInterval is the interval of the timer that detects pauses of this
	// process.
	heartbeatInterval = 200 * time.Millisecond
	// pauseThreshold is the time between heartbeats above which the process counts
	// as paused.
	pauseThreshold = time.Second
	// reconnectsPerSecond is the rate at which all hosts on one side of a partition
	// together try each unreachable address, so that they notice at once when the
	// partition heals.
	reconnectsPerSecond = 2
)

// Contributor piggybacks the state of a package on gossip messages.
type Contributor interface {
	// Contribute adds state to an outgoing message, about budget bytes at most.
	Contribute(message *ebonyworks.GossipMessage, budget int)
	// Receive merges the state in a received message. If the message is a reply,
	// requestedAt is when the request was sent, so the message is newer than that. If
	// requestedAt is zero, the age of the message is unknown.
	Receive(message ebonyworks.GossipMessage, requestedAt time.Time)
	// MarkStale is called after the process was paused: all known state may be
	// stale.
	MarkStale()
}

// HostListObserver is a Contributor that also receives the platform's host list.
type HostListObserver interface {
	// ObserveList receives the list, and the time at which it was requested.
	ObserveList(hosts []ebonyworks.ListedHost, requestedAt time.Time)
}

// Config holds the settings and dependencies of a Cluster. Only MayRaiseIncarnation,
// Seeds, Platform, Recorder, IsDesignatedReader and OnHeartbeat may be zero.
type Config struct {
	Self ebonyworks.Host
	// MayRaiseIncarnation is set if nothing but the membership uses the incarnation
	// of this host, so that the host may replace it by a larger one.
	MayRaiseIncarnation bool
	// Seeds are addresses of hosts through which a new host joins the cluster.
	Seeds []netip.AddrPort
	Peer  ebonyworks.Peer
	// Platform provides the host list. Nil means that there is none; members are
	// then found through seeds and gossip only.
	Platform ebonyworks.Platform
	// Random is used by the Cluster alone.
	Random   *rand.Rand
	Recorder ebonyworks.EventRecorder
	// IsDesignatedReader tells whether this host reads the host list every second
	// on behalf of all others. Nil means that it does.
	IsDesignatedReader func() bool
	// OnHeartbeat is called at every heartbeat of the process, for example to feed a
	// watchdog.
	OnHeartbeat func()
}

// Cluster is one host's view of the membership of all entry hosts. Create it with
// New, add contributors with Attach, then call Run.
type Cluster struct {
	config            Config
	members           *memberlist.List
	contributors      []Contributor
	hostListObservers []HostListObserver
	gossipWake        chan struct{}
	refreshWake       chan struct{}
	tasks             sync.WaitGroup
	probeSlots        chan struct{}
	relaySlots        chan struct{}

	mu sync.Mutex
	// random is used only under mu.
	random *rand.Rand
	// lastHeartbeat is zero until Run.
	lastHeartbeat time.Time
	// freshSince is when the host started or was last resumed after a pause. Only
	// replies to requests that were sent since then count as fresh.
	freshSince time.Time
	refreshed  bool
	// isolated is set while no known peer answers pings.
	isolated bool
	// probeOrder holds the members that are still to be probed in this round.
	probeOrder []ebonyworks.HostID
	// listed are the entry hosts in the platform's host list, at most maxListed.
	listed     []ebonyworks.ListedHost
	listReadAt time.Time
	listFailed bool
	bursts     burstBudget
}

// New returns a cluster whose only known member is this host.
func New(config Config) *Cluster {
	members := memberlist.New(config.Self)
	members.BumpIncarnation = config.MayRaiseIncarnation
	return &Cluster{
		config:      config,
		members:     members,
		random:      config.Random,
		gossipWake:  make(chan struct{}, 1),
		refreshWake: make(chan struct{}, 1),
		probeSlots:  make(chan struct{}, maxProbes),
		relaySlots:  make(chan struct{}, maxRelayedPings),
	}
}

// Attach adds a contributor. If it implements HostListObserver, it receives the
// host list, too. Attach must not be called after Run.
func (c *Cluster) Attach(contributor Contributor) {
	c.contributors = append(c.contributors, contributor)
	if observer, found := contributor.(HostListObserver); found {
		c.hostListObservers = append(c.hostListObservers, observer)
	}
}

// Run maintains the membership until the context ends, and returns when all of
// its goroutines have stopped.
func (c *Cluster) Run(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	c.lastHeartbeat, c.freshSince = now, now
	c.bursts = burstBudget{tokens: burstCapacity, refilled: now}
	c.mu.Unlock()
	for _, loop := range []func(context.Context){c.heartbeat, c.probe, c.pollHostList, c.disseminate, c.refresh} {
		c.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	c.tasks.Wait()
}

// Leave announces to the members that this host is stopping, as far as the context
// allows. It must be called before the context of Run ends.
func (c *Cluster) Leave(ctx context.Context) {
	c.members.Leave()
	var calls sync.WaitGroup
	for _, target := range c.disseminationTargets() {
		calls.Go(func() { _, _ = c.ping(ctx, target, false) })
	}
	calls.Wait()
}

// Self returns the membership state of this host.
func (c *Cluster) Self() ebonyworks.Member { return c.members.Self() }

// Alive returns the other members that are alive or suspected.
func (c *Cluster) Alive() []ebonyworks.Host { return c.members.Alive() }

// Members returns all other known members, dead ones included.
func (c *Cluster) Members() []ebonyworks.Member { return c.members.Members() }

// PullState exchanges gossip with the host at the address and requests its
// complete state.
func (c *Cluster) PullState(ctx context.Context, to netip.AddrPort) error {
	_, err := c.ping(ctx, to, true)
	return err
}

// Readiness reports whether the membership was refreshed since the start or the
// last pause, and whether this incarnation is the current one and not stopping.
func (c *Cluster) Readiness() ebonyworks.Readiness {
	c.CheckPause()
	var reasons []string
	if !c.Refreshed() {
		reasons = append(reasons, "state not refreshed since the start or a pause")
	}
	if c.members.Replaced() {
		reasons = append(reasons, "a later incarnation of this host is running")
	}
	if c.members.Self().State == ebonyworks.MemberLeft {
		reasons = append(reasons, "stopping")
	}
	return ebonyworks.Readiness{Reasons: reasons}
}

// Refreshed reports whether the state was refreshed since the start or the last pause
// that was noticed. The answer that ended the refresh was passed to the contributors
// before.
func (c *Cluster) Refreshed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refreshed
}

// View is a snapshot of what a host knows about the other hosts.
type View struct {
	Self ebonyworks.Member
	// Members are all other known members.
	Members []ebonyworks.Member
	// Unreachable are addresses of seeds, listed hosts and dead members at which no
	// member is known to answer.
	Unreachable []netip.AddrPort
	// Isolated is set while no peer answers.
	Isolated bool
	// HostListReadAt is when the host list was last read; zero means never.
	HostListReadAt time.Time
}

// View returns a snapshot of what this host knows about the others.
func (c *Cluster) View() View {
	view := View{Self: c.members.Self(), Members: c.members.Members(), Unreachable: c.UnreachableAddresses()}
	c.mu.Lock()
	defer c.mu.Unlock()
	view.Isolated = c.isolated
	view.HostListReadAt = c.listReadAt
	return view
}

func (c *Cluster) suspicionTime() time.Duration {
	size := float64(len(c.members.Alive()) + 1)
	factor := suspicionFactor * max(1, math.Log10(size))
	return time.Duration(factor * float64(probeInterval))
}

func (c *Cluster) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if c.config.Recorder != nil {
		c.config.Recorder.Record(event.New(id, attributes...))
	}
}

func hostAttributes(host ebonyworks.Host) []ebonyworks.Attribute {
	return []ebonyworks.Attribute{
		event.Attribute("Host", string(host.ID)),
		event.Attribute("Incarnation", strconv.FormatUint(uint64(host.Incarnation), 10)),
		event.Attribute("Address", host.Address.String()),
	}
}

// chance returns true with the given probability.
func (c *Cluster) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < probability
}

// jitter returns d, randomly lengthened or shortened by up to the given share.
func (c *Cluster) jitter(d time.Duration, share float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(d) * (1 + share*(2*c.random.Float64()-1)))
}

func (c *Cluster) shuffle(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
