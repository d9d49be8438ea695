package search

import (
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

// maxBehind is how many snapshots a search may stay behind the newest complete
// one to find a snapshot that every usable replica holds. New snapshots reach
// replicas at different times, and a shard with one holder can't be hedged.
const maxBehind = 1

// plan is a pinned snapshot and the shards that the search needs on it.
type plan struct {
	snapshot ebonyworks.Snapshot
	// shards are those of the snapshot's own partition.
	shards []shardPlan
	// held is the number of shards that some usable server holds.
	held int
	// redundant is set if every usable replica of every shard holds the snapshot.
	redundant bool
}

type shardPlan struct {
	shard   ebonyworks.Shard
	service *ebonyworks.Service
}

// plan chooses the snapshot: the newest that every needed shard can serve, or
// by the policy of the route if there is none. Excluded snapshots have failed.
func (c *Coordinator) plan(request request, excluded []ebonyworks.Snapshot) (plan, bool) {
	cat, ok := request.configuration.Catalogue(request.route.Catalogue)
	if !ok {
		return plan{}, false
	}
	usable := c.usableServers(cat, request)
	var complete []plan
	var partial []plan
	for _, snapshot := range c.Catalogue.Snapshots(usable.all) {
		if slices.Contains(excluded, snapshot) {
			continue
		}
		candidate, ok := c.planFor(cat, request.search.Keys, snapshot, usable)
		if !ok {
			continue
		}
		if candidate.held < len(candidate.shards) {
			partial = append(partial, candidate)
			continue
		}
		complete = append(complete, candidate)
		if candidate.redundant || len(complete) > maxBehind {
			break
		}
	}
	if len(complete) > 0 {
		return redundantOrNewest(complete), true
	}
	return byPolicy(request.route.Policy, partial)
}

func redundantOrNewest(complete []plan) plan {
	for _, candidate := range complete {
		if candidate.redundant {
			return candidate
		}
	}
	return complete[0]
}

// byPolicy chooses among snapshots that no search can cover in full.
func byPolicy(policy ebonyworks.AnswerPolicy, partial []plan) (plan, bool) {
	if len(partial) == 0 {
		return plan{}, false
	}
	if policy == ebonyworks.PreferLatency {
		for _, candidate := range partial {
			if 2*candidate.held > len(candidate.shards) {
				return candidate, true
			}
		}
	}
	best := partial[0]
	for _, candidate := range partial[1:] {
		if candidate.held > best.held {
			best = candidate
		}
	}
	return best, true
}

// serversInUse are the usable servers of a catalogue.
type serversInUse struct {
	all []ebonyworks.ServerID
	// byService holds the usable servers in the order of the catalogue's services.
	byService [][]ebonyworks.ServerID
	// index holds the places of the needed services in that order.
	index map[ebonyworks.ServiceID]int
}

// usableServers leaves out services that hold none of the searched keys in any
// partition.
func (c *Coordinator) usableServers(cat *ebonyworks.Catalogue, request request) serversInUse {
	needed := neededServices(cat, request.search.Keys)
	usable := serversInUse{
		byService: make([][]ebonyworks.ServerID, len(cat.Services)),
		index:     make(map[ebonyworks.ServiceID]int, len(needed)),
	}
	for i := range cat.Services {
		if !needed[cat.Services[i].ID] {
			continue
		}
		usable.index[cat.Services[i].ID] = i
		for _, candidate := range c.Servers.Candidates(&cat.Services[i], request.route) {
			usable.byService[i] = append(usable.byService[i], candidate.Server.ID)
			usable.all = append(usable.all, candidate.Server.ID)
		}
	}
	return usable
}

func neededServices(cat *ebonyworks.Catalogue, keys ebonyworks.KeyRange) map[ebonyworks.ServiceID]bool {
	needed := make(map[ebonyworks.ServiceID]bool)
	for _, partition := range cat.Partitions {
		for _, shard := range partition.Overlapping(keys) {
			needed[shard.Service] = true
		}
	}
	return needed
}

func (c *Coordinator) planFor(cat *ebonyworks.Catalogue, keys ebonyworks.KeyRange, snapshot ebonyworks.Snapshot, usable serversInUse) (plan, bool) {
	partition, ok := cat.Partition(snapshot.Epoch)
	if !ok {
		return plan{}, false
	}
	result := plan{snapshot: snapshot, redundant: true}
	for _, shard := range partition.Overlapping(keys) {
		index, ok := usable.index[shard.Service]
		if !ok {
			return plan{}, false
		}
		holders := c.holders(usable.byService[index], snapshot)
		if holders > 0 {
			result.held++
		}
		if holders < len(usable.byService[index]) {
			result.redundant = false
		}
		result.shards = append(result.shards, shardPlan{shard: shard, service: &cat.Services[index]})
	}
	return result, len(result.shards) > 0
}

func (c *Coordinator) holders(servers []ebonyworks.ServerID, snapshot ebonyworks.Snapshot) int {
	holders := 0
	for _, server := range servers {
		if c.Catalogue.Holds(server, snapshot) == catalogue.Held {
			holders++
		}
	}
	return holders
}
