package configsync

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// maxHeard bounds the peers that are remembered as holding something newer.
	maxHeard = 8
	// heardTime is how long a peer is believed to hold something newer while
	// it can't be fetched.
	heardTime = 5 * time.Second
	// pullPeers is the number of peers that are asked for a head at a time.
	pullPeers = 3
	// pullTime limits the fetch of one head.
	pullTime  = time.Second
	pullRetry = 300 * time.Millisecond
	// maxAnswers bounds the answers that are kept while settling.
	maxAnswers = 64
	// settlePeers is the number of peers that a fresh host asks.
	settlePeers = 16
	settleTime  = 500 * time.Millisecond
	// equalReads is the number of equal answers of the service that replace
	// the confirmation by a peer.
	equalReads  = 3
	settleFirst = 100 * time.Millisecond
	// settleRounds is how often peers that don't answer are asked before a
	// host becomes ready without them, since messages can be lost.
	settleRounds = 4
	settleLast   = 1500 * time.Millisecond
)

// heardMark is a configuration that a peer holds and this host doesn't.
type heardMark struct {
	mark ebonyworks.ConfigurationVersion
	from netip.AddrPort
	at   time.Time
}

// answer is what a peer said when it was asked.
type answer struct {
	host    ebonyworks.HostID
	mark    ebonyworks.ConfigurationVersion
	settled bool
	asked   time.Time
}

// hear notes that the sender holds a newer configuration. s.mu is held.
func (s *Syncer) hear(message ebonyworks.GossipMessage) {
	from := message.From.Address
	s.heard = slices.DeleteFunc(s.heard, func(h heardMark) bool { return h.from == from })
	if len(s.heard) == maxHeard {
		s.heard = slices.Delete(s.heard, 0, 1)
	}
	s.heard = append(s.heard, heardMark{mark: message.Version, from: from, at: time.Now()})
	wakeup.Signal(s.pullWake)
}

func (s *Syncer) noteAnswer(received answer) {
	s.answers = slices.DeleteFunc(s.answers, func(a answer) bool { return a.host == received.host })
	if len(s.answers) == maxAnswers {
		s.answers = slices.Delete(s.answers, 0, 1)
	}
	s.answers = append(s.answers, received)
}

// pull fetches heads that peers hold.
func (s *Syncer) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pullWake:
		}
		sources := s.sources(time.Now())
		if len(sources) == 0 {
			continue
		}
		if !s.pullFrom(ctx, sources) && !wakeup.Wait(ctx, s.uniform(pullRetry/2, pullRetry), nil) {
			return
		}
		if s.stillHeard() {
			// Heard marks leave the list when they are accepted, refused or
			// too old.
			if !wakeup.Wait(ctx, pullRetry, s.pullWake) {
				return
			}
			wakeup.Signal(s.pullWake)
		}
	}
}

// sources returns the peers with the newest heard marks.
func (s *Syncer) sources(now time.Time) []heardMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = slices.DeleteFunc(s.heard, func(h heardMark) bool { return now.Sub(h.at) > heardTime })
	sources := slices.Clone(s.heard)
	slices.SortStableFunc(sources, func(x, y heardMark) int { return y.mark.Compare(x.mark) })
	return sources[:min(len(sources), pullPeers)]
}

func (s *Syncer) stillHeard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard) > 0
}

// pullFrom fetches the heads of the sources and reports whether any came.
func (s *Syncer) pullFrom(ctx context.Context, sources []heardMark) bool {
	fetched := make([]bool, len(sources))
	var calls sync.WaitGroup
	for i, source := range sources {
		calls.Go(func() { fetched[i] = s.pullOne(ctx, source) })
	}
	calls.Wait()
	return slices.Contains(fetched, true)
}

func (s *Syncer) pullOne(ctx context.Context, source heardMark) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	bytes, err := s.config.Peer.FetchManifest(ctx, source.from)
	if err != nil || len(bytes) > maxDocumentBytes {
		return false
	}
	mark, valid := s.consider(bytes, source.from, time.Time{})
	if !valid || mark.Compare(source.mark) < 0 {
		// The peer claims what it doesn't have, or has what is refused here.
		s.unhear(source)
	}
	return true
}

func (s *Syncer) unhear(source heardMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = slices.DeleteFunc(s.heard, func(h heardMark) bool { return h.from == source.from })
}

// settle checks after a start or a pause whether the configuration in force
// is the newest that can be found.
func (s *Syncer) settle(ctx context.Context) {
	for {
		delay := settleFirst
		for round := 1; !s.trySettle(ctx, round); round++ {
			if !wakeup.Wait(ctx, s.uniform(delay/2, delay), s.settleWake) {
				return
			}
			switch {
			case s.serviceAnswers():
				// The other equal readings needn't wait for long.
				delay = 2 * settleFirst
			case round >= settleRounds:
				delay = min(2*delay, settleLast)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.settleWake:
		}
	}
}

// trySettle asks peers, and the service if no peer can confirm.
func (s *Syncer) trySettle(ctx context.Context, round int) bool {
	if s.isSettled() {
		return true
	}
	began := time.Now()
	complete := s.askPeers(ctx)
	verdict := s.judge(began)
	if verdict == needsService {
		s.readHead(ctx)
		verdict = s.judge(began)
	}
	if verdict != confirmedByPeer && verdict != confirmedByService {
		return false
	}
	if !complete && round < settleRounds {
		return false
	}
	if !s.markSettled(began) {
		return false
	}
	if verdict == confirmedByService {
		s.record(event.ConfigurationFromServiceOnly, markAttributes(s.config.ActiveConfig.Mark())...)
	}
	s.record(event.ConfigurationSettled, markAttributes(s.config.ActiveConfig.Mark())...)
	return true
}

// serviceAnswers reports whether the last reading succeeded and more equal ones
// are needed.
func (s *Syncer) serviceAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.service.failing && s.service.equal > 0 && s.service.equal < equalReads
}

func (s *Syncer) isSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled
}

func (s *Syncer) markSettled(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if began.Before(s.doubted) {
		return false
	}
	s.settled = true
	return true
}

// askPeers asks the members that are alive, and other addresses. It reports
// whether all of them answered.
func (s *Syncer) askPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	targets := s.somePeers(settlePeers)
	others := s.config.Membership.UnreachableAddresses()
	s.shuffle(others)
	targets = append(targets, others[:min(len(others), settlePeers)]...)
	answered := make([]bool, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { answered[i] = s.config.Membership.PullState(ctx, target) == nil })
	}
	calls.Wait()
	return !slices.Contains(answered, false)
}

// settleVerdict is how far a host is from being settled.
type settleVerdict int

const (
	// needsNewer means that a peer holds something newer, which is being pulled.
	needsNewer settleVerdict = iota
	// needsService means that no peer can confirm.
	needsService
	confirmedByPeer
	confirmedByService
)

// judge weighs the answers to questions that were asked since the time.
func (s *Syncer) judge(began time.Time) settleVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	mine := s.config.ActiveConfig.Mark()
	byPeer := false
	for _, given := range s.answers {
		if given.asked.Before(began) {
			continue
		}
		_, refused := s.config.ActiveConfig.Refused(given.mark.Digest)
		if given.mark.Compare(mine) > 0 && !refused {
			return needsNewer
		}
		byPeer = byPeer || given.settled
	}
	switch {
	case mine == (ebonyworks.ConfigurationVersion{}):
		return needsService
	case byPeer:
		return confirmedByPeer
	case s.service.equal >= equalReads && !s.newerCandidate(mine):
		return confirmedByService
	default:
		return needsService
	}
}

// newerCandidate reports whether a newer head may still be accepted. One whose
// parts couldn't be found may never be.
func (s *Syncer) newerCandidate(mine ebonyworks.ConfigurationVersion) bool {
	return slices.ContainsFunc(s.candidates, func(c candidate) bool {
		return c.mark.Compare(mine) > 0 && c.failures == 0
	})
}
