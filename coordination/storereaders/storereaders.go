// Package storereaders selects the hosts that read the platform's store directly; the
// others follow them.
package storereaders

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// ReaderOrder is the order of preference in which the hosts of each failure domain
// read the store, from the point of view of one host. In each domain the first
// working host reads, and the others follow it. All hosts compute the same order
// from the membership by hashing. Where their views of the membership differ, a
// domain has more than one reader for a while, or hosts follow a reader of another
// domain. The zero value is that of a host without a domain.
type ReaderOrder struct {
	self ebonyworks.Host
	// sameDomain are the hosts of this host's domain, itself included, in the order
	// of the domain.
	sameDomain []ebonyworks.Host
	// otherDomains are the first hosts of each other domain, in an order that differs
	// between hosts.
	otherDomains []ebonyworks.Host
}

// fallbacksPerDomain is the number of hosts in each domain that are followed if no
// preceding host of the same domain has a current copy of the store.
const fallbacksPerDomain = 2

// maxPreceding bounds the hosts that Preceding returns.
const maxPreceding = 8

// New returns the order of this host and the others that are alive.
func New(self ebonyworks.Host, others []ebonyworks.Host) ReaderOrder {
	domains := map[ebonyworks.DomainID][]scoredHost{self.Domain: {{self, score(self.ID)}}}
	for _, host := range others {
		domains[host.Domain] = append(domains[host.Domain], scoredHost{host, score(host.ID)})
	}
	r := ReaderOrder{self: self}
	for domain, hosts := range domains {
		slices.SortFunc(hosts, func(a, b scoredHost) int { return cmp.Compare(a.score, b.score) })
		if domain != self.Domain {
			hosts = hosts[:min(len(hosts), fallbacksPerDomain)]
		}
		for _, entry := range hosts {
			if domain == self.Domain {
				r.sameDomain = append(r.sameDomain, entry.host)
			} else {
				r.otherDomains = append(r.otherDomains, entry.host)
			}
		}
	}
	// The order depends on the host, so that the followers of a domain that lost its
	// readers don't all turn to the same host.
	slices.SortFunc(r.otherDomains, func(a, b ebonyworks.Host) int { return cmp.Compare(score(self.ID, a.ID), score(self.ID, b.ID)) })
	return r
}

// scoredHost is a host with the hash that orders the hosts of its domain.
type scoredHost struct {
	host  ebonyworks.Host
	score uint64
}

// Rank returns this host's position in the order of its domain, starting at 0.
func (r ReaderOrder) Rank() int {
	return max(0, slices.IndexFunc(r.sameDomain, func(host ebonyworks.Host) bool { return host.ID == r.self.ID }))
}

// Preceding returns the hosts of the domain that read before this one. There are
// at most maxPreceding of them, since so many hosts only fail at the same time if the
// whole domain does.
func (r ReaderOrder) Preceding() []ebonyworks.Host {
	return slices.Clone(r.sameDomain[:min(r.Rank(), maxPreceding, len(r.sameDomain))])
}

// Fallbacks returns the hosts to follow if no preceding host has a current copy of
// the store: the next ones of the domain, then some of each other domain.
func (r ReaderOrder) Fallbacks() []ebonyworks.Host {
	next := r.sameDomain[min(r.Rank()+1, len(r.sameDomain)):]
	return append(slices.Clone(next[:min(len(next), fallbacksPerDomain)]), r.otherDomains...)
}

// IsFirst reports whether this host is one of the first of its domain, which hosts of
// other domains follow.
func (r ReaderOrder) IsFirst() bool { return r.Rank() < fallbacksPerDomain }

// CopySources returns the hosts of which a host without a copy of the store expects its
// first one: the first hosts of its domain. Those expect it of each other and of the first
// hosts of other domains, and also of the others of their domain, since the store may
// answer only one of these. So a copy reaches all hosts from any host with at most two
// others on its way.
func (r ReaderOrder) CopySources() (first, others []ebonyworks.Host) {
	first = slices.Clone(r.sameDomain[:min(fallbacksPerDomain, len(r.sameDomain))])
	if !r.IsFirst() {
		return first, nil
	}
	others = slices.Clone(r.sameDomain[len(first):])
	first = slices.DeleteFunc(first, func(host ebonyworks.Host) bool { return host.ID == r.self.ID })
	return append(first, r.otherDomains...), others
}

// score returns a hash that orders hosts independently of the order of their names.
func score(hosts ...ebonyworks.HostID) uint64 {
	digest := xxhash.New()
	for _, host := range hosts {
		// xxhash never returns an error.
		_, _ = digest.WriteString(string(host))
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
