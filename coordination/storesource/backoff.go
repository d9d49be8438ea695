package storesource

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// hostBackoff is the backoff of a host, which isn't asked until it ends.
type hostBackoff struct {
	until time.Time
	// failures counts the requests without an answer since the last successful one.
	failures int
	// sourceless is set if the host answered that it has no source itself.
	sourceless bool
}

// allFailed reports whether the last request to each of the hosts failed, so that this
// host has to read the store itself.
func (r *FailoverReader) allFailed(hosts []ebonyworks.Host) bool {
	return !slices.ContainsFunc(hosts, func(host ebonyworks.Host) bool { return !r.hasFailed(host.ID) })
}

// resetBackoffs ends the backoff of all hosts.
func (r *FailoverReader) resetBackoffs() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.backoffs = nil
}

// backOff starts a backoff of the host for the duration. The mutex must be held.
func (r *FailoverReader) backOff(host ebonyworks.HostID, now time.Time, pause time.Duration) *hostBackoff {
	if r.backoffs == nil || len(r.backoffs) >= maxBackoffs {
		r.backoffs = make(map[ebonyworks.HostID]*hostBackoff)
	}
	backoff := r.backoffs[host]
	if backoff == nil {
		backoff = &hostBackoff{}
		r.backoffs[host] = backoff
	}
	backoff.until = now.Add(pause)
	return backoff
}

func (r *FailoverReader) isBackingOff(host ebonyworks.HostID, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	backoff := r.backoffs[host]
	return backoff != nil && now.Before(backoff.until)
}

func (r *FailoverReader) hasFailed(host ebonyworks.HostID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	backoff := r.backoffs[host]
	return backoff != nil && backoff.failures > 0
}
