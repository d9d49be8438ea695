package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// Constants of the immediate spread; docs/dissemination.md has the figures
// behind the choice.
const (
	// fanout is the number of random members that learn of an urgent fact at
	// once from each host that learned of it.
	fanout = 2
	// ringReach is the number of ring neighbors in each direction that are
	// told as well.
	ringReach = 2
	// burstGap gathers urgent facts that arrive together.
	burstGap = 20 * time.Millisecond
	// burstCapacity and burstsPerSecond bound the traffic when many urgent
	// facts appear; what exceeds them travels with the probes.
	burstCapacity   = 8
	burstsPerSecond = 1
)

// burstBudget is a token bucket of bursts.
type burstBudget struct {
	tokens float64
	filled time.Time
}

func (b *burstBudget) take(now time.Time) bool {
	b.tokens = min(burstCapacity, b.tokens+burstsPerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TriggerGossip makes the next messages go out now, because an urgent fact is new.
func (c *Cluster) TriggerGossip() { wakeup.Signal(c.spreadWake) }

// spread sends bursts of messages when there is something urgent.
func (c *Cluster) spread(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.spreadWake:
		}
		if !c.takeBurst() {
			// The next token takes at most this long.
			if !wakeup.Wait(ctx, time.Second/burstsPerSecond, nil) {
				return
			}
			wakeup.Signal(c.spreadWake)
			continue
		}
		for _, target := range c.spreadTargets() {
			c.tasks.Go(func() { _, _ = c.exchange(ctx, target, false) })
		}
		if !wakeup.Wait(ctx, burstGap, nil) {
			return
		}
	}
}

func (c *Cluster) takeBurst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.take(time.Now())
}

// spreadTargets returns random members and the neighbors on the ring of all
// members ordered by id.
func (c *Cluster) spreadTargets() []netip.AddrPort {
	alive := c.roster.Alive()
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
	for step := range min(ringReach, size) {
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
