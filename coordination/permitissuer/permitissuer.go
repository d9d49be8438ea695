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
	// minRate is the least rate of permits, because only a response tells that a limit
	// has changed or ended.
	minRate ebonyworks.RequestRate = 0.2
	// shedRetryAfter is the least delay for requests that yield to more urgent ones.
	shedRetryAfter = 100 * time.Millisecond
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
// until then. Of those that can take one now, it is the one with the most permits.
func (i *Issuer) soonest(servers []ebonyworks.ServerID, now time.Time) (int, time.Duration) {
	best, bestTokens, bestWait := ebonyworks.NoPermit, 0.0, maxWait
	for index, server := range servers {
		limit, known := i.Limits.RateLimit(server)
		switch {
		case !known:
			// The sender's knowledge of this server hasn't arrived yet.
			continue
		case !limit.Limited:
			delete(i.buckets, server)
			return index, 0
		}
		bucket := i.refill(server, limit.Rate, now)
		if bucket == nil {
			continue
		}
		wait := bucket.wait()
		if wait < bestWait || wait == bestWait && bucket.tokens > bestTokens {
			best, bestTokens, bestWait = index, bucket.tokens, wait
		}
	}
	return best, bestWait
}

// maxWait is the time until the first permit of a server without a known limit.
const maxWait = time.Minute

// take uses up a permit of the server if its requests are limited.
func (i *Issuer) take(server ebonyworks.ServerID, now time.Time) {
	limit, known := i.Limits.RateLimit(server)
	if !known || !limit.Limited {
		return
	}
	if bucket := i.refill(server, limit.Rate, now); bucket != nil {
		bucket.tokens--
	}
}

// refill returns the bucket of the server with the permits that it has at the time, or
// nil if there are too many buckets.
func (i *Issuer) refill(server ebonyworks.ServerID, limit ebonyworks.RequestRate, now time.Time) *bucket {
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
	known.rate = float64(max(limit, minRate)) * share
	known.maxTokens = 1 + known.rate*burstTime.Seconds()
	known.tokens = min(known.tokens+known.rate*now.Sub(known.updatedAt).Seconds(), known.maxTokens)
	known.updatedAt = now
	return known
}

// dropUnlimited drops the buckets of servers whose limit has ended.
func (i *Issuer) dropUnlimited() {
	maps.DeleteFunc(i.buckets, func(server ebonyworks.ServerID, _ *bucket) bool {
		limit, known := i.Limits.RateLimit(server)
		return !known || !limit.Limited
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
