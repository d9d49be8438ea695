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
	// maxCandidates bounds the heads that wait for their parts.
	maxCandidates = 8
	// maxParts bounds the parts of one head.
	maxParts = 1024
	// partTime limits the search for one part.
	partTime = 2 * time.Second
	// partStagger is the time after which a part is asked for elsewhere, too.
	partStagger = 250 * time.Millisecond
	// partPeers is the number of other peers that are asked for a part.
	partPeers = 3
	// Parts that weren't found are looked for again after a growing time.
	retryFirst = 200 * time.Millisecond
	retryLast  = 2 * time.Second
	// incompleteTime is how long an incomplete head is kept. If the service
	// still shows it then, it starts again.
	incompleteTime = time.Minute
)

var errMissingPart = errors.New("part not available")

// candidate is a head that is newer than the one in force.
type candidate struct {
	mark  ebonyworks.ConfigurationVersion
	head  ebonyworks.Manifest
	bytes []byte
	// source is the peer that has it in force; invalid if it is the service.
	source netip.AddrPort
	// asked is when the service was asked that returned it.
	asked   time.Time
	entered time.Time
	// due is when it may be accepted. Until then, smaller siblings are held
	// as well.
	due time.Time
	// parts are in the order of the head; nil until all were found.
	parts     []ebonyworks.ConfigurationPart
	gathering bool
	// failures counts the searches that didn't find all parts.
	failures   int
	nextGather time.Time
	backoff    time.Duration
}

// consider takes the bytes of a head from the service, or from a peer that
// has it in force, and returns its mark. A head of a peer isn't held: the
// peer did that.
func (s *Syncer) consider(bytes []byte, source netip.AddrPort, asked time.Time) (ebonyworks.ConfigurationVersion, bool) {
	digest := ebonyworks.Digest(sha256.Sum256(bytes))
	if refusal, found := s.config.ActiveConfig.Refused(digest); found {
		return refusal.Mark, false
	}
	if mine := s.config.ActiveConfig.Mark(); digest == mine.Digest {
		return mine, true
	}
	head, problems := s.config.Decoder.DecodeManifest(bytes)
	mark := ebonyworks.ConfigurationVersion{Revision: head.Revision, Digest: digest}
	if len(problems) == 0 && len(head.Parts) > maxParts {
		problems = []ebonyworks.Problem{{Path: "Parts", Message: "more than " + strconv.Itoa(maxParts)}}
	}
	if len(problems) > 0 {
		mark.Revision = 0
		s.refuse(mark, problems)
		return mark, false
	}
	s.enter(candidate{mark: mark, head: head, bytes: bytes, source: source, asked: asked})
	return mark, true
}

// enter adds a candidate, or refuses it if it lost against the one in force.
func (s *Syncer) enter(entered candidate) {
	now := time.Now()
	entered.entered, entered.due = now, now.Add(holdTime)
	if entered.source.IsValid() {
		entered.due = now
	}
	s.mu.Lock()
	mine := s.config.ActiveConfig.Mark()
	if entered.mark.Compare(mine) <= 0 {
		s.mu.Unlock()
		if entered.mark.Revision == mine.Revision && entered.mark != mine {
			s.supersede(entered.mark, now)
		}
		return
	}
	defer s.mu.Unlock()
	for i := range s.candidates {
		known := &s.candidates[i]
		if known.mark != entered.mark {
			continue
		}
		if entered.source.IsValid() {
			known.source, known.due, known.nextGather, known.backoff = entered.source, now, now, 0
			wakeup.Signal(s.acceptWake)
		}
		return
	}
	s.candidates = append(s.candidates, entered)
	slices.SortFunc(s.candidates, func(x, y candidate) int { return y.mark.Compare(x.mark) })
	s.candidates = s.candidates[:min(len(s.candidates), maxCandidates)]
	wakeup.Signal(s.acceptWake)
}

// accept puts candidates in force when they are due, the newest first.
func (s *Syncer) accept(ctx context.Context) {
	for wakeup.Wait(ctx, s.untilDue(time.Now()), s.acceptWake) {
		for _, incomplete := range s.incompleteCandidates(time.Now()) {
			s.tasks.Go(func() { s.complete(ctx, incomplete) })
		}
		for _, due := range s.dueCandidates(time.Now()) {
			if s.try(due) {
				break
			}
		}
	}
}

// untilDue returns how long nothing can be done about the candidates.
func (s *Syncer) untilDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := time.Minute
	var held ebonyworks.Revision
	for _, waiting := range s.candidates {
		switch {
		case waiting.due.After(now):
			next = min(next, waiting.due.Sub(now))
			held = waiting.mark.Revision
		case waiting.parts != nil && waiting.mark.Revision != held:
			next = 0
		}
		if waiting.parts == nil && !waiting.gathering {
			next = min(next, waiting.nextGather.Sub(now))
		}
	}
	return max(next, 0)
}

// incompleteCandidates returns the candidates whose parts are to be looked for
// now. That starts while they are held, since an operator who publishes a
// sibling overwrites the parts.
func (s *Syncer) incompleteCandidates(now time.Time) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var incomplete []candidate
	for i := range s.candidates {
		waiting := &s.candidates[i]
		if waiting.parts == nil && !waiting.gathering && !waiting.nextGather.After(now) {
			waiting.gathering = true
			incomplete = append(incomplete, *waiting)
		}
	}
	return incomplete
}

// dueCandidates returns the complete candidates that may be accepted now, the
// newest first. While a candidate is held, its smaller siblings are, too.
func (s *Syncer) dueCandidates(now time.Time) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []candidate
	var held ebonyworks.Revision
	for _, waiting := range s.candidates {
		switch {
		case waiting.due.After(now):
			held = waiting.mark.Revision
		case waiting.parts != nil && waiting.mark.Revision != held:
			due = append(due, waiting)
		}
	}
	return due
}

// complete looks for the parts of a candidate.
func (s *Syncer) complete(ctx context.Context, incomplete candidate) {
	parts, err := s.gather(ctx, incomplete)
	delay := s.uniform(retryFirst/2, retryFirst) + s.uniform(incomplete.backoff/2, incomplete.backoff)
	now := time.Now()
	s.mu.Lock()
	for i := range s.candidates {
		known := &s.candidates[i]
		if known.mark != incomplete.mark {
			continue
		}
		known.gathering, known.parts = false, parts
		if err != nil {
			known.failures++
			known.nextGather = now.Add(delay)
			known.backoff = min(2*known.backoff+retryFirst, retryLast)
		}
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool {
		return c.parts == nil && now.Sub(c.entered) > incompleteTime
	})
	s.mu.Unlock()
	wakeup.Signal(s.acceptWake)
	if err != nil && incomplete.failures == 0 {
		s.record(event.ConfigurationIncomplete, append(markAttributes(incomplete.mark), event.Attribute("Error", err.Error()))...)
	}
}

// try accepts or refuses a complete candidate. It reports whether it was
// accepted.
func (s *Syncer) try(due candidate) bool {
	configuration, problems := s.config.Decoder.Assemble(due.mark, due.head, due.parts)
	if len(problems) > 0 {
		s.refuse(due.mark, problems)
		s.drop(due.mark)
		return false
	}
	return s.enforce(due, configuration)
}

// enforce puts a valid configuration in force and tells the peers.
func (s *Syncer) enforce(due candidate, configuration *ebonyworks.Configuration) bool {
	now := time.Now()
	bundle := activeconfig.Bundle{Configuration: configuration, Base: due.head.Base, Head: due.bytes}
	for i, part := range due.parts {
		bundle.Parts = append(bundle.Parts, activeconfig.StoredPart{Digest: due.head.Parts[i].Digest, Bytes: part.Bytes})
	}
	s.mu.Lock()
	before := s.config.ActiveConfig.Mark()
	accepted := s.config.ActiveConfig.Accept(bundle, now)
	losers := s.forget(due.mark)
	if accepted && !due.asked.Before(s.doubted) {
		s.confirm(due.asked, s.config.Self)
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
	wakeup.Signal(s.settleWake)
	return true
}

func (s *Syncer) reportAccepted(due candidate, before ebonyworks.ConfigurationVersion) {
	source := "service"
	if due.source.IsValid() {
		source = due.source.String()
	}
	s.record(event.ConfigurationAccepted, append(markAttributes(due.mark), event.Attribute("Source", source))...)
	switch {
	case before == ebonyworks.ConfigurationVersion{}:
	case before.Revision == due.mark.Revision:
		s.record(event.ConfigurationSuperseded, markAttributes(before)...)
	case due.head.Base != before:
		s.record(event.ConfigurationBaseSkipped, markAttributes(due.mark)...)
	}
}

// forget drops what the mark makes obsolete and returns the candidates of the
// same revision that lost. s.mu is held.
func (s *Syncer) forget(mark ebonyworks.ConfigurationVersion) []ebonyworks.ConfigurationVersion {
	var losers []ebonyworks.ConfigurationVersion
	for _, waiting := range s.candidates {
		if waiting.mark.Revision == mark.Revision && waiting.mark.Compare(mark) < 0 {
			losers = append(losers, waiting.mark)
		}
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.mark.Compare(mark) <= 0 })
	s.heard = slices.DeleteFunc(s.heard, func(h heardMark) bool { return h.mark.Compare(mark) <= 0 })
	return losers
}

func (s *Syncer) supersede(loser ebonyworks.ConfigurationVersion, now time.Time) {
	if s.config.ActiveConfig.RefuseSibling(loser, now) {
		s.record(event.ConfigurationSuperseded, markAttributes(loser)...)
	}
}

func (s *Syncer) refuse(mark ebonyworks.ConfigurationVersion, problems []ebonyworks.Problem) {
	if !s.config.ActiveConfig.Refuse(mark, problems, time.Now()) {
		return
	}
	attributes := markAttributes(mark)
	attributes = append(attributes, event.Attribute("Problems", strconv.Itoa(len(problems))))
	first := problems[0].Path + ": " + problems[0].Message
	s.record(event.ConfigurationRefused, append(attributes, event.Attribute("First", first))...)
}

func (s *Syncer) drop(mark ebonyworks.ConfigurationVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.mark == mark })
	s.heard = slices.DeleteFunc(s.heard, func(h heardMark) bool { return h.mark == mark })
}

// gather finds the parts of a candidate.
func (s *Syncer) gather(ctx context.Context, due candidate) ([]ebonyworks.ConfigurationPart, error) {
	parts := make([]ebonyworks.ConfigurationPart, 0, len(due.head.Parts))
	for _, wanted := range due.head.Parts {
		bytes, found := s.part(ctx, wanted, due.source)
		if !found {
			return nil, errors.Wrap(errMissingPart, wanted.Name)
		}
		parts = append(parts, ebonyworks.ConfigurationPart{Name: wanted.Name, Bytes: bytes})
	}
	return parts, nil
}

// part finds a part by its digest: in the configuration in force, at the peer
// that named the head, on the service, and at other peers. Each is asked when
// the one before failed or was slow.
func (s *Syncer) part(ctx context.Context, wanted ebonyworks.PartDigest, source netip.AddrPort) ([]byte, bool) {
	if bytes, found := s.config.ActiveConfig.Part(wanted.Digest); found {
		return bytes, true
	}
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	var searches []func() ([]byte, bool)
	if source.IsValid() {
		searches = append(searches, func() ([]byte, bool) { return s.partFrom(ctx, source, wanted.Digest) })
	}
	searches = append(searches, func() ([]byte, bool) { return s.partFromService(ctx, wanted) })
	for _, peer := range s.somePeers(partPeers) {
		searches = append(searches, func() ([]byte, bool) { return s.partFrom(ctx, peer, wanted.Digest) })
	}
	return s.race(searches)
}

// race starts each search when the one before failed or was slow, and returns
// what the first successful one found. All end with their context.
func (s *Syncer) race(searches []func() ([]byte, bool)) ([]byte, bool) {
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
			stagger = time.After(partStagger)
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

func (s *Syncer) partFrom(ctx context.Context, peer netip.AddrPort, digest ebonyworks.Digest) ([]byte, bool) {
	bytes, err := s.config.Peer.FetchPart(ctx, peer, digest)
	return bytes, err == nil && matches(bytes, digest)
}

func (s *Syncer) partFromService(ctx context.Context, wanted ebonyworks.PartDigest) ([]byte, bool) {
	value, err := s.read(ctx, s.config.PartKey(wanted.Name))
	return value.Bytes, err == nil && matches(value.Bytes, wanted.Digest)
}

func (s *Syncer) somePeers(count int) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range s.config.Membership.Alive() {
		peers = append(peers, host.Address)
	}
	s.shuffle(peers)
	return peers[:min(len(peers), count)]
}

func matches(bytes []byte, digest ebonyworks.Digest) bool {
	return len(bytes) <= maxDocumentBytes && sha256.Sum256(bytes) == digest
}

func digestText(digest ebonyworks.Digest) string { return hex.EncodeToString(digest[:8]) }
