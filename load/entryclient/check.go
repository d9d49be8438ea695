package entryclient

import (
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

// Violations of an answer.
const (
	violationEpoch    = "unknown_partition"
	violationShards   = "shards_not_divided"
	violationOrder    = "rows_not_ordered"
	violationKeys     = "row_outside_keys"
	violationUncover  = "row_of_missed_shard"
	violationMismatch = "row_without_filter"
)

// violations checks an answer against its request and the partition that it
// names: each needed shard is either covered or missed, and rows are in order,
// match the filters and come from covered shards.
func (t *Target) violations(request load.Request, answer ebonyworks.Answer) []string {
	partition, ok := t.partition(request.Route, answer.Snapshot.Epoch)
	if !ok {
		return []string{violationEpoch}
	}
	var found []string
	if !divided(partition.Overlapping(request.Keys), answer.Coverage) {
		found = append(found, violationShards)
	}
	for i, row := range answer.Rows {
		if violation := rowViolation(request, partition, answer, i, row); violation != "" {
			return append(found, violation)
		}
	}
	return found
}

func (t *Target) partition(id ebonyworks.RouteID, epoch ebonyworks.PartitionEpoch) (ebonyworks.Partition, bool) {
	route, ok := t.Configuration.Route(id)
	if !ok {
		return ebonyworks.Partition{}, false
	}
	catalogue, ok := t.Configuration.Catalogue(route.Catalogue)
	if !ok {
		return ebonyworks.Partition{}, false
	}
	return catalogue.Partition(epoch)
}

// divided reports whether each needed shard is listed exactly once.
func divided(needed []ebonyworks.Shard, coverage ebonyworks.Coverage) bool {
	var want []ebonyworks.ShardID
	for _, shard := range needed {
		want = append(want, shard.ID)
	}
	listed := slices.Clone(coverage.Covered)
	for _, miss := range coverage.Missed {
		listed = append(listed, miss.Shard)
	}
	slices.Sort(want)
	slices.Sort(listed)
	return slices.Equal(want, listed)
}

func rowViolation(request load.Request, partition ebonyworks.Partition, answer ebonyworks.Answer, index int, row ebonyworks.Row) string {
	if index > 0 && row.Key <= answer.Rows[index-1].Key {
		return violationOrder
	}
	if !request.Keys.Contains(row.Key) {
		return violationKeys
	}
	for _, filter := range request.Filters {
		if !slices.Contains(row.Fields, filter) {
			return violationMismatch
		}
	}
	for _, shard := range partition.Shards {
		if shard.Keys.Contains(row.Key) && !slices.Contains(answer.Coverage.Covered, shard.ID) {
			return violationUncover
		}
	}
	return ""
}
