package selection_test

import (
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// ownersPerServer is the number of hosts that keep connections to one server in section
// 4, option (c), of the design page, where hosts send the sub-searches of a search in
// batches to the owners of the servers.
const ownersPerServer = 3

// ownership is a model of option (c). It maps servers to their owners, the hosts that
// keep connections to them.
type ownership struct {
	hosts int
	// owners lists the owners of each server; server i is a replica of shard
	// i mod shards.
	owners [][]int
	shards int
}

func newOwnership(hosts, servers, shards int) ownership {
	o := ownership{hosts: hosts, shards: shards}
	for server := range servers {
		order := make([]int, hosts)
		weights := make([]uint64, hosts)
		for host := range order {
			order[host] = host
			weights[host] = xxhash.Sum64String("owner/" + strconv.Itoa(server) + "/" + strconv.Itoa(host))
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

// randomBatches returns the number of batches of a search that chooses a random replica
// of each shard and a random owner of that replica.
func (o ownership) randomBatches(random *mathrand.Rand) int {
	used := make(map[int]bool)
	for shard := range o.shards {
		replicas := (len(o.owners) - shard + o.shards - 1) / o.shards
		server := shard + o.shards*random.IntN(replicas)
		used[o.owners[server][random.IntN(ownersPerServer)]] = true
	}
	return len(used)
}

// greedyBatches returns the number of batches of a search that repeatedly takes the
// owner that covers most of the remaining shards, and the size of the largest batch.
// Ties are broken at random.
func (o ownership) greedyBatches(random *mathrand.Rand) (batches, largest int) {
	shardsOf := make([]map[int]bool, o.hosts)
	for host := range shardsOf {
		shardsOf[host] = make(map[int]bool)
	}
	for server, owners := range o.owners {
		for _, owner := range owners {
			shardsOf[owner][server%o.shards] = true
		}
	}
	for left := o.shards; left > 0; batches++ {
		best := 0
		for _, host := range random.Perm(o.hosts) {
			if len(shardsOf[host]) > len(shardsOf[best]) {
				best = host
			}
		}
		covered := shardsOf[best]
		largest = max(largest, len(covered))
		left -= len(covered)
		for host := range shardsOf {
			if host == best {
				continue
			}
			for shard := range covered {
				delete(shardsOf[host], shard)
			}
		}
		shardsOf[best] = nil
	}
	return batches, largest
}

// BenchmarkOwnerBatches counts the batches of one search with owners: with random
// replicas and owners, and with the fewest owners that a greedy set cover finds.
func BenchmarkOwnerBatches(b *testing.B) {
	for _, size := range []struct{ hosts, servers, shards int }{{100, 600, 88}, {200, 1200, 175}, {400, 2400, 350}} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d/shards=%d", size.hosts, size.servers, size.shards), func(b *testing.B) {
			o := newOwnership(size.hosts, size.servers, size.shards)
			random := mathrand.New(mathrand.NewPCG(1, 1))
			free, covering, largest, count := 0, 0, 0, 0
			for b.Loop() {
				batches, most := o.greedyBatches(random)
				free += o.randomBatches(random)
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
