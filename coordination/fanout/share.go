package fanout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

// share bounds the servers of one shard that this host asks when another host
// runs the same request: together they ask no more servers than the route allows.
// It answers the load in which a larger host is late, lost or frozen after it has
// made second attempts, and the smaller host runs the request, too. Both know the
// fallback before anything is sent, so the bound needs no further message.
// The zero value bounds nothing.
type share struct {
	// fallback is the server that the smaller host asks; zero if there is none.
	fallback ebonyworks.ServerHash
	// fallbackOnly is set on the smaller host.
	fallbackOnly bool
	// taken is set while the fallback counts among the servers that may have run
	// the request on this host.
	taken bool
}

// shareOf returns the share of the shard at the index.
func shareOf(from origin, shard int) share {
	if shard >= len(from.fallbacks) {
		return share{}
	}
	return share{fallback: from.fallbacks[shard], fallbackOnly: !from.relayed}
}

// admits reports whether the server may get an attempt while this host alone
// would be allowed to ask the given number of further servers.
func (s *share) admits(server ebonyworks.ServerID, left int) bool {
	switch {
	case s.fallbackOnly:
		return s.names(server)
	case s.fallback == 0 || s.taken || s.names(server):
		return left > 0
	default:
		return left > 1
	}
}

// take records an attempt at the server.
func (s *share) take(server ebonyworks.ServerID) {
	if s.names(server) {
		s.taken = true
	}
}

// giveBack records that an attempt at the server didn't run.
func (s *share) giveBack(server ebonyworks.ServerID) {
	if s.names(server) {
		s.taken = false
	}
}

func (s *share) names(server ebonyworks.ServerID) bool {
	return s.fallback != 0 && s.fallback == tagOf(server)
}

// tagOf returns the tag of a server; it is never zero.
func tagOf(server ebonyworks.ServerID) ebonyworks.ServerHash {
	return ebonyworks.ServerHash(max(1, uint16(xxhash.Sum64String(string(server)))))
}

// fallbacks chooses a server of each shard for the case that the host to which
// the request is delegated doesn't answer: one in this host's domain, as most
// larger hosts that it asks, or else any, with another choice for each request.
func (f *Forwarder) fallbacks(request *ebonyworks.ForwardRequest, route *routing.Route) []ebonyworks.ServerHash {
	seed := xxhash.Sum64String(string(request.ID))
	tags := make([]ebonyworks.ServerHash, len(route.Shards))
	avoided := f.ServerStates.Unavailable()
	for i, shard := range route.Shards {
		if view := f.Registry.Service(shard); view != nil {
			tags[i] = fallback(view, f.Domain, avoided, seed)
		}
	}
	return tags
}

// fallback returns the tag of a server that isn't avoided, or zero if there is none
// or tags don't tell the servers apart.
func fallback(view *ebonyworks.Service, domain ebonyworks.DomainID, avoided map[ebonyworks.ServerID]bool, seed uint64) ebonyworks.ServerHash {
	var chosen ebonyworks.ServerHash
	var best uint64
	near, ambiguous := false, false
	for i := range view.Servers {
		server := &view.Servers[i]
		tag := tagOf(server.ID)
		score := mix(seed, tag)
		isNear := server.Domain == domain
		switch {
		case avoided[server.ID]:
		case tag == chosen:
			ambiguous = true
		case chosen == 0 || isNear && !near || isNear == near && score > best:
			chosen, best, near, ambiguous = tag, score, isNear, false
		}
	}
	if ambiguous {
		return 0
	}
	return chosen
}

// mix returns a number that depends on all bits of both.
func mix(seed uint64, tag ebonyworks.ServerHash) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (seed ^ uint64(tag)) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
