package search

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// maxCanaries bounds the number of servers tried before one completes the request.
// Only lost connections count as crashes; after any other failure the next server is
// tried.
const maxCanaries = 6

// runCanaries runs the request on one server after another until one completes it,
// and keeps that reply. It returns a refusal if no server does or the request is
// suspected of crashing servers.
func (r *run) runCanaries(ctx context.Context) *ebonyworks.Refusal {
	var tried []ebonyworks.ServerID
	for range maxCanaries {
		canary, refusal := r.coordinator.Quarantine.ChooseCanary(r.request.fingerprint, r.replicas(tried))
		if refusal != nil {
			return refusal
		}
		tried = append(tried, canary.Server.ID)
		result := r.runCanary(ctx, canary)
		r.coordinator.Quarantine.EndCanary(r.request.fingerprint)
		if result.covered {
			r.canary = &result
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

func (r *run) runCanary(ctx context.Context, canary ebonyworks.Canary) shardResult {
	index := slices.IndexFunc(r.plan.shards, func(shard shardPlan) bool { return shard.shard.ID == canary.Shard })
	if index < 0 {
		return shardResult{shard: canary.Shard, reason: ebonyworks.MissNoServer}
	}
	shard := r.plan.shards[index]
	ctx, cancel := context.WithTimeout(ctx, r.canaryTimeout(ctx, shard))
	defer cancel()
	attempt := attempt{run: r, shard: shard, server: canary.Server, incarnation: r.incarnation(shard, canary.Server.ID), canary: true, won: &atomic.Bool{}}
	result, _ := attempt.execute(ctx)
	return result
}

// canaryTimeout is short enough to leave time for another server if this one hangs.
func (r *run) canaryTimeout(ctx context.Context, shard shardPlan) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Second
	}
	remaining := time.Until(deadline)
	return min(max(4*r.coordinator.Hedging.Delay(shard.service.ID), remaining/4), remaining)
}

// replicas returns the servers of each shard; those in tried aren't usable.
func (r *run) replicas(tried []ebonyworks.ServerID) []ebonyworks.ShardReplicas {
	replicas := make([]ebonyworks.ShardReplicas, 0, len(r.plan.shards))
	for _, shard := range r.plan.shards {
		candidates := r.candidates(shard, tried)
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
