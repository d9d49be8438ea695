package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// probe pings one member in each interval, each member once per round, and
// occasionally an unreachable address. It declares members dead that didn't refute
// a suspicion in time.
func (c *Cluster) probe(ctx context.Context) {
	for wakeup.Wait(ctx, c.jitter(probeInterval, 0.1), nil) {
		for _, member := range c.members.Expire(c.suspicionTime(), time.Now()) {
			c.record(event.MemberDied, hostAttributes(member.Host)...)
		}
		target, found := c.nextMember()
		if found {
			c.startProbe(func() { c.probeMember(ctx, target) })
		} else if c.members.Size() > 1 {
			c.noteIsolation()
		}
		if address, found := c.nextUnreachable(); found {
			c.startProbe(func() { _, _ = c.ping(ctx, address, false) })
		}
	}
}

// startProbe runs a probe in the background unless maxProbes are in flight.
func (c *Cluster) startProbe(probe func()) {
	select {
	case c.probeSlots <- struct{}{}:
	default:
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.probeSlots }()
		probe()
	})
}

// nextMember returns the next member of the round, and starts a new round in random
// order when one ends.
func (c *Cluster) nextMember() (ebonyworks.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			member, found := c.members.Member(id)
			if found && member.State <= ebonyworks.MemberSuspect {
				return member.Host, true
			}
		}
		for _, host := range c.members.Alive() {
			c.probeOrder = append(c.probeOrder, host.ID)
		}
		c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return ebonyworks.Host{}, false
}

// probeMember pings a member directly, then through other members, and suspects it
// if no ping succeeds.
func (c *Cluster) probeMember(ctx context.Context, target ebonyworks.Host) {
	requestedAt := time.Now()
	reply, err := c.ping(ctx, target.Address, false)
	if err == nil && reply.From.ID == target.ID {
		return
	}
	if err != nil && c.pingIndirectly(ctx, target) {
		return
	}
	// After a pause of this process, the ping may have timed out because of the
	// pause itself.
	if ctx.Err() != nil || c.CheckPause() || requestedAt.Before(c.resumedAt()) {
		return
	}
	if c.members.Suspect(target, time.Now()) {
		c.record(event.MemberSuspected, hostAttributes(target)...)
	}
}

// pingIndirectly asks other members to ping the target, and reports whether it
// answered one of them.
func (c *Cluster) pingIndirectly(ctx context.Context, target ebonyworks.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectPingTimeout)
	defer cancel()
	relays := c.chooseRelays(target)
	answers := make(chan bool, len(relays))
	for _, relay := range relays {
		c.tasks.Go(func() {
			var answered bool
			err := c.callPeer(relay, func() (err error) {
				answered, err = c.config.Peer.IndirectPing(ctx, relay, target.Address)
				return err
			})
			answers <- err == nil && answered
		})
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

func (c *Cluster) chooseRelays(target ebonyworks.Host) []netip.AddrPort {
	var relays []netip.AddrPort
	for _, host := range c.members.Alive() {
		if host.ID != target.ID {
			relays = append(relays, host.Address)
		}
	}
	c.shuffle(relays)
	return relays[:min(len(relays), indirectPingCount)]
}

// nextUnreachable returns a random unreachable address. The probability that it
// returns one is such that all hosts together try each address at
// reconnectsPerSecond.
func (c *Cluster) nextUnreachable() (netip.AddrPort, bool) {
	candidates := c.UnreachableAddresses()
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	hosts := float64(len(c.members.Alive()) + 1)
	if !c.chance(reconnectsPerSecond * float64(len(candidates)) / hosts) {
		return netip.AddrPort{}, false
	}
	c.shuffle(candidates)
	return candidates[0], true
}

// UnreachableAddresses returns the addresses of seeds, listed hosts and dead
// members at which no member is known to answer.
func (c *Cluster) UnreachableAddresses() []netip.AddrPort {
	known := map[netip.AddrPort]bool{c.config.Self.Address: true}
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !known[address] {
			known[address] = true
			candidates = append(candidates, address)
		}
	}
	members := c.members.Members()
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
