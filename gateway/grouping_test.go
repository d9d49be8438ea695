package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

// groupingServers is the number of servers in a generated history.
const groupingServers = 4

// generateHistory returns changes of a few servers that register, drain, lapse, return and
// start again, in the order of their revisions.
func generateHistory(random *rand.Rand) []ebonyworks.StoreChange {
	var incarnations [groupingServers]ebonyworks.Incarnation
	history := make([]ebonyworks.StoreChange, 30)
	for i := range history {
		server := random.IntN(groupingServers)
		id := ebonyworks.ServerID(fmt.Sprint("server-", server))
		if i >= groupingServers && random.IntN(3) == 0 {
			history[i] = ebonyworks.StoreChange{Revision: ebonyworks.StoreRevision(i + 1), Removed: id}
			continue
		}
		if incarnations[server] == 0 || random.IntN(8) == 0 {
			incarnations[server]++
		}
		history[i] = ebonyworks.StoreChange{Revision: ebonyworks.StoreRevision(i + 1), Registration: &ebonyworks.Registration{
			Server:  ebonyworks.Server{ID: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(server)}), 80)},
			Service: ebonyworks.ServiceID(fmt.Sprint("service-", server%2)), Slots: 2, Sequence: uint64(i),
			Incarnation: incarnations[server], Draining: random.IntN(4) == 0,
		}}
	}
	return history
}

// splitHistory splits the history into answers of the store at random. Each repeats some
// earlier changes and has its changes in any order.
func splitHistory(random *rand.Rand, history []ebonyworks.StoreChange) []ebonyworks.StoreListing {
	var answers []ebonyworks.StoreListing
	for begin := 0; begin < len(history); {
		end := min(len(history), begin+1+random.IntN(8))
		changes := slices.Clone(history[max(0, begin-random.IntN(3)):end])
		random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
		answers = append(answers, ebonyworks.StoreListing{AsOf: ebonyworks.StoreRevision(end), Changes: changes})
		begin = end
	}
	return answers
}

// usableServers applies the answers to a new gateway and returns the servers to which it
// sends requests afterwards.
func usableServers(answers []ebonyworks.StoreListing) map[ebonyworks.ServerID]ebonyworks.Server {
	g := New(Options{Self: ebonyworks.Host{ID: "host"}})
	for _, answer := range answers {
		for _, change := range g.registry.Apply(answer, time.Time{}) {
			g.registrationChanged(change)
		}
		g.pruneState()
	}
	usable := make(map[ebonyworks.ServerID]ebonyworks.Server)
	for _, id := range []ebonyworks.ServiceID{"service-0", "service-1"} {
		service := g.registry.Service(id)
		if service == nil {
			continue
		}
		for _, candidate := range (candidateSource{g}).Candidates(service, false) {
			usable[candidate.Server.ID] = candidate.Server
		}
	}
	return usable
}

// Guards against servers that are used or not depending on how the store groups and
// orders the changes in its answers, and whether it repeats some.
func TestGroupingOfChangesDoesNotMatter(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		history := generateHistory(random)
		registered := make(map[ebonyworks.ServerID]ebonyworks.Server)
		for _, change := range history {
			if change.Registration == nil {
				delete(registered, change.Removed)
				continue
			}
			delete(registered, change.Registration.Server.ID)
			if !change.Registration.Draining {
				registered[change.Registration.Server.ID] = change.Registration.Server
			}
		}
		assert.Equal(t, registered, usableServers(splitHistory(random, history)), "seed %d", seed)
	}
}

// Guards against a server that gets no more requests because its removal is reported on
// another goroutine, and later, than its return.
func TestRemovalIsReportedAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Self: ebonyworks.Host{ID: "host"}})
		registration := &ebonyworks.Registration{
			Server:  ebonyworks.Server{ID: "server", Address: netip.MustParseAddrPort("10.0.0.1:80")},
			Service: "service", Slots: 2, Incarnation: 1,
		}
		apply := func(change ebonyworks.StoreChange) []serverregistry.Change {
			return g.registry.Apply(ebonyworks.StoreListing{Changes: []ebonyworks.StoreChange{change}}, time.Now().Add(time.Second))
		}
		report := func(changes []serverregistry.Change) {
			for _, change := range changes {
				g.registrationChanged(change)
			}
			g.pruneState()
		}
		report(apply(ebonyworks.StoreChange{Revision: 1, Registration: registration}))
		report(apply(ebonyworks.StoreChange{Revision: 2, Removed: "server"}))
		time.Sleep(time.Second)
		expired := g.registry.Expire()
		assert.Len(t, expired, 1)
		report(apply(ebonyworks.StoreChange{Revision: 3, Registration: registration}))
		report(expired)
		assert.Len(t, (candidateSource{g}).Candidates(g.registry.Service("service"), false), 1)
	})
}

// Guards against requests to the address of another server: an entry that lapses is no
// registration, although its server may be kept in use.
func TestKeptServerStaysMisdirected(t *testing.T) {
	g := New(Options{Self: ebonyworks.Host{ID: "host"}})
	registration := &ebonyworks.Registration{
		Server:  ebonyworks.Server{ID: "server", Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Service: "service", Slots: 2, Incarnation: 1,
	}
	apply := func(change ebonyworks.StoreChange) {
		for _, change := range g.registry.Apply(ebonyworks.StoreListing{Changes: []ebonyworks.StoreChange{change}}, time.Now().Add(time.Minute)) {
			g.registrationChanged(change)
		}
		g.pruneState()
	}
	candidates := func() int {
		return len((candidateSource{g}).Candidates(g.registry.Service("service"), false))
	}
	apply(ebonyworks.StoreChange{Revision: 1, Registration: registration})
	assert.Equal(t, 1, candidates())
	g.serverStates.Observe(ebonyworks.AttemptRecord{Server: "server", Result: ebonyworks.AttemptDraining})
	assert.Zero(t, candidates())
	apply(ebonyworks.StoreChange{Revision: 2, Removed: "server"})
	assert.Zero(t, candidates())
	apply(ebonyworks.StoreChange{Revision: 3, Registration: registration})
	assert.Equal(t, 1, candidates())
}
