package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// canaryChoice chooses the server of a canary attempt. It depends only on the
// fingerprint, the known crashes and the servers, so hosts that know the same choose
// the same server.
type canaryChoice struct {
	fingerprint ebonyworks.Fingerprint
	// exposed are the servers that crashed or disconnected while they ran the
	// fingerprint.
	exposed []ebonyworks.ServerID
}

type candidate struct {
	replicas ebonyworks.ShardReplicas
	server   ebonyworks.Server
}

// chooseFirst prefers shards that keep a usable server if the attempt crashes one.
// Without such a shard the last usable server is chosen, because a refusal would make
// a shard with one usable server unavailable to new requests.
func (c canaryChoice) chooseFirst(shards []ebonyworks.ShardReplicas) (candidate, bool) {
	var last candidate
	found := false
	for _, replicas := range c.ranked(shards) {
		usable := c.rankedServers(replicas.Usable)
		if len(usable) >= 2 {
			return candidate{replicas, usable[0]}, true
		}
		if len(usable) == 1 && !found {
			last, found = candidate{replicas, usable[0]}, true
		}
	}
	return last, found
}

// chooseSecond requires that another usable server of the same shard remains that
// isn't exposed. It prefers shards without exposed servers.
func (c canaryChoice) chooseSecond(shards []ebonyworks.ShardReplicas) (candidate, bool) {
	ranked := c.ranked(shards)
	for _, replicas := range ranked {
		if slices.ContainsFunc(replicas.All, c.isExposed) {
			continue
		}
		if chosen, ok := c.chooseSecondIn(replicas); ok {
			return chosen, true
		}
	}
	for _, replicas := range ranked {
		if chosen, ok := c.chooseSecondIn(replicas); ok {
			return chosen, true
		}
	}
	return candidate{}, false
}

// chooseSecondIn prefers an exposed server that is usable again, since that exposes no
// further one.
func (c canaryChoice) chooseSecondIn(replicas ebonyworks.ShardReplicas) (candidate, bool) {
	usable := c.rankedServers(replicas.Usable)
	unexposed := 0
	for _, server := range usable {
		if !c.isExposed(server) {
			unexposed++
		}
	}
	for _, server := range usable {
		if c.isExposed(server) && unexposed >= 1 {
			return candidate{replicas, server}, true
		}
	}
	if unexposed >= 2 {
		return candidate{replicas, usable[0]}, true
	}
	return candidate{}, false
}

// preferred returns the server of the shard that is chosen if it is usable.
func (c canaryChoice) preferred(replicas ebonyworks.ShardReplicas) ebonyworks.Server {
	if len(replicas.All) == 0 {
		return ebonyworks.Server{}
	}
	return c.rankedServers(replicas.All)[0]
}

func (c canaryChoice) isExposed(server ebonyworks.Server) bool {
	return slices.Contains(c.exposed, server.ID)
}

func (c canaryChoice) ranked(shards []ebonyworks.ShardReplicas) []ebonyworks.ShardReplicas {
	ranked := slices.Clone(shards)
	slices.SortFunc(ranked, func(a, b ebonyworks.ShardReplicas) int {
		return cmp.Or(cmp.Compare(c.score(string(b.Shard)), c.score(string(a.Shard))), cmp.Compare(a.Shard, b.Shard))
	})
	return ranked
}

func (c canaryChoice) rankedServers(servers []ebonyworks.Server) []ebonyworks.Server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b ebonyworks.Server) int {
		return cmp.Or(cmp.Compare(c.score(string(b.ID)), c.score(string(a.ID))), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

func (c canaryChoice) score(name string) uint64 {
	bytes := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(c.fingerprint))
	return xxhash.Sum64(append(bytes, name...))
}

// maxUnusable bounds the servers in unusableServers.
const maxUnusable = 4096

// unusableServers holds since when servers have been unusable, as seen by this host.
type unusableServers struct {
	since map[ebonyworks.ServerID]time.Time
}

func (u *unusableServers) update(now time.Time, shards []ebonyworks.ShardReplicas) {
	if u.since == nil || len(u.since) > maxUnusable {
		u.since = make(map[ebonyworks.ServerID]time.Time)
	}
	for _, replicas := range shards {
		for _, server := range replicas.All {
			if contains(replicas.Usable, server.ID) {
				delete(u.since, server.ID)
				continue
			}
			if _, known := u.since[server.ID]; !known {
				u.since[server.ID] = now
			}
		}
	}
}

func (u *unusableServers) lookup(server ebonyworks.ServerID) time.Time { return u.since[server] }

func contains(servers []ebonyworks.Server, id ebonyworks.ServerID) bool {
	return slices.ContainsFunc(servers, func(s ebonyworks.Server) bool { return s.ID == id })
}
