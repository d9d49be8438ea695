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
type attemptLimit struct {
	// fallback is the server that the smaller host asks; zero if there is none.
	fallback ebonyworks.ServerHash
	// fallbackOnly is set on the smaller host.
	fallbackOnly bool
	// taken is set while the fallback counts among the servers that may have run
	// the request on this host.
	fallbackAttempted bool
}

// shareOf returns the share of the shard at the index.
func attemptLimitFor(from origin, shard int) attemptLimit {
	if shard >= len(from.fallbacks) {
		return attemptLimit{}
	}
	return attemptLimit{fallback: from.fallbacks[shard], fallbackOnly: !from.relayed}
}

// admits reports whether the server may get an attempt while this host alone
// would be allowed to ask the given number of further servers.
func (s *attemptLimit) allows(server ebonyworks.ServerID, remaining int) bool {
	switch {
	case s.fallbackOnly:
		return s.isFallback(server)
	case s.fallback == 0 || s.fallbackAttempted || s.isFallback(server):
		return remaining > 0
	default:
		return remaining > 1
	}
}

// take records an attempt at the server.
func (s *attemptLimit) recordAttempt(server ebonyworks.ServerID) {
	if s.isFallback(server) {
		s.fallbackAttempted = true
	}
}

// giveBack records that an attempt at the server didn't run.
func (s *attemptLimit) recordNotRun(server ebonyworks.ServerID) {
	if s.isFallback(server) {
		s.fallbackAttempted = false
	}
}

func (s *attemptLimit) isFallback(server ebonyworks.ServerID) bool {
	return s.fallback != 0 && s.fallback == serverHash(server)
}

// tagOf returns the tag of a server; it is never zero.
func serverHash(server ebonyworks.ServerID) ebonyworks.ServerHash {
	return ebonyworks.ServerHash(max(1, uint16(xxhash.Sum64String(string(server)))))
}

// fallbacks chooses a server of each shard for the case that the host to which
// the request is delegated doesn't answer: one in this host's domain, as most
// larger hosts that it asks, or else any, with another choice for each request.
func (f *Forwarder) fallbacks(request *ebonyworks.ForwardRequest, route *routing.Route) []ebonyworks.ServerHash {
	seed := xxhash.Sum64String(string(request.ID))
	hashes := make([]ebonyworks.ServerHash, len(route.Shards))
	unavailable := f.ServerStates.Unavailable()
	for i, shard := range route.Shards {
		if service := f.Registry.Service(shard); service != nil {
			hashes[i] = fallback(service, f.Domain, unavailable, seed)
		}
	}
	return hashes
}

// fallback returns the tag of a server that isn't avoided, or zero if there is none
// or tags don't tell the servers apart.
func fallback(service *ebonyworks.Service, domain ebonyworks.DomainID, unavailable map[ebonyworks.ServerID]bool, seed uint64) ebonyworks.ServerHash {
	var chosen ebonyworks.ServerHash
	var best uint64
	chosenInDomain, ambiguous := false, false
	for i := range service.Servers {
		server := &service.Servers[i]
		hash := serverHash(server.ID)
		score := mix(seed, hash)
		inDomain := server.Domain == domain
		switch {
		case unavailable[server.ID]:
		case hash == chosen:
			ambiguous = true
		case chosen == 0 || inDomain && !chosenInDomain || inDomain == chosenInDomain && score > best:
			chosen, best, chosenInDomain, ambiguous = hash, score, inDomain, false
		}
	}
	if ambiguous {
		return 0
	}
	return chosen
}

// mix returns a number that depends on all bits of both.
func mix(seed uint64, hash ebonyworks.ServerHash) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (seed ^ uint64(hash)) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
