package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
)

// followedHosts returns the other host that is followed, if there is one.
func (r *FailoverReader) followedHosts() []ebonyworks.Host {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.followedHost.ID == "" || r.followedHost.ID != r.source {
		return nil
	}
	return []ebonyworks.Host{r.followedHost}
}

// candidates returns the hosts to ask before and after the store. While there is no
// source, it returns only a few hosts, chosen at random each time, because all hosts of
// the fleet may be looking for a source then.
func (r *FailoverReader) candidates(order storereaders.ReaderOrder) (before, others []ebonyworks.Host) {
	before, others = order.Preceding(), order.Fallbacks()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sourceLostAt.IsZero() || r.Random == nil {
		return before, others
	}
	rest := others
	if len(before) > 0 {
		rest = append(slices.Clone(before[1:]), others...)
		before = before[:1]
	}
	r.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	rest = rest[:min(len(rest), maxQueriesWithoutSource)]
	if r.suggested.ID != "" {
		rest = append(rest, r.suggested)
		r.suggested = ebonyworks.Host{}
	}
	return before, rest
}

// SuggestSource tells that another host has a current copy of the store. The host is
// asked while there is no source, or for the evacuations that it holds.
func (r *FailoverReader) SuggestSource(host ebonyworks.Host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if host.ID == r.Self.ID {
		return
	}
	r.suggested = host
	if r.held != nil {
		r.held.add(host)
	}
}

// mayRead reports whether this host may read the store if no host before it in the
// order has a usable copy. It may if it is the next working host in the order, if it
// read the store before, if it is the first substitute of a reader that has no source, or
// if there has been no source for a while. The conditions limit the load on the store
// during an outage, in which otherwise every host would read it in place of its reader.
func (r *FailoverReader) mayRead(order storereaders.ReaderOrder, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Before(r.storeBackoffEnd) {
		return false
	}
	if r.sourceLostAt.IsZero() {
		isNext := !slices.ContainsFunc(order.Preceding(), func(host ebonyworks.Host) bool {
			backoff := r.backoffs[host.ID]
			return backoff == nil || backoff.failures == 0 && (!backoff.sourceless || order.Rank() != 1)
		})
		return isNext || r.source == r.Self.ID
	}
	periods := int(now.Sub(r.sourceLostAt) / r.applyTimePart(substituteIntervalPart))
	return order.Rank() < min(1<<min(periods, maxSubstitutes), maxSubstitutes)
}

// readerOrder returns the order of the hosts, at most orderMaxAge old.
func (r *FailoverReader) readerOrder(now time.Time) storereaders.ReaderOrder {
	r.mutex.Lock()
	order, orderAt := r.order, r.orderAt
	r.mutex.Unlock()
	if !orderAt.IsZero() && now.Sub(orderAt) < orderMaxAge {
		return order
	}
	return r.currentReaderOrder(now)
}

// currentReaderOrder returns the order of the hosts that are alive now. It is computed
// only if they changed.
func (r *FailoverReader) currentReaderOrder(now time.Time) storereaders.ReaderOrder {
	alive := r.Alive()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.orderAt.IsZero() || !slices.Equal(alive, r.alive) {
		r.order = storereaders.New(r.Self, alive)
		r.alive = alive
	}
	r.orderAt = now
	return r.order
}
