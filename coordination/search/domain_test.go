//go:build unix

package search_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
)

// domainLoss is a failure domain whose servers fail while searches run.
type domainLoss struct {
	name   string
	domain ebonyworks.DomainID
	// silent is set if the servers don't reply; otherwise they refuse connections.
	silent bool
}

// The host of the benchmarks is in domain 1.
var domainLosses = []domainLoss{
	{name: "other domain, connections refused", domain: "2"},
	{name: "other domain, silent", domain: "2", silent: true},
	{name: "servers of the own domain, connections refused", domain: "1"},
	{name: "servers of the own domain, silent", domain: "1", silent: true},
}

// The status requests of an entry host, as package entryhost sends them.
const (
	statusInterval    = 100 * time.Millisecond
	maxStatusRequests = 32
	statusTimeout     = time.Second
)

// failingDomain is a large cluster that loses a failure domain once lost is set.
type failingDomain struct {
	*largeCluster
	domainLoss
	mutex sync.Mutex
	lost  bool
	// attempts counts those since the loss.
	attempts int
}

func (d *failingDomain) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	d.mutex.Lock()
	serverLost := d.lost && server.Domain == d.domain
	if d.lost {
		d.attempts++
	}
	d.mutex.Unlock()
	if !serverLost {
		return d.largeCluster.Search(ctx, service, server, sub)
	}
	if !d.silent {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptUnreachable}
	}
	<-ctx.Done()
	return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
}

// pollStatus sends status requests to the servers until the context ends, as an entry
// host does.
func (d *failingDomain) pollStatus(ctx context.Context) {
	service := make(map[ebonyworks.ServerID]ebonyworks.ServiceID)
	var servers []ebonyworks.Server
	for _, s := range d.configuration.Catalogues[0].Services {
		for _, server := range s.Servers {
			service[server.ID] = s.ID
			servers = append(servers, server)
		}
	}
	var polling sync.WaitGroup
	defer polling.Wait()
	slots := make(chan struct{}, maxStatusRequests)
	for ctx.Err() == nil {
		time.Sleep(statusInterval)
		for _, server := range d.states.DueForStatus(servers, maxStatusRequests-len(slots)) {
			slots <- struct{}{}
			polling.Go(func() {
				d.states.Observe(d.status(service[server.ID], server))
				<-slots
			})
		}
	}
}

func (d *failingDomain) status(service ebonyworks.ServiceID, server ebonyworks.Server) ebonyworks.AttemptRecord {
	record := ebonyworks.AttemptRecord{Service: service, Server: server.ID, Result: ebonyworks.AttemptServed}
	d.mutex.Lock()
	serverLost := d.lost && server.Domain == d.domain
	d.mutex.Unlock()
	switch {
	case serverLost && d.silent:
		time.Sleep(statusTimeout)
		record.Result = ebonyworks.AttemptTimeout
	case serverLost:
		record.Result = ebonyworks.AttemptUnreachable
	default:
		time.Sleep(time.Millisecond)
		record.Report = ebonyworks.ServerReport{Server: server.ID, Incarnation: 1, Snapshots: heldSnapshots}
	}
	return record
}

// periodResult counts the searches of one period after the loss: all of them, those
// with a complete answer, and of these the ones within tailLimit.
type periodResult struct {
	searches, complete, within int
}

// Guards against answers that stay incomplete after the loss of a failure domain
// although every shard has working replicas. With EBONYWORKS_TAIL it runs at the design
// size, where 32 concurrent status requests don't reach all lost servers in the time of
// the test, and prints the table of docs/CAPACITY.md.
func TestLostDomain(t *testing.T) {
	shards, rate := 20, 50
	if _, found := os.LookupEnv(tailVariable); found {
		shards, rate = 350, 100
	}
	for _, c := range domainLosses {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { searchThroughDomainLoss(t, c, shards, rate) })
		})
	}
}

func searchThroughDomainLoss(t *testing.T, c domainLoss, shards, rate int) {
	const before, after = time.Second, 12 * time.Second
	d := &failingDomain{largeCluster: newLargeCluster(shards), domainLoss: c}
	d.latency = tailCases[0].latencies(1)
	coordinator := d.coordinator(&hedging.Budget{})
	coordinator.Backend = d
	var results [4]periodResult
	var mutex sync.Mutex
	var searches, polling sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	polling.Go(func() { d.pollStatus(ctx) })
	begun := time.Now()
	for time.Since(begun) < before+after {
		if time.Since(begun) >= before {
			d.mutex.Lock()
			d.lost = true
			d.mutex.Unlock()
		}
		searches.Go(func() {
			start := time.Now()
			request := ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h", Deadline: start.Add(250 * time.Millisecond)}
			outcome := coordinator.Search(t.Context(), request)
			took := time.Since(start)
			if start.Sub(begun) < before {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			period := &results[period(start.Sub(begun)-before)]
			period.searches++
			if outcome.Refusal == nil && outcome.Answer.Coverage.Complete() {
				period.complete++
				if took <= tailLimit {
					period.within++
				}
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	searches.Wait()
	cancel()
	polling.Wait()
	line, total := "", 0
	for _, r := range results {
		require.NotZero(t, r.searches)
		total += r.searches
		line += fmt.Sprintf(" %.0f%% / %.0f%% |", 100*float64(r.complete)/float64(r.searches), 100*float64(r.within)/float64(r.searches))
	}
	t.Logf("| %s | %d |%s %.1f%% |", c.name, shards, line, 100*(float64(d.attempts)/float64(total*shards)-1))
	last := results[len(results)-1]
	if shards == 20 {
		assert.Equal(t, last.searches, last.complete, "the last period is complete")
	}
}

// period returns the column of the printed table for a time after the loss.
func period(after time.Duration) int {
	index, _ := slices.BinarySearch([]time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second}, after+1)
	return min(index, 3)
}
