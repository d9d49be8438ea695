package search

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ebonyworks/ebonyworks"
)

// run is one search on one pinned snapshot. Its buffers belong to it alone, so
// a late reply can't reach another answer.
type run struct {
	coordinator *Coordinator
	request     request
	plan        plan
	// tried holds the reply of the single trial, if there was one.
	tried *shardResult

	// proven is closed when a server has completed the request; proof that the
	// request doesn't crash every server.
	proven     chan struct{}
	provenOnce sync.Once
	// hopeless is closed when no shard is left that could prove the request safe.
	hopeless chan struct{}
	// unproven counts the shards that could still prove the request safe. The
	// run closes hopeless when it becomes zero.
	unproven atomic.Int64
}

// shardResult is the reply for a shard, or the reason why it has none.
type shardResult struct {
	shard   ebonyworks.ShardID
	covered bool
	rows    []ebonyworks.Row
	reason  ebonyworks.MissReason
	// withheld is set if the attempt wasn't sent because of deaths under the
	// request.
	withheld bool
}

func newRun(coordinator *Coordinator, request request, plan plan) *run {
	r := &run{
		coordinator: coordinator,
		request:     request,
		plan:        plan,
		proven:      make(chan struct{}),
		hopeless:    make(chan struct{}),
	}
	r.unproven.Store(int64(len(plan.shards)))
	return r
}

// all fans out to the shards that have no reply yet and seals the answer.
func (r *run) all(ctx context.Context) ebonyworks.SearchOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan shardResult, len(r.plan.shards))
	pending := make(map[ebonyworks.ShardID]bool, len(r.plan.shards))
	var ended []shardResult
	for _, shard := range r.plan.shards {
		if r.tried != nil && r.tried.shard == shard.shard.ID {
			ended = append(ended, *r.tried)
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
			return r.seal(append(ended, timedOut(pending, results)...))
		}
	}
	return r.seal(ended)
}

// timedOut returns the results that are in already and a timeout for each
// other shard.
func timedOut(pending map[ebonyworks.ShardID]bool, results <-chan shardResult) []shardResult {
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

// seal makes the final answer. Each shard of the plan has exactly one result.
func (r *run) seal(results []shardResult) ebonyworks.SearchOutcome {
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
	return r.refusedByAll(answer)
}

// refusedByAll turns an answer that covers nothing because of load into a
// refusal, so that the caller learns when to come back.
func (r *run) refusedByAll(answer ebonyworks.Answer) ebonyworks.SearchOutcome {
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

// prove records that a server completed the request.
func (r *run) prove() {
	r.provenOnce.Do(func() {
		r.coordinator.Quarantine.RecordSuccess(r.request.fingerprint)
		close(r.proven)
	})
}

// isProven reports whether a server has completed the request.
func (r *run) isProven() bool {
	select {
	case <-r.proven:
		return true
	default:
		return false
	}
}

// isWithheld reports whether attempts have to wait for proof that the request is
// safe.
func (r *run) isWithheld() bool {
	verdict, _ := r.coordinator.Quarantine.Check(r.request.fingerprint)
	return verdict == ebonyworks.VerdictQuarantined
}

// withdrawProof counts one shard less that could prove the request safe.
func (r *run) withdrawProof() {
	if r.unproven.Add(-1) == 0 {
		close(r.hopeless)
	}
}
