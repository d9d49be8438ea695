package membership

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// refreshPeers is the number of peers whose state is requested concurrently
	// after a start or a pause.
	refreshPeers      = 5
	refreshRetryFirst = 100 * time.Millisecond
	refreshRetryLast  = 2 * time.Second
	// After the first refresh, the complete state is requested from a seed and
	// another member every pullInterval, while that adds more than minNewShare to
	// the known members, at most maxPulls times. Hosts that start together find each
	// other gradually, so a host that is asked later knows more than the first ones.
	pullInterval = 400 * time.Millisecond
	minNewShare  = 0.02
	maxPulls     = 8
	// designatedListInterval is the interval at which the few hosts that read the
	// host list on behalf of all do so, and defaultListInterval that of the others.
	designatedListInterval = time.Second
	defaultListInterval    = 20 * time.Second
	// isolatedListInterval applies to a host that knows no peer.
	isolatedListInterval = 2 * time.Second
	maxListBackoff       = 8 * time.Second
	listTimeout          = time.Second
	maxListed            = 4096
)

// heartbeat detects pauses of this process by the clock.
func (c *Cluster) heartbeat(ctx context.Context) {
	for wakeup.Wait(ctx, heartbeatInterval, nil) {
		if c.config.OnHeartbeat != nil {
			c.config.OnHeartbeat()
		}
		c.CheckPause()
		c.mu.Lock()
		c.lastHeartbeat = time.Now()
		c.mu.Unlock()
	}
}

// CheckPause reports whether this process didn't run for more than pauseThreshold
// until now. If so, all cached state counts as stale.
func (c *Cluster) CheckPause() bool {
	now := time.Now()
	c.mu.Lock()
	if c.lastHeartbeat.IsZero() {
		c.mu.Unlock()
		return false
	}
	// On some machines, the monotonic clock stops while they are suspended.
	gap := max(now.Sub(c.lastHeartbeat), now.Round(0).Sub(c.lastHeartbeat.Round(0)))
	if gap <= pauseThreshold {
		c.mu.Unlock()
		return false
	}
	c.lastHeartbeat, c.freshSince, c.refreshed = now, now, false
	c.mu.Unlock()
	c.members.RestartSuspicions(now)
	for _, contributor := range c.contributors {
		contributor.MarkStale()
	}
	c.record(event.ProcessPaused, event.Attribute("Gap", gap.String()))
	wakeup.Signal(c.refreshWake)
	return true
}

// retryRefresh makes a host whose state isn't refreshed try again when it receives
// a message, since the sender can be asked.
func (c *Cluster) retryRefresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refreshed {
		wakeup.Signal(c.refreshWake)
	}
}

func (c *Cluster) resumedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshSince
}

// noteAnswer records that a peer answered a message sent at the given time.
func (c *Cluster) noteAnswer(requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !requestedAt.Before(c.freshSince) {
		c.isolated = false
	}
}

// refresh requests the complete state from peers, and the host list from the
// platform, after a start or a pause.
func (c *Cluster) refresh(ctx context.Context) {
	for {
		wait := refreshRetryFirst
		for !c.tryRefresh(ctx) {
			if !wakeup.Wait(ctx, c.jitter(wait, 0.3), c.refreshWake) {
				return
			}
			wait = min(2*wait, refreshRetryLast)
		}
		c.pullMore(ctx)
		select {
		case <-ctx.Done():
			return
		case <-c.refreshWake:
		}
	}
}

// pullMore requests the complete state of further hosts until that adds hardly any
// new member.
func (c *Cluster) pullMore(ctx context.Context) {
	for range maxPulls {
		if !wakeup.Wait(ctx, c.jitter(pullInterval, 0.3), nil) {
			return
		}
		known := c.members.Size()
		if !c.pullFromAll(ctx, c.pullTargets()) {
			continue
		}
		if added := c.members.Size() - known; float64(added) <= minNewShare*float64(known) {
			return
		}
	}
}

// pullTargets returns the addresses of a random member and of a random seed.
func (c *Cluster) pullTargets() []netip.AddrPort {
	alive := c.shuffledAlive()
	var seeds []netip.AddrPort
	for _, seed := range c.config.Seeds {
		if seed != c.config.Self.Address {
			seeds = append(seeds, seed)
		}
	}
	c.shuffle(seeds)
	return append(alive[:min(len(alive), 1)], seeds[:min(len(seeds), 1)]...)
}

// tryRefresh reports whether the state was refreshed: a peer answered, or none did
// but the host list could be read.
func (c *Cluster) tryRefresh(ctx context.Context) bool {
	began := time.Now()
	listRead := c.readHostList(ctx)
	if !c.pullFromPeers(ctx) {
		c.noteIsolation()
		if !listRead {
			return false
		}
	}
	c.mu.Lock()
	fresh := !began.Before(c.freshSince) && ctx.Err() == nil
	changed := fresh && !c.refreshed
	c.refreshed = c.refreshed || fresh
	c.mu.Unlock()
	if changed {
		c.record(event.StateRefreshed)
	}
	return fresh
}

// noteIsolation records that no known peer answers.
func (c *Cluster) noteIsolation() {
	c.mu.Lock()
	changed := !c.isolated
	c.isolated = true
	c.mu.Unlock()
	if changed {
		c.record(event.AllPeersLost)
	}
}

// pullFromPeers requests the complete state of members that are alive, and if none
// answers, of hosts at unreachable addresses. It reports whether any answered.
func (c *Cluster) pullFromPeers(ctx context.Context) bool {
	alive := c.shuffledAlive()
	candidates := c.UnreachableAddresses()
	c.shuffle(candidates)
	for _, group := range [][]netip.AddrPort{alive, candidates} {
		if c.pullFromAll(ctx, group[:min(len(group), refreshPeers)]) {
			return true
		}
	}
	return false
}

// shuffledAlive returns the addresses of the members that are alive, in random
// order.
func (c *Cluster) shuffledAlive() []netip.AddrPort {
	var alive []netip.AddrPort
	for _, host := range c.members.Alive() {
		alive = append(alive, host.Address)
	}
	c.shuffle(alive)
	return alive
}

func (c *Cluster) pullFromAll(ctx context.Context, targets []netip.AddrPort) bool {
	answers := make([]bool, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { answers[i] = c.PullState(ctx, target) == nil })
	}
	calls.Wait()
	for _, answered := range answers {
		if answered {
			return true
		}
	}
	return false
}

// pollHostList reads the platform's host list periodically.
func (c *Cluster) pollHostList(ctx context.Context) {
	if c.config.Platform == nil {
		return
	}
	failures := 0
	for wakeup.Wait(ctx, c.nextListInterval(failures), nil) {
		failures++
		if c.readHostList(ctx) {
			failures = 0
		}
	}
}

func (c *Cluster) nextListInterval(failures int) time.Duration {
	wait := defaultListInterval
	switch {
	case c.config.IsDesignatedReader == nil || c.config.IsDesignatedReader():
		wait = designatedListInterval
	case len(c.members.Alive()) == 0:
		wait = isolatedListInterval
	}
	for range min(failures, 3) {
		wait = min(2*wait, max(wait, maxListBackoff))
	}
	return c.jitter(wait, 0.3)
}

// readHostList reads the host list once and reports whether that succeeded.
func (c *Cluster) readHostList(ctx context.Context) bool {
	if c.config.Platform == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := time.Now()
	hosts, err := c.config.Platform.Hosts(ctx)
	c.mu.Lock()
	newlyFailed := err != nil && !c.listFailed
	c.listFailed = err != nil
	if err == nil {
		c.listReadAt = requestedAt
		c.listed = entryHosts(hosts)
	}
	c.mu.Unlock()
	if newlyFailed {
		c.record(event.HostListUnavailable, event.Attribute("Error", err.Error()))
	}
	if err != nil {
		return false
	}
	for _, observer := range c.hostListObservers {
		observer.ObserveList(hosts, requestedAt)
	}
	return true
}

func entryHosts(hosts []ebonyworks.ListedHost) []ebonyworks.ListedHost {
	var entries []ebonyworks.ListedHost
	for _, host := range hosts {
		if host.Role == ebonyworks.EntryRole && len(entries) < maxListed {
			entries = append(entries, host)
		}
	}
	return entries
}
