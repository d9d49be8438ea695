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

// lossCase is a failure domain whose servers fail while searches run.
type lossCase struct {
	name   string
	domain ebonyworks.DomainID
	// silent servers don't answer; the others refuse connections.
	silent bool
}

// The host of the benchmarks is in domain 1.
var lossCases = []lossCase{
	{name: "other domain, connections refused", domain: "2"},
	{name: "other domain, silent", domain: "2", silent: true},
	{name: "servers of the own domain, connections refused", domain: "1"},
	{name: "servers of the own domain, silent", domain: "1", silent: true},
}

// The status requests of an entry host, as package entryhost sends them.
const (
	askInterval   = 100 * time.Millisecond
	maxAsked      = 32
	statusTimeout = time.Second
)

// losing is a wide catalogue that loses a domain.
type losing struct {
	*wide
	lossCase
	mutex sync.Mutex
	lost  bool
	// attempts counts those since the loss.
	attempts int
}

func (l *losing) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	l.mutex.Lock()
	gone := l.lost && server.Domain == l.domain
	if l.lost {
		l.attempts++
	}
	l.mutex.Unlock()
	if !gone {
		return l.wide.Search(ctx, service, server, sub)
	}
	if !l.silent {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptUnreachable}
	}
	<-ctx.Done()
	return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
}

// ask sends status requests until the context ends, as an entry host does.
func (l *losing) ask(ctx context.Context) {
	service := make(map[ebonyworks.ServerID]ebonyworks.ServiceID)
	var servers []ebonyworks.Server
	for _, s := range l.configuration.Catalogues[0].Services {
		for _, server := range s.Servers {
			service[server.ID] = s.ID
			servers = append(servers, server)
		}
	}
	var asking sync.WaitGroup
	defer asking.Wait()
	places := make(chan struct{}, maxAsked)
	for ctx.Err() == nil {
		time.Sleep(askInterval)
		for _, server := range l.register.Due(servers, maxAsked-len(places)) {
			places <- struct{}{}
			asking.Go(func() {
				l.register.Observe(l.status(service[server.ID], server))
				<-places
			})
		}
	}
}

func (l *losing) status(service ebonyworks.ServiceID, server ebonyworks.Server) ebonyworks.AttemptRecord {
	record := ebonyworks.AttemptRecord{Service: service, Server: server.ID, Result: ebonyworks.AttemptServed}
	l.mutex.Lock()
	gone := l.lost && server.Domain == l.domain
	l.mutex.Unlock()
	switch {
	case gone && l.silent:
		time.Sleep(statusTimeout)
		record.Result = ebonyworks.AttemptTimeout
	case gone:
		record.Result = ebonyworks.AttemptUnreachable
	default:
		time.Sleep(time.Millisecond)
		record.Report = ebonyworks.ServerReport{Server: server.ID, Incarnation: 1, Snapshots: held}
	}
	return record
}

// lossResult is what the searches of one period after the loss were like.
type lossResult struct {
	searches, complete, within int
}

// Guards against a lost failure domain that keeps answers incomplete although
// every shard has working replicas. With EBONYWORKS_TAIL it runs at the design
// size, where 32 status requests at a time don't reach all lost servers in the
// time of the test, and prints the table of docs/CAPACITY.md.
func TestLostDomain(t *testing.T) {
	shards, rate := 20, 50
	if _, found := os.LookupEnv(tailVariable); found {
		shards, rate = 350, 100
	}
	for _, c := range lossCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { loseDomain(t, c, shards, rate) })
		})
	}
}

func loseDomain(t *testing.T, c lossCase, shards, rate int) {
	const before, after = time.Second, 12 * time.Second
	l := &losing{wide: newWide(shards), lossCase: c}
	l.latency = tailCases[0].latencies(1)
	coordinator := l.coordinator(&hedging.Budget{})
	coordinator.Backend = l
	var results [4]lossResult
	var mutex sync.Mutex
	var searches, asking sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	asking.Go(func() { l.ask(ctx) })
	begun := time.Now()
	for time.Since(begun) < before+after {
		if time.Since(begun) >= before {
			l.mutex.Lock()
			l.lost = true
			l.mutex.Unlock()
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
	asking.Wait()
	line, total := "", 0
	for _, r := range results {
		require.NotZero(t, r.searches)
		total += r.searches
		line += fmt.Sprintf(" %.0f%% / %.0f%% |", 100*float64(r.complete)/float64(r.searches), 100*float64(r.within)/float64(r.searches))
	}
	t.Logf("| %s | %d |%s %.1f%% |", c.name, shards, line, 100*(float64(l.attempts)/float64(total*shards)-1))
	last := results[len(results)-1]
	if shards == 20 {
		assert.Equal(t, last.searches, last.complete, "the last period is complete")
	}
}

// period returns the index of the time after the loss in the printed table.
func period(after time.Duration) int {
	index, _ := slices.BinarySearch([]time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second}, after+1)
	return min(index, 3)
}
