package selection_test

import (
	mathrand "math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/state/register"
)

func BenchmarkSelect(b *testing.B) {
	for _, replicas := range []int{2, 7, 20} {
		b.Run("replicas="+strconv.Itoa(replicas), func(b *testing.B) {
			candidates := make([]ebonyworks.Candidate, replicas)
			for i := range candidates {
				candidates[i] = ebonyworks.Candidate{Latency: time.Millisecond, Share: 1, Limit: 2, Near: i == 0}
			}
			selector := selection.New(newRandom())
			b.ReportAllocs()
			for b.Loop() {
				selector.Select(candidates)
			}
		})
	}
}

// BenchmarkSearch measures all decisions of one search without hedges: for
// each shard the candidates, the choice, the hedging delay, the permit, and
// what is learned.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{20, 100, 350} {
		b.Run("shards="+strconv.Itoa(shards), func(b *testing.B) {
			services := make([]ebonyworks.Service, shards)
			for i := range services {
				name := strconv.Itoa(i)
				services[i] = ebonyworks.Service{ID: ebonyworks.ServiceID(name), Slots: 2}
				for j := range 7 {
					server := ebonyworks.Server{ID: ebonyworks.ServerID(name + "-" + strconv.Itoa(j)), Domain: ebonyworks.DomainID(strconv.Itoa(j))}
					services[i].Servers = append(services[i].Servers, server)
				}
			}
			host := decisions{
				register:  &register.Register{Random: mathrand.New(mathrand.NewPCG(1, 2))},
				selection: selection.New(newRandom()), quota: quota.New(8), hedging: &hedging.Budget{},
			}
			b.ReportAllocs()
			for b.Loop() {
				for i := range services {
					host.attempt(b, &services[i])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}

// decisions are the policy objects of one host.
type decisions struct {
	register  *register.Register
	selection ebonyworks.Selection
	quota     ebonyworks.Quota
	hedging   ebonyworks.Hedging
}

func (d *decisions) attempt(b *testing.B, service *ebonyworks.Service) {
	candidates := d.register.Candidates(service, ebonyworks.Route{}, "1", d.quota)
	chosen, _ := d.selection.Select(candidates)
	server := candidates[chosen].Server.ID
	d.hedging.Delay(service.ID)
	permit, _ := d.quota.Acquire(b.Context(), service, server)
	record := ebonyworks.AttemptRecord{Service: service.ID, Server: server, Result: ebonyworks.AttemptServed, Latency: time.Millisecond}
	permit.Release(record)
	d.register.Observe(record)
	d.hedging.Observe(record)
}
