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
func (g *Cluster) HandlePing(_ context.Context, message ebonyworks.GossipMessage) (ebonyworks.GossipMessage, error) {
	g.CheckPause()
	g.receive(message, time.Time{})
	g.contacted()
	return g.compose(message.From.ID, message.Full), nil
}

// HandleIndirectPing probes the host at the address for another host.
func (g *Cluster) HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error) {
	select {
	case g.relays <- struct{}{}:
	default:
		return false, errBusy
	}
	defer func() { <-g.relays }()
	_, err := g.exchange(ctx, target, false)
	return err == nil, nil
}

// contained calls another host. A panic counts as no answer.
func (g *Cluster) contained(to netip.AddrPort, call func() error) (err error) {
	defer event.Contain(g.config.Recorder, func() string {
		err = event.ErrUnexpected
		return "message of " + to.String()
	})
	return call()
}

// exchange sends one message and learns from the reply.
func (g *Cluster) exchange(ctx context.Context, to netip.AddrPort, full bool) (reply ebonyworks.GossipMessage, err error) {
	err = g.contained(to, func() error {
		reply, err = g.exchangeOnce(ctx, to, full)
		return err
	})
	return reply, err
}

func (g *Cluster) exchangeOnce(ctx context.Context, to netip.AddrPort, full bool) (ebonyworks.GossipMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, directTime)
	defer cancel()
	message := g.compose(g.memberAt(to), false)
	message.Full = full
	asked := time.Now()
	reply, err := g.config.Peer.Ping(ctx, to, message)
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	g.CheckPause()
	if reply.From.ID == g.config.Self.ID {
		g.receive(reply, asked)
		return ebonyworks.GossipMessage{}, errors.New("the address is this host's own")
	}
	g.receive(reply, asked)
	g.answered(asked)
	return reply, nil
}

// compose makes a message for the host. It always carries this host's own
// fact, and what this host believes of the receiver if that isn't alive, so
// that the receiver can refute it.
func (g *Cluster) compose(to ebonyworks.HostID, full bool) ebonyworks.GossipMessage {
	self := g.roster.Self()
	message := ebonyworks.GossipMessage{From: self.Host, Members: []ebonyworks.Member{self}}
	if member, found := g.roster.Member(to); found && member.State != ebonyworks.MemberAlive {
		message.Members = append(message.Members, member)
	}
	message.Members = append(message.Members, g.facts(full)...)
	budget := contributorBudget
	if full {
		budget = fullContributorBudget
	}
	for _, contributor := range g.contributors {
		contributor.Contribute(&message, budget)
	}
	return message
}

func (g *Cluster) facts(full bool) []ebonyworks.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if full {
		return g.roster.Facts(fullMemberBudget, 0, fullMemberBudget, g.random)
	}
	return g.roster.Facts(memberBudget, g.sendLimit(), otherFacts, g.random)
}

func (g *Cluster) sendLimit() int { return sendFactor * log2(g.roster.Size()) }

// receive learns from a message.
func (g *Cluster) receive(message ebonyworks.GossipMessage, asked time.Time) {
	if message.From.ID == g.config.Self.ID {
		g.learn(ebonyworks.Member{Host: message.From})
		return
	}
	g.learn(ebonyworks.Member{Host: message.From})
	for _, fact := range message.Members {
		g.learn(fact)
	}
	for _, contributor := range g.contributors {
		contributor.Receive(message, asked)
	}
}

// learn merges a fact and records what it changed.
func (g *Cluster) learn(fact ebonyworks.Member) {
	if !fact.Host.Address.IsValid() {
		return
	}
	change := g.roster.Merge(fact, time.Now())
	switch {
	case change.Replaced:
		g.record(event.HostReplaced, hostAttributes(fact.Host)...)
	case change.Refuted:
		round := event.Attribute("Round", strconv.FormatUint(g.roster.Self().RefutationNumber, 10))
		g.record(event.SuspicionRefuted, round)
		g.SendNow()
	case change.Applied:
		g.recordState(fact, change)
	}
}

func (g *Cluster) recordState(fact ebonyworks.Member, change memberlist.Change) {
	changed := change.New || change.Before != fact.State
	switch {
	case !changed:
	case fact.State == ebonyworks.MemberLeft:
		g.record(event.MemberLeft, hostAttributes(fact.Host)...)
		if !change.New {
			g.SendNow()
		}
	case fact.State == ebonyworks.MemberDead:
		g.record(event.MemberDied, hostAttributes(fact.Host)...)
	case fact.State == ebonyworks.MemberSuspect:
		g.record(event.MemberSuspected, hostAttributes(fact.Host)...)
	case change.New:
		g.record(event.MemberJoined, hostAttributes(fact.Host)...)
	default:
		g.record(event.MemberReturned, hostAttributes(fact.Host)...)
	}
}

// memberAt returns the id of the member at the address, or nothing.
func (g *Cluster) memberAt(address netip.AddrPort) ebonyworks.HostID {
	return g.roster.At(address)
}

func log2(size int) int {
	bits := 1
	for size > 1 {
		size /= 2
		bits++
	}
	return bits
}
