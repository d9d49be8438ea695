package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// choice picks the server of a single attempt. It depends only on the
// fingerprint, the known deaths and the servers, so hosts that know the same
// pick the same one.
type choice struct {
	fingerprint ebonyworks.Fingerprint
	// reached are the servers that went away under the fingerprint.
	reached []ebonyworks.ServerID
}

type option struct {
	replicas ebonyworks.ShardReplicas
	server   ebonyworks.Server
}

// first prefers shards that keep a working server if the attempt kills one.
// Without such a shard the last working server is used, because refusing
// would make a shard with one server left useless for new requests.
func (c choice) first(shards []ebonyworks.ShardReplicas) (option, bool) {
	var last option
	found := false
	for _, replicas := range c.ranked(shards) {
		usable := c.rankedServers(replicas.Usable)
		if len(usable) >= 2 {
			return option{replicas, usable[0]}, true
		}
		if len(usable) == 1 && !found {
			last, found = option{replicas, usable[0]}, true
		}
	}
	return last, found
}

// second requires another working server of the same shard that the
// fingerprint hasn't reached. It prefers shards that weren't reached at all.
func (c choice) second(shards []ebonyworks.ShardReplicas) (option, bool) {
	ranked := c.ranked(shards)
	for _, replicas := range ranked {
		if slices.ContainsFunc(replicas.All, c.hasReached) {
			continue
		}
		if chosen, ok := c.secondOf(replicas); ok {
			return chosen, true
		}
	}
	for _, replicas := range ranked {
		if chosen, ok := c.secondOf(replicas); ok {
			return chosen, true
		}
	}
	return option{}, false
}

// secondOf prefers a server that was reached and is back, since that reaches
// no further one.
func (c choice) secondOf(replicas ebonyworks.ShardReplicas) (option, bool) {
	usable := c.rankedServers(replicas.Usable)
	untouched := 0
	for _, server := range usable {
		if !c.hasReached(server) {
			untouched++
		}
	}
	for _, server := range usable {
		if c.hasReached(server) && untouched >= 1 {
			return option{replicas, server}, true
		}
	}
	if untouched >= 2 {
		return option{replicas, usable[0]}, true
	}
	return option{}, false
}

// fixed returns the server of the shard that is used if it works.
func (c choice) fixed(replicas ebonyworks.ShardReplicas) ebonyworks.Server {
	if len(replicas.All) == 0 {
		return ebonyworks.Server{}
	}
	return c.rankedServers(replicas.All)[0]
}

func (c choice) hasReached(server ebonyworks.Server) bool {
	return slices.Contains(c.reached, server.ID)
}

func (c choice) ranked(shards []ebonyworks.ShardReplicas) []ebonyworks.ShardReplicas {
	ranked := slices.Clone(shards)
	slices.SortFunc(ranked, func(a, b ebonyworks.ShardReplicas) int {
		return cmp.Or(cmp.Compare(c.score(string(b.Shard)), c.score(string(a.Shard))), cmp.Compare(a.Shard, b.Shard))
	})
	return ranked
}

func (c choice) rankedServers(servers []ebonyworks.Server) []ebonyworks.Server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b ebonyworks.Server) int {
		return cmp.Or(cmp.Compare(c.score(string(b.ID)), c.score(string(a.ID))), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

func (c choice) score(name string) uint64 {
	bytes := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(c.fingerprint))
	return xxhash.Sum64(append(bytes, name...))
}

// maxAbsences bounds the servers that are remembered as gone.
const maxAbsences = 4096

// absences remembers since when servers were seen to be unusable.
type absences struct {
	at map[ebonyworks.ServerID]time.Time
}

func (a *absences) update(now time.Time, shards []ebonyworks.ShardReplicas) {
	if a.at == nil || len(a.at) > maxAbsences {
		a.at = make(map[ebonyworks.ServerID]time.Time)
	}
	for _, replicas := range shards {
		for _, server := range replicas.All {
			if contains(replicas.Usable, server.ID) {
				delete(a.at, server.ID)
				continue
			}
			if _, known := a.at[server.ID]; !known {
				a.at[server.ID] = now
			}
		}
	}
}

func (a *absences) since(server ebonyworks.ServerID) time.Time { return a.at[server] }

func contains(servers []ebonyworks.Server, id ebonyworks.ServerID) bool {
	return slices.ContainsFunc(servers, func(s ebonyworks.Server) bool { return s.ID == id })
}
