package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

const (
	// maxCandidates bounds the manifests that aren't in force yet.
	maxCandidates = 8
	// maxParts bounds the parts of one manifest.
	maxParts = 1024
	// partTimeout limits the fetch of one part from all sources together.
	partTimeout = 2 * time.Second
	// partHedgeDelay is the time after which a part is requested from the next
	// source as well.
	partHedgeDelay = 250 * time.Millisecond
	// partPeers is the number of random peers that a part is requested from.
	partPeers = 3
	// partRetryFirst and partRetryLast bound the exponential backoff after a fetch
	// that didn't find all parts.
	partRetryFirst = 200 * time.Millisecond
	partRetryLast  = 2 * time.Second
	// incompleteTTL is how long a manifest without its parts is kept. If the
	// service still returns it afterwards, it becomes a candidate again.
	incompleteTTL = time.Minute
)

var errMissingPart = errors.New("part not available")

// candidate is a manifest that is newer than the one in force.
type candidate struct {
	version  ebonyworks.ConfigurationVersion
	manifest ebonyworks.Manifest
	bytes    []byte
	// source is the peer that has the manifest in force; the invalid address if it
	// came from the service.
	source netip.AddrPort
	// requestedAt is when the request to the service that returned it was sent.
	requestedAt time.Time
	added       time.Time
	// due is when it may be accepted. Until then, manifests of the same revision
	// with a smaller digest are held back as well.
	due time.Time
	// parts are in the order of the manifest; nil until all were found.
	parts    []ebonyworks.ConfigurationPart
	fetching bool
	// failures counts the fetches that didn't find all parts.
	failures  int
	nextFetch time.Time
	backoff   time.Duration
}

// checkManifest decodes a manifest that the service returned or that a peer has
// in force, adds it to the candidates if it is newer, and returns its version.
// It returns false if the manifest is refused. A manifest of a peer isn't held
// back, because the peer did that.
func (s *Syncer) checkManifest(bytes []byte, source netip.AddrPort, requestedAt time.Time) (ebonyworks.ConfigurationVersion, bool) {
	digest := ebonyworks.Digest(sha256.Sum256(bytes))
	if refusal, found := s.config.ActiveConfig.Refused(digest); found {
		return refusal.Version, false
	}
	if active := s.config.ActiveConfig.Version(); digest == active.Digest {
		return active, true
	}
	manifest, problems := s.config.Decoder.DecodeManifest(bytes)
	version := ebonyworks.ConfigurationVersion{Revision: manifest.Revision, Digest: digest}
	if len(problems) == 0 && len(manifest.Parts) > maxParts {
		problems = []ebonyworks.Problem{{Path: "Parts", Message: "more than " + strconv.Itoa(maxParts)}}
	}
	if len(problems) > 0 {
		version.Revision = 0
		s.refuse(version, problems)
		return version, false
	}
	s.addCandidate(candidate{version: version, manifest: manifest, bytes: bytes, source: source, requestedAt: requestedAt})
	return version, true
}

// addCandidate adds a manifest to the candidates if it is newer than the one in
// force. One of the same revision with a smaller digest is refused.
func (s *Syncer) addCandidate(added candidate) {
	now := time.Now()
	added.added, added.due = now, now.Add(manifestHoldTime)
	if added.source.IsValid() {
		added.due = now
	}
	s.mu.Lock()
	active := s.config.ActiveConfig.Version()
	if added.version.Compare(active) <= 0 {
		s.mu.Unlock()
		if added.version.Revision == active.Revision && added.version != active {
			s.supersede(added.version, now)
		}
		return
	}
	defer s.mu.Unlock()
	for i := range s.candidates {
		known := &s.candidates[i]
		if known.version != added.version {
			continue
		}
		if added.source.IsValid() {
			known.source, known.due, known.nextFetch, known.backoff = added.source, now, now, 0
			wakeup.Signal(s.acceptWake)
		}
		return
	}
	s.candidates = append(s.candidates, added)
	slices.SortFunc(s.candidates, func(x, y candidate) int { return y.version.Compare(x.version) })
	s.candidates = s.candidates[:min(len(s.candidates), maxCandidates)]
	wakeup.Signal(s.acceptWake)
}

// accept fetches the parts of candidates and puts those that are due in force,
// the newest first.
func (s *Syncer) accept(ctx context.Context) {
	for wakeup.Wait(ctx, s.untilDue(time.Now()), s.acceptWake) {
		for _, incomplete := range s.incompleteCandidates(time.Now()) {
			s.tasks.Go(func() { s.completeParts(ctx, incomplete) })
		}
		for _, due := range s.dueCandidates(time.Now()) {
			if s.tryAccept(due) {
				break
			}
		}
	}
}

// untilDue returns the time until a candidate can be accepted or its parts are to
// be fetched.
func (s *Syncer) untilDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := time.Minute
	var held ebonyworks.Revision
	for _, pending := range s.candidates {
		switch {
		case pending.due.After(now):
			next = min(next, pending.due.Sub(now))
			held = pending.version.Revision
		case pending.parts != nil && pending.version.Revision != held:
			next = 0
		}
		if pending.parts == nil && !pending.fetching {
			next = min(next, pending.nextFetch.Sub(now))
		}
	}
	return max(next, 0)
}

// incompleteCandidates returns the candidates whose parts are to be fetched now,
// and marks them. The fetch starts while a candidate is held back, since an
// operator who publishes another manifest of the same revision overwrites the
// parts.
func (s *Syncer) incompleteCandidates(now time.Time) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var incomplete []candidate
	for i := range s.candidates {
		pending := &s.candidates[i]
		if pending.parts == nil && !pending.fetching && !pending.nextFetch.After(now) {
			pending.fetching = true
			incomplete = append(incomplete, *pending)
		}
	}
	return incomplete
}

// dueCandidates returns the complete candidates that may be accepted now, newest
// first. While a candidate is held back, those of the same revision with a smaller
// digest are, too.
func (s *Syncer) dueCandidates(now time.Time) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []candidate
	var held ebonyworks.Revision
	for _, pending := range s.candidates {
		switch {
		case pending.due.After(now):
			held = pending.version.Revision
		case pending.parts != nil && pending.version.Revision != held:
			due = append(due, pending)
		}
	}
	return due
}

// completeParts fetches the parts of a candidate and schedules a retry if some
// weren't found.
func (s *Syncer) completeParts(ctx context.Context, incomplete candidate) {
	parts, err := s.fetchParts(ctx, incomplete)
	delay := s.uniform(partRetryFirst/2, partRetryFirst) + s.uniform(incomplete.backoff/2, incomplete.backoff)
	now := time.Now()
	s.mu.Lock()
	for i := range s.candidates {
		known := &s.candidates[i]
		if known.version != incomplete.version {
			continue
		}
		known.fetching, known.parts = false, parts
		if err != nil {
			known.failures++
			known.nextFetch = now.Add(delay)
			known.backoff = min(2*known.backoff+partRetryFirst, partRetryLast)
		}
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool {
		return c.parts == nil && now.Sub(c.added) > incompleteTTL
	})
	s.mu.Unlock()
	wakeup.Signal(s.acceptWake)
	if err != nil && incomplete.failures == 0 {
		s.record(event.ConfigurationIncomplete, append(versionAttributes(incomplete.version), event.Attribute("Error", err.Error()))...)
	}
}

// tryAccept validates a complete candidate and puts it in force, or refuses it.
// It reports whether the candidate was accepted.
func (s *Syncer) tryAccept(due candidate) bool {
	configuration, problems := s.config.Decoder.Assemble(due.version, due.manifest, due.parts)
	if len(problems) > 0 {
		s.refuse(due.version, problems)
		s.dropCandidate(due.version)
		return false
	}
	return s.activate(due, configuration)
}

// activate puts a valid configuration in force and notifies the peers.
func (s *Syncer) activate(due candidate, configuration *ebonyworks.Configuration) bool {
	now := time.Now()
	bundle := activeconfig.Bundle{Configuration: configuration, Base: due.manifest.Base, Manifest: due.bytes}
	for i, part := range due.parts {
		bundle.Parts = append(bundle.Parts, activeconfig.StoredPart{Digest: due.manifest.Parts[i].Digest, Bytes: part.Bytes})
	}
	s.mu.Lock()
	before := s.config.ActiveConfig.Version()
	accepted := s.config.ActiveConfig.Accept(bundle, now)
	losers := s.dropObsolete(due.version)
	if accepted && !due.requestedAt.Before(s.unverifiedSince) {
		s.confirm(due.requestedAt, s.config.Self)
	}
	s.mu.Unlock()
	if !accepted {
		return false
	}
	for _, loser := range losers {
		s.supersede(loser, now)
	}
	s.reportAccepted(due, before)
	s.config.Membership.TriggerGossip()
	wakeup.Signal(s.syncWake)
	return true
}

func (s *Syncer) reportAccepted(due candidate, before ebonyworks.ConfigurationVersion) {
	source := "service"
	if due.source.IsValid() {
		source = due.source.String()
	}
	s.record(event.ConfigurationAccepted, append(versionAttributes(due.version), event.Attribute("Source", source))...)
	switch {
	case before == ebonyworks.ConfigurationVersion{}:
	case before.Revision == due.version.Revision:
		s.record(event.ConfigurationSuperseded, versionAttributes(before)...)
	case due.manifest.Base != before:
		s.record(event.ConfigurationBaseMismatch, versionAttributes(due.version)...)
	}
}

// dropObsolete drops candidates and advertised versions that aren't newer than
// the given version. It returns the dropped candidates of the same revision, which
// lost because of their smaller digest. s.mu is held.
func (s *Syncer) dropObsolete(version ebonyworks.ConfigurationVersion) []ebonyworks.ConfigurationVersion {
	var losers []ebonyworks.ConfigurationVersion
	for _, pending := range s.candidates {
		if pending.version.Revision == version.Revision && pending.version.Compare(version) < 0 {
			losers = append(losers, pending.version)
		}
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.version.Compare(version) <= 0 })
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(h peerVersion) bool { return h.version.Compare(version) <= 0 })
	return losers
}

func (s *Syncer) supersede(loser ebonyworks.ConfigurationVersion, now time.Time) {
	if s.config.ActiveConfig.RefuseConflicting(loser, now) {
		s.record(event.ConfigurationSuperseded, versionAttributes(loser)...)
	}
}

func (s *Syncer) refuse(version ebonyworks.ConfigurationVersion, problems []ebonyworks.Problem) {
	if !s.config.ActiveConfig.Refuse(version, problems, time.Now()) {
		return
	}
	attributes := versionAttributes(version)
	attributes = append(attributes, event.Attribute("Problems", strconv.Itoa(len(problems))))
	first := problems[0].Path + ": " + problems[0].Message
	s.record(event.ConfigurationRefused, append(attributes, event.Attribute("First", first))...)
}

func (s *Syncer) dropCandidate(version ebonyworks.ConfigurationVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.version == version })
	s.peerVersions = slices.DeleteFunc(s.peerVersions, func(h peerVersion) bool { return h.version == version })
}

// fetchParts returns all parts of a candidate, or an error that names the first
// one that isn't available.
func (s *Syncer) fetchParts(ctx context.Context, due candidate) ([]ebonyworks.ConfigurationPart, error) {
	parts := make([]ebonyworks.ConfigurationPart, 0, len(due.manifest.Parts))
	for _, wanted := range due.manifest.Parts {
		bytes, found := s.findPart(ctx, wanted, due.source)
		if !found {
			return nil, errors.Wrap(errMissingPart, wanted.Name)
		}
		parts = append(parts, ebonyworks.ConfigurationPart{Name: wanted.Name, Bytes: bytes})
	}
	return parts, nil
}

// findPart looks for a part by its digest: in the configuration in force, at the
// peer that has the manifest in force, in the service, and at other peers. Each
// source is asked when the one before failed or was slow.
func (s *Syncer) findPart(ctx context.Context, wanted ebonyworks.PartDigest, source netip.AddrPort) ([]byte, bool) {
	if bytes, found := s.config.ActiveConfig.Part(wanted.Digest); found {
		return bytes, true
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var searches []func() ([]byte, bool)
	if source.IsValid() {
		searches = append(searches, func() ([]byte, bool) { return s.fetchPartFromPeer(ctx, source, wanted.Digest) })
	}
	searches = append(searches, func() ([]byte, bool) { return s.fetchPartFromService(ctx, wanted) })
	for _, peer := range s.randomPeers(partPeers) {
		searches = append(searches, func() ([]byte, bool) { return s.fetchPartFromPeer(ctx, peer, wanted.Digest) })
	}
	return s.hedge(searches)
}

// hedge starts each search when the one before failed or took longer than
// partHedgeDelay, and returns the result of the first that succeeds. All searches
// end with their context.
func (s *Syncer) hedge(searches []func() ([]byte, bool)) ([]byte, bool) {
	results := make(chan []byte, len(searches))
	running := 0
	for len(searches) > 0 || running > 0 {
		if len(searches) > 0 {
			search := searches[0]
			searches = searches[1:]
			running++
			s.tasks.Go(func() {
				bytes, found := search()
				if !found {
					bytes = nil
				} else if bytes == nil {
					bytes = []byte{}
				}
				results <- bytes
			})
		}
		var stagger <-chan time.Time
		if len(searches) > 0 {
			stagger = time.After(partHedgeDelay)
		}
		select {
		case bytes := <-results:
			running--
			if bytes != nil {
				return bytes, true
			}
		case <-stagger:
		}
	}
	return nil, false
}

func (s *Syncer) fetchPartFromPeer(ctx context.Context, peer netip.AddrPort, digest ebonyworks.Digest) ([]byte, bool) {
	bytes, err := s.config.Peer.FetchPart(ctx, peer, digest)
	return bytes, err == nil && matchesDigest(bytes, digest)
}

func (s *Syncer) fetchPartFromService(ctx context.Context, wanted ebonyworks.PartDigest) ([]byte, bool) {
	value, err := s.read(ctx, s.config.PartKey(wanted.Name))
	return value.Bytes, err == nil && matchesDigest(value.Bytes, wanted.Digest)
}

func (s *Syncer) randomPeers(count int) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range s.config.Membership.Alive() {
		peers = append(peers, host.Address)
	}
	s.shuffle(peers)
	return peers[:min(len(peers), count)]
}

func matchesDigest(bytes []byte, digest ebonyworks.Digest) bool {
	return len(bytes) <= maxDocumentBytes && sha256.Sum256(bytes) == digest
}

func digestText(digest ebonyworks.Digest) string { return hex.EncodeToString(digest[:8]) }
