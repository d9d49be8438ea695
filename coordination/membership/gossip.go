package membership

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/memberlist"
)

// Budgets of one message in bytes, for members and for each contributor.
const (
	memberBudget          = 500
	contributorBudget     = 300
	fullMemberBudget      = 40 << 10
	fullContributorBudget = 8 << 10
	// otherFacts is the number of facts that a message repeats although they
	// were spread before, so that lost ones are made up for.
	otherFacts = 2
	// sendFactor times the binary logarithm of the size is the number of
	// messages that carry a new fact.
	sendFactor = 3
)

var errBusy = errors.New("too many relays in progress")

// HandlePing answers the message of another host.
func (c *Cluster) HandlePing(_ context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	c.CheckPause()
	c.receive(message, time.Time{})
	c.contacted()
	return c.compose(message.From.ID, message.Full), nil
}

// HandleIndirectPing probes the host at the address for another host.
func (c *Cluster) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	select {
	case c.relays <- struct{}{}:
	default:
		return false, errBusy
	}
	defer func() { <-c.relays }()
	_, err := c.exchange(ctx, target, false)
	return err == nil, nil
}

// contained calls another host. A panic counts as no answer.
func (c *Cluster) contained(to netip.AddrPort, call func() error) (err error) {
	defer event.Contain(c.config.Recorder, func() string {
		err = event.ErrUnexpected
		return "message of " + to.String()
	})
	return call()
}

// exchange sends one message and learns from the reply.
func (c *Cluster) exchange(ctx context.Context, to netip.AddrPort, full bool) (reply ebonyworks.GossipMessage, err error) {
	err = c.contained(to, func() error {
		reply, err = c.exchangeOnce(ctx, to, full)
		return err
	})
	return reply, err
}

func (c *Cluster) exchangeOnce(ctx context.Context, to netip.AddrPort, full bool) (ebonyworks.GossipMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, directTime)
	defer cancel()
	message := c.compose(c.memberAt(to), false)
	message.Full = full
	asked := time.Now()
	reply, err := c.config.Peer.Ping(ctx, to, message)
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	c.CheckPause()
	if reply.From.ID == c.config.Self.ID {
		c.receive(reply, asked)
		return ebonyworks.GossipMessage{}, errors.New("the address is this host's own")
	}
	c.receive(reply, asked)
	c.answered(asked)
	return reply, nil
}

// compose makes a message for the host. It always carries this host's own
// fact, and what this host believes of the receiver if that isn't alive, so
// that the receiver can refute it.
func (c *Cluster) compose(to ebonyworks.HostID, full bool) ebonyworks.GossipMessage {
	self := c.roster.Self()
	message := ebonyworks.GossipMessage{From: self.Host, Members: []ebonyworks.Member{self}}
	if member, found := c.roster.Member(to); found && member.State != ebonyworks.MemberAlive {
		message.Members = append(message.Members, member)
	}
	message.Members = append(message.Members, c.facts(full)...)
	budget := contributorBudget
	if full {
		budget = fullContributorBudget
	}
	for _, contributor := range c.contributors {
		contributor.Contribute(&message, budget)
	}
	return message
}

func (c *Cluster) facts(full bool) []ebonyworks.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		return c.roster.Facts(fullMemberBudget, 0, fullMemberBudget, c.random)
	}
	return c.roster.Facts(memberBudget, c.sendLimit(), otherFacts, c.random)
}

func (c *Cluster) sendLimit() int { return sendFactor * log2(c.roster.Size()) }

// receive learns from a message.
func (c *Cluster) receive(message ebonyworks.GossipMessage, asked time.Time) {
	if message.From.ID == c.config.Self.ID {
		c.learn(ebonyworks.Member{Host: message.From})
		return
	}
	c.learn(ebonyworks.Member{Host: message.From})
	for _, fact := range message.Members {
		c.learn(fact)
	}
	for _, contributor := range c.contributors {
		contributor.Receive(message, asked)
	}
}

// learn merges a fact and records what it changed.
func (c *Cluster) learn(fact ebonyworks.Member) {
	if !fact.Host.Address.IsValid() {
		return
	}
	change := c.roster.Merge(fact, time.Now())
	switch {
	case change.Replaced:
		c.record(event.HostReplaced, hostAttributes(fact.Host)...)
	case change.Refuted:
		round := event.Attribute("Round", strconv.FormatUint(c.roster.Self().RefutationNumber, 10))
		c.record(event.SuspicionRefuted, round)
		c.TriggerGossip()
	case change.Applied:
		c.recordState(fact, change)
	}
}

func (c *Cluster) recordState(fact ebonyworks.Member, change memberlist.Change) {
	changed := change.New || change.Before != fact.State
	switch {
	case !changed:
	case fact.State == ebonyworks.MemberLeft:
		c.record(event.MemberLeft, hostAttributes(fact.Host)...)
		if !change.New {
			c.TriggerGossip()
		}
	case fact.State == ebonyworks.MemberDead:
		c.record(event.MemberDied, hostAttributes(fact.Host)...)
	case fact.State == ebonyworks.MemberSuspect:
		c.record(event.MemberSuspected, hostAttributes(fact.Host)...)
	case change.New:
		c.record(event.MemberJoined, hostAttributes(fact.Host)...)
	default:
		c.record(event.MemberReturned, hostAttributes(fact.Host)...)
	}
}

// memberAt returns the id of the member at the address, or nothing.
func (c *Cluster) memberAt(address netip.AddrPort) ebonyworks.HostID {
	return c.roster.At(address)
}

func log2(size int) int {
	bits := 1
	for size > 1 {
		size /= 2
		bits++
	}
	return bits
}
