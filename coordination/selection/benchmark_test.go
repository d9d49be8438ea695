package selection_test

import (
	mathrand "math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// policy holds what one host uses to decide about each attempt.
type policy struct {
	services  []ebonyworks.Service
	servers   *serverstate.Table
	selection *selection.Selector
	hedging   *hedging.Budget
	quota     *quota.Table
	// bytes is the heap memory per server of each component.
	bytes map[string]float64
}

// newPolicy returns a policy that has used each server once.
func newPolicy(b *testing.B, shards, servers int) *policy {
	p := &policy{selection: selection.New(newRandom()), bytes: make(map[string]float64)}
	for i := range shards {
		p.services = append(p.services, ebonyworks.Service{ID: ebonyworks.ServiceID(strconv.Itoa(i)), Slots: 2})
	}
	for i := range servers {
		service := &p.services[i%shards]
		service.Servers = append(service.Servers, ebonyworks.Server{
			ID: ebonyworks.ServerID(strconv.Itoa(i)), Domain: ebonyworks.DomainID(strconv.Itoa(i / shards)),
		})
	}
	heap := heapBytes()
	// use measures the heap before and after one component has observed an attempt at
	// each server.
	use := func(name string, observe func(service *ebonyworks.Service, record ebonyworks.AttemptRecord)) {
		for i := range p.services {
			for _, server := range p.services[i].Servers {
				observe(&p.services[i], served(&p.services[i], server.ID))
			}
		}
		now := heapBytes()
		p.bytes[name] = float64(now-heap) / float64(servers)
		heap = now
	}
	p.servers = &serverstate.Table{Random: mathrand.New(mathrand.NewPCG(1, 2))}
	use("register", func(_ *ebonyworks.Service, record ebonyworks.AttemptRecord) { p.servers.Observe(record) })
	p.hedging = &hedging.Budget{}
	use("hedging", func(_ *ebonyworks.Service, record ebonyworks.AttemptRecord) { p.hedging.Observe(record) })
	p.quota = quota.New(8)
	use("quota", func(service *ebonyworks.Service, record ebonyworks.AttemptRecord) { p.permit(b, service, record) })
	return p
}

func served(service *ebonyworks.Service, server ebonyworks.ServerID) ebonyworks.AttemptRecord {
	return ebonyworks.AttemptRecord{Service: service.ID, Server: server, Result: ebonyworks.AttemptServed, Latency: time.Millisecond}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func (p *policy) permit(b *testing.B, service *ebonyworks.Service, record ebonyworks.AttemptRecord) {
	permit, _ := p.quota.Acquire(b.Context(), service, record.Server)
	permit.Release(record)
}

// attempt makes all decisions for one shard of a search that isn't hedged.
func (p *policy) attempt(b *testing.B, service *ebonyworks.Service) {
	candidates := p.servers.Candidates(service, ebonyworks.Route{}, "1", p.quota)
	chosen, _ := p.selection.Select(candidates)
	p.hedging.Delay(service.ID)
	record := served(service, candidates[chosen].Server.ID)
	p.permit(b, service, record)
	p.servers.Observe(record)
	p.hedging.Observe(record)
}

// BenchmarkPolicy measures each decision, and all decisions for the shards of one
// search, at the present size, at the design size, and at one in between.
func BenchmarkPolicy(b *testing.B) {
	for _, size := range []struct{ shards, servers int }{{20, 100}, {100, 1000}, {350, 2400}} {
		p := newPolicy(b, size.shards, size.servers)
		candidates := p.servers.Candidates(&p.services[0], ebonyworks.Route{}, "1", p.quota)
		run := func(name string, decide func(service *ebonyworks.Service)) {
			b.Run(name+"/shards="+strconv.Itoa(size.shards)+"/servers="+strconv.Itoa(size.servers), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					decide(&p.services[i%len(p.services)])
					i++
				}
				if bytes := p.bytes[name]; bytes > 0 {
					b.ReportMetric(bytes, "B/server")
				}
			})
		}
		run("register", func(service *ebonyworks.Service) {
			p.servers.Candidates(service, ebonyworks.Route{}, "1", nil)
			p.servers.Observe(served(service, service.Servers[0].ID))
		})
		run("selection", func(*ebonyworks.Service) { p.selection.Select(candidates) })
		run("hedging", func(service *ebonyworks.Service) {
			p.hedging.Delay(service.ID)
			p.hedging.Observe(served(service, service.Servers[0].ID))
		})
		run("quota", func(service *ebonyworks.Service) { p.permit(b, service, served(service, service.Servers[0].ID)) })
		run("search", func(*ebonyworks.Service) {
			for i := range p.services {
				p.attempt(b, &p.services[i])
			}
		})
	}
}
