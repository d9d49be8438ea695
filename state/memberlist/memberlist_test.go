package memberlist_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/memberlist"
)

func member(id string, incarnation ebonyworks.Incarnation, refutation uint64, state ebonyworks.MemberState) ebonyworks.Member {
	host := ebonyworks.Host{ID: ebonyworks.HostID(id), Incarnation: incarnation, Address: netip.MustParseAddrPort("10.0.0.1:1")}
	return ebonyworks.Member{Host: host, RefutationNumber: refutation, State: state}
}

// Guards against updates that return a member to an older state: every order of
// arrival must end with the same state.
func TestMergeIsOrderIndependent(t *testing.T) {
	members := []ebonyworks.Member{
		member("a", 1, 0, ebonyworks.MemberAlive),
		member("a", 1, 0, ebonyworks.MemberDead),
		member("a", 1, 1, ebonyworks.MemberAlive),
		member("a", 2, 0, ebonyworks.MemberAlive),
		member("a", 2, 0, ebonyworks.MemberSuspect),
		member("a", 1, 9, ebonyworks.MemberLeft),
		member("a", 2, 1, ebonyworks.MemberAlive),
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		l := memberlist.New(member("self", 1, 0, 0).Host)
		for _, f := range members {
			l.Merge(f, time.Now())
		}
		known, found := l.Member("a")
		assert.True(t, found)
		assert.Equal(t, member("a", 2, 1, ebonyworks.MemberAlive), known)
	}
}

// Guards against hosts that can't refute a suspicion, and against a host that continues
// although a later incarnation of it runs.
func TestUpdatesAboutSelf(t *testing.T) {
	l := memberlist.New(member("self", 5, 0, 0).Host)
	now := time.Now()
	assert.Equal(t, memberlist.Change{}, l.Merge(member("self", 4, 9, ebonyworks.MemberDead), now))
	assert.True(t, l.Merge(member("self", 5, 3, ebonyworks.MemberSuspect), now).Refuted)
	assert.Equal(t, uint64(4), l.Self().RefutationNumber)
	assert.False(t, l.Merge(member("self", 5, math.MaxUint64, ebonyworks.MemberSuspect), now).Refuted)
	assert.False(t, l.Replaced())
	assert.True(t, l.Merge(member("self", 6, 0, ebonyworks.MemberAlive), now).Replaced)
	assert.True(t, l.Replaced())
	l.Leave()
	assert.Equal(t, ebonyworks.Member{Host: l.Self().Host, RefutationNumber: 5, State: ebonyworks.MemberLeft}, l.Self())
}

// Guards against suspicions that never end and members that are kept forever.
func TestExpire(t *testing.T) {
	l := memberlist.New(member("self", 1, 0, 0).Host)
	now := time.Now()
	l.Merge(member("a", 1, 0, ebonyworks.MemberAlive), now)
	assert.False(t, l.Suspect(member("a", 0, 0, 0).Host, now))
	assert.True(t, l.Suspect(member("a", 1, 0, 0).Host, now))
	assert.Len(t, l.Alive(), 1)
	assert.Empty(t, l.Expire(time.Second, now.Add(time.Millisecond)))
	l.RestartSuspicions(now.Add(time.Second))
	assert.Empty(t, l.Expire(time.Second, now.Add(1500*time.Millisecond)))
	assert.Len(t, l.Expire(time.Second, now.Add(2*time.Second)), 1)
	assert.Empty(t, l.Alive())
	l.Expire(time.Second, now.Add(24*time.Hour))
	assert.Empty(t, l.Members())
}

// Guards against messages larger than the budget, and against new updates that are
// omitted in favor of old ones.
func TestSelectUpdates(t *testing.T) {
	l := memberlist.New(member("self", 1, 0, 0).Host)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		l.Merge(member(fmt.Sprintf("m%04d", i), 1, 0, ebonyworks.MemberAlive), time.Now())
	}
	assert.Equal(t, 4097, l.Size())
	size := memberlist.EncodedSize(member("m0000", 1, 0, 0))
	for range 500 {
		assert.LessOrEqual(t, len(l.SelectUpdates(10*size, 1, 2, random))*size, 10*size)
	}
	assert.Len(t, l.SelectUpdates(10*size, 1, 2, random), 2)
	l.Merge(member("m0001", 1, 1, ebonyworks.MemberAlive), time.Now())
	assert.Equal(t, member("m0001", 1, 1, ebonyworks.MemberAlive), l.SelectUpdates(10*size, 1, 2, random)[0])
}
