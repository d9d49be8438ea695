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
	// Candidates returns addresses at which no member is known to answer.
	Candidates() []netip.AddrPort
	// PullState exchanges with the host at the address. Facts arrive at Receive.
	PullState(ctx context.Context, to netip.AddrPort) error
	// SendNow makes the next messages go out now.
	SendNow()
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
func (b *Syncer) Run(ctx context.Context) {
	b.mu.Lock()
	b.doubted = time.Now()
	b.mu.Unlock()
	for _, loop := range []func(context.Context){b.watch, b.poll, b.accept, b.pull, b.settle} {
		b.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	b.tasks.Wait()
}

// Readiness tells whether the configuration in force is known to be the
// newest that could be found.
func (b *Syncer) Readiness() ebonyworks.Readiness {
	var reasons []string
	if b.config.ActiveConfig.Current() == nil {
		reasons = append(reasons, "no configuration accepted")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.settled {
		reasons = append(reasons, "configuration not yet checked with peers or the service")
		if len(b.heard) > 0 {
			reasons = append(reasons, "a peer holds a newer configuration")
		}
		if b.service.failing {
			reasons = append(reasons, "configuration service unavailable")
		}
	}
	return ebonyworks.Readiness{Reasons: reasons}
}

// Stale reports whether neither the service nor a peer could confirm the
// configuration in force for 20 s.
func (b *Syncer) Stale() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.confirmed) > staleTime
}

// HandleFetchManifest returns the published bytes of the head in force.
func (b *Syncer) HandleFetchManifest(context.Context) ([]byte, error) {
	head, found := b.config.ActiveConfig.Head()
	if !found {
		return nil, errNothing
	}
	return head, nil
}

// HandleFetchPart returns the published bytes of a part in force.
func (b *Syncer) HandleFetchPart(_ context.Context, digest ebonyworks.Digest) ([]byte, error) {
	part, found := b.config.ActiveConfig.Part(digest)
	if !found {
		return nil, errors.New("no such part in force")
	}
	return part, nil
}

// Contribute states the configuration in force and how sure this host is.
func (b *Syncer) Contribute(message *ebonyworks.GossipMessage, _ int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	message.Version = b.config.ActiveConfig.Mark()
	message.Synced = b.settled
	if !b.confirmed.IsZero() {
		message.Confirmed = true
		message.ConfirmedAge = time.Since(b.confirmed)
		message.ConfirmedBy = b.confirmedBy
	}
}

// Receive compares the sender's configuration with the one in force.
func (b *Syncer) Receive(message ebonyworks.GossipMessage, asked time.Time) {
	size := len(b.config.Membership.Alive()) + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	mine := b.config.ActiveConfig.Mark()
	order := message.Version.Compare(mine)
	if order > 0 {
		b.hear(message)
	}
	if asked.IsZero() && message.Synced && !b.settled {
		wakeup.Signal(b.settleWake)
	}
	if asked.IsZero() || asked.Before(b.doubted) {
		return
	}
	b.noteAnswer(answer{host: message.From.ID, mark: message.Version, settled: message.Synced, asked: asked})
	if order == 0 && message.Confirmed && mine != (ebonyworks.ConfigurationVersion{}) {
		b.confirm(asked.Add(-message.ConfirmedAge), message.ConfirmedBy)
		// Among the hosts that reach the service, those with the largest
		// weights go on reading it.
		better := heavier(message.ConfirmedBy, b.config.Self)
		if better && time.Since(b.confirmed) < stepTime(size) && message.ConfirmedAge < stepTime(size) {
			b.stepped = false
		}
	}
}

// MarkStale makes the host ask again whether its configuration is the newest.
func (b *Syncer) MarkStale() {
	b.mu.Lock()
	b.settled = false
	b.confirmed, b.confirmedBy, b.stepped = time.Time{}, "", false
	b.doubted = time.Now()
	b.answers = nil
	b.service.equal = 0
	b.mu.Unlock()
	wakeup.Signal(b.settleWake)
}

// confirm notes that the host read the service at the time and saw nothing
// newer than what is in force.
func (b *Syncer) confirm(at time.Time, by ebonyworks.HostID) {
	if at.After(b.confirmed) {
		b.confirmed, b.confirmedBy = at, by
	}
}

func (b *Syncer) record(id ebonyworks.EventID, attributes ...ebonyworks.Attribute) {
	if b.config.Recorder != nil {
		b.config.Recorder.Record(event.New(id, attributes...))
	}
}

func markAttributes(mark ebonyworks.ConfigurationVersion) []ebonyworks.Attribute {
	return []ebonyworks.Attribute{
		event.Attribute("Revision", strconv.FormatUint(uint64(mark.Revision), 10)),
		event.Attribute("Digest", digestText(mark.Digest)),
	}
}

// uniform returns a duration between the two.
func (b *Syncer) uniform(from, to time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return from + time.Duration(b.random.Float64()*float64(to-from))
}

func (b *Syncer) shuffle(addresses []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
