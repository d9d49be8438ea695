package register_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/register"
)

// replicas is the number of servers for each shard at the design size (2,400
// servers, 350 shards).
const replicas = 7

// fleet returns services with the given number of servers in total.
func fleet(servers int) []ebonyworks.Service {
	var services []ebonyworks.Service
	for i := range servers {
		if i%replicas == 0 {
			services = append(services, ebonyworks.Service{ID: ebonyworks.ServiceID("service-" + strconv.Itoa(i)), Slots: 2})
		}
		last := &services[len(services)-1]
		last.Servers = append(last.Servers, ebonyworks.Server{
			ID:     ebonyworks.ServerID("server-" + strconv.Itoa(i)),
			Domain: ebonyworks.DomainID("domain-" + strconv.Itoa(i%6)),
		})
	}
	return services
}

func observeAll(r *register.Register, services []ebonyworks.Service) {
	for i := range services {
		for _, server := range services[i].Servers {
			r.Observe(ebonyworks.AttemptRecord{
				Service: services[i].ID, Server: server.ID, Result: ebonyworks.AttemptServed, Latency: time.Millisecond,
				Report: ebonyworks.ServerReport{Server: server.ID, Incarnation: 1},
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkRegister(b *testing.B) {
	for _, servers := range []int{100, 1000, 2400} {
		services := fleet(servers)
		before := heapBytes()
		r := newRegister()
		observeAll(r, services)
		perServer := float64(heapBytes()-before) / float64(servers)
		record := ebonyworks.AttemptRecord{Result: ebonyworks.AttemptServed, Latency: time.Millisecond}
		b.Run("Candidates/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r.Candidates(&services[i%len(services)], searches, "domain-1", nil)
				i++
			}
			b.ReportMetric(perServer, "B/server")
		})
		b.Run("Observe/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				service := &services[i%len(services)]
				record.Service, record.Server = service.ID, service.Servers[0].ID
				r.Observe(record)
				i++
			}
		})
	}
}
