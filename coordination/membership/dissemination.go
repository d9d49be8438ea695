package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// Constants of the immediate dissemination of urgent updates; docs/dissemination.md
// has the figures behind their values.
const (
	// fanout is the number of random members to which each host that learns of an
	// urgent update sends it at once.
	fanout = 2
	// ringNeighbors is the number of neighbors in each direction on the ring of
	// members that receive the update as well.
	ringNeighbors = 2
	// burstInterval is the pause after a burst, so that urgent updates that arrive
	// together share the next one.
	burstInterval = 20 * time.Millisecond
	// burstCapacity and burstsPerSecond limit the traffic when there are many urgent
	// updates; those beyond the limit are piggybacked on probes.
	burstCapacity   = 8
	burstsPerSecond = 1
)

// burstBudget is a token bucket that limits the rate of bursts.
type burstBudget struct {
	tokens   float64
	refilled time.Time
}

func (b *burstBudget) take(now time.Time) bool {
	b.tokens = min(burstCapacity, b.tokens+burstsPerSecond*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TriggerGossip sends gossip to some members at once instead of with the next
// probe, because there is an urgent update.
func (c *Cluster) TriggerGossip() { wakeup.Signal(c.gossipWake) }

// disseminate sends a burst of messages when there is an urgent update.
func (c *Cluster) disseminate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.gossipWake:
		}
		if !c.takeBurst() {
			// The next token is available after at most this time.
			if !wakeup.Wait(ctx, time.Second/burstsPerSecond, nil) {
				return
			}
			wakeup.Signal(c.gossipWake)
			continue
		}
		for _, target := range c.disseminationTargets() {
			c.tasks.Go(func() { _, _ = c.ping(ctx, target, false) })
		}
		if !wakeup.Wait(ctx, burstInterval, nil) {
			return
		}
	}
}

func (c *Cluster) takeBurst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bursts.take(time.Now())
}

// disseminationTargets returns the addresses of random members and of this host's
// neighbors on the ring of all members ordered by id.
func (c *Cluster) disseminationTargets() []netip.AddrPort {
	alive := c.members.Alive()
	position, _ := slices.BinarySearchFunc(alive, c.config.Self.ID, func(host ebonyworks.Host, id ebonyworks.HostID) int {
		return compareIDs(host.ID, id)
	})
	var targets []netip.AddrPort
	add := func(address netip.AddrPort) {
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	size := len(alive)
	for step := range min(ringNeighbors, size) {
		add(alive[(position+step)%size].Address)
		add(alive[(position-1-step+2*size)%size].Address)
	}
	others := make([]netip.AddrPort, 0, size)
	for _, host := range alive {
		others = append(others, host.Address)
	}
	c.shuffle(others)
	for _, address := range others[:min(fanout, size)] {
		add(address)
	}
	return targets
}

func compareIDs(a, b ebonyworks.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
