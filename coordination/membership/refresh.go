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
	// refreshPeers is the number of peers that are asked at once after a
	// start or a pause.
	refreshPeers = 5
	refreshFirst = 100 * time.Millisecond
	refreshLast  = 2 * time.Second
	// fillInterval is the time between two questions for everything, to a seed and
	// to another member, while they bring more than fillPart of the members, at
	// most maxFills times. Hosts that start together meet one after the other; one
	// that is asked late knows more than the first ones did.
	fillInterval = 400 * time.Millisecond
	fillPart     = 0.02
	maxFills     = 8
	// listOften and listSeldom are the intervals of reading the host list: by
	// the few hosts that read for all, and by the others.
	listOften  = time.Second
	listSeldom = 20 * time.Second
	// listAlone applies to a host that knows no peer.
	listAlone   = 2 * time.Second
	listBackoff = 8 * time.Second
	listTime    = time.Second
	maxListed   = 4096
)

// beat watches the host's own clock.
func (c *Cluster) beat(ctx context.Context) {
	for wakeup.Wait(ctx, beatInterval, nil) {
		if c.config.OnHeartbeat != nil {
			c.config.OnHeartbeat()
		}
		c.CheckPause()
		c.mu.Lock()
		c.lastBeat = time.Now()
		c.mu.Unlock()
	}
}

// CheckPause reports whether this process didn't run for more than pauseGap until
// now. If so, all that is cached counts as stale.
func (c *Cluster) CheckPause() bool {
	now := time.Now()
	c.mu.Lock()
	if c.lastBeat.IsZero() {
		c.mu.Unlock()
		return false
	}
	// The monotonic clock stands still while some machines are suspended.
	gap := max(now.Sub(c.lastBeat), now.Round(0).Sub(c.lastBeat.Round(0)))
	if gap <= pauseGap {
		c.mu.Unlock()
		return false
	}
	c.lastBeat, c.freshSince, c.refreshed = now, now, false
	c.mu.Unlock()
	c.roster.Renew(now)
	for _, contributor := range c.contributors {
		contributor.MarkStale()
	}
	c.record(event.ProcessPaused, event.Attribute("Gap", gap.String()))
	wakeup.Signal(c.refreshWake)
	return true
}

// contacted makes a host that isn't fresh try again: the sender can be asked.
func (c *Cluster) contacted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refreshed {
		wakeup.Signal(c.refreshWake)
	}
}

func (c *Cluster) since() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshSince
}

// answered notes that a peer answered a message sent at the time.
func (c *Cluster) answered(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !asked.Before(c.freshSince) {
		c.isolated = false
	}
}

// refresh asks peers and the platform for everything after a start or a pause.
func (c *Cluster) refresh(ctx context.Context) {
	for {
		wait := refreshFirst
		for !c.tryRefresh(ctx) {
			if !wakeup.Wait(ctx, c.jitter(wait, 0.3), c.refreshWake) {
				return
			}
			wait = min(2*wait, refreshLast)
		}
		c.fill(ctx)
		select {
		case <-ctx.Done():
			return
		case <-c.refreshWake:
		}
	}
}

// fill asks for everything until that brings hardly any new member.
func (c *Cluster) fill(ctx context.Context) {
	for range maxFills {
		if !wakeup.Wait(ctx, c.jitter(fillInterval, 0.3), nil) {
			return
		}
		known := c.roster.Size()
		if !c.askAll(ctx, c.fillTargets()) {
			continue
		}
		if added := c.roster.Size() - known; float64(added) <= fillPart*float64(known) {
			return
		}
	}
}

// fillTargets returns the address of a member and of a seed.
func (c *Cluster) fillTargets() []netip.AddrPort {
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

// tryRefresh succeeds if a peer answered, or if none does but the host list
// could be read.
func (c *Cluster) tryRefresh(ctx context.Context) bool {
	began := time.Now()
	listRead := c.fetchList(ctx)
	if !c.askPeers(ctx) {
		c.lostPeers()
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

// lostPeers notes that no known peer answers.
func (c *Cluster) lostPeers() {
	c.mu.Lock()
	changed := !c.isolated
	c.isolated = true
	c.mu.Unlock()
	if changed {
		c.record(event.AllPeersLost)
	}
}

// askPeers asks for everything, first members that were last alive, then
// other addresses, and reports whether any answered.
func (c *Cluster) askPeers(ctx context.Context) bool {
	alive := c.shuffledAlive()
	candidates := c.UnreachableAddresses()
	c.shuffle(candidates)
	for _, group := range [][]netip.AddrPort{alive, candidates} {
		if c.askAll(ctx, group[:min(len(group), refreshPeers)]) {
			return true
		}
	}
	return false
}

// shuffledAlive returns the addresses of the members that are alive.
func (c *Cluster) shuffledAlive() []netip.AddrPort {
	var alive []netip.AddrPort
	for _, host := range c.roster.Alive() {
		alive = append(alive, host.Address)
	}
	c.shuffle(alive)
	return alive
}

func (c *Cluster) askAll(ctx context.Context, targets []netip.AddrPort) bool {
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

// readList reads the platform's host list at an interval.
func (c *Cluster) readList(ctx context.Context) {
	if c.config.Platform == nil {
		return
	}
	failures := 0
	for wakeup.Wait(ctx, c.listWait(failures), nil) {
		failures++
		if c.fetchList(ctx) {
			failures = 0
		}
	}
}

func (c *Cluster) listWait(failures int) time.Duration {
	wait := listSeldom
	switch {
	case c.config.IsDesignatedReader == nil || c.config.IsDesignatedReader():
		wait = listOften
	case len(c.roster.Alive()) == 0:
		wait = listAlone
	}
	for range min(failures, 3) {
		wait = min(2*wait, max(wait, listBackoff))
	}
	return c.jitter(wait, 0.3)
}

// fetchList reads the host list once and reports whether it could.
func (c *Cluster) fetchList(ctx context.Context) bool {
	if c.config.Platform == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	asked := time.Now()
	hosts, err := c.config.Platform.Hosts(ctx)
	c.mu.Lock()
	newlyFailed := err != nil && !c.listFailed
	c.listFailed = err != nil
	if err == nil {
		c.listAt = asked
		c.listed = entryHosts(hosts)
	}
	c.mu.Unlock()
	if newlyFailed {
		c.record(event.HostListUnavailable, event.Attribute("Error", err.Error()))
	}
	if err != nil {
		return false
	}
	for _, reader := range c.listReaders {
		reader.Listed(hosts, asked)
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
