package configplan

import (
	"fmt"
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Repartition derives the next partition of a catalogue from the previous one.
// A shard keeps its id when its range or service changes; the epoch tells the
// two apart.
type Repartition struct {
	partition ebonyworks.Partition
	problems  []ebonyworks.Problem
}

// NextPartition starts with the shards of the previous partition and the
// epoch after it.
func NextPartition(previous ebonyworks.Partition) *Repartition {
	return &Repartition{partition: ebonyworks.Partition{
		Epoch:  previous.Epoch + 1,
		Shards: slices.Clone(previous.Shards),
	}}
}

// Split divides a shard at a key. The keys before it stay with the shard; the
// others go to a new shard of the given service.
func (r *Repartition) Split(shard ebonyworks.ShardID, at string, upper ebonyworks.ShardID, service ebonyworks.ServiceID) *Repartition {
	index, ok := r.find(shard)
	if !ok {
		return r
	}
	keys := r.partition.Shards[index].Keys
	if at <= keys.From || !keys.Contains(at) {
		return r.refuse(shard, "can't be split at %q, which is not inside its range", at)
	}
	r.partition.Shards[index].Keys.To = at
	added := ebonyworks.Shard{ID: upper, Service: service, Keys: ebonyworks.KeyRange{From: at, To: keys.To}}
	r.partition.Shards = slices.Insert(r.partition.Shards, index+1, added)
	return r
}

// Merge joins a shard with the one that follows it. The result keeps the id
// and service of the lower one.
func (r *Repartition) Merge(lower, upper ebonyworks.ShardID) *Repartition {
	index, ok := r.find(lower)
	if !ok {
		return r
	}
	next, ok := r.find(upper)
	if !ok {
		return r
	}
	if next != index+1 {
		return r.refuse(lower, "can't be merged with %q, which doesn't follow it", upper)
	}
	r.partition.Shards[index].Keys.To = r.partition.Shards[next].Keys.To
	r.partition.Shards = slices.Delete(r.partition.Shards, next, next+1)
	return r
}

// Move gives a shard to another service.
func (r *Repartition) Move(shard ebonyworks.ShardID, to ebonyworks.ServiceID) *Repartition {
	if index, ok := r.find(shard); ok {
		r.partition.Shards[index].Service = to
	}
	return r
}

// Partition returns the new partition, or every mistake. Whether services
// exist and ids are unique is checked when the plan is published.
func (r *Repartition) Partition() (ebonyworks.Partition, []ebonyworks.Problem) {
	if r.problems != nil {
		return ebonyworks.Partition{}, r.problems
	}
	return ebonyworks.Partition{Epoch: r.partition.Epoch, Shards: slices.Clone(r.partition.Shards)}, nil
}

func (r *Repartition) find(id ebonyworks.ShardID) (int, bool) {
	index := slices.IndexFunc(r.partition.Shards, func(shard ebonyworks.Shard) bool { return shard.ID == id })
	if index < 0 {
		r.refuse(id, "no such shard")
		return 0, false
	}
	return index, true
}

func (r *Repartition) refuse(shard ebonyworks.ShardID, format string, arguments ...any) *Repartition {
	place := fmt.Sprintf("Partition[%d].%s", r.partition.Epoch, shard)
	r.problems = append(r.problems, ebonyworks.Problem{Path: place, Message: fmt.Sprintf(format, arguments...)})
	return r
}

// Repartition adds the derived partition to a catalogue of the plan.
func (p *Plan) Repartition(id ebonyworks.CatalogueID, change *Repartition) *Plan {
	partition, problems := change.Partition()
	if problems != nil {
		for _, problem := range problems {
			problem.Path = configdoc.CataloguePart(id) + "." + problem.Path
			p.problems = append(p.problems, problem)
		}
		return p
	}
	return p.Partition(id, partition)
}
