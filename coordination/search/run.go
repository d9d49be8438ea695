package search

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ebonyworks/ebonyworks"
)

// run is one search on one snapshot. Its channels and buffers aren't shared with other
// runs, so a late reply can't end up in another answer.
type run struct {
	coordinator *Coordinator
	request     request
	plan        plan
	// canary is the reply to the canary attempt; nil if there was none.
	canary *shardResult

	// succeeded is closed when a server has completed the request, which proves that
	// the request doesn't crash every server.
	succeeded     chan struct{}
	succeededOnce sync.Once
	// cannotSucceed is closed when no shard is left that could prove the request
	// safe.
	cannotSucceed chan struct{}
	// openShards counts the shards that could still prove the request safe. When
	// it becomes zero, cannotSucceed is closed.
	openShards atomic.Int64
}

// shardResult holds the rows of a shard, or the reason why the shard is missed.
type shardResult struct {
	shard   ebonyworks.ShardID
	covered bool
	rows    []ebonyworks.Row
	reason  ebonyworks.MissReason
	// withheld is set if the attempt wasn't sent because the request is suspected of
	// crashing servers.
	withheld bool
}

func newRun(coordinator *Coordinator, request request, plan plan) *run {
	r := &run{
		coordinator:   coordinator,
		request:       request,
		plan:          plan,
		succeeded:     make(chan struct{}),
		cannotSucceed: make(chan struct{}),
	}
	r.openShards.Store(int64(len(plan.shards)))
	return r
}

// fanOut queries the shards without a canary reply in parallel and returns the
// answer.
func (r *run) fanOut(ctx context.Context) ebonyworks.SearchOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan shardResult, len(r.plan.shards))
	pending := make(map[ebonyworks.ShardID]bool, len(r.plan.shards))
	var ended []shardResult
	for _, shard := range r.plan.shards {
		if r.canary != nil && r.canary.shard == shard.shard.ID {
			ended = append(ended, *r.canary)
			continue
		}
		pending[shard.shard.ID] = true
		go func() { results <- r.shard(ctx, shard) }()
	}
	for len(pending) > 0 {
		select {
		case result := <-results:
			delete(pending, result.shard)
			ended = append(ended, result)
		case <-ctx.Done():
			return r.buildAnswer(append(ended, timeOutPending(pending, results)...))
		}
	}
	return r.buildAnswer(ended)
}

// timeOutPending returns the results that have already arrived and a timeout for each
// other pending shard.
func timeOutPending(pending map[ebonyworks.ShardID]bool, results <-chan shardResult) []shardResult {
	var ended []shardResult
	for {
		select {
		case result := <-results:
			delete(pending, result.shard)
			ended = append(ended, result)
			continue
		default:
		}
		break
	}
	for shard := range pending {
		ended = append(ended, shardResult{shard: shard, reason: ebonyworks.MissTimeout})
	}
	return ended
}

// buildAnswer combines the results; each shard of the plan has exactly one.
func (r *run) buildAnswer(results []shardResult) ebonyworks.SearchOutcome {
	answer := ebonyworks.Answer{
		Request:  r.request.search.Request,
		Snapshot: r.plan.snapshot,
		Version:  r.request.configuration.Version,
		Stale:    r.request.stale,
	}
	for _, result := range results {
		if !result.covered {
			answer.Coverage.Missed = append(answer.Coverage.Missed, ebonyworks.MissedShard{Shard: result.shard, Reason: result.reason})
			continue
		}
		answer.Coverage.Covered = append(answer.Coverage.Covered, result.shard)
		answer.Rows = append(answer.Rows, result.rows...)
	}
	slices.Sort(answer.Coverage.Covered)
	slices.SortFunc(answer.Coverage.Missed, func(a, b ebonyworks.MissedShard) int {
		return strings.Compare(string(a.Shard), string(b.Shard))
	})
	slices.SortFunc(answer.Rows, func(a, b ebonyworks.Row) int { return strings.Compare(a.Key, b.Key) })
	return r.refuseIfAllShed(answer)
}

// refuseIfAllShed returns a refusal if all shards were missed because their servers
// shed the search, so that the caller learns when to retry.
func (r *run) refuseIfAllShed(answer ebonyworks.Answer) ebonyworks.SearchOutcome {
	if len(answer.Coverage.Covered) > 0 {
		return ebonyworks.SearchOutcome{Answer: answer}
	}
	for _, miss := range answer.Coverage.Missed {
		if miss.Reason != ebonyworks.MissShed {
			return ebonyworks.SearchOutcome{Answer: answer}
		}
	}
	return refuse(ebonyworks.RefusedOverload, "all servers of the route refused the search because of load", retryAfterShed)
}

// recordSuccess records that a server completed the request, which proves it safe.
func (r *run) recordSuccess() {
	r.succeededOnce.Do(func() {
		r.coordinator.Quarantine.RecordSuccess(r.request.fingerprint)
		close(r.succeeded)
	})
}

// hasSucceeded reports whether a server has completed the request in this run.
func (r *run) hasSucceeded() bool {
	select {
	case <-r.succeeded:
		return true
	default:
		return false
	}
}

// isQuarantined reports whether attempts must not be sent until the request is proven
// safe.
func (r *run) isQuarantined() bool {
	verdict, _ := r.coordinator.Quarantine.Check(r.request.fingerprint)
	return verdict == ebonyworks.VerdictQuarantined
}

// closeShard decreases the number of shards that could still prove the request safe.
func (r *run) closeShard() {
	if r.openShards.Add(-1) == 0 {
		close(r.cannotSucceed)
	}
}
