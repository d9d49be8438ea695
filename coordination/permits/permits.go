// Package permits takes permits to send requests to rate-limited servers from the host
// that issues them, and exchanges with it what the hosts know of the limits.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/permitissuer"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// syncInterval is how often the limits are exchanged with the issuer while there are
	// any. Requests for permits exchange them, too.
	syncInterval = 700 * time.Millisecond
	// minSyncInterval is the least time between two exchanges because of changes.
	minSyncInterval = 50 * time.Millisecond
	// syncOverlap is added to the time for which changes are requested, so that none is
	// missed that was learned while the last exchange was under way.
	syncOverlap = time.Second
	// syncTimeout bounds an exchange without groups.
	syncTimeout = 500 * time.Millisecond
	// retryInterval is how long an issuer that didn't answer isn't asked again, so that
	// requests don't each wait for it.
	retryInterval = 250 * time.Millisecond
	// failureLogInterval is the least time between two log events about an issuer that
	// doesn't answer.
	failureLogInterval = time.Second
	// minCapacityRatio is the CPU capacity of a host that may issue permits, as a
	// fraction of the largest.
	minCapacityRatio = 0.5
)

var (
	errDeclined  = errors.New("the host issues no permits now")
	errNoIssuer  = errors.New("the hosts aren't known yet")
	errNoChannel = errors.New("other hosts can't be asked for permits")
	errRetrying  = errors.New("the host didn't answer a moment ago")
)

// Limits holds the rate limits of servers.
type Limits interface {
	permitissuer.Limits
	// AnyLimited reports whether any server has a rate limit or is cold.
	AnyLimited() bool
	// RateLimits returns the limits that have changed or ended since the time.
	RateLimits(since time.Time) []ebonyworks.RateLimit
	// Outages returns the limits of at most maxServers servers that couldn't be reached
	// when last tried, as far as this host has learned of that since the time.
	Outages(since time.Time, maxServers int) []ebonyworks.RateLimit
	// MergeRateLimit merges a limit that another host learned of.
	MergeRateLimit(limit ebonyworks.RateLimit)
}

// Client takes permits from the issuer, the host that the hash of its id selects among
// all hosts that are alive. If that is this host, the client issues them. Its exported
// fields are set before the first use.
type Client struct {
	Self ebonyworks.Host
	// Alive returns the other hosts that the membership considers alive.
	Alive func() []ebonyworks.Host
	// Ready reports whether this host knows enough of the membership to tell which host
	// is the issuer, and isn't leaving.
	Ready func() bool
	// Peer asks other hosts; nil means that there are none.
	Peer     ebonyworks.PermitPeer
	Limits   Limits
	Issuer   *permitissuer.Issuer
	Recorder ebonyworks.EventRecorder

	// changed is signaled when a server stated another limit than before, and outage when
	// a server can't be reached. They are created on the first use.
	changed, outage chan struct{}
	signalsOnce     sync.Once

	mutex sync.Mutex
	// syncedWith is the issuer that knew all limits of this host at syncedAt.
	syncedWith hostIncarnation
	syncedAt   time.Time
	// suggestedAt is when a peer was known to know of limits that this host hasn't asked
	// for since; zero if none was.
	suggestedAt time.Time
	// failedIssuer didn't answer at failedAt.
	failedIssuer    hostIncarnation
	failedAt        time.Time
	failureLoggedAt time.Time
}

type hostIncarnation struct {
	id          ebonyworks.HostID
	incarnation ebonyworks.Incarnation
}

// Take takes permits for the request. After an error it has none.
func (c *Client) Take(ctx context.Context, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	issuer := c.issuer()
	if issuer.ID == c.Self.ID {
		if !c.Ready() {
			return ebonyworks.PermitReply{}, errNoIssuer
		}
		return c.Issuer.Issue(request), nil
	}
	if c.Peer == nil {
		return ebonyworks.PermitReply{}, errNoChannel
	}
	if c.hasJustFailed(issuer) {
		return ebonyworks.PermitReply{}, errRetrying
	}
	begin := time.Now()
	since := c.addKnowledge(&request, issuer, begin)
	request.Limits = c.Limits.RateLimits(since)
	reply, err := c.Peer.TakePermits(ctx, issuer, request)
	if err == nil && reply.Declined {
		err = errDeclined
	}
	if err != nil {
		// A caller that left says nothing about the issuer.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.recordFailure(issuer, err)
		}
		return ebonyworks.PermitReply{}, err
	}
	for _, limit := range reply.Limits {
		c.Limits.MergeRateLimit(limit)
	}
	c.markSynced(issuer, begin)
	return reply, nil
}

// Handle issues permits to another host, or declines.
func (c *Client) Handle(request ebonyworks.PermitRequest) ebonyworks.PermitReply {
	for _, limit := range request.Limits {
		c.Limits.MergeRateLimit(limit)
	}
	if !c.Issues() {
		// Two hosts that issue permits at a time would exceed the limits.
		return ebonyworks.PermitReply{Declined: true}
	}
	reply := c.Issuer.Issue(request)
	var since time.Time
	if request.Known {
		since = time.Now().Add(-request.KnownAge - syncOverlap)
	}
	reply.Limits = c.Limits.RateLimits(since)
	return reply
}

// Run exchanges the limits with the issuer, and tells other hosts of outages while this
// host issues permits, until the context ends.
func (c *Client) Run(ctx context.Context) {
	var notifier sync.WaitGroup
	defer notifier.Wait()
	notifier.Go(func() { c.notifyOutages(ctx) })
	for wakeup.Wait(ctx, syncInterval, c.changes()) {
		if !c.needsSync() {
			continue
		}
		syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		// The next exchange makes up for one that fails.
		_, _ = c.Take(syncCtx, ebonyworks.PermitRequest{})
		cancel()
		if !wakeup.Wait(ctx, minSyncInterval, nil) {
			return
		}
	}
}

// LimitChanged tells that a server stated another limit than before. It doesn't block.
func (c *Client) LimitChanged() { wakeup.Signal(c.changes()) }

func (c *Client) changes() chan struct{} {
	c.createSignals()
	return c.changed
}

func (c *Client) createSignals() {
	c.signalsOnce.Do(func() { c.changed, c.outage = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// Suggest tells that a peer knows of servers with a limit. Unless the issuer was asked a
// moment ago, it is asked at once, and once more after that, since the peer's report to it
// may be under way.
func (c *Client) Suggest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suggestedAt.IsZero() {
		c.suggestedAt = time.Now()
		c.LimitChanged()
	}
}

// Issues reports whether this host issues the permits.
func (c *Client) Issues() bool { return c.Ready() && c.issuer().ID == c.Self.ID }

// Reset forgets what the issuer knows, and the unused permits. It is called after a
// pause of the process.
func (c *Client) Reset() {
	c.Issuer.Reset()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.syncedWith = hostIncarnation{}
	c.suggestedAt = time.Now()
}

// issuer returns the host that issues permits.
func (c *Client) issuer() ebonyworks.Host {
	others := c.Alive()
	largest := c.Self.Capacity
	for _, host := range others {
		largest = max(largest, host.Capacity)
	}
	chosen := c.Self
	for _, host := range others {
		if precedes(host, chosen, largest) {
			chosen = host
		}
	}
	return chosen
}

// precedes reports whether the host issues permits rather than the other one. Hosts with
// a small capacity come last.
func precedes(host, other ebonyworks.Host, largest float32) bool {
	large, otherLarge := host.Capacity >= minCapacityRatio*largest, other.Capacity >= minCapacityRatio*largest
	if large != otherLarge {
		return large
	}
	hash, otherHash := xxhash.Sum64String(string(host.ID)), xxhash.Sum64String(string(other.ID))
	return hash > otherHash || hash == otherHash && host.ID > other.ID
}

// addKnowledge states in the request which limits of the issuer this host knows, and
// returns the time since which the issuer may not know this host's changes.
func (c *Client) addKnowledge(request *ebonyworks.PermitRequest, issuer ebonyworks.Host, now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.syncedWith != (hostIncarnation{issuer.ID, issuer.Incarnation}) {
		return time.Time{}
	}
	request.Known, request.KnownAge = true, now.Sub(c.syncedAt)
	return c.syncedAt.Add(-syncOverlap)
}

func (c *Client) markSynced(issuer ebonyworks.Host, begin time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if begin.Sub(c.suggestedAt) >= syncInterval/2 {
		c.suggestedAt = time.Time{}
	}
	with := hostIncarnation{issuer.ID, issuer.Incarnation}
	if c.syncedWith != with || begin.After(c.syncedAt) {
		c.syncedWith, c.syncedAt = with, begin
	}
}

// needsSync reports whether there may be limits that this host or the issuer doesn't
// know.
func (c *Client) needsSync() bool {
	c.mutex.Lock()
	suggested, syncedAt := !c.suggestedAt.IsZero(), c.syncedAt
	c.mutex.Unlock()
	switch {
	case len(c.Limits.RateLimits(syncedAt)) > 0:
		return true
	case time.Since(syncedAt) < syncInterval/2:
		return false
	default:
		return suggested || c.Limits.AnyLimited()
	}
}

// hasJustFailed reports whether the issuer didn't answer a moment ago.
func (c *Client) hasJustFailed(issuer ebonyworks.Host) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failedIssuer == hostIncarnation{issuer.ID, issuer.Incarnation} && time.Since(c.failedAt) < retryInterval
}

func (c *Client) recordFailure(issuer ebonyworks.Host, cause error) {
	c.mutex.Lock()
	now := time.Now()
	c.failedIssuer, c.failedAt = hostIncarnation{issuer.ID, issuer.Incarnation}, now
	log := c.Recorder != nil && now.Sub(c.failureLoggedAt) >= failureLogInterval
	if log {
		c.failureLoggedAt = now
	}
	c.mutex.Unlock()
	if log {
		c.Recorder.Record(event.New(event.PermitsUnavailable,
			event.Attribute("Host", string(issuer.ID)), event.Attribute("Error", cause.Error())))
	}
}
