package discovery_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/discovery"
	"github.com/ebonyworks/ebonyworks/coordination/storesource"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/standin/platformstore"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

// store is the platform's store, which answers without delay.
type store struct {
	platformstore.Store
}

func newStore() *store { return &store{platformstore.Store{Latency: -1}} }

func (s *store) register(id string, leaving bool) {
	s.Add(ebonyworks.StoreChange{Registration: &ebonyworks.Registration{
		Server:  ebonyworks.Server{ID: ebonyworks.ServerID(id), Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Service: "s", Slots: 2, Draining: leaving,
	}})
}

func (s *store) configure(revision int) {
	s.Add(ebonyworks.StoreChange{Configuration: &ebonyworks.ForwardConfiguration{Revision: ebonyworks.Revision(revision)}})
}

func follow(t *testing.T, s *store) *discovery.Follower {
	t.Helper()
	return followSource(t, &storesource.FailoverReader{Store: s.Reader("host")})
}

func followSource(t *testing.T, source ebonyworks.StoreReader) *discovery.Follower {
	t.Helper()
	follower := &discovery.Follower{Store: source, Directory: &serverregistry.Directory{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

func revision(follower *discovery.Follower) int {
	table := follower.Table()
	if table == nil {
		return 0
	}
	return int(table.Configuration().Revision)
}

func usable(follower *discovery.Follower, id string) bool {
	follower.Expire()
	return follower.Directory.Servers()[ebonyworks.ServerID(id)]
}

// Guards against a host that serves an old listing: the first one is behind,
// and the host isn't ready before it has the changes since then.
func TestOldListingIsCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.register("a", false)
		s.configure(3)
		s.register("a", true)
		s.register("b", false)
		s.configure(4)
		s.SetBehind(3)
		follower := follow(t, s)
		assert.False(t, follower.Ready())
		synctest.Wait()
		assert.True(t, follower.Ready())
		assert.Equal(t, 4, revision(follower))
		assert.False(t, usable(follower, "a"))
		assert.True(t, usable(follower, "b"))
	})
}

// Guards against changes that take effect later than 3 s after they were
// accepted, and against a call of the store for each of them.
func TestChangesTakeEffectInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		s.register("a", false)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		before := s.Calls()
		for i := range 100 {
			s.configure(2 + i)
			time.Sleep(50 * time.Millisecond)
		}
		s.register("a", true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, 101, revision(follower))
		assert.False(t, usable(follower, "a"))
		assert.Less(t, s.Calls()-before, 20)
	})
}

// Guards against a host that goes back to an older configuration, whatever the
// store or a peer says.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(5)
		follower := follow(t, s)
		synctest.Wait()
		s.configure(4)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 5, revision(follower))
	})
}

// Guards against a dropped history that is taken for no changes.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		s.register("a", false)
		s.register("b", false)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		s.SetTrouble(platformstore.Refused)
		time.Sleep(31 * time.Second)
		s.Add(ebonyworks.StoreChange{Removed: "a"})
		s.configure(2)
		s.DropHistory(4)
		s.SetTrouble(platformstore.None)
		time.Sleep(4 * time.Second)
		assert.Equal(t, 2, revision(follower))
		assert.False(t, usable(follower, "a"))
		assert.True(t, usable(follower, "b"))
	})
}

// Guards against shards without servers after an outage in which all entries
// lapsed, and against servers that are used for longer than the 2 s in which
// live ones are back.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		s.register("alive", false)
		s.register("dead", false)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		s.SetTrouble(platformstore.Refused)
		time.Sleep(40 * time.Second)
		s.Add(ebonyworks.StoreChange{Removed: "alive"})
		s.Add(ebonyworks.StoreChange{Removed: "dead"})
		s.SetTrouble(platformstore.None)
		time.Sleep(1500 * time.Millisecond)
		assert.True(t, usable(follower, "alive"))
		s.register("alive", false)
		time.Sleep(4 * time.Second)
		assert.True(t, usable(follower, "alive"))
		assert.False(t, usable(follower, "dead"))
	})
}

// Guards against a backlog that is worked off with a pause after each portion:
// a host that the store turned away for 9 s was on an old configuration for
// five more.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		s.SetTrouble(platformstore.Refused)
		time.Sleep(40 * time.Second)
		for i := range 2600 {
			s.register(fmt.Sprintf("server-%d", i), false)
		}
		s.configure(2)
		s.SetTrouble(platformstore.None)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, 2, revision(follower))
	})
}

// Guards against changes that wait behind a call whose answer never comes: the
// store was silent, answers again, and one host's watch is lost.
func TestLostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		s.register("a", false)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		s.SetTrouble(platformstore.Silent)
		s.Add(ebonyworks.StoreChange{Removed: "nobody"})
		time.Sleep(20 * time.Second)
		s.SetTrouble(platformstore.None)
		time.Sleep(2 * time.Second)
		s.register("a", true)
		time.Sleep(2500 * time.Millisecond)
		assert.False(t, usable(follower, "a"))
	})
}

// Guards against watches that wait for long after they were sent while the
// store was silent, without a failed call before: the store counts as back 4 s
// after its return, and a change then has 3 s.
func TestWatchSentIntoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		s.register("a", false)
		follower := follow(t, s)
		time.Sleep(time.Minute)
		s.configure(2)
		time.Sleep(100 * time.Millisecond)
		s.SetTrouble(platformstore.Silent)
		time.Sleep(1500 * time.Millisecond)
		s.SetTrouble(platformstore.None)
		time.Sleep(4 * time.Second)
		s.register("a", true)
		time.Sleep(3 * time.Second)
		assert.False(t, usable(follower, "a"))
	})
}

// deaf returns a follower whose waiting watch hears nothing of the store, which
// then gets configuration 2 with revision 3.
func deaf(t *testing.T) *discovery.Follower {
	t.Helper()
	s := newStore()
	s.configure(1)
	follower := follow(t, s)
	time.Sleep(time.Minute)
	s.SetTrouble(platformstore.Silent)
	s.Add(ebonyworks.StoreChange{Removed: "nobody"})
	time.Sleep(1200 * time.Millisecond)
	s.SetTrouble(platformstore.None)
	s.configure(2)
	return follower
}

// Guards against a host that doesn't notice that its peers know more while its
// own watch waits.
func TestPeersKnowMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := deaf(t)
		for range 5 {
			follower.Heard(ebonyworks.StoreRevision(3))
			time.Sleep(time.Second)
		}
		assert.Equal(t, 2, revision(follower))
	})
}

// Guards against a host that takes peers that know less, since the store turns
// them away, for a sign that its own silent watch missed nothing.
func TestSomePeersKnowLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := deaf(t)
		for range 10 {
			follower.Heard(ebonyworks.StoreRevision(3))
			time.Sleep(150 * time.Millisecond)
			follower.Heard(ebonyworks.StoreRevision(1))
			time.Sleep(150 * time.Millisecond)
		}
		assert.Equal(t, 2, revision(follower))
	})
}

// Guards against a silent watch that outlasts the time in which changes have to
// be in force, since peers speak to this host about once a second only.
func TestOneMessageOfPeerIsEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := deaf(t)
		time.Sleep(time.Second)
		follower.Heard(ebonyworks.StoreRevision(3))
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, 2, revision(follower))
	})
}

// panicking is a store whose first answers can't be handled.
type panicking struct {
	ebonyworks.StoreReader
	mutex sync.Mutex
	left  int
}

func (p *panicking) take() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.left > 0 {
		p.left--
		panic("unexpected answer of the store")
	}
}

// List may panic.
func (p *panicking) List(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	listing, err := p.StoreReader.List(ctx, fresh)
	p.take()
	return listing, err
}

// Watch may panic.
func (p *panicking) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	listing, err := p.StoreReader.Watch(ctx, after, wait)
	p.take()
	return listing, err
}

// Guards against one answer of the store that takes the process down, or that
// keeps it from following the store.
func TestPanicOnStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		broken := &panicking{StoreReader: s.Reader("host"), left: 2}
		follower := &discovery.Follower{Store: &storesource.FailoverReader{Store: broken}, Directory: &serverregistry.Directory{}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1, revision(follower))
		broken.mutex.Lock()
		broken.left = 1
		broken.mutex.Unlock()
		s.configure(2)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 2, revision(follower))
		cancel()
		<-done
	})
}

// behind is a source whose watches show nothing and end soon, until one of them is
// given up.
type behind struct {
	ebonyworks.StoreReader
	givenUp atomic.Bool
}

// Watch returns changes only after a watch was given up.
func (b *behind) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	if b.givenUp.Load() {
		return b.StoreReader.Watch(ctx, after, wait)
	}
	if !wakeup.Wait(ctx, min(wait, 500*time.Millisecond), nil) {
		b.givenUp.Store(true)
		return ebonyworks.StoreListing{}, ctx.Err()
	}
	return ebonyworks.StoreListing{AsOf: after}, nil
}

// Guards against a host that forgets with each new watch that its peers know more,
// so that it stays with a source that is behind.
func TestRenewedWatchesAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.configure(1)
		follower := followSource(t, &behind{StoreReader: s.Reader("host")})
		time.Sleep(time.Minute)
		s.configure(2)
		follower.Heard(ebonyworks.StoreRevision(2))
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, 2, revision(follower))
	})
}
