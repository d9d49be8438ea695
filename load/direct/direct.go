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
	options       Options
	configuration *ebonyworks.Configuration
	requests      atomic.Uint64
	// started makes request ids unique across runs.
	started time.Time

	mu sync.Mutex
	// outstanding has at most one entry per view and server of the configuration.
	outstanding map[viewed]int
	// turn breaks ties in turn.
	turn int
	// snapshots holds the newest known snapshot of each catalogue.
	snapshots map[ebonyworks.CatalogueID]ebonyworks.Snapshot
}

var _ load.Target = (*Target)(nil)

// Options describe how the target reaches the servers.
type Options struct {
	// Backends are taken in turn; each stands for the place of one entry host.
	Backends []ebonyworks.Backend
	// Shared lets all backends choose by the outstanding requests of all of
	// them. Otherwise each knows only its own, as an entry host does.
	Shared bool
	// Delay is the one-way delay between client and host, which is added on both
	// sides of each request as with entry hosts.
	Delay time.Duration
}

// viewed is a server as one view sees it.
type viewed struct {
	view   int
	server ebonyworks.ServerID
}

// New returns a target.
func New(configuration *ebonyworks.Configuration, options Options) *Target {
	return &Target{
		options:       options,
		configuration: configuration,
		started:       time.Now(),
		outstanding:   make(map[viewed]int),
		snapshots:     make(map[ebonyworks.CatalogueID]ebonyworks.Snapshot),
	}
}

// Prepare asks every server for its snapshots, which also opens the
// connections.
func (t *Target) Prepare(ctx context.Context) error {
	for _, backend := range t.options.Backends {
		for i := range t.configuration.Catalogues {
			if err := t.prepare(ctx, backend, &t.configuration.Catalogues[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Target) prepare(ctx context.Context, backend ebonyworks.Backend, catalogue *ebonyworks.Catalogue) error {
	for i := range catalogue.Services {
		service := &catalogue.Services[i]
		for _, server := range service.Servers {
			report, result := backend.Status(ctx, service, server)
			if result != ebonyworks.AttemptServed {
				return errors.Errorf("server %s didn't report its status", server.ID)
			}
			t.learn(catalogue.ID, report)
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
	number := t.requests.Add(1)
	place := int(number % uint64(len(t.options.Backends)))
	call := call{
		id:        ebonyworks.RequestID(fmt.Sprintf("direct-%d-%d", t.started.UnixNano(), number)),
		backend:   t.options.Backends[place],
		catalogue: catalogue,
		request:   request,
	}
	if !t.options.Shared {
		call.view = place
	}
	result := t.run(bounded, call)
	result.Delay = 2 * t.options.Delay
	return result
}

// call is one request in progress.
type call struct {
	id        ebonyworks.RequestID
	backend   ebonyworks.Backend
	view      int
	catalogue *ebonyworks.Catalogue
	partition ebonyworks.Partition
	snapshot  ebonyworks.Snapshot
	request   load.Request
}

func (t *Target) run(ctx context.Context, call call) load.Result {
	t.mu.Lock()
	call.snapshot = t.snapshots[call.catalogue.ID]
	t.mu.Unlock()
	partition, ok := call.catalogue.Partition(call.snapshot.Epoch)
	if !ok {
		return load.Result{Ending: load.Refused, Code: string(ebonyworks.RefusedNoSnapshot)}
	}
	call.partition = partition
	if call.request.Kind == ebonyworks.ReservationRoute {
		return t.reserve(ctx, call)
	}
	return t.search(ctx, call)
}

func (t *Target) search(ctx context.Context, call call) load.Result {
	shards := call.partition.Overlapping(call.request.Keys)
	answers := make([]ebonyworks.SubSearchReply, len(shards))
	var pending sync.WaitGroup
	for i, shard := range shards {
		pending.Go(func() { answers[i] = t.searchShard(ctx, call, shard) })
	}
	pending.Wait()
	result := load.Result{Ending: load.Answered}
	for i, answer := range answers {
		if answer.Result == ebonyworks.AttemptServed {
			result.Covered++
			continue
		}
		result.Missed = append(result.Missed, ebonyworks.MissedShard{Shard: shards[i].ID, Reason: missReason(answer.Result)})
	}
	return result
}

func (t *Target) searchShard(ctx context.Context, call call, shard ebonyworks.Shard) ebonyworks.SubSearchReply {
	service, _ := call.catalogue.Service(shard.Service)
	server := t.take(call.view, service)
	defer t.release(call.view, server)
	answer := call.backend.Search(ctx, service, server, ebonyworks.SubSearch{
		Request:   call.id,
		Catalogue: call.catalogue.ID,
		Snapshot:  call.snapshot,
		Shard:     shard.ID,
		Filters:   call.request.Filters,
		Keys:      call.request.Keys,
	})
	t.learn(call.catalogue.ID, answer.Report)
	return answer
}

func (t *Target) reserve(ctx context.Context, call call) load.Result {
	shard := call.partition.Overlapping(ebonyworks.SingleKey(call.request.Key))[0]
	service, _ := call.catalogue.Service(shard.Service)
	server := t.take(call.view, service)
	defer t.release(call.view, server)
	confirmation := call.backend.Reserve(ctx, service, server, ebonyworks.SubReservation{
		Request:   call.id,
		Catalogue: call.catalogue.ID,
		Shard:     shard.ID,
		Key:       call.request.Key,
		Fields:    call.request.Fields,
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
func (t *Target) take(view int, service *ebonyworks.Service) ebonyworks.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	best := service.Servers[t.turn%len(service.Servers)]
	for _, server := range service.Servers {
		if t.outstanding[viewed{view, server.ID}] < t.outstanding[viewed{view, best.ID}] {
			best = server
		}
	}
	t.outstanding[viewed{view, best.ID}]++
	return best
}

func (t *Target) release(view int, server ebonyworks.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[viewed{view, server.ID}]--
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
