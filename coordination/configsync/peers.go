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
	// maxPeerVersions bounds the peers that are remembered as holding a newer
	// version.
	maxPeerVersions = 8
	// peerVersionTTL is how long a peer is believed to hold a newer version while
	// the manifest can't be fetched from it.
	peerVersionTTL = 5 * time.Second
	// pullPeers is the number of peers that a manifest is fetched from at a time.
	pullPeers = 3
	// pullTimeout limits the fetch of one manifest.
	pullTimeout = time.Second
	pullRetry   = 300 * time.Millisecond
	// maxAnswers bounds the replies of peers that are kept, one for each peer.
	maxAnswers = 64
	// syncPeers is the number of members, and of unreachable addresses, that a host
	// asks for their version after a start or a pause.
	syncPeers   = 16
	syncTimeout = 500 * time.Millisecond
	// requiredEqualReads is the number of equal readings of the service in a row
	// that replace the confirmation by a peer.
	requiredEqualReads = 3
	syncRetryFirst     = 100 * time.Millisecond
	// maxSyncRounds is how often in a row peers that don't answer are asked before a
	// host becomes ready without them, since messages can be lost.
	maxSyncRounds = 4
	syncRetryLast = 1500 * time.Millisecond
)

// peerVersion is a version newer than the one in force that a peer advertised.
type peerVersion struct {
	version ebonyworks.ConfigurationVersion
	from    netip.AddrPort
	at      time.Time
}

// answer is what a peer replied to a ping of this host about its configuration.
type answer struct {
	host        ebonyworks.HostID
	version     ebonyworks.ConfigurationVersion
	synced      bool
	requestedAt time.Time
}

// notePeerVersion records that the sender holds a newer version and schedules a
// fetch. s.mu is held.
func (s *Syncer) notePeerVersion(message ebonyworks.GossipMessage) {
	from := message.From.Address
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(h peerVersion) bool { return h.from == from })
	if len(s.peerVersions) == maxPeerVersions {
		s.peerVersions = slices.Delete(s.peerVersions, 0, 1)
	}
	s.peerVersions = append(s.peerVersions, peerVersion{version: message.Version, from: from, at: time.Now()})
	wakeup.Signal(s.pullWake)
}

func (s *Syncer) noteAnswer(received answer) {
	s.answers = slices.DeleteFunc(s.answers, func(a answer) bool { return a.host == received.host })
	if len(s.answers) == maxAnswers {
		s.answers = slices.Delete(s.answers, 0, 1)
	}
	s.answers = append(s.answers, received)
}

// pull fetches the newer manifests that peers advertised.
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
		if s.hasPeerVersions() {
			// Advertised versions leave the list when they are accepted, refused
			// or too old.
			if !wakeup.Wait(ctx, pullRetry, s.pullWake) {
				return
			}
			wakeup.Signal(s.pullWake)
		}
	}
}

// sources returns the peers that advertised the newest versions, and drops those
// whose time to live has passed.
func (s *Syncer) sources(now time.Time) []peerVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(h peerVersion) bool { return now.Sub(h.at) > peerVersionTTL })
	sources := slices.Clone(s.peerVersions)
	slices.SortStableFunc(sources, func(x, y peerVersion) int { return y.version.Compare(x.version) })
	return sources[:min(len(sources), pullPeers)]
}

func (s *Syncer) hasPeerVersions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peerVersions) > 0
}

// pullFrom fetches the manifests of the sources and reports whether any fetch
// succeeded.
func (s *Syncer) pullFrom(ctx context.Context, sources []peerVersion) bool {
	fetched := make([]bool, len(sources))
	var calls sync.WaitGroup
	for i, source := range sources {
		calls.Go(func() { fetched[i] = s.pullOne(ctx, source) })
	}
	calls.Wait()
	return slices.Contains(fetched, true)
}

func (s *Syncer) pullOne(ctx context.Context, source peerVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	bytes, err := s.config.Peer.FetchManifest(ctx, source.from)
	if err != nil || len(bytes) > maxDocumentBytes {
		return false
	}
	version, valid := s.checkManifest(bytes, source.from, time.Time{})
	if !valid || version.Compare(source.version) < 0 {
		// The peer doesn't have the version that it advertised, or this host
		// refuses it.
		s.dropPeerVersion(source)
	}
	return true
}

func (s *Syncer) dropPeerVersion(source peerVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(h peerVersion) bool { return h.from == source.from })
}

// sync checks after a start or a pause, until it succeeds, whether the
// configuration in force is the newest that can be found.
func (s *Syncer) sync(ctx context.Context) {
	for {
		delay := syncRetryFirst
		for round := 1; !s.trySync(ctx); round++ {
			if !wakeup.Wait(ctx, s.uniform(delay/2, delay), s.syncWake) {
				return
			}
			switch {
			case s.needsMoreReads():
				// The service answers, so the missing equal readings need no
				// backoff.
				delay = 2 * syncRetryFirst
			case round >= maxSyncRounds:
				delay = min(2*delay, syncRetryLast)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.syncWake:
		}
	}
}

// trySync asks the peers, and the service if no peer can confirm the version in
// force. It reports whether the host is synced.
func (s *Syncer) trySync(ctx context.Context) bool {
	if s.isSynced() {
		return true
	}
	began := time.Now()
	complete := s.noteRound(began, s.askPeers(ctx))
	verdict := s.evaluate(began)
	if verdict == needsService {
		s.readManifest(ctx)
		verdict = s.evaluate(began)
	}
	if verdict != confirmedByPeer && verdict != confirmedByService {
		return false
	}
	// The host becomes ready with the later of the refresh and this check, so a check
	// before the refresh may be out of date by then.
	if !complete || !s.config.Membership.Refreshed() || !s.markSynced(began) {
		return false
	}
	if verdict == confirmedByService {
		s.record(event.ConfigurationUnconfirmed, versionAttributes(s.config.ActiveConfig.Version())...)
	}
	s.record(event.ConfigurationSynced, versionAttributes(s.config.ActiveConfig.Version())...)
	return true
}

// needsMoreReads reports whether the last reading of the service succeeded and
// more equal ones are needed.
func (s *Syncer) needsMoreReads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.service.failing && s.service.equalReads > 0 && s.service.equalReads < requiredEqualReads
}

func (s *Syncer) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// noteRound counts the rounds in a row in which a peer didn't answer. It reports
// whether all peers answered or were asked often enough.
func (s *Syncer) noteRound(began time.Time, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case answered:
		s.unansweredRounds = 0
	case !began.Before(s.unverifiedSince):
		s.unansweredRounds++
	}
	return answered || s.unansweredRounds >= maxSyncRounds
}

// markSynced reports whether the host is synced by a round that began at the given
// time. It isn't if a peer advertised a newer version after the verdict.
func (s *Syncer) markSynced(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if began.Before(s.unverifiedSince) || s.peerAdvertisesNewer(s.config.ActiveConfig.Version()) {
		return false
	}
	s.synced = true
	return true
}

// askPeers requests the state of members that are alive and of hosts at
// unreachable addresses. It reports whether all of them answered.
func (s *Syncer) askPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	targets := s.randomPeers(syncPeers)
	others := s.config.Membership.UnreachableAddresses()
	s.shuffle(others)
	targets = append(targets, others[:min(len(others), syncPeers)]...)
	answered := make([]bool, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { answered[i] = s.config.Membership.PullState(ctx, target) == nil })
	}
	calls.Wait()
	return !slices.Contains(answered, false)
}

// syncVerdict tells whether the configuration in force is confirmed to be the
// newest, and if not, what is missing.
type syncVerdict int

const (
	// peerHasNewer means that a peer holds a newer version, which is being pulled.
	peerHasNewer syncVerdict = iota
	// needsService means that no peer can confirm the version in force.
	needsService
	confirmedByPeer
	confirmedByService
)

// evaluate derives the verdict from the readings of the service and from the
// answers to pings that were sent since the given time.
func (s *Syncer) evaluate(began time.Time) syncVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.config.ActiveConfig.Version()
	if s.peerAdvertisesNewer(active) {
		return peerHasNewer
	}
	byPeer := false
	for _, given := range s.answers {
		if given.requestedAt.Before(began) {
			continue
		}
		if s.acceptable(given.version, active) {
			return peerHasNewer
		}
		byPeer = byPeer || given.synced
	}
	switch {
	case active == (ebonyworks.ConfigurationVersion{}):
		return needsService
	case byPeer:
		return confirmedByPeer
	case s.service.equalReads >= requiredEqualReads && !s.hasNewerCandidate(active):
		return confirmedByService
	default:
		return needsService
	}
}

// peerAdvertisesNewer reports whether a peer is believed to hold a newer version,
// which is being pulled. It counts even if the peer doesn't answer in this round:
// the message may be lost. s.mu is held.
func (s *Syncer) peerAdvertisesNewer(active ebonyworks.ConfigurationVersion) bool {
	now := time.Now()
	return slices.ContainsFunc(s.peerVersions, func(h peerVersion) bool {
		return now.Sub(h.at) <= peerVersionTTL && s.acceptable(h.version, active)
	})
}

// acceptable reports whether the version is newer than the active one and wasn't
// refused.
func (s *Syncer) acceptable(version, active ebonyworks.ConfigurationVersion) bool {
	_, refused := s.config.ActiveConfig.Refused(version.Digest)
	return version.Compare(active) > 0 && !refused
}

// hasNewerCandidate reports whether a newer manifest may still be accepted. One
// whose parts couldn't be found doesn't count, since it may never be. s.mu is held.
func (s *Syncer) hasNewerCandidate(active ebonyworks.ConfigurationVersion) bool {
	return slices.ContainsFunc(s.candidates, func(c candidate) bool {
		return c.version.Compare(active) > 0 && c.failures == 0
	})
}
