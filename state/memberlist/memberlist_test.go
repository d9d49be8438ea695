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

func fact(id string, incarnation ebonyworks.Incarnation, round uint64, state ebonyworks.MemberState) ebonyworks.Member {
	host := ebonyworks.Host{ID: ebonyworks.HostID(id), Incarnation: incarnation, Address: netip.MustParseAddrPort("10.0.0.1:1")}
	return ebonyworks.Member{Host: host, RefutationNumber: round, State: state}
}

// Guards against facts that move a member backwards: every order of arrival
// must end with the same state.
func TestMergeIsOrderIndependent(t *testing.T) {
	facts := []ebonyworks.Member{
		fact("a", 1, 0, ebonyworks.MemberAlive),
		fact("a", 1, 0, ebonyworks.MemberDead),
		fact("a", 1, 1, ebonyworks.MemberAlive),
		fact("a", 2, 0, ebonyworks.MemberAlive),
		fact("a", 2, 0, ebonyworks.MemberSuspect),
		fact("a", 1, 9, ebonyworks.MemberLeft),
		fact("a", 2, 1, ebonyworks.MemberAlive),
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		random.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
		r := memberlist.New(fact("self", 1, 0, 0).Host)
		for _, f := range facts {
			r.Merge(f, time.Now())
		}
		member, found := r.Member("a")
		assert.True(t, found)
		assert.Equal(t, fact("a", 2, 1, ebonyworks.MemberAlive), member)
	}
}

// Guards against hosts that can't refute, and against a host that goes on
// although a later incarnation of it runs.
func TestFactsAboutSelf(t *testing.T) {
	r := memberlist.New(fact("self", 5, 0, 0).Host)
	now := time.Now()
	assert.Equal(t, memberlist.Change{}, r.Merge(fact("self", 4, 9, ebonyworks.MemberDead), now))
	assert.True(t, r.Merge(fact("self", 5, 3, ebonyworks.MemberSuspect), now).Refuted)
	assert.Equal(t, uint64(4), r.Self().RefutationNumber)
	assert.False(t, r.Merge(fact("self", 5, math.MaxUint64, ebonyworks.MemberSuspect), now).Refuted)
	assert.False(t, r.Replaced())
	assert.True(t, r.Merge(fact("self", 6, 0, ebonyworks.MemberAlive), now).Replaced)
	assert.True(t, r.Replaced())
	r.Leave()
	assert.Equal(t, ebonyworks.Member{Host: r.Self().Host, RefutationNumber: 5, State: ebonyworks.MemberLeft}, r.Self())
}

// Guards against suspicions that never end and members that are kept for ever.
func TestExpire(t *testing.T) {
	r := memberlist.New(fact("self", 1, 0, 0).Host)
	now := time.Now()
	r.Merge(fact("a", 1, 0, ebonyworks.MemberAlive), now)
	assert.False(t, r.Suspect(fact("a", 0, 0, 0).Host, now))
	assert.True(t, r.Suspect(fact("a", 1, 0, 0).Host, now))
	assert.Len(t, r.Alive(), 1)
	assert.Empty(t, r.Expire(time.Second, now.Add(time.Millisecond)))
	r.RestartSuspicions(now.Add(time.Second))
	assert.Empty(t, r.Expire(time.Second, now.Add(1500*time.Millisecond)))
	assert.Len(t, r.Expire(time.Second, now.Add(2*time.Second)), 1)
	assert.Empty(t, r.Alive())
	r.Expire(time.Second, now.Add(24*time.Hour))
	assert.Empty(t, r.Members())
}

// Guards against messages beyond the budget, and against new facts that are
// left out in favor of old ones.
func TestFacts(t *testing.T) {
	r := memberlist.New(fact("self", 1, 0, 0).Host)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		r.Merge(fact(fmt.Sprintf("m%04d", i), 1, 0, ebonyworks.MemberAlive), time.Now())
	}
	assert.Equal(t, 4097, r.Size())
	size := memberlist.EncodedSize(fact("m0000", 1, 0, 0))
	for range 500 {
		assert.LessOrEqual(t, len(r.SelectUpdates(10*size, 1, 2, random))*size, 10*size)
	}
	assert.Len(t, r.SelectUpdates(10*size, 1, 2, random), 2)
	r.Merge(fact("m0001", 1, 1, ebonyworks.MemberAlive), time.Now())
	assert.Equal(t, fact("m0001", 1, 1, ebonyworks.MemberAlive), r.SelectUpdates(10*size, 1, 2, random)[0])
}
