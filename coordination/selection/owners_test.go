package selection_test

import (
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// ownersPerServer is the number of hosts that hold the connections to one
// server in section 4, option (c), of the design page.
const ownersPerServer = 3

// ownership is a model of option (c): which hosts own which servers.
type ownership struct {
	nodes int
	// owners lists the owners of each server; server i is a replica of shard
	// i mod shards.
	owners [][]int
	shards int
}

func newOwnership(nodes, servers, shards int) ownership {
	o := ownership{nodes: nodes, shards: shards}
	for server := range servers {
		order := make([]int, nodes)
		weights := make([]uint64, nodes)
		for node := range order {
			order[node] = node
			weights[node] = xxhash.Sum64String("owner/" + strconv.Itoa(server) + "/" + strconv.Itoa(node))
		}
		slices.SortFunc(order, func(a, b int) int {
			if weights[a] > weights[b] {
				return -1
			}
			return 1
		})
		o.owners = append(o.owners, order[:ownersPerServer])
	}
	return o
}

// free returns the number of batches of a search that chooses the replica of
// each shard and the owner of the replica at random.
func (o ownership) free(random *mathrand.Rand) int {
	used := make(map[int]bool)
	for shard := range o.shards {
		replicas := (len(o.owners) - shard + o.shards - 1) / o.shards
		server := shard + o.shards*random.IntN(replicas)
		used[o.owners[server][random.IntN(ownersPerServer)]] = true
	}
	return len(used)
}

// covering returns the number of batches of a search that takes the owners
// that cover most of the remaining shards, and the largest batch. Ties are
// broken at random.
func (o ownership) covering(random *mathrand.Rand) (batches, largest int) {
	shardsOf := make([]map[int]bool, o.nodes)
	for node := range shardsOf {
		shardsOf[node] = make(map[int]bool)
	}
	for server, owners := range o.owners {
		for _, owner := range owners {
			shardsOf[owner][server%o.shards] = true
		}
	}
	for left := o.shards; left > 0; batches++ {
		best := 0
		for _, node := range random.Perm(o.nodes) {
			if len(shardsOf[node]) > len(shardsOf[best]) {
				best = node
			}
		}
		covered := shardsOf[best]
		largest = max(largest, len(covered))
		left -= len(covered)
		for node := range shardsOf {
			if node == best {
				continue
			}
			for shard := range covered {
				delete(shardsOf[node], shard)
			}
		}
		shardsOf[best] = nil
	}
	return batches, largest
}

// BenchmarkOwnerBatches counts the batches of one search with owners: with a
// free choice of replicas, and with the fewest owners that a greedy cover finds.
func BenchmarkOwnerBatches(b *testing.B) {
	for _, size := range []struct{ nodes, servers, shards int }{{100, 600, 88}, {200, 1200, 175}, {400, 2400, 350}} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d/shards=%d", size.nodes, size.servers, size.shards), func(b *testing.B) {
			o := newOwnership(size.nodes, size.servers, size.shards)
			random := mathrand.New(mathrand.NewPCG(1, 1))
			free, covering, largest, count := 0, 0, 0, 0
			for b.Loop() {
				batches, most := o.covering(random)
				free += o.free(random)
				covering += batches
				largest = max(largest, most)
				count++
			}
			b.ReportMetric(float64(free)/float64(count), "free-batches")
			b.ReportMetric(float64(covering)/float64(count), "covering-batches")
			b.ReportMetric(float64(largest), "largest-batch")
		})
	}
}
