package storesource_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/discovery"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
	"github.com/ebonyworks/ebonyworks/coordination/storerelay"
	"github.com/ebonyworks/ebonyworks/coordination/storesource"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
	"github.com/ebonyworks/ebonyworks/standin/platformstore"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

const (
	// applyTime is the time in which changes have to be in force.
	applyTime = 6 * time.Second
	// nearDelay and farDelay are the way between hosts, within and between domains.
	nearDelay = 200 * time.Microsecond
	farDelay  = 1500 * time.Microsecond
	// frameBytes is the size of a message besides its content.
	frameBytes = 120
	// exchangeTime is how often each host tells another one what it knows.
	exchangeTime = time.Second
)

// fleet is a number of hosts that read one store.
type fleet struct {
	t     *testing.T
	store *platformstore.Store
	hosts []*host
	// messages and bytes are those between hosts.
	mutex           sync.Mutex
	messages, bytes int
	farBytes        int
	// mute keeps hosts from telling each other what they know.
	mute bool
}

// host is one host of the fleet. Its state and its life are guarded by the fleet's
// mutex.
type host struct {
	fleet *fleet
	self  ebonyworks.Host
	state hostState
	life  *life
	// known are all other hosts: membership learns of losses late.
	known []ebonyworks.Host
}

// life is one start of a host.
type life struct {
	upstream *storesource.FailoverReader
	follower *discovery.Follower
	replica  *storerelay.Relay
	stop     context.CancelFunc
	stopped  chan struct{}
}

// current returns the life of the host; nil before it starts.
func (h *host) current() *life {
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	return h.life
}

type hostState int

const (
	works hostState = iota
	// dead hosts refuse connections.
	dead
	// silent hosts are frozen or cut off from everything.
	silent
	// domainCut hosts reach nobody outside of their domain, nor the store.
	domainCut
	// peersCut hosts reach the store only.
	peersCut
	// storeCut hosts hear nothing more of the store, on calls that wait neither.
	storeCut
	// panics is the state of hosts whose reports can't be handled.
	panics
)

func newFleet(t *testing.T, count, domains int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: &platformstore.Store{}}
	f.configure(1)
	for i := range 40 {
		f.register(fmt.Sprintf("server-%d", i), false)
	}
	for i := range count {
		self := ebonyworks.Host{
			ID:      ebonyworks.HostID(fmt.Sprintf("host-%d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Domain:  ebonyworks.DomainID(fmt.Sprintf("domain-%d", i%domains)),
		}
		f.hosts = append(f.hosts, &host{fleet: f, self: self})
	}
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if other != h {
				h.known = append(h.known, other.self)
			}
		}
	}
	for i := range f.hosts {
		f.hosts[i].start(uint64(i))
	}
	return f
}

// end stops all hosts and waits for the messages on their way.
func (f *fleet) end() {
	for _, h := range f.hosts {
		h.current().stop()
	}
	for _, h := range f.hosts {
		<-h.current().stopped
	}
	time.Sleep(time.Minute)
}

func (f *fleet) register(id string, leaving bool) {
	f.store.Add(ebonyworks.StoreChange{Registration: &ebonyworks.Registration{
		Server:  ebonyworks.Server{ID: ebonyworks.ServerID(id), Address: netip.MustParseAddrPort("10.9.0.1:80")},
		Service: "s", Slots: 2, Draining: leaving,
	}})
}

func (f *fleet) configure(revision int) ebonyworks.StoreRevision {
	return f.store.Add(ebonyworks.StoreChange{Configuration: &ebonyworks.ForwardConfiguration{Revision: ebonyworks.Revision(revision)}})
}

// start starts the host, or a new life of it.
func (h *host) start(seed uint64) {
	up := &storesource.FailoverReader{
		Self: h.self, Store: cutStore{h, h.fleet.store.Reader(h.self.ID)}, Peers: h, Alive: h.others,
		Seed: h == h.fleet.hosts[0], FirstStart: seed < 1000, ApplyTime: applyTime, Random: rand.New(rand.NewPCG(seed, 1)),
	}
	follower := &discovery.Follower{Store: up, Directory: &serverregistry.Directory{}, ApplyTime: applyTime, Random: rand.New(rand.NewPCG(seed, 2))}
	ctx, cancel := context.WithCancel(context.Background())
	begun := &life{upstream: up, follower: follower, replica: storerelay.New(follower, up), stop: cancel, stopped: make(chan struct{})}
	h.fleet.mutex.Lock()
	h.life = begun
	h.fleet.mutex.Unlock()
	go func() {
		defer close(begun.stopped)
		follower.Run(ctx)
	}()
	go h.gossip(ctx, begun, rand.New(rand.NewPCG(seed, 9)))
}

// gossip tells another host what this one knows, and learns what the other does.
func (h *host) gossip(ctx context.Context, own *life, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(exchangeTime):
		}
		other := h.fleet.hosts[random.IntN(len(h.fleet.hosts))]
		if h.fleet.delay(h, other) < 0 || h.fleet.isMute() {
			continue
		}
		theirs := other.current()
		theirs.follower.Heard(own.follower.Named())
		own.follower.Heard(theirs.follower.Named())
		if _, fresh := theirs.upstream.Age(); fresh {
			own.upstream.SuggestSource(other.self)
		}
		if _, fresh := own.upstream.Age(); fresh {
			theirs.upstream.SuggestSource(h.self)
		}
	}
}

func (h *host) is(state hostState) bool {
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	return h.state == state
}

func (f *fleet) isMute() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.mute
}

func (h *host) set(state hostState) {
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	h.state = state
}

func (h *host) others() []ebonyworks.Host { return h.known }

// delay returns the way between two hosts, or -1 if no message arrives.
func (f *fleet) delay(from, to *host) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	same := from.self.Domain == to.self.Domain
	for _, h := range []*host{from, to} {
		switch h.state {
		case silent, peersCut, dead:
			return -1
		case domainCut:
			if !same {
				return -1
			}
		case works, storeCut, panics:
		}
	}
	if same {
		return nearDelay
	}
	return farDelay
}

// Follow asks another host.
func (h *host) Follow(ctx context.Context, from ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreReport, error) {
	index := slices.IndexFunc(h.fleet.hosts, func(other *host) bool { return other.self.ID == from.ID })
	other := h.fleet.hosts[index]
	h.fleet.mutex.Lock()
	refused := other.state == dead || other.life == nil
	h.fleet.mutex.Unlock()
	if refused {
		return ebonyworks.StoreReport{}, context.DeadlineExceeded
	}
	if other.is(panics) {
		panic("unexpected report")
	}
	delay := h.fleet.delay(h, other)
	if delay < 0 {
		<-ctx.Done()
		return ebonyworks.StoreReport{}, ctx.Err()
	}
	if err := ctx.Err(); err != nil {
		return ebonyworks.StoreReport{}, err
	}
	time.Sleep(delay)
	report, err := other.current().replica.Follow(ctx, after, wait)
	if h.fleet.delay(other, h) < 0 {
		<-ctx.Done()
		return ebonyworks.StoreReport{}, ctx.Err()
	}
	time.Sleep(delay)
	h.fleet.count(&report, delay == farDelay)
	return report, err
}

func (f *fleet) count(report *ebonyworks.StoreReport, far bool) {
	size := 2 * frameBytes
	if len(report.Changes) > 0 {
		encoded, err := storereport.Encode(report.StoreListing)
		if err != nil {
			f.t.Error(err)
		}
		size += len(encoded)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.messages += 2
	f.bytes += size
	if far {
		f.farBytes += size
	}
}

// cutStore is the store as a host reaches it.
type cutStore struct {
	host *host
	ebonyworks.StoreReader
}

func (s cutStore) reached() bool {
	s.host.fleet.mutex.Lock()
	defer s.host.fleet.mutex.Unlock()
	return s.host.state == works || s.host.state == peersCut || s.host.state == panics
}

var errCut = &ebonyworks.StoreError{Kind: ebonyworks.StoreUnavailable, Message: "cut off"}

// List fails late while the host is cut off.
func (s cutStore) List(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	if !s.reached() {
		time.Sleep(500 * time.Millisecond)
		return ebonyworks.StoreListing{}, errCut
	}
	return s.StoreReader.List(ctx, fresh)
}

// Watch fails late while the host is cut off.
func (s cutStore) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	begin := time.Now()
	if s.reached() {
		listing, err := s.StoreReader.Watch(ctx, after, wait)
		if s.reached() {
			return listing, err
		}
	}
	silence := 500 * time.Millisecond
	if s.host.is(storeCut) {
		silence += wait - time.Since(begin)
	}
	select {
	case <-time.After(silence):
	case <-ctx.Done():
	}
	return ebonyworks.StoreListing{}, errCut
}

// readers returns the first host of each domain, by the order that all compute.
func (f *fleet) readers() []*host {
	var readers []*host
	for _, h := range f.hosts {
		if storereaders.New(h.self, h.others()).Rank() == 0 {
			readers = append(readers, h)
		}
	}
	return readers
}

// knowing returns the hosts that work and don't know the revision yet.
func (f *fleet) lagging(revision ebonyworks.StoreRevision) []ebonyworks.HostID {
	var lagging []ebonyworks.HostID
	for _, h := range f.hosts {
		f.mutex.Lock()
		state, current := h.state, h.life
		f.mutex.Unlock()
		if (state == works || state == peersCut) && current.follower.AsOf() < revision {
			lagging = append(lagging, h.self.ID)
		}
	}
	return lagging
}

// until returns how long it takes until all working hosts know the revision.
func (f *fleet) until(revision ebonyworks.StoreRevision) time.Duration {
	begin := time.Now()
	for len(f.lagging(revision)) > 0 && time.Since(begin) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func inFleet(t *testing.T, count, domains int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, count, domains)
		defer f.end()
		time.Sleep(10 * time.Second)
		require.Empty(t, f.lagging(f.store.Revision()))
		test(t, f)
	})
}

// Guards against a cost of the store that grows with the fleet: each host reads
// it itself.
func TestCallsDontGrowWithFleet(t *testing.T) {
	calls := make(map[int]int)
	for _, count := range []int{30, 300} {
		inFleet(t, count, 6, func(t *testing.T, f *fleet) {
			for i := range 15 {
				f.register(fmt.Sprintf("server-%d", i), true)
				time.Sleep(2 * time.Second)
			}
			calls[count] = f.store.Calls()
			assert.Less(t, f.until(f.store.Revision()), applyTime)
		})
	}
	assert.LessOrEqual(t, float64(calls[300]), 1.5*float64(calls[30]), "calls of 30 and 300 hosts: %v", calls)
}

// Guards against changes that are late or never known somewhere since hosts that
// others follow are lost, frozen, cut off or turned away, one after the other or
// all at once. Membership doesn't know of any of this.
func TestChangesReachAllHosts(t *testing.T) {
	for _, test := range []struct {
		name   string
		happen func(f *fleet)
		within time.Duration
	}{
		{"nothing happens", func(*fleet) {}, applyTime / 2},
		{"readers die", func(f *fleet) { f.fail(dead, f.readers()) }, applyTime},
		{"readers freeze", func(f *fleet) { f.fail(silent, f.readers()) }, applyTime},
		{"readers are turned away", func(f *fleet) { f.turnAway(platformstore.Refused, f.readers()) }, applyTime},
		{"one reader is turned away", func(f *fleet) { f.turnAway(platformstore.Refused, f.readers()[:1]) }, applyTime / 2},
		{"one reader and a third of the hosts are turned away", func(f *fleet) {
			f.turnAway(platformstore.Refused, f.readers()[:1])
			f.turnAway(platformstore.Refused, f.each(3))
		}, applyTime},
		{"readers hear nothing of the store", func(f *fleet) { f.turnAway(platformstore.Silent, f.readers()) }, applyTime},
		{"one host in three dies", func(f *fleet) { f.fail(dead, f.each(3)) }, applyTime},
		{"one host in three freezes", func(f *fleet) { f.fail(silent, f.each(3)) }, applyTime},
		{"half of the hosts and all readers are turned away", func(f *fleet) {
			f.turnAway(platformstore.Refused, f.readers())
			f.turnAway(platformstore.Refused, f.each(2))
		}, applyTime},
		{"some hosts reach the store only", func(f *fleet) { f.fail(peersCut, f.each(5)) }, applyTime},
		{"readers reach the store only", func(f *fleet) { f.fail(peersCut, f.readers()) }, applyTime},
		{"a domain is cut off", func(f *fleet) {
			for _, h := range f.hosts {
				if h.self.Domain == "domain-1" {
					h.set(domainCut)
				}
			}
		}, applyTime},
		{"history is dropped", func(f *fleet) { f.store.DropHistory(3) }, applyTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, 32, 4, func(t *testing.T, f *fleet) {
				test.happen(f)
				f.register("server-1", true)
				took := f.until(f.configure(2))
				assert.LessOrEqual(t, took, test.within, "lagging: %v", f.lagging(f.store.Revision()))
				time.Sleep(5 * time.Second)
				assert.LessOrEqual(t, f.until(f.configure(3)), applyTime)
			})
		})
	}
}

func (f *fleet) fail(state hostState, hosts []*host) {
	for _, h := range hosts {
		h.set(state)
	}
}

func (f *fleet) turnAway(trouble platformstore.Trouble, hosts []*host) {
	for _, h := range hosts {
		f.store.SetTroubleOf(h.self.ID, trouble)
	}
}

// each returns one host of the given number.
func (f *fleet) each(number int) []*host {
	var hosts []*host
	for i := 0; i < len(f.hosts); i += number {
		hosts = append(hosts, f.hosts[i])
	}
	return hosts
}

// Guards against an outage in which all hosts of the fleet call the store again
// and again, and against a return that is noticed late.
func TestOutageCostsFewCalls(t *testing.T) {
	for _, trouble := range []platformstore.Trouble{platformstore.Refused, platformstore.Silent} {
		inFleet(t, 60, 6, func(t *testing.T, f *fleet) {
			before := f.store.Calls()
			f.store.SetTrouble(trouble)
			f.register("server-1", true)
			time.Sleep(10 * time.Second)
			assert.Less(t, f.store.Calls()-before, 6*4*10*2, "four hosts of each domain, about once a second")
			f.store.SetTrouble(platformstore.None)
			assert.LessOrEqual(t, f.until(f.store.Revision()), applyTime)
		})
	}
}

// Guards against followers that take entries which lapsed during an outage for
// servers that left, and against such servers that are used for ever.
func TestFollowersKeepLapsedServers(t *testing.T) {
	inFleet(t, 20, 2, func(t *testing.T, f *fleet) {
		f.store.SetTrouble(platformstore.Refused)
		time.Sleep(10 * time.Second)
		f.store.Add(ebonyworks.StoreChange{Removed: "server-1"})
		f.store.Add(ebonyworks.StoreChange{Removed: "server-2"})
		f.store.SetTrouble(platformstore.None)
		assert.Less(t, f.until(f.store.Revision()), 2*time.Second)
		assert.Equal(t, len(f.hosts), f.using("server-1"))
		f.register("server-1", false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.hosts), f.using("server-1"))
		assert.Zero(t, f.using("server-2"))
	})
}

// Guards against a server that left and is in use again on hosts that start
// afterwards, since another host passes on a removed entry that it still keeps, or
// was frozen when the server left.
func TestRestartedHostUsesNoDepartedServer(t *testing.T) {
	inFleet(t, 20, 2, func(t *testing.T, f *fleet) {
		frozen := f.readers()
		f.fail(silent, frozen)
		f.register("server-1", true)
		f.store.Add(ebonyworks.StoreChange{Removed: "server-2"})
		f.until(f.store.Revision())
		f.store.SetTrouble(platformstore.Refused)
		time.Sleep(5 * time.Second)
		f.store.Add(ebonyworks.StoreChange{Removed: "server-3"})
		f.store.SetTrouble(platformstore.None)
		f.fail(works, frozen)
		for i, h := range f.hosts {
			if i%3 == 0 && !slices.Contains(frozen, h) {
				h.restart(uint64(1000 + i))
			}
		}
		time.Sleep(4 * time.Second)
		assert.Empty(t, f.lagging(f.store.Revision()))
		for _, server := range []ebonyworks.ServerID{"server-1", "server-2", "server-3"} {
			assert.Zero(t, f.using(server), server)
		}
		assert.Equal(t, len(f.hosts), f.using("server-4"))
	})
}

// Guards against a reader that is turned away and follows a host that follows it:
// both would take each other's word for the state of the store.
func TestHostsDontFollowEachOther(t *testing.T) {
	inFleet(t, 16, 2, func(t *testing.T, f *fleet) {
		f.mutex.Lock()
		f.mute = true
		f.mutex.Unlock()
		f.turnAway(platformstore.Refused, f.readers()[:1])
		assert.LessOrEqual(t, f.until(f.configure(2)), applyTime/2)
		time.Sleep(time.Second)
		assert.LessOrEqual(t, f.until(f.configure(3)), applyTime/2)
	})
}

// Guards against hosts without any way to the store that take each other's word
// for its state, and pass it on.
func TestHostsWithoutStoreGrowStale(t *testing.T) {
	inFleet(t, 12, 2, func(t *testing.T, f *fleet) {
		var cut []*host
		for _, h := range f.hosts {
			if h.self.Domain == "domain-0" {
				cut = append(cut, h)
			}
		}
		f.fail(domainCut, cut)
		time.Sleep(2 * applyTime)
		for _, h := range cut {
			_, fresh := h.current().upstream.Age()
			assert.False(t, fresh, h.self.ID)
		}
		f.fail(works, cut)
		time.Sleep(applyTime)
		for _, h := range cut {
			_, fresh := h.current().upstream.Age()
			assert.True(t, fresh, h.self.ID)
		}
	})
}

// Guards against hosts that ask each other all the time while the ones that they
// would follow are away.
func TestFewMessages(t *testing.T) {
	inFleet(t, 60, 4, func(t *testing.T, f *fleet) {
		f.fail(dead, f.readers())
		time.Sleep(5 * time.Second)
		f.mutex.Lock()
		before := f.messages
		f.mutex.Unlock()
		time.Sleep(10 * time.Second)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		assert.Less(t, f.messages-before, 60*10*6, "three questions a second of each host")
	})
}

// Guards against a fleet that can't start since all hosts wait for each other.
func TestAllHostsStartTogether(t *testing.T) {
	inFleet(t, 60, 4, func(t *testing.T, f *fleet) {
		for i, h := range f.hosts {
			h.restart(uint64(1000 + i))
		}
		begin := time.Now()
		for _, h := range f.hosts {
			for !h.current().follower.Ready() && time.Since(begin) < time.Minute {
				time.Sleep(time.Millisecond)
			}
		}
		assert.Less(t, time.Since(begin), 2*time.Second)
	})
}

func (h *host) restart(seed uint64) {
	h.current().stop()
	<-h.current().stopped
	h.start(seed)
}

// using returns the number of hosts that use the server.
func (f *fleet) using(server ebonyworks.ServerID) int {
	count := 0
	for _, h := range f.hosts {
		known := h.current().follower
		known.Expire()
		if known.Directory.Servers()[server] {
			count++
		}
	}
	return count
}

// Guards against a report of another host that takes the process down: the next
// host in order is followed.
func TestPanicOnReport(t *testing.T) {
	inFleet(t, 16, 2, func(t *testing.T, f *fleet) {
		f.fail(panics, f.readers())
		assert.LessOrEqual(t, f.until(f.configure(2)), applyTime)
	})
}
