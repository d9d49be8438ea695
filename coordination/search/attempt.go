package search

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// attempt is one request for a shard to one server.
type attempt struct {
	run         *run
	shard       shardPlan
	server      ebonyworks.Server
	incarnation ebonyworks.Incarnation
	hedge       bool
	retry       bool
	// canary is set if the request isn't known to be safe and this is its only attempt
	// in flight.
	canary bool
	// won is shared by all attempts for the shard; the first valid reply sets it.
	won *atomic.Bool
}

// execute waits for a permit, sends the sub-search, validates the reply and updates
// the shared state with the result.
func (a attempt) execute(ctx context.Context) (shardResult, ebonyworks.AttemptRecord) {
	coordinator := a.run.coordinator
	record := ebonyworks.AttemptRecord{
		Service: a.shard.service.ID,
		Server:  a.server.ID,
		Result:  ebonyworks.AttemptCanceled,
		Hedge:   a.hedge,
		Retry:   a.retry,
	}
	winner := false
	ctx, span := a.span(ctx)
	defer func() { a.endSpan(span, record, winner) }()
	permit, ok := coordinator.Quota.Acquire(ctx, a.shard.service, a.server.ID)
	if !ok {
		return a.missedResult(ebonyworks.MissTimeout), record
	}
	if !a.stillAllowed() {
		permit.Release(record)
		return shardResult{shard: a.shard.shard.ID, reason: ebonyworks.MissServerLost, withheld: true}, record
	}
	span.AddEvent("sent")
	start := time.Now()
	reply := coordinator.Backend.Search(ctx, a.shard.service, a.server, a.subSearch())
	reply.Result = a.validate(reply)
	record.Result = reply.Result
	record.Latency = time.Since(start)
	record.Report = reply.Report
	permit.Release(record)
	a.observe(record)
	if record.Result != ebonyworks.AttemptServed {
		return a.missedResult(missReason(record.Result)), record
	}
	a.run.recordSuccess()
	winner = a.won.CompareAndSwap(false, true)
	if !winner {
		return a.missedResult(ebonyworks.MissTimeout), record
	}
	return shardResult{shard: a.shard.shard.ID, covered: true, rows: reply.Rows}, record
}

// stillAllowed reports whether the attempt may be sent after the wait for the
// permit, since crashes caused by the request can have been reported meanwhile.
func (a attempt) stillAllowed() bool {
	quarantine := a.run.coordinator.Quarantine
	if a.canary {
		return quarantine.StillAllowed(a.run.request.fingerprint, ebonyworks.Canary{Shard: a.shard.shard.ID, Server: a.server})
	}
	return !a.run.isQuarantined()
}

func (a attempt) subSearch() ebonyworks.SubSearch {
	return ebonyworks.SubSearch{
		Request:   a.run.request.search.Request,
		Catalogue: a.run.request.route.Catalogue,
		Snapshot:  a.run.plan.snapshot,
		Shard:     a.shard.shard.ID,
		Filters:   a.run.request.search.Filters,
		Keys:      a.run.request.search.Keys,
	}
}

// validate returns AttemptInvalid unless the reply is for this request, snapshot and
// shard, and all rows belong to the shard and to the searched keys.
func (a attempt) validate(reply ebonyworks.SubSearchReply) ebonyworks.AttemptResult {
	if reply.Result != ebonyworks.AttemptServed {
		return reply.Result
	}
	matches := reply.Request == a.run.request.search.Request &&
		reply.Snapshot == a.run.plan.snapshot &&
		reply.Shard == a.shard.shard.ID
	if !matches {
		return ebonyworks.AttemptInvalid
	}
	for _, row := range reply.Rows {
		if !a.shard.shard.Keys.Contains(row.Key) || !a.run.request.search.Keys.Contains(row.Key) {
			return ebonyworks.AttemptInvalid
		}
	}
	return ebonyworks.AttemptServed
}

func (a attempt) observe(record ebonyworks.AttemptRecord) {
	coordinator := a.run.coordinator
	coordinator.Servers.Observe(record)
	coordinator.Catalogue.Observe(record.Report)
	coordinator.Hedging.Observe(record)
	if coordinator.Observer != nil {
		coordinator.Observer.AttemptEnded(record)
	}
	switch record.Result {
	case ebonyworks.AttemptLost:
		if a.run.hasSucceeded() {
			// Another server has completed the request, so the connection was lost for
			// another reason than a crash caused by the request.
			return
		}
		coordinator.Quarantine.RecordCrash(a.run.request.fingerprint, a.server.ID, a.incarnation)
	case ebonyworks.AttemptSnapshotGone:
		coordinator.Catalogue.RemoveSnapshot(a.server.ID, a.run.plan.snapshot)
	default:
	}
}

func (a attempt) missedResult(reason ebonyworks.MissReason) shardResult {
	return shardResult{shard: a.shard.shard.ID, reason: reason}
}

func missReason(result ebonyworks.AttemptResult) ebonyworks.MissReason {
	switch result {
	case ebonyworks.AttemptShed:
		return ebonyworks.MissShed
	case ebonyworks.AttemptSnapshotGone:
		return ebonyworks.MissSnapshotGone
	case ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable:
		return ebonyworks.MissNoServer
	case ebonyworks.AttemptInvalid, ebonyworks.AttemptRejected:
		return ebonyworks.MissInvalidReply
	case ebonyworks.AttemptLost:
		return ebonyworks.MissServerLost
	default:
		return ebonyworks.MissTimeout
	}
}
