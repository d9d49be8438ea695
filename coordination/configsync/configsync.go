// Package configsync accepts published configurations and distributes them to
// the other hosts.
package configsync

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

const (
	// holdTime is how long a head from the service is held, so that a sibling
	// that was published at the same time is compared first.
	holdTime = 300 * time.Millisecond
	// staleTime is how old the last confirmation may be.
	staleTime = 20 * time.Second
	// maxDocumentBytes is the service's limit on a value.
	maxDocumentBytes = 1 << 20
)

var errNothing = errors.New("no configuration accepted yet")

// Membership is the membership as a Bulletin needs it. guild.Guild implements it.
type Membership interface {
	// Alive returns the other members that are alive, ordered by id. The slice
	// is shared.
	Alive() []ebonyworks.Host
	// UnreachableAddresses returns addresses at which no member is known to answer.
	UnreachableAddresses() []netip.AddrPort
	// PullState exchanges with the host at the address. Facts arrive at Receive.
	PullState(ctx context.Context, to netip.AddrPort) error
	// TriggerGossip makes the next messages go out now.
	TriggerGossip()
}

// Config holds what a Bulletin needs. Only Recorder may be nil.
type Config struct {
	Self ebonyworks.HostID
	// ManifestKey is the key of the head on the configuration service.
	ManifestKey ebonyworks.ConfigurationKey
	// PartKey returns the key of a part by its name.
	PartKey      func(name string) ebonyworks.ConfigurationKey
	Platform     ebonyworks.Platform
	Peer         ebonyworks.Peer
	Decoder      ebonyworks.ConfigurationDecoder
	Membership   Membership
	ActiveConfig *activeconfig.Edition
	// Random belongs to the Bulletin.
	Random   *rand.Rand
	Recorder ebonyworks.EventRecorder
}

// Syncer accepts configurations from the service and from peers. Use New,
// attach it to the guild, then Run.
type Syncer struct {
	config     Config
	tasks      sync.WaitGroup
	acceptWake chan struct{}
	pullWake   chan struct{}
	settleWake chan struct{}

	mu sync.Mutex
	// random is used only under mu.
	random *rand.Rand
	// candidates are newer than the configuration in force, at most
	// maxCandidates, the newest first.
	candidates []candidate
	// heard are marks newer than the one in force that peers hold, at most
	// maxHeard.
	heard []heardMark
	// confirmed is when the service was read, by this host or another, and
	// showed nothing newer. Zero means that it isn't known.
	confirmed time.Time
	// confirmedBy is the host that read the service then.
	confirmedBy ebonyworks.HostID
	// stepped is set while this host reads for all although it isn't a chosen
	// watcher, because it heard of no other that can.
	stepped bool
	service serviceState
	settled bool
	// doubted is when the host started or was last resumed.
	doubted time.Time
	answers []answer
}

// New returns a bulletin without a configuration.
func New(config Config) *Syncer {
	return &Syncer{
		config:     config,
		random:     config.Random,
		acceptWake: make(chan struct{}, 1),
		pullWake:   make(chan struct{}, 1),
		settleWake: make(chan struct{}, 1),
	}
}

// Run works until the context ends, and returns when all of its work has
// stopped.
func (s *Syncer) Run(ctx context.Context) {
	s.mu.Lock()
	s.doubted = time.Now()
	s.mu.Unlock()
	for _, loop := range []func(context.Context){s.watch, s.poll, s.accept, s.pull, s.settle} {
		s.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	s.tasks.Wait()
}

// Readiness tells whether the configuration in force is known to be the
// newest that could be found.
func (s *Syncer) Readiness() ebonyworks.Readiness {
	var reasons []string
	if s.config.ActiveConfig.Current() == nil {
		reasons = append(reasons, "no configuration accepted")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settled {
		reasons = append(reasons, "configuration not yet checked with peers or the service")
		if len(s.heard) > 0 {
			reasons = append(reasons, "a peer holds a newer configuration")
		}
		if s.service.failing {
			reasons = append(reasons, "configuration service unavailable")
		}
	}
	return ebonyworks.Readiness{Reasons: reasons}
}

// Stale reports whether neither the service nor a peer could confirm the
// configuration in force for 20 s.
func (s *Syncer) Stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmed) > staleTime
}

// HandleFetchManifest returns the published bytes of the head in force.
func (s *Syncer) HandleFetchManifest(context.Context) ([]byte, error) {
	head, found := s.config.ActiveConfig.Head()
	if !found {
		return nil, errNothing
	}
	return head, nil
}

// HandleFetchPart returns the published bytes of a part in force.
func (s *Syncer) HandleFetchPart(_ context.Context, digest ebonyworks.Digest) ([]byte, error) {
	part, found := s.config.ActiveConfig.Part(digest)
	if !found {
		return nil, errors.New("no such part in force")
	}
	return part, nil
}

// Contribute states the configuration in force and how sure this host is.
func (s *Syncer) Contribute(message *ebonyworks.GossipMessage, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message.Version = s.config.ActiveConfig.Mark()
	message.Synced = s.settled
	if !s.confirmed.IsZero() {
		message.Confirmed = true
		message.ConfirmedAge = time.Since(s.confirmed)
		message.ConfirmedBy = s.confirmedBy
	}
}

// Receive compares the sender's configuration with the one in force.
func (s *Syncer) Receive(message ebonyworks.GossipMessage, asked time.Time) {
	size := len(s.config.Membership.Alive()) + 1
	s.mu.Lock()
	defer s.mu.Unlock()
	mine := s.config.ActiveConfig.Mark()
	order := message.Version.Compare(mine)
	if order > 0 {
		s.hear(message)
	}
	if asked.IsZero() && message.Synced && !s.settled {
		wakeup.Signal(s.settleWake)
	}
	if asked.IsZero() || asked.Before(s.doubted) {
		return
	}
	s.noteAnswer(answer{host: message.From.ID, mark: message.Version, settled: message.Synced, asked: asked})
	if order == 0 && message.Confirmed && mine != (ebonyworks.ConfigurationVersion{}) {
		s.confirm(asked.Add(-message.ConfirmedAge), message.ConfirmedBy)
		// Among the hosts that reach the service, those with the largest
		// weights go on reading it.
		better := heavier(message.ConfirmedBy, s.config.Self)
		if better && time.Since(s.confirmed) < stepTime(size) && message.ConfirmedAge < stepTime(size) {
			s.stepped = false
		}
	}
}

// MarkStale makes the host ask again whether its configuration is the newest.
func (s *Syncer) MarkStale() {
	s.mu.Lock()
	s.settled = false
	s.confirmed, s.confirmedBy, s.stepped = time.Time{}, "", false
	s.doubted = time.Now()
	s.answers = nil
	s.service.equal = 0
	s.mu.Unlock()
	wakeup.Signal(s.settleWake)
}

// confirm notes that the host read the service at the time and saw nothing
// newer than what is in force.
func (s *Syncer) confirm(at time.Time, by ebonyworks.HostID) {
	if at.After(s.confirmed) {
		s.confirmed, s.confirmedBy = at, by
	}
}

func (s *Syncer) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if s.config.Recorder != nil {
		s.config.Recorder.Record(event.New(id, attributes...))
	}
}

func markAttributes(mark ebonyworks.ConfigurationVersion) []ebonyworks.Attribute {
	return []ebonyworks.Attribute{
		event.Attribute("Revision", strconv.FormatUint(uint64(mark.Revision), 10)),
		event.Attribute("Digest", digestText(mark.Digest)),
	}
}

// uniform returns a duration between the two.
func (s *Syncer) uniform(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.random.Float64()*float64(to-from))
}

func (s *Syncer) shuffle(addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
