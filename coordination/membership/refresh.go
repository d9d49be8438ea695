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
func (g *Cluster) beat(ctx context.Context) {
	for wakeup.Wait(ctx, beatInterval, nil) {
		if g.config.OnHeartbeat != nil {
			g.config.OnHeartbeat()
		}
		g.CheckPause()
		g.mu.Lock()
		g.lastBeat = time.Now()
		g.mu.Unlock()
	}
}

// CheckPause reports whether this process didn't run for more than pauseGap until
// now. If so, all that is cached counts as stale.
func (g *Cluster) CheckPause() bool {
	now := time.Now()
	g.mu.Lock()
	if g.lastBeat.IsZero() {
		g.mu.Unlock()
		return false
	}
	// The monotonic clock stands still while some machines are suspended.
	gap := max(now.Sub(g.lastBeat), now.Round(0).Sub(g.lastBeat.Round(0)))
	if gap <= pauseGap {
		g.mu.Unlock()
		return false
	}
	g.lastBeat, g.freshSince, g.refreshed = now, now, false
	g.mu.Unlock()
	g.roster.Renew(now)
	for _, contributor := range g.contributors {
		contributor.MarkStale()
	}
	g.record(event.ProcessPaused, event.Attribute("Gap", gap.String()))
	wakeup.Signal(g.refreshWake)
	return true
}

// contacted makes a host that isn't fresh try again: the sender can be asked.
func (g *Cluster) contacted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refreshed {
		wakeup.Signal(g.refreshWake)
	}
}

func (g *Cluster) since() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshSince
}

// answered notes that a peer answered a message sent at the time.
func (g *Cluster) answered(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !asked.Before(g.freshSince) {
		g.isolated = false
	}
}

// refresh asks peers and the platform for everything after a start or a pause.
func (g *Cluster) refresh(ctx context.Context) {
	for {
		wait := refreshFirst
		for !g.tryRefresh(ctx) {
			if !wakeup.Wait(ctx, g.jitter(wait, 0.3), g.refreshWake) {
				return
			}
			wait = min(2*wait, refreshLast)
		}
		g.fill(ctx)
		select {
		case <-ctx.Done():
			return
		case <-g.refreshWake:
		}
	}
}

// fill asks for everything until that brings hardly any new member.
func (g *Cluster) fill(ctx context.Context) {
	for range maxFills {
		if !wakeup.Wait(ctx, g.jitter(fillInterval, 0.3), nil) {
			return
		}
		known := g.roster.Size()
		if !g.askAll(ctx, g.fillTargets()) {
			continue
		}
		if added := g.roster.Size() - known; float64(added) <= fillPart*float64(known) {
			return
		}
	}
}

// fillTargets returns the address of a member and of a seed.
func (g *Cluster) fillTargets() []netip.AddrPort {
	alive := g.shuffledAlive()
	var seeds []netip.AddrPort
	for _, seed := range g.config.Seeds {
		if seed != g.config.Self.Address {
			seeds = append(seeds, seed)
		}
	}
	g.shuffle(seeds)
	return append(alive[:min(len(alive), 1)], seeds[:min(len(seeds), 1)]...)
}

// tryRefresh succeeds if a peer answered, or if none does but the host list
// could be read.
func (g *Cluster) tryRefresh(ctx context.Context) bool {
	began := time.Now()
	listRead := g.fetchList(ctx)
	if !g.askPeers(ctx) {
		g.lostPeers()
		if !listRead {
			return false
		}
	}
	g.mu.Lock()
	fresh := !began.Before(g.freshSince) && ctx.Err() == nil
	changed := fresh && !g.refreshed
	g.refreshed = g.refreshed || fresh
	g.mu.Unlock()
	if changed {
		g.record(event.StateRefreshed)
	}
	return fresh
}

// lostPeers notes that no known peer answers.
func (g *Cluster) lostPeers() {
	g.mu.Lock()
	changed := !g.isolated
	g.isolated = true
	g.mu.Unlock()
	if changed {
		g.record(event.AllPeersLost)
	}
}

// askPeers asks for everything, first members that were last alive, then
// other addresses, and reports whether any answered.
func (g *Cluster) askPeers(ctx context.Context) bool {
	alive := g.shuffledAlive()
	candidates := g.Candidates()
	g.shuffle(candidates)
	for _, group := range [][]netip.AddrPort{alive, candidates} {
		if g.askAll(ctx, group[:min(len(group), refreshPeers)]) {
			return true
		}
	}
	return false
}

// shuffledAlive returns the addresses of the members that are alive.
func (g *Cluster) shuffledAlive() []netip.AddrPort {
	var alive []netip.AddrPort
	for _, host := range g.roster.Alive() {
		alive = append(alive, host.Address)
	}
	g.shuffle(alive)
	return alive
}

func (g *Cluster) askAll(ctx context.Context, targets []netip.AddrPort) bool {
	answers := make([]bool, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { answers[i] = g.Ask(ctx, target) == nil })
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
func (g *Cluster) readList(ctx context.Context) {
	if g.config.Platform == nil {
		return
	}
	failures := 0
	for wakeup.Wait(ctx, g.listWait(failures), nil) {
		failures++
		if g.fetchList(ctx) {
			failures = 0
		}
	}
}

func (g *Cluster) listWait(failures int) time.Duration {
	wait := listSeldom
	switch {
	case g.config.IsDesignatedReader == nil || g.config.IsDesignatedReader():
		wait = listOften
	case len(g.roster.Alive()) == 0:
		wait = listAlone
	}
	for range min(failures, 3) {
		wait = min(2*wait, max(wait, listBackoff))
	}
	return g.jitter(wait, 0.3)
}

// fetchList reads the host list once and reports whether it could.
func (g *Cluster) fetchList(ctx context.Context) bool {
	if g.config.Platform == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	asked := time.Now()
	hosts, err := g.config.Platform.Hosts(ctx)
	g.mu.Lock()
	newlyFailed := err != nil && !g.listFailed
	g.listFailed = err != nil
	if err == nil {
		g.listAt = asked
		g.listed = entryHosts(hosts)
	}
	g.mu.Unlock()
	if newlyFailed {
		g.record(event.HostListUnavailable, event.Attribute("Error", err.Error()))
	}
	if err != nil {
		return false
	}
	for _, reader := range g.listReaders {
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
