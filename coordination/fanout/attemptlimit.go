package fanout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

// attemptLimit bounds the servers of one shard that this host sends a request to
// if another host may run it too: together they use no more servers than the
// route allows. Otherwise a larger host that is late, lost or frozen after it has
// started hedges and the smaller host that then runs the request could exceed
// that number. Both hosts know the fallback before anything is sent, so the limit
// needs no further message. The zero value sets no limit.
type attemptLimit struct {
	// fallback is the server that the smaller host sends the request to; zero if
	// there is none.
	fallback ebonyworks.ServerHash
	// fallbackOnly is set on the smaller host.
	fallbackOnly bool
	// fallbackAttempted is set while the fallback counts among the servers that
	// may have run the request on this host.
	fallbackAttempted bool
}

// attemptLimitFor returns the limit of the shard at the index.
func attemptLimitFor(from origin, shard int) attemptLimit {
	if shard >= len(from.fallbacks) {
		return attemptLimit{}
	}
	return attemptLimit{fallback: from.fallbacks[shard], fallbackOnly: !from.relayed}
}

// allows reports whether the server may get an attempt if this host alone would
// be allowed to use the given number of further servers.
func (l *attemptLimit) allows(server ebonyworks.ServerID, remaining int) bool {
	switch {
	case l.fallbackOnly:
		return l.isFallback(server)
	case l.fallback == 0 || l.fallbackAttempted || l.isFallback(server):
		return remaining > 0
	default:
		return remaining > 1
	}
}

// recordAttempt records an attempt at the server.
func (l *attemptLimit) recordAttempt(server ebonyworks.ServerID) {
	if l.isFallback(server) {
		l.fallbackAttempted = true
	}
}

// recordNotRun records that the server didn't run the request.
func (l *attemptLimit) recordNotRun(server ebonyworks.ServerID) {
	if l.isFallback(server) {
		l.fallbackAttempted = false
	}
}

func (l *attemptLimit) isFallback(server ebonyworks.ServerID) bool {
	return l.fallback != 0 && l.fallback == serverHash(server)
}

// serverHash returns the hash of a server id; it is never zero.
func serverHash(server ebonyworks.ServerID) ebonyworks.ServerHash {
	return ebonyworks.ServerHash(max(1, uint16(xxhash.Sum64String(string(server)))))
}

// fallbacks chooses a server of each shard for the case that the host to which
// the request is delegated doesn't answer. It prefers servers in this host's
// failure domain, which most larger hosts that it delegates to share, and varies
// the choice between requests.
func (f *Forwarder) fallbacks(request *ebonyworks.ForwardRequest, route *routing.Route) []ebonyworks.ServerHash {
	seed := xxhash.Sum64String(string(request.ID))
	hashes := make([]ebonyworks.ServerHash, len(route.Shards))
	unavailable := f.ServerStates.Unavailable()
	unwanted := union(unavailable, f.ServerStates.RateLimited())
	for i, shard := range route.Shards {
		service := f.Registry.Service(shard)
		if service == nil {
			continue
		}
		hashes[i] = fallback(service, f.Domain, unwanted, seed)
		if hashes[i] == 0 && len(unwanted) > len(unavailable) {
			hashes[i] = fallback(service, f.Domain, unavailable, seed)
		}
	}
	return hashes
}

// union returns the servers in either set.
func union(a, b map[ebonyworks.ServerID]bool) map[ebonyworks.ServerID]bool {
	if len(a) == 0 {
		return b
	}
	for server := range a {
		if b != nil {
			b[server] = true
		}
	}
	if b == nil {
		return a
	}
	return b
}

// fallback returns the hash of a server that is available, or zero if there is
// none or the hashes of two servers are equal.
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

// mix returns a number that depends on all bits of seed and hash.
func mix(seed uint64, hash ebonyworks.ServerHash) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (seed ^ uint64(hash)) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
