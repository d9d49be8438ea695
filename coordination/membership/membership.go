// Package membership tracks the membership of entry hosts: which are alive,
// which are suspected, and which left. It follows the SWIM protocol and piggybacks
// the state of other packages on its messages.
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
	// probeInterval is the time between two probes of this host.
	probeInterval = time.Second
	// directTime and relayTime together are shorter than probeInterval.
	directTime = 350 * time.Millisecond
	relayTime  = 550 * time.Millisecond
	// relayCount is the number of indirect probes before a suspicion.
	relayCount = 3
	// maxRelays bounds the probes that this host runs for others at a time.
	maxRelays = 16
	// maxProbes bounds the probes in flight.
	maxProbes = 4
	// suspicionFactor times the probe interval times the decimal logarithm of
	// the size is the time that a suspected member has to refute.
	suspicionFactor = 4
	// beatInterval is the interval of the host's own tick.
	beatInterval = 200 * time.Millisecond
	// pauseGap is the gap between ticks that counts as a pause.
	pauseGap = time.Second
	// retriesPerSecond is how often all hosts of a side together try each
	// member that doesn't answer, so that a healed partition is found at once.
	retriesPerSecond = 2
)

// Contributor adds its facts to messages and learns from those of others.
type Contributor interface {
	// Contribute adds facts of about budget bytes at most.
	Contribute(message *ebonyworks.GossipMessage, budget int)
	// Receive learns from a message. It was made after the time asked; if asked
	// is zero, the age of the message is unknown.
	Receive(message ebonyworks.GossipMessage, asked time.Time)
	// MarkStale tells that the process was paused: what was known may be stale.
	MarkStale()
}

// HostListObserver takes the platform's host list.
type HostListObserver interface {
	Listed(hosts []ebonyworks.ListedHost, asked time.Time)
}

// Config holds what a Guild needs. Only Renews, Seeds, Platform, Recorder,
// ReadsOften and Beat may be zero.
type Config struct {
	Self ebonyworks.Host
	// MayRaiseIncarnation is set if nothing but the membership names the incarnation of this
	// host, so that it may take a later one.
	MayRaiseIncarnation bool
	// Seeds are addresses of hosts to find others through.
	Seeds []netip.AddrPort
	Peer  ebonyworks.Peer
	// Platform has the host list. Nil means that there is none, and members are
	// found through seeds and each other only.
	Platform ebonyworks.Platform
	// Random belongs to the Guild.
	Random   *rand.Rand
	Recorder ebonyworks.EventRecorder
	// IsDesignatedReader tells whether this host reads the host list every second for
	// all others. Nil means that it does.
	IsDesignatedReader func() bool
	// OnHeartbeat is called at every tick of the host's clock, for example to feed a
	// watchdog.
	OnHeartbeat func()
}

// Cluster keeps the membership of entry hosts. Use New, Attach, then Run.
type Cluster struct {
	config       Config
	roster       *memberlist.Roster
	contributors []Contributor
	listReaders  []HostListObserver
	spreadWake   chan struct{}
	refreshWake  chan struct{}
	tasks        sync.WaitGroup
	probes       chan struct{}
	relays       chan struct{}

	mu sync.Mutex
	// random is used only under mu.
	random *rand.Rand
	// lastBeat is zero until Run.
	lastBeat time.Time
	// freshSince is when the host started or was last resumed. Only answers
	// that were asked for since then count as fresh.
	freshSince time.Time
	refreshed  bool
	// isolated is set while no known peer answers.
	isolated bool
	// order holds the members that are still to be probed in this round.
	order []ebonyworks.HostID
	// listed are the entry hosts of the platform's list, at most maxListed.
	listed     []ebonyworks.ListedHost
	listAt     time.Time
	listFailed bool
	budget     burstBudget
}

// New returns a guild of one host.
func New(config Config) *Cluster {
	members := memberlist.New(config.Self)
	members.Renews = config.MayRaiseIncarnation
	return &Cluster{
		config:      config,
		roster:      members,
		random:      config.Random,
		spreadWake:  make(chan struct{}, 1),
		refreshWake: make(chan struct{}, 1),
		probes:      make(chan struct{}, maxProbes),
		relays:      make(chan struct{}, maxRelays),
	}
}

// Attach adds a contributor. If it is a HostListObserver, it gets the host list,
// too. Attach must not be called after Run.
func (c *Cluster) Attach(contributor Contributor) {
	c.contributors = append(c.contributors, contributor)
	if reader, found := contributor.(HostListObserver); found {
		c.listReaders = append(c.listReaders, reader)
	}
}

// Run keeps the membership until the context ends, and returns when all of
// its work has stopped.
func (c *Cluster) Run(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	c.lastBeat, c.freshSince = now, now
	c.budget = burstBudget{tokens: burstCapacity, filled: now}
	c.mu.Unlock()
	for _, loop := range []func(context.Context){c.beat, c.probe, c.readList, c.spread, c.refresh} {
		c.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	c.tasks.Wait()
}

// Leave tells all members that this host is stopping, as far as the context
// allows. Call it before the context of Run ends.
func (c *Cluster) Leave(ctx context.Context) {
	c.roster.Leave()
	var calls sync.WaitGroup
	for _, target := range c.spreadTargets() {
		calls.Go(func() { _, _ = c.exchange(ctx, target, false) })
	}
	calls.Wait()
}

// Self returns the fact about this host.
func (c *Cluster) Self() ebonyworks.Member { return c.roster.Self() }

// Alive returns the other members that are alive or only suspected.
func (c *Cluster) Alive() []ebonyworks.Host { return c.roster.Alive() }

// Members returns all other members that are known.
func (c *Cluster) Members() []ebonyworks.Member { return c.roster.Members() }

// PullState exchanges with the host at the address and asks for all that it knows.
func (c *Cluster) PullState(ctx context.Context, to netip.AddrPort) error {
	_, err := c.exchange(ctx, to, true)
	return err
}

// Readiness tells whether the state is fresh.
func (c *Cluster) Readiness() ebonyworks.Readiness {
	c.CheckPause()
	var reasons []string
	c.mu.Lock()
	if !c.refreshed {
		reasons = append(reasons, "state not refreshed since the start or a pause")
	}
	c.mu.Unlock()
	if c.roster.Replaced() {
		reasons = append(reasons, "a later incarnation of this host is running")
	}
	if c.roster.Self().State == ebonyworks.MemberLeft {
		reasons = append(reasons, "stopping")
	}
	return ebonyworks.Readiness{Reasons: reasons}
}

// View is what a host sees and doesn't see of the others.
type View struct {
	Self ebonyworks.Member
	// Members are all other members that are known.
	Members []ebonyworks.Member
	// Unreachable are addresses of seeds, listed hosts and dead members at
	// which no member answers.
	Unreachable []netip.AddrPort
	// Isolated is set while no peer answers.
	Isolated bool
	// HostListReadAt is when the host list was last read; zero means never.
	HostListReadAt time.Time
}

// View returns what this host sees and doesn't see.
func (c *Cluster) View() View {
	view := View{Self: c.roster.Self(), Members: c.roster.Members(), Unreachable: c.UnreachableAddresses()}
	c.mu.Lock()
	defer c.mu.Unlock()
	view.Isolated = c.isolated
	view.HostListReadAt = c.listAt
	return view
}

func (c *Cluster) suspicionTime() time.Duration {
	size := float64(len(c.roster.Alive()) + 1)
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

// chance returns true with the probability.
func (c *Cluster) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < probability
}

// jitter returns a duration within the share around d.
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
