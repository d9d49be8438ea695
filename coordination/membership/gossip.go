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

// Budgets of one gossip message in bytes, for members and for each contributor. The
// full budgets apply to replies to a request for the complete state.
const (
	memberBudget          = 500
	contributorBudget     = 300
	fullMemberBudget      = 40 << 10
	fullContributorBudget = 8 << 10
	// repeatedUpdates is the number of member updates that a message repeats although
	// they have been sent often enough, to make up for lost messages.
	repeatedUpdates = 2
	// retransmitFactor times the binary logarithm of the cluster size is the number
	// of messages in which this host sends a new update.
	retransmitFactor = 3
)

var errTooManyRelays = errors.New("too many relays in progress")

// HandlePing merges the gossip of another host and replies with that of this host.
func (c *Cluster) HandlePing(_ context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	c.CheckPause()
	c.receive(message, time.Time{})
	c.retryRefresh()
	return c.composeMessage(message.From.ID, message.Full), nil
}

// HandleIndirectPing pings the host at the address on behalf of another host.
func (c *Cluster) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	select {
	case c.relaySlots <- struct{}{}:
	default:
		return false, errTooManyRelays
	}
	defer func() { <-c.relaySlots }()
	_, err := c.ping(ctx, target, false)
	return err == nil, nil
}

// callPeer runs a call to another host. A panic is recorded and counts as no
// answer.
func (c *Cluster) callPeer(to netip.AddrPort, call func() error) (err error) {
	defer event.RecoverPanic(c.config.Recorder, func() string {
		err = event.ErrPanicked
		return "message of " + to.String()
	})
	return call()
}

// ping sends one gossip message and merges the reply.
func (c *Cluster) ping(ctx context.Context, to netip.AddrPort, full bool) (reply ebonyworks.GossipMessage, err error) {
	err = c.callPeer(to, func() error {
		reply, err = c.pingOnce(ctx, to, full)
		return err
	})
	return reply, err
}

func (c *Cluster) pingOnce(ctx context.Context, to netip.AddrPort, full bool) (ebonyworks.GossipMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	message := c.composeMessage(c.memberAt(to), false)
	message.Full = full
	requestedAt := time.Now()
	reply, err := c.config.Peer.Ping(ctx, to, message)
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	c.CheckPause()
	if reply.From.ID == c.config.Self.ID {
		c.receive(reply, requestedAt)
		return ebonyworks.GossipMessage{}, errors.New("ping reached this host itself")
	}
	c.receive(reply, requestedAt)
	c.noteAnswer(requestedAt)
	return reply, nil
}

// composeMessage returns a gossip message for the host. It always contains the
// state of this host, and that of the receiver if it isn't alive, so that the
// receiver can refute it.
func (c *Cluster) composeMessage(to ebonyworks.HostID, full bool) ebonyworks.GossipMessage {
	self := c.members.Self()
	message := ebonyworks.GossipMessage{From: self.Host, Members: []ebonyworks.Member{self}}
	if member, found := c.members.Member(to); found && member.State != ebonyworks.MemberAlive {
		message.Members = append(message.Members, member)
	}
	message.Members = append(message.Members, c.memberUpdates(full)...)
	budget := contributorBudget
	if full {
		budget = fullContributorBudget
	}
	for _, contributor := range c.contributors {
		contributor.Contribute(&message, budget)
	}
	return message
}

func (c *Cluster) memberUpdates(full bool) []ebonyworks.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		return c.members.SelectUpdates(fullMemberBudget, 0, fullMemberBudget, c.random)
	}
	return c.members.SelectUpdates(memberBudget, c.retransmitLimit(), repeatedUpdates, c.random)
}

func (c *Cluster) retransmitLimit() int { return retransmitFactor * log2(c.members.Size()) }

// receive merges the members in a message and passes it to the contributors.
func (c *Cluster) receive(message ebonyworks.GossipMessage, requestedAt time.Time) {
	if message.From.ID == c.config.Self.ID {
		c.mergeMember(ebonyworks.Member{Host: message.From})
		return
	}
	c.mergeMember(ebonyworks.Member{Host: message.From})
	for _, update := range message.Members {
		c.mergeMember(update)
	}
	for _, contributor := range c.contributors {
		contributor.Receive(message, requestedAt)
	}
}

// mergeMember merges a member update and records an event if it changed a member.
func (c *Cluster) mergeMember(update ebonyworks.Member) {
	if !update.Host.Address.IsValid() {
		return
	}
	change := c.members.Merge(update, time.Now())
	switch {
	case change.Replaced:
		c.record(event.HostReplaced, hostAttributes(update.Host)...)
	case change.Refuted:
		number := event.Attribute("Round", strconv.FormatUint(c.members.Self().RefutationNumber, 10))
		c.record(event.SuspicionRefuted, number)
		c.TriggerGossip()
	case change.Applied:
		c.recordStateChange(update, change)
	}
}

func (c *Cluster) recordStateChange(update ebonyworks.Member, change memberlist.Change) {
	changed := change.New || change.Before != update.State
	switch {
	case !changed:
	case update.State == ebonyworks.MemberLeft:
		c.record(event.MemberLeft, hostAttributes(update.Host)...)
		if !change.New {
			c.TriggerGossip()
		}
	case update.State == ebonyworks.MemberDead:
		c.record(event.MemberDied, hostAttributes(update.Host)...)
	case update.State == ebonyworks.MemberSuspect:
		c.record(event.MemberSuspected, hostAttributes(update.Host)...)
	case change.New:
		c.record(event.MemberJoined, hostAttributes(update.Host)...)
	default:
		c.record(event.MemberRecovered, hostAttributes(update.Host)...)
	}
}

// memberAt returns the id of the member at the address, or the empty id.
func (c *Cluster) memberAt(address netip.AddrPort) ebonyworks.HostID {
	return c.members.IDAt(address)
}

func log2(size int) int {
	bits := 1
	for size > 1 {
		size /= 2
		bits++
	}
	return bits
}
