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
func (b *Syncer) consider(bytes []byte, source netip.AddrPort, asked time.Time) (ebonyworks.ConfigurationVersion, bool) {
	digest := ebonyworks.Digest(sha256.Sum256(bytes))
	if refusal, found := b.config.ActiveConfig.Refused(digest); found {
		return refusal.Mark, false
	}
	if mine := b.config.ActiveConfig.Mark(); digest == mine.Digest {
		return mine, true
	}
	head, problems := b.config.Decoder.DecodeManifest(bytes)
	mark := ebonyworks.ConfigurationVersion{Revision: head.Revision, Digest: digest}
	if len(problems) == 0 && len(head.Parts) > maxParts {
		problems = []ebonyworks.Problem{{Path: "Parts", Message: "more than " + strconv.Itoa(maxParts)}}
	}
	if len(problems) > 0 {
		mark.Revision = 0
		b.refuse(mark, problems)
		return mark, false
	}
	b.enter(candidate{mark: mark, head: head, bytes: bytes, source: source, asked: asked})
	return mark, true
}

// enter adds a candidate, or refuses it if it lost against the one in force.
func (b *Syncer) enter(entered candidate) {
	now := time.Now()
	entered.entered, entered.due = now, now.Add(holdTime)
	if entered.source.IsValid() {
		entered.due = now
	}
	b.mu.Lock()
	mine := b.config.ActiveConfig.Mark()
	if entered.mark.Compare(mine) <= 0 {
		b.mu.Unlock()
		if entered.mark.Revision == mine.Revision && entered.mark != mine {
			b.supersede(entered.mark, now)
		}
		return
	}
	defer b.mu.Unlock()
	for i := range b.candidates {
		known := &b.candidates[i]
		if known.mark != entered.mark {
			continue
		}
		if entered.source.IsValid() {
			known.source, known.due, known.nextGather, known.backoff = entered.source, now, now, 0
			wakeup.Signal(b.acceptWake)
		}
		return
	}
	b.candidates = append(b.candidates, entered)
	slices.SortFunc(b.candidates, func(x, y candidate) int { return y.mark.Compare(x.mark) })
	b.candidates = b.candidates[:min(len(b.candidates), maxCandidates)]
	wakeup.Signal(b.acceptWake)
}

// accept puts candidates in force when they are due, the newest first.
func (b *Syncer) accept(ctx context.Context) {
	for wakeup.Wait(ctx, b.untilDue(time.Now()), b.acceptWake) {
		for _, incomplete := range b.incompleteCandidates(time.Now()) {
			b.tasks.Go(func() { b.complete(ctx, incomplete) })
		}
		for _, due := range b.dueCandidates(time.Now()) {
			if b.try(due) {
				break
			}
		}
	}
}

// untilDue returns how long nothing can be done about the candidates.
func (b *Syncer) untilDue(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := time.Minute
	var held ebonyworks.Revision
	for _, waiting := range b.candidates {
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
func (b *Syncer) incompleteCandidates(now time.Time) []candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var incomplete []candidate
	for i := range b.candidates {
		waiting := &b.candidates[i]
		if waiting.parts == nil && !waiting.gathering && !waiting.nextGather.After(now) {
			waiting.gathering = true
			incomplete = append(incomplete, *waiting)
		}
	}
	return incomplete
}

// dueCandidates returns the complete candidates that may be accepted now, the
// newest first. While a candidate is held, its smaller siblings are, too.
func (b *Syncer) dueCandidates(now time.Time) []candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []candidate
	var held ebonyworks.Revision
	for _, waiting := range b.candidates {
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
func (b *Syncer) complete(ctx context.Context, incomplete candidate) {
	parts, err := b.gather(ctx, incomplete)
	delay := b.uniform(retryFirst/2, retryFirst) + b.uniform(incomplete.backoff/2, incomplete.backoff)
	now := time.Now()
	b.mu.Lock()
	for i := range b.candidates {
		known := &b.candidates[i]
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
	b.candidates = slices.DeleteFunc(b.candidates, func(c candidate) bool {
		return c.parts == nil && now.Sub(c.entered) > incompleteTime
	})
	b.mu.Unlock()
	wakeup.Signal(b.acceptWake)
	if err != nil && incomplete.failures == 0 {
		b.record(event.ConfigurationIncomplete, append(markAttributes(incomplete.mark), event.Attribute("Error", err.Error()))...)
	}
}

// try accepts or refuses a complete candidate. It reports whether it was
// accepted.
func (b *Syncer) try(due candidate) bool {
	configuration, problems := b.config.Decoder.Assemble(due.mark, due.head, due.parts)
	if len(problems) > 0 {
		b.refuse(due.mark, problems)
		b.drop(due.mark)
		return false
	}
	return b.enforce(due, configuration)
}

// enforce puts a valid configuration in force and tells the peers.
func (b *Syncer) enforce(due candidate, configuration *ebonyworks.Configuration) bool {
	now := time.Now()
	bundle := activeconfig.Bundle{Configuration: configuration, Base: due.head.Base, Head: due.bytes}
	for i, part := range due.parts {
		bundle.Parts = append(bundle.Parts, activeconfig.StoredPart{Digest: due.head.Parts[i].Digest, Bytes: part.Bytes})
	}
	b.mu.Lock()
	before := b.config.ActiveConfig.Mark()
	accepted := b.config.ActiveConfig.Accept(bundle, now)
	losers := b.forget(due.mark)
	if accepted && !due.asked.Before(b.doubted) {
		b.confirm(due.asked, b.config.Self)
	}
	b.mu.Unlock()
	if !accepted {
		return false
	}
	for _, loser := range losers {
		b.supersede(loser, now)
	}
	b.reportAccepted(due, before)
	b.config.Membership.SendNow()
	wakeup.Signal(b.settleWake)
	return true
}

func (b *Syncer) reportAccepted(due candidate, before ebonyworks.ConfigurationVersion) {
	source := "service"
	if due.source.IsValid() {
		source = due.source.String()
	}
	b.record(event.ConfigurationAccepted, append(markAttributes(due.mark), event.Attribute("Source", source))...)
	switch {
	case before == ebonyworks.ConfigurationVersion{}:
	case before.Revision == due.mark.Revision:
		b.record(event.ConfigurationSuperseded, markAttributes(before)...)
	case due.head.Base != before:
		b.record(event.ConfigurationBaseSkipped, markAttributes(due.mark)...)
	}
}

// forget drops what the mark makes obsolete and returns the candidates of the
// same revision that lost. b.mu is held.
func (b *Syncer) forget(mark ebonyworks.ConfigurationVersion) []ebonyworks.ConfigurationVersion {
	var losers []ebonyworks.ConfigurationVersion
	for _, waiting := range b.candidates {
		if waiting.mark.Revision == mark.Revision && waiting.mark.Compare(mark) < 0 {
			losers = append(losers, waiting.mark)
		}
	}
	b.candidates = slices.DeleteFunc(b.candidates, func(c candidate) bool { return c.mark.Compare(mark) <= 0 })
	b.heard = slices.DeleteFunc(b.heard, func(h heardMark) bool { return h.mark.Compare(mark) <= 0 })
	return losers
}

func (b *Syncer) supersede(loser ebonyworks.ConfigurationVersion, now time.Time) {
	if b.config.ActiveConfig.RefuseSibling(loser, now) {
		b.record(event.ConfigurationSuperseded, markAttributes(loser)...)
	}
}

func (b *Syncer) refuse(mark ebonyworks.ConfigurationVersion, problems []ebonyworks.Problem) {
	if !b.config.ActiveConfig.Refuse(mark, problems, time.Now()) {
		return
	}
	attributes := markAttributes(mark)
	attributes = append(attributes, event.Attribute("Problems", strconv.Itoa(len(problems))))
	first := problems[0].Path + ": " + problems[0].Message
	b.record(event.ConfigurationRefused, append(attributes, event.Attribute("First", first))...)
}

func (b *Syncer) drop(mark ebonyworks.ConfigurationVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.candidates = slices.DeleteFunc(b.candidates, func(c candidate) bool { return c.mark == mark })
	b.heard = slices.DeleteFunc(b.heard, func(h heardMark) bool { return h.mark == mark })
}

// gather finds the parts of a candidate.
func (b *Syncer) gather(ctx context.Context, due candidate) ([]ebonyworks.ConfigurationPart, error) {
	parts := make([]ebonyworks.ConfigurationPart, 0, len(due.head.Parts))
	for _, wanted := range due.head.Parts {
		bytes, found := b.part(ctx, wanted, due.source)
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
func (b *Syncer) part(ctx context.Context, wanted ebonyworks.PartDigest, source netip.AddrPort) ([]byte, bool) {
	if bytes, found := b.config.ActiveConfig.Part(wanted.Digest); found {
		return bytes, true
	}
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	var searches []func() ([]byte, bool)
	if source.IsValid() {
		searches = append(searches, func() ([]byte, bool) { return b.partFrom(ctx, source, wanted.Digest) })
	}
	searches = append(searches, func() ([]byte, bool) { return b.partFromService(ctx, wanted) })
	for _, peer := range b.somePeers(partPeers) {
		searches = append(searches, func() ([]byte, bool) { return b.partFrom(ctx, peer, wanted.Digest) })
	}
	return b.race(searches)
}

// race starts each search when the one before failed or was slow, and returns
// what the first successful one found. All end with their context.
func (b *Syncer) race(searches []func() ([]byte, bool)) ([]byte, bool) {
	results := make(chan []byte, len(searches))
	running := 0
	for len(searches) > 0 || running > 0 {
		if len(searches) > 0 {
			search := searches[0]
			searches = searches[1:]
			running++
			b.tasks.Go(func() {
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

func (b *Syncer) partFrom(ctx context.Context, peer netip.AddrPort, digest ebonyworks.Digest) ([]byte, bool) {
	bytes, err := b.config.Peer.FetchPart(ctx, peer, digest)
	return bytes, err == nil && matches(bytes, digest)
}

func (b *Syncer) partFromService(ctx context.Context, wanted ebonyworks.PartDigest) ([]byte, bool) {
	value, err := b.read(ctx, b.config.PartKey(wanted.Name))
	return value.Bytes, err == nil && matches(value.Bytes, wanted.Digest)
}

func (b *Syncer) somePeers(count int) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range b.config.Membership.Alive() {
		peers = append(peers, host.Address)
	}
	b.shuffle(peers)
	return peers[:min(len(peers), count)]
}

func matches(bytes []byte, digest ebonyworks.Digest) bool {
	return len(bytes) <= maxDocumentBytes && sha256.Sum256(bytes) == digest
}

func digestText(digest ebonyworks.Digest) string { return hex.EncodeToString(digest[:8]) }
