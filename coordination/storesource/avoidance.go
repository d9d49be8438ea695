package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// avoidance is a host that isn't asked for a while.
type avoidance struct {
	until time.Time
	// failures counts the calls without an answer since the last good one.
	failures int
	// sourceless is set if the host answered that it had no source itself.
	sourceless bool
}

// isAlone reports whether none of the hosts answers, so that this one has to read
// the store itself.
func (u *FailoverReader) isAlone(hosts []ebonyworks.Host) bool {
	return !slices.ContainsFunc(hosts, func(host ebonyworks.Host) bool { return !u.hasFailed(host.ID) })
}

// forgive lets all hosts be asked again.
func (u *FailoverReader) forgive() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.avoided = nil
}

// avoid keeps the host from being asked for the time. The mutex is held.
func (u *FailoverReader) avoid(host ebonyworks.HostID, now time.Time, pause time.Duration) *avoidance {
	if u.avoided == nil || len(u.avoided) >= maxAvoided {
		u.avoided = make(map[ebonyworks.HostID]*avoidance)
	}
	known := u.avoided[host]
	if known == nil {
		known = &avoidance{}
		u.avoided[host] = known
	}
	known.until = now.Add(pause)
	return known
}

func (u *FailoverReader) isAvoided(host ebonyworks.HostID, now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	known := u.avoided[host]
	return known != nil && now.Before(known.until)
}

func (u *FailoverReader) hasFailed(host ebonyworks.HostID) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	known := u.avoided[host]
	return known != nil && known.failures > 0
}
