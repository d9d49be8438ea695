package storereaders_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
)

func hosts(count, domains int) []ebonyworks.Host {
	hosts := make([]ebonyworks.Host, count)
	for i := range hosts {
		hosts[i] = ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprintf("host-%d", i)), Domain: ebonyworks.DomainID(fmt.Sprint(i % domains))}
	}
	return hosts
}

// Guards against a domain in which two hosts, or none, consider themselves the
// reader because they list the members in different orders, and against callers that
// modify the order through a returned slice.
func TestOneReaderInEachDomain(t *testing.T) {
	fleet := hosts(60, 4)
	random := rand.New(rand.NewPCG(1, 2))
	readers := make(map[ebonyworks.DomainID]int)
	ranks := make(map[int]int)
	for i, self := range fleet {
		others := append(append([]ebonyworks.Host(nil), fleet[:i]...), fleet[i+1:]...)
		random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		order := storereaders.New(self, others)
		rank := order.Rank()
		ranks[rank]++
		if rank == 0 {
			readers[self.Domain]++
		}
		all := append(order.Preceding(), order.Fallbacks()...)
		assert.Equal(t, rank, order.Rank(), "after the use of its lists")
		assert.Len(t, order.Preceding(), min(rank, 8))
		assert.NotContains(t, all, self)
		assert.Subset(t, fleet, all)
	}
	assert.Equal(t, map[ebonyworks.DomainID]int{"0": 1, "1": 1, "2": 1, "3": 1}, readers)
	for rank := range 15 {
		assert.Equal(t, 4, ranks[rank], "hosts of rank %d", rank)
	}
}

// Guards against hosts that have no host to follow if their domain loses its
// readers, and against all followers of that domain turning to the same host.
func TestFallbacksAreSpread(t *testing.T) {
	fleet := hosts(60, 4)
	first := make(map[ebonyworks.HostID]int)
	for i, self := range fleet {
		if self.Domain != "0" {
			continue
		}
		order := storereaders.New(self, append(append([]ebonyworks.Host(nil), fleet[:i]...), fleet[i+1:]...))
		domains := make(map[ebonyworks.DomainID]int)
		for _, other := range order.Fallbacks() {
			domains[other.Domain]++
		}
		for _, domain := range []ebonyworks.DomainID{"1", "2", "3"} {
			assert.Equal(t, 2, domains[domain])
		}
		others := order.Fallbacks()
		first[others[len(others)-6].ID]++
	}
	assert.GreaterOrEqual(t, len(first), 3)
}

// Guards against a single host that doesn't read the store.
func TestSingleHost(t *testing.T) {
	order := storereaders.New(ebonyworks.Host{ID: "only"}, nil)
	assert.Zero(t, order.Rank())
	assert.Empty(t, order.Preceding())
	assert.Empty(t, order.Fallbacks())
}
