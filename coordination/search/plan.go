package search

import (
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

// maxSnapshotLag is how many snapshots older than the newest complete one a search may
// use, to find one that every usable replica holds. New snapshots reach replicas at
// different times, and a shard whose snapshot only one replica holds can't be hedged.
const maxSnapshotLag = 1

// plan is the snapshot chosen for a search and the shards that the search needs.
type plan struct {
	snapshot ebonyworks.Snapshot
	// shards are from the partition that the snapshot was made with.
	shards []shardPlan
	// heldShards is the number of shards for which at least one usable server holds
	// the snapshot.
	heldShards int
	// onAllReplicas is set if every usable replica of every shard holds the snapshot.
	onAllReplicas bool
}

type shardPlan struct {
	shard   ebonyworks.Shard
	service *ebonyworks.Service
}

// plan chooses the newest snapshot that every needed shard can serve, within
// maxSnapshotLag preferably one on all replicas. If there is none, the policy of the
// route decides. Excluded snapshots have already been tried.
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
		if candidate.heldShards < len(candidate.shards) {
			partial = append(partial, candidate)
			continue
		}
		complete = append(complete, candidate)
		if candidate.onAllReplicas || len(complete) > maxSnapshotLag {
			break
		}
	}
	if len(complete) > 0 {
		return preferReplicated(complete), true
	}
	return choosePartial(request.route.Policy, partial)
}

func preferReplicated(complete []plan) plan {
	for _, candidate := range complete {
		if candidate.onAllReplicas {
			return candidate
		}
	}
	return complete[0]
}

// choosePartial chooses among snapshots that lack a server for some shard: with
// PreferLatency the newest with more than half of the shards, otherwise the one with
// the most.
func choosePartial(policy ebonyworks.AnswerPolicy, partial []plan) (plan, bool) {
	if len(partial) == 0 {
		return plan{}, false
	}
	if policy == ebonyworks.PreferLatency {
		for _, candidate := range partial {
			if 2*candidate.heldShards > len(candidate.shards) {
				return candidate, true
			}
		}
	}
	best := partial[0]
	for _, candidate := range partial[1:] {
		if candidate.heldShards > best.heldShards {
			best = candidate
		}
	}
	return best, true
}

// usableServerSet holds the usable servers of a catalogue.
type usableServerSet struct {
	all []ebonyworks.ServerID
	// byService holds the usable servers in the order of the catalogue's services.
	byService [][]ebonyworks.ServerID
	// index maps each needed service to its index in byService.
	index map[ebonyworks.ServiceID]int
}

// usableServers returns the usable servers of those services that hold some of the
// searched keys in any partition.
func (c *Coordinator) usableServers(cat *ebonyworks.Catalogue, request request) usableServerSet {
	needed := neededServices(cat, request.search.Keys)
	usable := usableServerSet{
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

func (c *Coordinator) planFor(cat *ebonyworks.Catalogue, keys ebonyworks.KeyRange, snapshot ebonyworks.Snapshot, usable usableServerSet) (plan, bool) {
	partition, ok := cat.Partition(snapshot.Epoch)
	if !ok {
		return plan{}, false
	}
	result := plan{snapshot: snapshot, onAllReplicas: true}
	for _, shard := range partition.Overlapping(keys) {
		index, ok := usable.index[shard.Service]
		if !ok {
			return plan{}, false
		}
		holders := c.countHolders(usable.byService[index], snapshot)
		if holders > 0 {
			result.heldShards++
		}
		if holders < len(usable.byService[index]) {
			result.onAllReplicas = false
		}
		result.shards = append(result.shards, shardPlan{shard: shard, service: &cat.Services[index]})
	}
	return result, len(result.shards) > 0
}

func (c *Coordinator) countHolders(servers []ebonyworks.ServerID, snapshot ebonyworks.Snapshot) int {
	holders := 0
	for _, server := range servers {
		if c.Catalogue.Holds(server, snapshot) == catalogue.Held {
			holders++
		}
	}
	return holders
}
