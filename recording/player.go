package recording

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// window is how far the recorded time of a reply may be from the time at
	// which it is played. Beyond it the state of the server can have changed.
	window = 200 * time.Millisecond
	// refusalWindow is the same for refusals and failures that follow from the
	// state of the server. It is shorter, since the state just changed.
	refusalWindow = 50 * time.Millisecond
	// refusalLatency is the time of answers that no recorded reply gives.
	refusalLatency = time.Millisecond
)

// Player answers attempts from recordings. It prefers the recorded attempt for
// the same server and request that is next in order and near in time. For an
// attempt that wasn't recorded it answers as docs/recordings.md states. Use
// NewPlayer.
type Player struct {
	start time.Time
	// attempts are ordered by time of sending.
	attempts []Attempt

	mu   sync.Mutex
	used []bool
	// played are the attempts that were answered.
	played []Played
}

// Played is an attempt as the player answered it.
type Played struct {
	Attempt
	// Request is the id that the host gave.
	Request ebonyworks.RequestID
	Source  Source
}

// Source tells where an answer of the player came from.
type Source int

const (
	// Recorded is a recorded attempt for the same server and request.
	Recorded Source = iota
	// Derived is an answer from the recorded state of the server and from what
	// other servers replied to the same request.
	Derived
	// Unanswered is a refusal, since nothing recorded answers the request.
	Unanswered
)

var _ ebonyworks.Backend = (*Player)(nil)

// NewPlayer returns a player of recordings that were made at the same time.
// Their time begins at start, with the recording that started first.
func NewPlayer(start time.Time, recordings ...*Recording) *Player {
	p := &Player{start: start}
	for i, recording := range recordings {
		offset := Offset(recordings, i)
		for _, attempt := range recording.Attempts {
			attempt.At += offset
			p.attempts = append(p.attempts, attempt)
		}
	}
	slices.SortStableFunc(p.attempts, func(a, b Attempt) int { return cmp.Compare(a.At, b.At) })
	p.used = make([]bool, len(p.attempts))
	return p
}

// Offset returns how long after the first recording the one with the index
// started.
func Offset(recordings []*Recording, index int) time.Duration {
	first := recordings[0].Started
	for _, recording := range recordings {
		if recording.Started.Before(first) {
			first = recording.Started
		}
	}
	return recordings[index].Started.Sub(first)
}

// Played returns the attempts that were answered so far.
func (p *Player) Played() []Played {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.played)
}

// Search answers a sub-search.
func (p *Player) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	answer := p.play(ctx, Attempt{
		Kind:      SearchKind,
		Service:   service.ID,
		Server:    server.ID,
		Catalogue: search.Catalogue,
		Shard:     search.Shard,
		Snapshot:  search.Snapshot,
		Filters:   search.Filters,
		Keys:      search.Keys,
	}, search.Request)
	return ebonyworks.SubSearchReply{
		Result:     answer.Result,
		Request:    answer.stated(search.Request),
		Snapshot:   answer.Reply.Snapshot,
		Shard:      answer.Reply.Shard,
		Rows:       slices.Clone(answer.Reply.Rows.Kept),
		Report:     answer.Reply.Report,
		RetryAfter: answer.Reply.RetryAfter,
	}
}

// Reserve answers a reservation.
func (p *Player) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	answer := p.play(ctx, Attempt{
		Kind:      ReserveKind,
		Service:   service.ID,
		Server:    server.ID,
		Catalogue: reservation.Catalogue,
		Shard:     reservation.Shard,
		Key:       reservation.Key,
		Fields:    reservation.Fields,
	}, reservation.Request)
	return ebonyworks.SubReservationReply{
		Result:     answer.Result,
		Request:    answer.stated(reservation.Request),
		Shard:      answer.Reply.Shard,
		Fields:     answer.Reply.Fields,
		Report:     answer.Reply.Report,
		RetryAfter: answer.Reply.RetryAfter,
	}
}

// Status answers a request for a report.
func (p *Player) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	answer := p.play(ctx, Attempt{Kind: StatusKind, Service: service.ID, Server: server.ID}, "")
	return answer.Reply.Report, answer.Result
}

// stated returns the request id that the reply names. A recorded reply that
// named another request than its own still does.
func (a Attempt) stated(request ebonyworks.RequestID) ebonyworks.RequestID {
	switch a.Reply.Request {
	case 0:
		return ""
	case a.Request:
		return request
	default:
		return request + "-other"
	}
}

// play answers an attempt after the recorded latency or when the context ends.
func (p *Player) play(ctx context.Context, asked Attempt, request ebonyworks.RequestID) Attempt {
	now := time.Since(p.start)
	p.mu.Lock()
	answer, source := p.answer(asked, now)
	p.mu.Unlock()
	timer := time.NewTimer(answer.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		answer.Result = ebonyworks.AttemptTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			answer.Result = ebonyworks.AttemptCanceled
		}
		answer.Reply = Reply{}
	}
	answer.At, answer.Latency = now, time.Since(p.start)-now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.played = append(p.played, Played{Attempt: answer, Request: request, Source: source})
	return answer
}

// answer chooses the answer to an attempt at the time.
func (p *Player) answer(asked Attempt, now time.Duration) (Attempt, Source) {
	for i, recorded := range p.attempts {
		near := asked.Kind == ReserveKind || (recorded.At-now).Abs() <= recorded.window()
		if p.used[i] || !near || recorded.Server != asked.Server || !sameRequest(recorded, asked) {
			continue
		}
		p.used[i] = true
		if recorded.Result == ebonyworks.AttemptCanceled {
			return p.uncancelled(recorded, now)
		}
		if recorded.Result == ebonyworks.AttemptServed && !recorded.Reply.Rows.Complete() {
			return refuse(asked), Unanswered
		}
		return recorded, Recorded
	}
	return p.derive(asked, now)
}

func (a Attempt) window() time.Duration {
	switch a.Result {
	case ebonyworks.AttemptSnapshotGone, ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable:
		return refusalWindow
	default:
		return window
	}
}

// uncancelled answers an attempt that the recorded host gave up: the server
// took at least that long, and is taken to be as slow as it ever was.
func (p *Player) uncancelled(recorded Attempt, now time.Duration) (Attempt, Source) {
	latency := recorded.Latency
	for _, other := range p.attempts {
		if other.Server == recorded.Server && other.Kind == recorded.Kind && other.Result == ebonyworks.AttemptServed {
			latency = max(latency, other.Latency)
		}
	}
	answer, source := p.derive(recorded, now)
	answer.Latency = max(answer.Latency, latency)
	return answer, source
}

// derive answers an attempt that wasn't recorded.
func (p *Player) derive(asked Attempt, now time.Duration) (Attempt, Source) {
	state, known := p.state(asked.Server, now)
	answer := asked
	answer.Latency = refusalLatency
	answer.Reply = Reply{Report: state.Reply.Report}
	if !known {
		return refuse(asked), Unanswered
	}
	report := state.Reply.Report
	switch {
	case gone(state.Result):
		answer.Result = ebonyworks.AttemptUnreachable
		answer.Reply = Reply{}
		return answer, Derived
	case asked.Kind == StatusKind:
		answer.Result = ebonyworks.AttemptServed
		return answer, Derived
	case report.Draining || state.Result == ebonyworks.AttemptDraining:
		answer.Result = ebonyworks.AttemptDraining
		return answer, Derived
	case asked.Kind == SearchKind && !p.holds(asked, now):
		answer.Result = ebonyworks.AttemptSnapshotGone
		return answer, Derived
	}
	donor, ok := p.donor(asked)
	if !ok {
		refused := refuse(asked)
		refused.Reply.Report = without(report, asked.Snapshot)
		return refused, Unanswered
	}
	answer.Result, answer.Latency, answer.Request = donor.Result, donor.Latency, donor.Request
	answer.Reply = donor.Reply
	answer.Reply.Report = report
	return answer, Derived
}

// refuse answers a request for which nothing is recorded. The result proves that
// nothing ran. For a search, it makes the host try a snapshot that is recorded.
func refuse(asked Attempt) Attempt {
	asked.Result = ebonyworks.AttemptShed
	if asked.Kind == SearchKind {
		asked.Result = ebonyworks.AttemptSnapshotGone
	}
	asked.Latency = refusalLatency
	asked.Reply = Reply{}
	return asked
}

// without returns the report as that of a server that lacks the snapshot.
func without(report ebonyworks.ServerReport, snapshot ebonyworks.Snapshot) ebonyworks.ServerReport {
	report.Snapshots = slices.DeleteFunc(slices.Clone(report.Snapshots), func(held ebonyworks.Snapshot) bool {
		return held == snapshot
	})
	return report
}

func gone(result ebonyworks.AttemptResult) bool {
	return result == ebonyworks.AttemptUnreachable || result == ebonyworks.AttemptLost
}

// state returns the last recorded attempt that ended by the time and told
// whether the server worked, or else the first one after it.
func (p *Player) state(server ebonyworks.ServerID, now time.Duration) (Attempt, bool) {
	var state Attempt
	known := false
	for _, attempt := range p.attempts {
		tells := gone(attempt.Result) || attempt.Reply.Report.Server != ""
		if attempt.Server != server || !tells {
			continue
		}
		if known && attempt.At+attempt.Latency > now {
			break
		}
		state, known = attempt, true
	}
	return state, known
}

// holds reports whether the last report by the time or the next one after it
// lists the snapshot, or whether the server sent no report.
func (p *Player) holds(asked Attempt, now time.Duration) bool {
	reported, held := false, false
	for _, attempt := range p.attempts {
		if attempt.Server != asked.Server || attempt.Reply.Report.Server == "" {
			continue
		}
		listed := slices.Contains(attempt.Reply.Report.Snapshots, asked.Snapshot)
		if attempt.At+attempt.Latency > now {
			return held || listed
		}
		reported, held = true, listed
	}
	return held || !reported
}

// donor returns a recorded attempt for the same request at another server,
// whose reply stands for that of the asked one. Replicas hold the same rows. A
// request that no server survived is taken to end every server.
func (p *Player) donor(asked Attempt) (Attempt, bool) {
	var best Attempt
	found := false
	for _, recorded := range p.attempts {
		if !sameRequest(recorded, asked) {
			continue
		}
		if recorded.Result == ebonyworks.AttemptServed && recorded.valid() {
			return recorded, true
		}
		unprovable := recorded.Result == ebonyworks.AttemptLost || recorded.Result == ebonyworks.AttemptInvalid
		if unprovable && !found {
			best, found = recorded, true
		}
	}
	if !found {
		best, found = p.fatal(asked)
	}
	return best, found
}

// fatal returns a lost attempt for the same filters and fields, if there is one
// and no such attempt was served.
func (p *Player) fatal(asked Attempt) (Attempt, bool) {
	var lost Attempt
	found := false
	for _, recorded := range p.attempts {
		same := recorded.Kind == asked.Kind && recorded.Catalogue == asked.Catalogue && recorded.Key == asked.Key &&
			slices.Equal(recorded.Filters, asked.Filters) && slices.Equal(recorded.Fields, asked.Fields)
		if !same {
			continue
		}
		if recorded.Result == ebonyworks.AttemptServed {
			return Attempt{}, false
		}
		if recorded.Result == ebonyworks.AttemptLost {
			lost, found = recorded, true
		}
	}
	return lost, found
}

// valid reports whether the reply is complete and names its own request.
func (a Attempt) valid() bool {
	return a.Reply.Request == a.Request && a.Reply.Shard == a.Shard && a.Reply.Snapshot == a.Snapshot && a.Reply.Rows.Complete()
}

// sameRequest reports whether two attempts ask the same, at any server.
func sameRequest(a, b Attempt) bool {
	return a.Kind == b.Kind && a.Service == b.Service && a.Catalogue == b.Catalogue && a.Shard == b.Shard && a.Snapshot == b.Snapshot &&
		a.Keys == b.Keys && a.Key == b.Key && slices.Equal(a.Filters, b.Filters) && slices.Equal(a.Fields, b.Fields)
}
