package search

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// maxTrials bounds the servers that are asked while looking for one that
// completes the request. Only deaths count against the request, other failures
// move on to the next server.
const maxTrials = 6

// tryOne runs the request on one server after the other until one completes it,
// and keeps the reply. It returns a refusal if the request must not run.
func (r *run) tryOne(ctx context.Context) *ebonyworks.Refusal {
	var asked []ebonyworks.ServerID
	for range maxTrials {
		trial, refusal := r.coordinator.Quarantine.ChooseCanary(r.request.fingerprint, r.replicas(asked))
		if refusal != nil {
			return refusal
		}
		asked = append(asked, trial.Server.ID)
		result := r.tryOn(ctx, trial)
		r.coordinator.Quarantine.EndCanary(r.request.fingerprint)
		if result.covered {
			r.tried = &result
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &ebonyworks.Refusal{
		Code:       ebonyworks.RefusedOverload,
		Message:    "no server completed the first run of this request in time",
		RetryAfter: retryAfterShed,
		Ran:        true,
	}
}

func (r *run) tryOn(ctx context.Context, trial ebonyworks.Canary) shardResult {
	index := slices.IndexFunc(r.plan.shards, func(shard shardPlan) bool { return shard.shard.ID == trial.Shard })
	if index < 0 {
		return shardResult{shard: trial.Shard, reason: ebonyworks.MissNoServer}
	}
	shard := r.plan.shards[index]
	ctx, cancel := context.WithTimeout(ctx, r.trialTimeout(ctx, shard))
	defer cancel()
	attempt := attempt{run: r, shard: shard, server: trial.Server, incarnation: r.incarnation(shard, trial.Server.ID), trial: true, won: &atomic.Bool{}}
	result, _ := attempt.do(ctx)
	return result
}

// trialTimeout leaves time for another server when the first one hangs.
func (r *run) trialTimeout(ctx context.Context, shard shardPlan) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Second
	}
	remaining := time.Until(deadline)
	return min(max(4*r.coordinator.Hedging.Delay(shard.service.ID), remaining/4), remaining)
}

// replicas lists the servers of each shard without those that were asked.
func (r *run) replicas(asked []ebonyworks.ServerID) []ebonyworks.ShardReplicas {
	replicas := make([]ebonyworks.ShardReplicas, 0, len(r.plan.shards))
	for _, shard := range r.plan.shards {
		candidates := r.candidates(shard, asked)
		entry := ebonyworks.ShardReplicas{Shard: shard.shard.ID}
		for _, server := range shard.service.Servers {
			if r.request.route.Allows(server.Domain) {
				entry.All = append(entry.All, server)
			}
		}
		for _, candidate := range candidates {
			if !candidate.Failing {
				entry.Usable = append(entry.Usable, candidate.Server)
			}
		}
		replicas = append(replicas, entry)
	}
	return replicas
}

func (r *run) incarnation(shard shardPlan, server ebonyworks.ServerID) ebonyworks.Incarnation {
	for _, candidate := range r.candidates(shard, nil) {
		if candidate.Server.ID == server {
			return candidate.Incarnation
		}
	}
	return 0
}
