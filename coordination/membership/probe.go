package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// probe checks one member in each interval, each member once per round, and
// now and then a host that doesn't answer.
func (g *Cluster) probe(ctx context.Context) {
	for wakeup.Wait(ctx, g.jitter(probeInterval, 0.1), nil) {
		for _, member := range g.roster.Expire(g.suspicionTime(), time.Now()) {
			g.record(event.MemberDied, hostAttributes(member.Host)...)
		}
		target, found := g.next()
		if found {
			g.start(func() { g.check(ctx, target) })
		} else if g.roster.Size() > 1 {
			g.lostPeers()
		}
		if address, found := g.nextCandidate(); found {
			g.start(func() { _, _ = g.exchange(ctx, address, false) })
		}
	}
}

// start runs a probe unless too many are in flight.
func (g *Cluster) start(probe func()) {
	select {
	case g.probes <- struct{}{}:
	default:
		return
	}
	g.tasks.Go(func() {
		defer func() { <-g.probes }()
		probe()
	})
}

// next returns the next member of a shuffled round.
func (g *Cluster) next() (ebonyworks.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for len(g.order) > 0 {
			id := g.order[0]
			g.order = g.order[1:]
			member, found := g.roster.Member(id)
			if found && member.State <= ebonyworks.MemberSuspect {
				return member.Host, true
			}
		}
		for _, host := range g.roster.Alive() {
			g.order = append(g.order, host.ID)
		}
		g.random.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
	}
	return ebonyworks.Host{}, false
}

// check probes a member directly, then through others, and suspects it if
// nothing is heard of it.
func (g *Cluster) check(ctx context.Context, target ebonyworks.Host) {
	asked := time.Now()
	reply, err := g.exchange(ctx, target.Address, false)
	if err == nil && reply.From.ID == target.ID {
		return
	}
	if err != nil && g.relay(ctx, target) {
		return
	}
	// After a pause, the silence may have been this host's own.
	if ctx.Err() != nil || g.CheckPause() || asked.Before(g.since()) {
		return
	}
	if g.roster.Suspect(target, time.Now()) {
		g.record(event.MemberSuspected, hostAttributes(target)...)
	}
}

// relay reports whether another member can reach the target.
func (g *Cluster) relay(ctx context.Context, target ebonyworks.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	vias := g.relaysFor(target)
	answers := make(chan bool, len(vias))
	for _, via := range vias {
		g.tasks.Go(func() {
			var answered bool
			err := g.contained(via, func() (err error) {
				answered, err = g.config.Peer.IndirectPing(ctx, via, target.Address)
				return err
			})
			answers <- err == nil && answered
		})
	}
	for range vias {
		if <-answers {
			return true
		}
	}
	return false
}

func (g *Cluster) relaysFor(target ebonyworks.Host) []netip.AddrPort {
	var vias []netip.AddrPort
	for _, host := range g.roster.Alive() {
		if host.ID != target.ID {
			vias = append(vias, host.Address)
		}
	}
	g.shuffle(vias)
	return vias[:min(len(vias), relayCount)]
}

// nextCandidate returns an address at which nobody answers, at a rate that
// depends on how many such addresses and how many hosts there are.
func (g *Cluster) nextCandidate() (netip.AddrPort, bool) {
	candidates := g.Candidates()
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	trying := float64(len(g.roster.Alive()) + 1)
	if !g.chance(retriesPerSecond * float64(len(candidates)) / trying) {
		return netip.AddrPort{}, false
	}
	g.shuffle(candidates)
	return candidates[0], true
}

// Candidates returns the addresses of seeds, listed hosts and dead members at
// which no member is known to answer.
func (g *Cluster) Candidates() []netip.AddrPort {
	known := map[netip.AddrPort]bool{g.config.Self.Address: true}
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !known[address] {
			known[address] = true
			candidates = append(candidates, address)
		}
	}
	members := g.roster.Members()
	for _, member := range members {
		if member.State != ebonyworks.MemberDead {
			known[member.Host.Address] = true
		}
	}
	for _, member := range members {
		if member.State == ebonyworks.MemberDead {
			add(member.Host.Address)
		}
	}
	for _, seed := range g.config.Seeds {
		add(seed)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, host := range g.listed {
		if !host.Leaving && host.Name != string(g.config.Self.ID) {
			add(host.Address)
		}
	}
	return candidates
}
