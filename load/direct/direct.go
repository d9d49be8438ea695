// Package direct runs searches on the backend servers without an entry host,
// to measure what the entry host adds.
package direct

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

// Target is a load.Target that sends the sub-requests of a search to the
// replicas with the fewest outstanding ones. It neither hedges nor retries.
// Reservations are sent to one server without a ticket.
type Target struct {
	backend       ebonyworks.Backend
	configuration *ebonyworks.Configuration
	delay         time.Duration
	requests      atomic.Uint64

	mu sync.Mutex
	// outstanding has one entry per server of the configuration.
	outstanding map[ebonyworks.ServerID]int
	// turn breaks ties in turn.
	turn int
	// snapshots holds the newest known snapshot of each catalogue.
	snapshots map[ebonyworks.CatalogueID]ebonyworks.Snapshot
}

var _ load.Target = (*Target)(nil)

// New returns a target. Delay is the one-way delay between client and host,
// which is added on both sides of each request as with entry hosts.
func New(backend ebonyworks.Backend, configuration *ebonyworks.Configuration, delay time.Duration) *Target {
	return &Target{
		backend:       backend,
		configuration: configuration,
		delay:         delay,
		outstanding:   make(map[ebonyworks.ServerID]int),
		snapshots:     make(map[ebonyworks.CatalogueID]ebonyworks.Snapshot),
	}
}

// Prepare asks every server for its snapshots, which also opens the
// connections.
func (t *Target) Prepare(ctx context.Context) error {
	for i := range t.configuration.Catalogues {
		catalogue := &t.configuration.Catalogues[i]
		for k := range catalogue.Services {
			service := &catalogue.Services[k]
			for _, server := range service.Servers {
				report, result := t.backend.Status(ctx, service, server)
				if result != ebonyworks.AttemptServed {
					return errors.Errorf("server %s didn't report its status", server.ID)
				}
				t.learn(catalogue.ID, report)
			}
		}
	}
	return nil
}

// learn keeps the newest snapshot of the report.
func (t *Target) learn(catalogue ebonyworks.CatalogueID, report ebonyworks.ServerReport) {
	if len(report.Snapshots) == 0 {
		return
	}
	newest := report.Snapshots[len(report.Snapshots)-1]
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest.Number > t.snapshots[catalogue].Number {
		t.snapshots[catalogue] = newest
	}
}

// Do runs the request.
func (t *Target) Do(ctx context.Context, request load.Request) load.Result {
	route, ok := t.configuration.Route(request.Route)
	if !ok {
		return load.Result{Ending: load.Refused, Code: string(ebonyworks.RefusedUnknownRoute)}
	}
	catalogue, _ := t.configuration.Catalogue(route.Catalogue)
	timeout := request.Timeout
	if timeout == 0 {
		timeout = route.DefaultDeadline
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id := ebonyworks.RequestID(fmt.Sprintf("direct-%d", t.requests.Add(1)))
	result := t.run(bounded, id, catalogue, request)
	result.Delay = 2 * t.delay
	return result
}

func (t *Target) run(ctx context.Context, id ebonyworks.RequestID, catalogue *ebonyworks.Catalogue, request load.Request) load.Result {
	t.mu.Lock()
	snapshot := t.snapshots[catalogue.ID]
	t.mu.Unlock()
	partition, ok := catalogue.Partition(snapshot.Epoch)
	if !ok {
		return load.Result{Ending: load.Refused, Code: string(ebonyworks.RefusedNoSnapshot)}
	}
	if request.Kind == ebonyworks.ReservationRoute {
		return t.reserve(ctx, id, catalogue, partition, request)
	}
	return t.search(ctx, id, catalogue, partition, snapshot, request)
}

func (t *Target) search(ctx context.Context, id ebonyworks.RequestID, catalogue *ebonyworks.Catalogue, partition ebonyworks.Partition, snapshot ebonyworks.Snapshot, request load.Request) load.Result {
	shards := partition.Overlapping(request.Keys)
	answers := make([]ebonyworks.SubAnswer, len(shards))
	var pending sync.WaitGroup
	for i, shard := range shards {
		pending.Go(func() {
			service, _ := catalogue.Service(shard.Service)
			server := t.take(service)
			defer t.release(server)
			answers[i] = t.backend.Search(ctx, service, server, ebonyworks.SubSearch{
				Request:   id,
				Catalogue: catalogue.ID,
				Snapshot:  snapshot,
				Shard:     shard.ID,
				Filters:   request.Filters,
				Keys:      request.Keys,
			})
			t.learn(catalogue.ID, answers[i].Report)
		})
	}
	pending.Wait()
	result := load.Result{Ending: load.Answered}
	for i, answer := range answers {
		if answer.Result == ebonyworks.AttemptServed {
			result.Covered++
			continue
		}
		result.Missed = append(result.Missed, ebonyworks.Miss{Shard: shards[i].ID, Reason: missReason(answer.Result)})
	}
	return result
}

func (t *Target) reserve(ctx context.Context, id ebonyworks.RequestID, catalogue *ebonyworks.Catalogue, partition ebonyworks.Partition, request load.Request) load.Result {
	shard := partition.Overlapping(ebonyworks.SingleKey(request.Key))[0]
	service, _ := catalogue.Service(shard.Service)
	server := t.take(service)
	defer t.release(server)
	confirmation := t.backend.Reserve(ctx, service, server, ebonyworks.SubReservation{
		Request:   id,
		Catalogue: catalogue.ID,
		Shard:     shard.ID,
		Key:       request.Key,
		Fields:    request.Fields,
	})
	result := load.Result{Ending: load.Settled, Code: string(ebonyworks.CodeLost)}
	switch {
	case confirmation.Result == ebonyworks.AttemptServed:
		result.Outcome = ebonyworks.OutcomeRan
		result.Code = string(ebonyworks.CodeDone)
	case confirmation.Result.ProvesNotRun():
		result.Outcome = ebonyworks.OutcomeNotRun
		result.Code = string(ebonyworks.CodeRefused)
	}
	return result
}

// take returns the replica with the fewest outstanding requests and counts one
// more for it.
func (t *Target) take(service *ebonyworks.Service) ebonyworks.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	best := service.Servers[t.turn%len(service.Servers)]
	for _, server := range service.Servers {
		if t.outstanding[server.ID] < t.outstanding[best.ID] {
			best = server
		}
	}
	t.outstanding[best.ID]++
	return best
}

func (t *Target) release(server ebonyworks.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[server.ID]--
}

func missReason(result ebonyworks.AttemptResult) ebonyworks.MissReason {
	switch result {
	case ebonyworks.AttemptLost:
		return ebonyworks.MissServerLost
	case ebonyworks.AttemptShed:
		return ebonyworks.MissShed
	case ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable:
		return ebonyworks.MissNoServer
	case ebonyworks.AttemptSnapshotGone:
		return ebonyworks.MissSnapshotGone
	case ebonyworks.AttemptInvalid, ebonyworks.AttemptRejected:
		return ebonyworks.MissInvalidReply
	default:
		return ebonyworks.MissTimeout
	}
}
