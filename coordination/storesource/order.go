package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
)

// followed returns the host that is followed, if there is one.
func (u *FailoverReader) followed() []ebonyworks.Host {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.leader.ID == "" || u.leader.ID != u.source {
		return nil
	}
	return []ebonyworks.Host{u.leader}
}

// candidates returns the hosts to ask before and after the store. While nobody
// knows the state of the store these are few, with others each time: all hosts of
// the fleet are looking then.
func (u *FailoverReader) candidates(order storereaders.Readership) (before, others []ebonyworks.Host) {
	before, others = order.Before(), order.Others()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.lostAt.IsZero() || u.Random == nil {
		return before, others
	}
	rest := others
	if len(before) > 0 {
		rest = append(slices.Clone(before[1:]), others...)
		before = before[:1]
	}
	u.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	rest = rest[:min(len(rest), lostAsks)]
	if u.hint.ID != "" {
		rest = append(rest, u.hint)
		u.hint = ebonyworks.Host{}
	}
	return before, rest
}

// SuggestSource learns that another host knows the state of the store.
func (u *FailoverReader) SuggestSource(host ebonyworks.Host) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if host.ID != u.Self.ID {
		u.hint = host
	}
}

// mayRead reports whether this host reads the store now that none before it knows
// its state: because it is the next in order that works, because it did so before,
// because it is the first deputy of a reader that has no source, or because nobody has
// known the state for a while. It answers the load in which the store is away for all
// hosts: each of them would read it in place of its reader.
func (u *FailoverReader) mayRead(order storereaders.Readership, now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if now.Before(u.storeAt) {
		return false
	}
	if u.lostAt.IsZero() {
		isNext := !slices.ContainsFunc(order.Before(), func(host ebonyworks.Host) bool {
			known := u.avoided[host.ID]
			return known == nil || known.failures == 0 && (!known.sourceless || order.Rank() != 1)
		})
		return isNext || u.source == u.Self.ID
	}
	periods := int(now.Sub(u.lostAt) / u.part(deputyPart))
	return order.Rank() < min(1<<min(periods, maxDeputies), maxDeputies)
}

// readership returns the order of the hosts, which may be viewTime old.
func (u *FailoverReader) readership(now time.Time) storereaders.Readership {
	u.mutex.Lock()
	order, orderAt := u.order, u.orderAt
	u.mutex.Unlock()
	if !orderAt.IsZero() && now.Sub(orderAt) < viewTime {
		return order
	}
	return u.currentReadership(now)
}

// currentReadership returns the order of the hosts that are alive now.
func (u *FailoverReader) currentReadership(now time.Time) storereaders.Readership {
	alive := u.Alive()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.orderAt.IsZero() || !slices.Equal(alive, u.alive) {
		u.order = storereaders.New(u.Self, alive)
		u.alive = alive
	}
	u.orderAt = now
	return u.order
}
