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
func (c *Cluster) probe(ctx context.Context) {
	for wakeup.Wait(ctx, c.jitter(probeInterval, 0.1), nil) {
		for _, member := range c.roster.Expire(c.suspicionTime(), time.Now()) {
			c.record(event.MemberDied, hostAttributes(member.Host)...)
		}
		target, found := c.next()
		if found {
			c.start(func() { c.check(ctx, target) })
		} else if c.roster.Size() > 1 {
			c.lostPeers()
		}
		if address, found := c.nextCandidate(); found {
			c.start(func() { _, _ = c.exchange(ctx, address, false) })
		}
	}
}

// start runs a probe unless too many are in flight.
func (c *Cluster) start(probe func()) {
	select {
	case c.probes <- struct{}{}:
	default:
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.probes }()
		probe()
	})
}

// next returns the next member of a shuffled round.
func (c *Cluster) next() (ebonyworks.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[0]
			c.order = c.order[1:]
			member, found := c.roster.Member(id)
			if found && member.State <= ebonyworks.MemberSuspect {
				return member.Host, true
			}
		}
		for _, host := range c.roster.Alive() {
			c.order = append(c.order, host.ID)
		}
		c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return ebonyworks.Host{}, false
}

// check probes a member directly, then through others, and suspects it if
// nothing is heard of it.
func (c *Cluster) check(ctx context.Context, target ebonyworks.Host) {
	asked := time.Now()
	reply, err := c.exchange(ctx, target.Address, false)
	if err == nil && reply.From.ID == target.ID {
		return
	}
	if err != nil && c.relay(ctx, target) {
		return
	}
	// After a pause, the silence may have been this host's own.
	if ctx.Err() != nil || c.CheckPause() || asked.Before(c.since()) {
		return
	}
	if c.roster.Suspect(target, time.Now()) {
		c.record(event.MemberSuspected, hostAttributes(target)...)
	}
}

// relay reports whether another member can reach the target.
func (c *Cluster) relay(ctx context.Context, target ebonyworks.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	vias := c.relaysFor(target)
	answers := make(chan bool, len(vias))
	for _, via := range vias {
		c.tasks.Go(func() {
			var answered bool
			err := c.contained(via, func() (err error) {
				answered, err = c.config.Peer.IndirectPing(ctx, via, target.Address)
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

func (c *Cluster) relaysFor(target ebonyworks.Host) []netip.AddrPort {
	var vias []netip.AddrPort
	for _, host := range c.roster.Alive() {
		if host.ID != target.ID {
			vias = append(vias, host.Address)
		}
	}
	c.shuffle(vias)
	return vias[:min(len(vias), relayCount)]
}

// nextCandidate returns an address at which nobody answers, at a rate that
// depends on how many such addresses and how many hosts there are.
func (c *Cluster) nextCandidate() (netip.AddrPort, bool) {
	candidates := c.UnreachableAddresses()
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	trying := float64(len(c.roster.Alive()) + 1)
	if !c.chance(retriesPerSecond * float64(len(candidates)) / trying) {
		return netip.AddrPort{}, false
	}
	c.shuffle(candidates)
	return candidates[0], true
}

// UnreachableAddresses returns the addresses of seeds, listed hosts and dead members at
// which no member is known to answer.
func (c *Cluster) UnreachableAddresses() []netip.AddrPort {
	known := map[netip.AddrPort]bool{c.config.Self.Address: true}
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !known[address] {
			known[address] = true
			candidates = append(candidates, address)
		}
	}
	members := c.roster.Members()
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
	for _, seed := range c.config.Seeds {
		add(seed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.listed {
		if !host.Leaving && host.Name != string(c.config.Self.ID) {
			add(host.Address)
		}
	}
	return candidates
}
