package search

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// attempt is one try of one shard at one server.
type attempt struct {
	run         *run
	shard       shardPlan
	server      ebonyworks.Server
	incarnation ebonyworks.Incarnation
	hedge       bool
	retry       bool
	// trial is set for the single attempt of a request that isn't known to be safe.
	trial bool
	// won is shared by the attempts at the shard and set by the first of them
	// that has a valid reply.
	won *atomic.Bool
}

// do waits for a permit, sends the sub-search, checks the reply and passes on
// what the attempt taught.
func (a attempt) do(ctx context.Context) (shardResult, ebonyworks.AttemptRecord) {
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
	defer func() { a.end(span, record, winner) }()
	permit, ok := coordinator.Quota.Acquire(ctx, a.shard.service, a.server.ID)
	if !ok {
		return a.miss(ebonyworks.MissTimeout), record
	}
	if !a.stillAllowed() {
		permit.Release(record)
		return shardResult{shard: a.shard.shard.ID, reason: ebonyworks.MissServerLost, withheld: true}, record
	}
	span.AddEvent("sent")
	start := time.Now()
	answer := coordinator.Backend.Search(ctx, a.shard.service, a.server, a.subSearch())
	answer.Result = a.check(answer)
	record.Result = answer.Result
	record.Latency = time.Since(start)
	record.Report = answer.Report
	permit.Release(record)
	a.learn(record)
	if record.Result != ebonyworks.AttemptServed {
		return a.miss(missReason(record.Result)), record
	}
	a.run.prove()
	winner = a.won.CompareAndSwap(false, true)
	if !winner {
		return a.miss(ebonyworks.MissTimeout), record
	}
	return shardResult{shard: a.shard.shard.ID, covered: true, rows: answer.Rows}, record
}

// stillAllowed reports whether the attempt may be sent after the wait for the
// permit. Reports of deaths under the request can have arrived meanwhile.
func (a attempt) stillAllowed() bool {
	inspection := a.run.coordinator.Quarantine
	if a.trial {
		return inspection.StillAllowed(a.run.request.fingerprint, ebonyworks.Canary{Shard: a.shard.shard.ID, Server: a.server})
	}
	return !a.run.isWithheld()
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

// check turns a reply into AttemptInvalid unless it is for this request,
// snapshot and shard, and its rows belong to the shard and the searched keys.
func (a attempt) check(answer ebonyworks.SubSearchReply) ebonyworks.AttemptResult {
	if answer.Result != ebonyworks.AttemptServed {
		return answer.Result
	}
	matches := answer.Request == a.run.request.search.Request &&
		answer.Snapshot == a.run.plan.snapshot &&
		answer.Shard == a.shard.shard.ID
	if !matches {
		return ebonyworks.AttemptInvalid
	}
	for _, row := range answer.Rows {
		if !a.shard.shard.Keys.Contains(row.Key) || !a.run.request.search.Keys.Contains(row.Key) {
			return ebonyworks.AttemptInvalid
		}
	}
	return ebonyworks.AttemptServed
}

func (a attempt) learn(record ebonyworks.AttemptRecord) {
	coordinator := a.run.coordinator
	coordinator.Servers.Observe(record)
	coordinator.Catalogue.Observe(record.Report)
	coordinator.Hedging.Observe(record)
	if coordinator.Observer != nil {
		coordinator.Observer.AttemptEnded(record)
	}
	switch record.Result {
	case ebonyworks.AttemptLost:
		if a.run.isProven() {
			// The server went away for another reason.
			return
		}
		coordinator.Quarantine.RecordCrash(a.run.request.fingerprint, a.server.ID, a.incarnation)
	case ebonyworks.AttemptSnapshotGone:
		coordinator.Catalogue.Dropped(a.server.ID, a.run.plan.snapshot)
	default:
	}
}

func (a attempt) miss(reason ebonyworks.MissReason) shardResult {
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
