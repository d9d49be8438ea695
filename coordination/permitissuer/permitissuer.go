// Package permitissuer issues permits to send requests to servers that have named a
// rate limit. One host issues them for all hosts, so that the limit holds for the sum
// over the hosts however uneven their load is.
package permitissuer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/priorityshedding"
)

const (
	// burstTime is the time for which unused permits of a server are kept, in addition
	// to one permit.
	burstTime = 500 * time.Millisecond
	// coldBurstTime replaces burstTime for cold servers, whose bound holds in each second.
	// It is the time between two requests of a busy service.
	coldBurstTime = 20 * time.Millisecond
	// minRate is the least rate of permits, because only a response tells that a limit
	// has changed or ended.
	minRate ebonyworks.RequestRate = 0.2
	// shedRetryAfter is the least delay for requests that yield to more urgent ones.
	shedRetryAfter = 100 * time.Millisecond
	// defaultOvershoot is the platform's usual bound of the requests of a cold server.
	defaultOvershoot = 1.5
	// issuersAtOnce is the number of hosts that may believe for a moment that they issue
	// permits. Each issues its part of what a cold server tolerates in a second: a server
	// that gets more crashes, and unlike a stated limit the bound holds in each second.
	issuersAtOnce = 2
	// MinWarmupSlack is the least slack that holds the permits of hosts that issue at the
	// same time: an unused one of each, and one that waits for its connection.
	MinWarmupSlack = issuersAtOnce + 1
	// defaultWarmupSlack is the platform's usual slack of the requests of a cold server.
	defaultWarmupSlack = 5
	// maxBuckets bounds the servers with unused permits.
	maxBuckets = 8192
)

// Limits holds the rate limits of servers.
type Limits interface {
	// RateLimit returns the limit of the server that this host knows, or false if the
	// server has never named one.
	RateLimit(server ebonyworks.ServerID) (ebonyworks.RateLimit, bool)
}

// Issuer issues permits at the rates that servers have named. Its fields are set before
// the first use. It is safe for concurrent use.
type Issuer struct {
	Limits Limits
	// Share returns the fraction of the limits that this host may issue, above 0 and up
	// to 1. Nil means 1.
	Share func() float64
	// WarmupOvershoot is the factor by which the requests of a cold server may exceed the
	// rate of its warm-up in any second. Zero means defaultOvershoot.
	WarmupOvershoot float64
	// WarmupSlack is the number of requests in any second by which a cold server may get
	// more than that. Zero means 5. The bound isn't kept with less than MinWarmupSlack.
	WarmupSlack float64

	mutex sync.Mutex
	// buckets has at most maxBuckets entries.
	buckets map[ebonyworks.ServerID]*bucket
	shedder priorityshedding.Shedder
	// issued counts the permits, and refused the groups that got none.
	issued, refused uint64
}

// bucket holds the unused permits of one server.
type bucket struct {
	// tokens is the number of unused permits at updatedAt. It starts at zero, because
	// the host that issued permits before may have issued all.
	tokens    float64
	updatedAt time.Time
	// rate is the number of permits a second, and maxTokens their bound. Both are
	// positive.
	rate, maxTokens float64
}

// Issue takes permits for the groups of the request. If fewer of the groups that aren't
// optional can get one than the request needs, it takes none.
func (i *Issuer) Issue(request ebonyworks.PermitRequest) ebonyworks.PermitReply {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	reply := ebonyworks.PermitReply{Granted: make([]int, len(request.Groups))}
	var waits []time.Duration
	for index, group := range request.Groups {
		server, wait := i.soonest(group.Servers, now)
		reply.Granted[index] = ebonyworks.NoPermit
		if wait == 0 {
			reply.Granted[index] = server
		}
		if !group.Optional {
			waits = append(waits, wait)
		}
	}
	if retryAfter, refused := i.refuse(request, waits); refused {
		i.refused += uint64(len(request.Groups))
		return ebonyworks.PermitReply{RetryAfter: retryAfter}
	}
	for index, group := range request.Groups {
		if chosen := reply.Granted[index]; chosen != ebonyworks.NoPermit {
			i.take(group.Servers[chosen], now)
			i.issued++
		} else {
			i.refused++
		}
	}
	return reply
}

// refuse decides whether the request gets no permits, given the time until each of its
// groups that aren't optional can get one. It returns the delay before a retry.
func (i *Issuer) refuse(request ebonyworks.PermitRequest, waits []time.Duration) (time.Duration, bool) {
	needed := min(request.Needed, len(waits))
	if needed <= 0 {
		return 0, false
	}
	slices.Sort(waits)
	wait := waits[needed-1]
	refused := wait > 0
	if !refused && i.shedder.ShouldShed(request.Service, request.Priority) {
		wait, refused = max(wait, shedRetryAfter), true
	}
	i.shedder.Record(request.Service, request.Priority, refused)
	return wait, refused
}

// soonest returns the index of the server that can first take a request, and the time
// until then. Of those that can take one now, it is the one with the most permits, and a
// warm one rather than a cold one.
func (i *Issuer) soonest(servers []ebonyworks.ServerID, now time.Time) (int, time.Duration) {
	best, bestTokens, bestWait, bestCold := ebonyworks.NoPermit, 0.0, maxWait, false
	for index, server := range servers {
		limit, known := i.Limits.RateLimit(server)
		if !known {
			// The sender's knowledge of this server hasn't arrived yet.
			continue
		}
		if _, limited := limit.Effective(); !limited {
			delete(i.buckets, server)
			return index, 0
		}
		bucket := i.refill(server, limit, now)
		if bucket == nil {
			continue
		}
		wait, cold := bucket.wait(), limit.Warmup > 0
		preferred := bucket.tokens > bestTokens
		if cold != bestCold {
			preferred = bestCold
		}
		if wait < bestWait || wait == bestWait && preferred {
			best, bestTokens, bestWait, bestCold = index, bucket.tokens, wait, cold
		}
	}
	return best, bestWait
}

// maxWait is the time until the first permit of a server without a known limit.
const maxWait = time.Minute

// take uses up a permit of the server if its requests are limited.
func (i *Issuer) take(server ebonyworks.ServerID, now time.Time) {
	limit, known := i.Limits.RateLimit(server)
	if _, limited := limit.Effective(); !known || !limited {
		return
	}
	if bucket := i.refill(server, limit, now); bucket != nil {
		bucket.tokens--
	}
}

// refill returns the bucket of the server with the permits that it has at the time, or
// nil if there are too many buckets.
func (i *Issuer) refill(server ebonyworks.ServerID, limit ebonyworks.RateLimit, now time.Time) *bucket {
	known := i.buckets[server]
	if known == nil {
		if len(i.buckets) >= maxBuckets {
			i.dropUnlimited()
		}
		if len(i.buckets) >= maxBuckets {
			return nil
		}
		if i.buckets == nil {
			i.buckets = make(map[ebonyworks.ServerID]*bucket)
		}
		known = &bucket{updatedAt: now}
		i.buckets[server] = known
	}
	share := 1.0
	if i.Share != nil {
		share = i.Share()
	}
	known.rate, known.maxTokens = i.rate(limit, share)
	known.tokens = min(known.tokens+known.rate*now.Sub(known.updatedAt).Seconds(), known.maxTokens)
	known.updatedAt = now
	return known
}

// rate returns the permits a second for the limit, and the most unused ones.
func (i *Issuer) rate(limit ebonyworks.RateLimit, share float64) (perSecond, maxTokens float64) {
	rate, _ := limit.Effective()
	if limit.Warmup <= 0 {
		perSecond = float64(max(rate, minRate)) * share
		return perSecond, 1 + perSecond*burstTime.Seconds()
	}
	overshoot := i.WarmupOvershoot
	if overshoot <= 0 {
		overshoot = defaultOvershoot
	}
	warmup := float64(limit.WarmupRate) * min(overshoot/issuersAtOnce, 1)
	perSecond = max(min(float64(rate), warmup), float64(minRate)) * share
	slack := i.WarmupSlack
	if slack <= 0 {
		slack = defaultWarmupSlack
	}
	// The unused permits stay within the slack together with those of another host that
	// issues. Without one permit, nothing could be issued.
	return perSecond, max(1, min(1+perSecond*coldBurstTime.Seconds(), slack/issuersAtOnce))
}

// dropUnlimited drops the buckets of servers whose limit has ended.
func (i *Issuer) dropUnlimited() {
	maps.DeleteFunc(i.buckets, func(server ebonyworks.ServerID, _ *bucket) bool {
		limit, known := i.Limits.RateLimit(server)
		_, limited := limit.Effective()
		return !known || !limited
	})
}

// Counts returns the numbers of permits that were issued and refused since the start.
func (i *Issuer) Counts() (issued, refused uint64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.issued, i.refused
}

// Reset drops all unused permits. It is called after a pause of the process, during
// which another host may have issued permits.
func (i *Issuer) Reset() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	clear(i.buckets)
}

// wait returns the time until the bucket has a permit.
func (b *bucket) wait() time.Duration {
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	return min(max(time.Duration(missing/b.rate*float64(time.Second)), time.Nanosecond), maxWait)
}
