package bulletin

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
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/edition"
)

const (
	// maxCandidates bounds the heads that wait for their parts.
	maxCandidates = 8
	// maxParts bounds the parts of one head.
	maxParts = 1024
	// partTime limits one reading of a part.
	partTime = 2 * time.Second
	// partPeers is the number of other peers that are asked for a part.
	partPeers = 3
	// Incomplete candidates are tried again after a growing time.
	retryFirst = 200 * time.Millisecond
	retryLast  = 2 * time.Second
)

var errMissingPart = errors.New("part not available")

// candidate is a head that is newer than the one in force.
type candidate struct {
	mark  ebonyworks.Mark
	head  ebonyworks.Head
	bytes []byte
	// due is when it may be accepted or tried again.
	due     time.Time
	backoff time.Duration
	// source is the peer that has it in force; invalid if it is the service.
	source netip.AddrPort
	// asked is when the service was asked that returned it.
	asked time.Time
	// tried is set once it was due; until then, siblings are held as well.
	tried bool
}

// consider takes the bytes of a head from the service, or from a peer that
// has it in force, and returns its mark. A head of a peer isn't held: the
// peer did that.
func (b *Bulletin) consider(bytes []byte, source netip.AddrPort, asked time.Time) (ebonyworks.Mark, bool) {
	digest := ebonyworks.Digest(sha256.Sum256(bytes))
	if refusal, found := b.config.Edition.Refused(digest); found {
		return refusal.Mark, false
	}
	if mine := b.config.Edition.Mark(); digest == mine.Digest {
		return mine, true
	}
	head, problems := b.config.Documents.Head(bytes)
	mark := ebonyworks.Mark{Revision: head.Revision, Digest: digest}
	if len(problems) == 0 && len(head.Parts) > maxParts {
		problems = []ebonyworks.Problem{{Place: "Parts", Message: "more than " + strconv.Itoa(maxParts)}}
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
func (b *Bulletin) enter(entered candidate) {
	now := time.Now()
	entered.due = now.Add(holdTime)
	if entered.source.IsValid() {
		entered.due = now
	}
	b.mu.Lock()
	mine := b.config.Edition.Mark()
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
			known.source, known.due, known.backoff = entered.source, now, 0
			signal(b.acceptWake)
		}
		return
	}
	b.candidates = append(b.candidates, entered)
	slices.SortFunc(b.candidates, func(x, y candidate) int { return y.mark.Compare(x.mark) })
	b.candidates = b.candidates[:min(len(b.candidates), maxCandidates)]
	signal(b.acceptWake)
}

// accept puts candidates in force when they are due, the newest first.
func (b *Bulletin) accept(ctx context.Context) {
	for wait(ctx, b.untilDue(time.Now()), b.acceptWake) {
		for _, due := range b.dueCandidates(time.Now()) {
			if b.try(ctx, due) {
				break
			}
		}
	}
}

func (b *Bulletin) untilDue(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := time.Minute
	var held ebonyworks.Revision
	for _, waiting := range b.candidates {
		if waiting.mark.Revision != held {
			next = min(next, waiting.due.Sub(now))
		}
		if !waiting.tried && waiting.due.After(now) {
			held = waiting.mark.Revision
		}
	}
	return max(next, 0)
}

// dueCandidates returns the candidates that may be accepted now, the newest
// first. While a candidate is held, its smaller siblings are, too.
func (b *Bulletin) dueCandidates(now time.Time) []candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []candidate
	var held ebonyworks.Revision
	for _, waiting := range b.candidates {
		switch {
		case !waiting.due.After(now) && waiting.mark.Revision != held:
			due = append(due, waiting)
		case !waiting.tried:
			held = waiting.mark.Revision
		}
	}
	return due
}

// try assembles a candidate and accepts or refuses it. It reports whether the
// candidate was accepted.
func (b *Bulletin) try(ctx context.Context, due candidate) bool {
	parts, err := b.gather(ctx, due)
	if err != nil {
		b.postpone(due, err)
		return false
	}
	configuration, problems := b.config.Documents.Assemble(due.mark, due.head, parts)
	if len(problems) > 0 {
		b.refuse(due.mark, problems)
		b.drop(due.mark)
		return false
	}
	return b.enforce(due, configuration, parts)
}

// enforce puts a valid configuration in force and tells the peers.
func (b *Bulletin) enforce(due candidate, configuration *ebonyworks.Configuration, parts []ebonyworks.Part) bool {
	now := time.Now()
	bundle := edition.Bundle{Configuration: configuration, Base: due.head.Base, Head: due.bytes}
	for i, part := range parts {
		bundle.Parts = append(bundle.Parts, edition.StoredPart{Digest: due.head.Parts[i].Digest, Bytes: part.Bytes})
	}
	b.mu.Lock()
	before := b.config.Edition.Mark()
	accepted := b.config.Edition.Accept(bundle, now)
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
	b.config.Fellows.Hasten()
	signal(b.settleWake)
	return true
}

func (b *Bulletin) reportAccepted(due candidate, before ebonyworks.Mark) {
	source := "service"
	if due.source.IsValid() {
		source = due.source.String()
	}
	b.record(event.ConfigurationAccepted, append(markAttributes(due.mark), event.Attribute("Source", source))...)
	switch {
	case before == ebonyworks.Mark{}:
	case before.Revision == due.mark.Revision:
		b.record(event.ConfigurationSuperseded, markAttributes(before)...)
	case due.head.Base != before:
		b.record(event.ConfigurationBaseSkipped, markAttributes(due.mark)...)
	}
}

// forget drops what the mark makes obsolete and returns the candidates of the
// same revision that lost. b.mu is held.
func (b *Bulletin) forget(mark ebonyworks.Mark) []ebonyworks.Mark {
	var losers []ebonyworks.Mark
	for _, waiting := range b.candidates {
		if waiting.mark.Revision == mark.Revision && waiting.mark.Compare(mark) < 0 {
			losers = append(losers, waiting.mark)
		}
	}
	b.candidates = slices.DeleteFunc(b.candidates, func(c candidate) bool { return c.mark.Compare(mark) <= 0 })
	b.heard = slices.DeleteFunc(b.heard, func(h heardMark) bool { return h.mark.Compare(mark) <= 0 })
	return losers
}

func (b *Bulletin) supersede(loser ebonyworks.Mark, now time.Time) {
	if b.config.Edition.RefuseSibling(loser, now) {
		b.record(event.ConfigurationSuperseded, markAttributes(loser)...)
	}
}

func (b *Bulletin) refuse(mark ebonyworks.Mark, problems []ebonyworks.Problem) {
	if !b.config.Edition.Refuse(mark, problems, time.Now()) {
		return
	}
	attributes := markAttributes(mark)
	attributes = append(attributes, event.Attribute("Problems", strconv.Itoa(len(problems))))
	first := problems[0].Place + ": " + problems[0].Message
	b.record(event.ConfigurationRefused, append(attributes, event.Attribute("First", first))...)
}

func (b *Bulletin) drop(mark ebonyworks.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.candidates = slices.DeleteFunc(b.candidates, func(c candidate) bool { return c.mark == mark })
	b.heard = slices.DeleteFunc(b.heard, func(h heardMark) bool { return h.mark == mark })
}

// postpone tries an incomplete candidate again later.
func (b *Bulletin) postpone(due candidate, cause error) {
	delay := b.uniform(retryFirst/2, retryFirst) + b.uniform(due.backoff/2, due.backoff)
	b.mu.Lock()
	report := false
	for i := range b.candidates {
		known := &b.candidates[i]
		if known.mark != due.mark {
			continue
		}
		report = !known.tried
		known.tried = true
		known.due = time.Now().Add(delay)
		known.backoff = min(2*known.backoff+retryFirst, retryLast)
	}
	b.mu.Unlock()
	if report {
		b.record(event.ConfigurationIncomplete, append(markAttributes(due.mark), event.Attribute("Error", cause.Error()))...)
	}
}

// gather finds the parts of a candidate.
func (b *Bulletin) gather(ctx context.Context, due candidate) ([]ebonyworks.Part, error) {
	parts := make([]ebonyworks.Part, 0, len(due.head.Parts))
	for _, wanted := range due.head.Parts {
		bytes, found := b.part(ctx, wanted, due.source)
		if !found {
			return nil, errors.Wrap(errMissingPart, wanted.Name)
		}
		parts = append(parts, ebonyworks.Part{Name: wanted.Name, Bytes: bytes})
	}
	return parts, nil
}

// part finds a part by its digest: in the configuration in force, at the peer
// that named the head, on the service, and at other peers.
func (b *Bulletin) part(ctx context.Context, wanted ebonyworks.PartDigest, source netip.AddrPort) ([]byte, bool) {
	if bytes, found := b.config.Edition.Part(wanted.Digest); found {
		return bytes, true
	}
	if source.IsValid() {
		if bytes, found := b.partFrom(ctx, source, wanted.Digest); found {
			return bytes, true
		}
	}
	if value, err := b.read(ctx, b.config.PartKey(wanted.Name)); err == nil && matches(value.Bytes, wanted.Digest) {
		return value.Bytes, true
	}
	for _, peer := range b.somePeers(partPeers) {
		if bytes, found := b.partFrom(ctx, peer, wanted.Digest); found {
			return bytes, true
		}
	}
	return nil, false
}

func (b *Bulletin) partFrom(ctx context.Context, peer netip.AddrPort, digest ebonyworks.Digest) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	bytes, err := b.config.Peer.FetchPart(ctx, peer, digest)
	return bytes, err == nil && matches(bytes, digest)
}

func (b *Bulletin) somePeers(count int) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range b.config.Fellows.Alive() {
		peers = append(peers, host.Address)
	}
	b.shuffle(peers)
	return peers[:min(len(peers), count)]
}

func matches(bytes []byte, digest ebonyworks.Digest) bool {
	return len(bytes) <= maxDocumentBytes && sha256.Sum256(bytes) == digest
}

func digestText(digest ebonyworks.Digest) string { return hex.EncodeToString(digest[:8]) }
