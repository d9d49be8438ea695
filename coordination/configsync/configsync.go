// Package configsync keeps the configuration of a host up to date. A few hosts
// read the configuration service on behalf of all; the others learn of newer
// versions by gossip and fetch them from their peers.
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
	// manifestHoldTime is how long a manifest from the service is held back, so
	// that a conflicting manifest of the same revision that was published at the
	// same time is compared first.
	manifestHoldTime = 300 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation from which the
	// configuration counts as stale.
	maxConfirmationAge = 20 * time.Second
	// maxDocumentBytes is the configuration service's limit on a value.
	maxDocumentBytes = 1 << 20
)

var errNoConfiguration = errors.New("no configuration accepted yet")

// Membership is the part of the cluster membership that a Syncer needs.
// membership.Cluster implements it.
type Membership interface {
	// Alive returns the other members that are alive, ordered by id. The slice
	// is shared.
	Alive() []ebonyworks.Host
	// UnreachableAddresses returns addresses at which no member is known to answer.
	UnreachableAddresses() []netip.AddrPort
	// PullState exchanges gossip with the host at the address and requests its
	// complete state. The reply is passed to Receive.
	PullState(ctx context.Context, to netip.AddrPort) error
	// Refreshed reports whether the membership was refreshed since the start or the
	// last pause, which readiness requires as well. All answers until then were passed
	// to Receive.
	Refreshed() bool
	// TriggerGossip sends gossip to some members at once instead of with the next
	// probe.
	TriggerGossip()
}

// Config holds the settings and dependencies of a Syncer. Only Recorder may be nil.
type Config struct {
	Self ebonyworks.HostID
	// ManifestKey is the key of the manifest in the configuration service.
	ManifestKey ebonyworks.ConfigurationKey
	// PartKey returns the key of a part by its name.
	PartKey      func(name string) ebonyworks.ConfigurationKey
	Platform     ebonyworks.Platform
	Peer         ebonyworks.Peer
	Decoder      ebonyworks.ConfigurationDecoder
	Membership   Membership
	ActiveConfig *activeconfig.Holder
	// Random is used by the Syncer alone.
	Random   *rand.Rand
	Recorder ebonyworks.EventRecorder
}

// Syncer accepts configurations from the configuration service and from peers.
// Create it with New and attach it to the membership.Cluster before Run.
type Syncer struct {
	config     Config
	tasks      sync.WaitGroup
	acceptWake chan struct{}
	pullWake   chan struct{}
	syncWake   chan struct{}

	mu sync.Mutex
	// random is used only under mu.
	random *rand.Rand
	// candidates are manifests newer than the configuration in force, newest
	// first, at most maxCandidates.
	candidates []candidate
	// peerVersions are the versions newer than the one in force that peers
	// advertised, at most maxPeerVersions.
	peerVersions []peerVersion
	// confirmed is when this host or another last read the service and found
	// nothing newer than the configuration in force. Zero means unknown.
	confirmed time.Time
	// confirmedBy is the host that read the service at that time.
	confirmedBy ebonyworks.HostID
	// tookOver is set while this host reads the service on behalf of all although
	// it isn't one of the designated watchers, because it knows of no other host
	// that reaches the service.
	tookOver bool
	service  serviceState
	// synced is set once the configuration in force was checked, since
	// unverifiedSince, to be the newest that could be found.
	synced bool
	// unverifiedSince is when the host started or was last resumed after a pause.
	// Replies to earlier requests don't count.
	unverifiedSince time.Time
	answers         []answer
	// unansweredRounds counts the rounds in a row, since unverifiedSince, in which a
	// peer that was asked for its version didn't answer.
	unansweredRounds int
}

// New returns a Syncer that has no configuration yet.
func New(config Config) *Syncer {
	return &Syncer{
		config:     config,
		random:     config.Random,
		acceptWake: make(chan struct{}, 1),
		pullWake:   make(chan struct{}, 1),
		syncWake:   make(chan struct{}, 1),
	}
}

// Run synchronizes the configuration until the context ends, and returns when
// all of its goroutines have stopped.
func (s *Syncer) Run(ctx context.Context) {
	s.mu.Lock()
	s.unverifiedSince = time.Now()
	s.mu.Unlock()
	for _, loop := range []func(context.Context){s.watch, s.poll, s.accept, s.pull, s.sync} {
		s.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	s.tasks.Wait()
}

// Readiness reports whether a configuration is in force that was the newest to
// be found when it was checked with the peers or the service.
func (s *Syncer) Readiness() ebonyworks.Readiness {
	var reasons []string
	if s.config.ActiveConfig.Current() == nil {
		reasons = append(reasons, "no configuration accepted")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced {
		reasons = append(reasons, "configuration not yet checked with peers or the service")
		if len(s.peerVersions) > 0 {
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
	return time.Since(s.confirmed) > maxConfirmationAge
}

// HandleFetchManifest returns the published bytes of the manifest in force.
func (s *Syncer) HandleFetchManifest(context.Context) ([]byte, error) {
	manifest, found := s.config.ActiveConfig.Manifest()
	if !found {
		return nil, errNoConfiguration
	}
	return manifest, nil
}

// HandleFetchPart returns the published bytes of a part of the configuration in
// force.
func (s *Syncer) HandleFetchPart(_ context.Context, digest ebonyworks.Digest) ([]byte, error) {
	part, found := s.config.ActiveConfig.Part(digest)
	if !found {
		return nil, errors.New("no such part in force")
	}
	return part, nil
}

// Contribute adds the version in force, whether it was checked to be the newest,
// and its last confirmation to an outgoing gossip message.
func (s *Syncer) Contribute(message *ebonyworks.GossipMessage, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message.Version = s.config.ActiveConfig.Version()
	message.Synced = s.synced
	if !s.confirmed.IsZero() {
		message.Confirmed = true
		message.ConfirmedAge = time.Since(s.confirmed)
		message.ConfirmedBy = s.confirmedBy
	}
}

// Receive compares the sender's version with the one in force and schedules a
// fetch if it is newer. Only a reply to a ping, for which requestedAt is set, can
// confirm the version in force.
func (s *Syncer) Receive(message ebonyworks.GossipMessage, requestedAt time.Time) {
	size := len(s.config.Membership.Alive()) + 1
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.config.ActiveConfig.Version()
	order := message.Version.Compare(active)
	if order > 0 {
		s.notePeerVersion(message)
	}
	if requestedAt.IsZero() && message.Synced && !s.synced {
		wakeup.Signal(s.syncWake)
	}
	if requestedAt.IsZero() || requestedAt.Before(s.unverifiedSince) {
		return
	}
	s.noteAnswer(answer{host: message.From.ID, version: message.Version, synced: message.Synced, requestedAt: requestedAt})
	if order == 0 && message.Confirmed && active != (ebonyworks.ConfigurationVersion{}) {
		s.confirm(requestedAt.Add(-message.ConfirmedAge), message.ConfirmedBy)
		// Of the hosts that took over and reach the service, those with the
		// largest rendezvous weights keep reading it.
		better := outranks(message.ConfirmedBy, s.config.Self)
		if better && time.Since(s.confirmed) < takeoverAge(size) && message.ConfirmedAge < takeoverAge(size) {
			s.tookOver = false
		}
	}
}

// MarkStale discards all confirmations after a pause of the process, so that the
// host checks again whether its configuration is the newest.
func (s *Syncer) MarkStale() {
	s.mu.Lock()
	s.synced = false
	s.confirmed, s.confirmedBy, s.tookOver = time.Time{}, "", false
	s.unverifiedSince = time.Now()
	s.answers, s.unansweredRounds = nil, 0
	s.service.equalReads = 0
	s.mu.Unlock()
	wakeup.Signal(s.syncWake)
}

// confirm records that the host by read the service at the given time and found
// nothing newer than the version in force. s.mu is held.
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

func versionAttributes(version ebonyworks.ConfigurationVersion) []ebonyworks.Attribute {
	return []ebonyworks.Attribute{
		event.Attribute("Revision", strconv.FormatUint(uint64(version.Revision), 10)),
		event.Attribute("Digest", digestText(version.Digest)),
	}
}

// uniform returns a uniformly distributed random duration.
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
