//go:build unix

package search_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/search"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// benchReplicas is the number of servers of each shard at the design size
// (2,400 servers, 350 shards).
const benchReplicas = 7

// largeCluster has a catalogue of many shards. Its servers reply at once unless latency
// is set. It uses the policies and the server state of an entry host.
type largeCluster struct {
	*fakeCluster
	states *serverstate.Table
	// latency returns the random service time of a request; nil means none.
	latency func() time.Duration
}

func newLargeCluster(shards int) *largeCluster {
	cat := ebonyworks.Catalogue{ID: stock}
	partition := ebonyworks.Partition{Epoch: 1}
	for i := range shards {
		name := fmt.Sprintf("stock-finder-%03d", i)
		service := ebonyworks.Service{ID: ebonyworks.ServiceID(name), Slots: 64, ConnectionCap: 25}
		for j := range benchReplicas {
			service.Servers = append(service.Servers, ebonyworks.Server{
				ID: ebonyworks.ServerID(name + "-" + strconv.Itoa(j)), Domain: ebonyworks.DomainID(strconv.Itoa(j % 6)),
			})
		}
		cat.Services = append(cat.Services, service)
		keys := ebonyworks.KeyRange{From: key(i), To: key(i + 1)}
		if i == shards-1 {
			keys.To = ""
		}
		partition.Shards = append(partition.Shards, ebonyworks.Shard{ID: ebonyworks.ShardID(name), Service: service.ID, Keys: keys})
	}
	cat.Partitions = []ebonyworks.Partition{partition}
	f := &largeCluster{fakeCluster: newFakeCluster(1), states: &serverstate.Table{Random: rand.New(rand.NewPCG(1, 2))}}
	f.configuration.Catalogues[0] = cat
	f.reportAll(snapshot(3, 1), snapshot(4, 1))
	for _, service := range cat.Services {
		for _, server := range service.Servers {
			f.states.Observe(ebonyworks.AttemptRecord{
				Service: service.ID, Server: server.ID, Result: ebonyworks.AttemptServed, Latency: time.Millisecond,
				Report: ebonyworks.ServerReport{Server: server.ID, Incarnation: 1},
			})
		}
	}
	return f
}

// coordinator returns a coordinator with the policies of an entry host.
func (f *largeCluster) coordinator(budget ebonyworks.Hedging) *search.Coordinator {
	table := quota.New(1)
	return &search.Coordinator{
		Backend:       f,
		Configuration: f.fakeCluster,
		Servers:       recordedStates{states: f.states, quota: table},
		Catalogue:     &f.catalogue,
		Selection:     selection.New(rand.New(rand.NewPCG(1, 3))),
		Hedging:       budget,
		Quota:         table,
		Quarantine:    &quarantine.Controller{},
		Admission:     f.fakeCluster,
	}
}

func (f *largeCluster) Search(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	if f.latency != nil {
		timer := time.NewTimer(f.latency())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
		}
	}
	return ebonyworks.SubSearchReply{
		Result: ebonyworks.AttemptServed, Request: sub.Request, Snapshot: sub.Snapshot, Shard: sub.Shard,
		Report: ebonyworks.ServerReport{Server: server.ID, Incarnation: 1, Snapshots: heldSnapshots},
	}
}

var heldSnapshots = []ebonyworks.Snapshot{{Number: 3, Epoch: 1}, {Number: 4, Epoch: 1}}

// recordedStates provides the server states as an entry host does.
type recordedStates struct {
	states *serverstate.Table
	quota  ebonyworks.Quota
}

func (r recordedStates) FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return r.Candidates(service, route)
}

func (r recordedStates) Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return r.states.Candidates(service, route, "1", r.quota)
}

func (r recordedStates) Observe(record ebonyworks.AttemptRecord) { r.states.Observe(record) }

// BenchmarkCoordinator measures whole searches with the policies of an entry host,
// without transport: planning, fan-out, policy decisions and merging of the replies. The
// CPU time is that of all goroutines and of the garbage collector.
func BenchmarkCoordinator(b *testing.B) {
	for _, shards := range []int{20, 100, 350} {
		b.Run("shards="+strconv.Itoa(shards), func(b *testing.B) {
			f := newLargeCluster(shards)
			coordinator := f.coordinator(&hedging.Budget{})
			request := ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h"}
			b.ReportAllocs()
			before := cpuTime(b)
			for b.Loop() {
				request.Deadline = time.Now().Add(time.Minute)
				outcome := coordinator.Search(b.Context(), request)
				if len(outcome.Answer.Coverage.Covered) != shards {
					b.Fatal("not covered")
				}
			}
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*shards), "cpu-ns/sub")
		})
	}
}

// BenchmarkUntestedRequest measures searches whose fingerprints aren't known to be safe,
// so that each runs on one server first.
func BenchmarkUntestedRequest(b *testing.B) {
	for _, shards := range []int{20, 100, 350} {
		b.Run("shards="+strconv.Itoa(shards), func(b *testing.B) {
			coordinator := newLargeCluster(shards).coordinator(&hedging.Budget{})
			request := ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h"}
			b.ReportAllocs()
			before := cpuTime(b)
			number := 0
			for b.Loop() {
				number++
				request.Filters = []ebonyworks.Field{{Name: "Shade", Value: strconv.Itoa(number)}}
				request.Deadline = time.Now().Add(time.Minute)
				coordinator.Search(b.Context(), request)
			}
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
