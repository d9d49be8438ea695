// Package subset chooses the servers of a service that a host keeps connections to, for
// services whose servers accept fewer connections than there are hosts.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// minSize is the size of the smallest subset, since a hedge needs a second server.
	minSize = 2
	// fillFactor is the fraction of the connections that subsets are sized for. The
	// rest is kept free because hosts choose independently, so that some servers get
	// more connections than the average.
	fillFactor = 0.85
)

// Chooser chooses the subsets of one host. It has no state.
type Chooser struct {
	Host   ebonyworks.HostID
	Domain ebonyworks.DomainID
}

// Choose moves the candidates of the subset to the front and returns the size of the
// subset. It prefers the servers of the host's own failure domain, then those with the
// highest score (rendezvous hashing), so adding or removing one server doesn't change
// the choice among the others. Cold servers are chosen after warm ones, and failing
// servers last.
func (c Chooser) Choose(candidates []ebonyworks.Candidate, connectionCap, hosts int) int {
	size := Size(len(candidates), connectionCap, hosts)
	if size >= len(candidates) {
		return len(candidates)
	}
	slices.SortFunc(candidates, func(a, b ebonyworks.Candidate) int {
		return cmp.Or(
			compareBool(a.Failing, b.Failing),
			compareBool(a.Cold, b.Cold),
			compareBool(a.Server.Domain != c.Domain, b.Server.Domain != c.Domain),
			cmp.Compare(c.score(b.Server.ID), c.score(a.Server.ID)),
		)
	})
	return size
}

// Size returns how many of the servers each host may use, so that all hosts together
// stay within the connections that the servers accept. It is at least two if there are
// two servers.
func Size(servers, connectionCap, hosts int) int {
	if connectionCap <= 0 || hosts <= 0 {
		return servers
	}
	fitting := int(fillFactor * float64(servers*connectionCap) / float64(hosts))
	return min(servers, max(minSize, fitting))
}

func (c Chooser) score(server ebonyworks.ServerID) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], c.Host...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, server...))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
