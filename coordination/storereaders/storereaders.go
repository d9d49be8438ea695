// Package storereaders decides which hosts read the platform's store directly,
// on behalf of the others.
package storereaders

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// ReaderOrder is the order in which the hosts read the store, as one host sees it.
// In each failure domain the first host that works reads, and the others follow
// it. All hosts compute the same order from the membership. Where their views of
// it differ, a domain has more readers for a while, or hosts follow a reader of
// another domain. The zero value is that of a host without a domain.
type ReaderOrder struct {
	self ebonyworks.Host
	// own are the hosts of the same domain, this one included, in their order.
	own []ebonyworks.Host
	// foreign are the first hosts of each other domain, in an order of this host.
	foreign []ebonyworks.Host
}

// foreignRanks is the number of hosts of each other domain that are followed if
// no host of the own domain knows the store.
const foreignRanks = 2

// maxBefore bounds the hosts that read before another one of the domain.
const maxBefore = 8

// New returns the order among this host and the others that are alive.
func New(self ebonyworks.Host, others []ebonyworks.Host) ReaderOrder {
	domains := map[ebonyworks.DomainID][]scored{self.Domain: {{self, score(self.ID)}}}
	for _, host := range others {
		domains[host.Domain] = append(domains[host.Domain], scored{host, score(host.ID)})
	}
	r := ReaderOrder{self: self}
	for domain, hosts := range domains {
		slices.SortFunc(hosts, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
		if domain != self.Domain {
			hosts = hosts[:min(len(hosts), foreignRanks)]
		}
		for _, one := range hosts {
			if domain == self.Domain {
				r.own = append(r.own, one.host)
			} else {
				r.foreign = append(r.foreign, one.host)
			}
		}
	}
	// Each host begins with another domain, so that none has all followers of a
	// domain that lost its readers.
	slices.SortFunc(r.foreign, func(a, b ebonyworks.Host) int { return cmp.Compare(score(self.ID, a.ID), score(self.ID, b.ID)) })
	return r
}

// scored is a host with its place in the order of its domain.
type scored struct {
	host  ebonyworks.Host
	score uint64
}

// Rank returns this host's place in its domain, from 0.
func (r ReaderOrder) Rank() int {
	return max(0, slices.IndexFunc(r.own, func(host ebonyworks.Host) bool { return host.ID == r.self.ID }))
}

// Preceding returns the hosts of the domain that read before this one, up to a
// number that isn't lost at the same time without the whole domain.
func (r ReaderOrder) Preceding() []ebonyworks.Host {
	return slices.Clone(r.own[:min(r.Rank(), maxBefore, len(r.own))])
}

// Fallbacks returns the hosts to follow if none before this one knows the store:
// those of the domain that come next, and some of each other domain.
func (r ReaderOrder) Fallbacks() []ebonyworks.Host {
	next := r.own[min(r.Rank()+1, len(r.own)):]
	return append(slices.Clone(next[:min(len(next), foreignRanks)]), r.foreign...)
}

// score orders hosts, independently of the order of their names.
func score(hosts ...ebonyworks.HostID) uint64 {
	digest := xxhash.New()
	for _, host := range hosts {
		// xxhash never returns an error.
		_, _ = digest.WriteString(string(host))
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
