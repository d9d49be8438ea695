// Package subset chooses the servers of a service that a host keeps
// connections to when the servers accept fewer connections than there are
// hosts.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// minimum is the smallest subset: a hedge needs a second server.
	minimum = 2
	// fill is the part of the connections that is planned for. Hosts choose
	// independently, so single servers get more than their share.
	fill = 0.85
)

// Chooser chooses for one host. It has no state.
type Chooser struct {
	Host   ebonyworks.HostID
	Domain ebonyworks.DomainID
}

// Choose moves the candidates of the subset to the front and returns how many
// they are. The subset is stable: it holds the servers of the host's own domain
// first, then those with the highest rendezvous score, so a server that comes
// or goes changes no other choice. Failing servers are passed over.
func (c Chooser) Choose(candidates []ebonyworks.Candidate, connectionCap, hosts int) int {
	size := Size(len(candidates), connectionCap, hosts)
	if size >= len(candidates) {
		return len(candidates)
	}
	slices.SortFunc(candidates, func(a, b ebonyworks.Candidate) int {
		return cmp.Or(
			order(a.Failing, b.Failing),
			order(a.Server.Domain != c.Domain, b.Server.Domain != c.Domain),
			cmp.Compare(c.score(b.Server.ID), c.score(a.Server.ID)),
		)
	})
	return size
}

// Size returns how many of the servers each host may use, so that all hosts
// together stay within the connections that the servers accept. It is at least
// two.
func Size(servers, connectionCap, hosts int) int {
	if connectionCap <= 0 || hosts <= 0 {
		return servers
	}
	fitting := int(fill * float64(servers*connectionCap) / float64(hosts))
	return min(servers, max(minimum, fitting))
}

func (c Chooser) score(server ebonyworks.ServerID) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], c.Host...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, server...))
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
