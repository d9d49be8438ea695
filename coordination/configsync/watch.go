package configsync

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// watcherCount is the number of hosts that watch the configuration service on
	// behalf of all.
	watcherCount = 3
	// readTimeout limits one read of the service.
	readTimeout = time.Second
	// watchTimeout limits a watch that the service doesn't end by itself.
	watchTimeout = time.Minute
	// readInterval is the interval at which a host that reads on behalf of all
	// does so. A watch alone wouldn't show that the service is unreachable.
	readInterval = time.Second
	// fallbackInterval is the mean interval at which each other host reads the
	// service too, in case gossip doesn't reach it.
	fallbackInterval = time.Minute
	// roleCheckInterval is the interval at which a host checks whether it has to
	// read the service.
	roleCheckInterval = 250 * time.Millisecond
	// baseTakeoverAge is the age of the last confirmation from which a host reads
	// the service itself, in a fleet of at most baseTakeoverSize hosts. In larger
	// fleets, confirmations arrive later.
	baseTakeoverAge  = 2500 * time.Millisecond
	baseTakeoverSize = 8
	// While the service doesn't answer, each host of a small fleet reads at
	// failingInterval, and all hosts of a large fleet together read
	// maxFailingReads times per second.
	failingInterval = 1500 * time.Millisecond
	maxFailingReads = 200
)

// serviceState is what the readings of the configuration service showed.
type serviceState struct {
	failing bool
	stale   bool
	// keyVersion is the largest key version that was seen.
	keyVersion ebonyworks.KeyVersion
	// lastDigest is the digest of the manifest in the last reading, and equalReads
	// the number of readings in a row that showed it.
	lastDigest ebonyworks.Digest
	equalReads int
	// nextRead is the earliest time of the next read.
	nextRead time.Time
	// nextFallback is when this host reads next even if the version in force is
	// confirmed by others.
	nextFallback time.Time
}

// IsDesignatedReader reports whether this host currently reads the service on
// behalf of all hosts: it is a watcher, or took over because no watcher seems to
// reach the service.
func (s *Syncer) IsDesignatedReader() bool {
	if s.isWatcher() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tookOver
}

// isWatcher reports whether rendezvous hashing over the members that are alive
// makes this host a watcher of the service.
func (s *Syncer) isWatcher() bool {
	larger := 0
	for _, host := range s.config.Membership.Alive() {
		if outranks(host.ID, s.config.Self) {
			larger++
		}
	}
	return larger < watcherCount
}

// outranks reports whether a becomes a watcher before b.
func outranks(a, b ebonyworks.HostID) bool {
	return cmp.Or(cmp.Compare(watcherWeight(a), watcherWeight(b)), cmp.Compare(a, b)) > 0
}

func watcherWeight(id ebonyworks.HostID) uint64 { return xxhash.Sum64String("watch/" + string(id)) }

// watch waits for changes of the manifest while this host is a watcher.
func (s *Syncer) watch(ctx context.Context) {
	var version ebonyworks.KeyVersion
	failures := 0
	for ctx.Err() == nil {
		if !s.isWatcher() {
			failures = 0
			if !wakeup.Wait(ctx, s.uniform(roleCheckInterval/2, 3*roleCheckInterval/2), nil) {
				return
			}
			continue
		}
		requestedAt := time.Now()
		value, err := s.watchOnce(ctx, version)
		if err == nil {
			failures = 0
			s.handleServiceValue(value, requestedAt)
			// A version below the last one comes from a stale replica.
			version = max(version, value.Version)
		} else {
			failures++
		}
		// A service that answers at once, with an error or with an unchanged
		// value, must not be called in a tight loop.
		pause := time.Duration(min(failures, 4)) * readInterval / 2
		if time.Since(requestedAt) < roleCheckInterval {
			pause = max(pause, roleCheckInterval)
		}
		if !wakeup.Wait(ctx, s.uniform(pause/2, 3*pause/2), nil) {
			return
		}
	}
}

func (s *Syncer) watchOnce(ctx context.Context, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return s.config.Platform.Watch(ctx, s.config.ManifestKey, after)
}

// poll reads the manifest when this host has to: every second if it reads on
// behalf of all, soon if no other host seems to read, and about once in
// fallbackInterval otherwise.
func (s *Syncer) poll(ctx context.Context) {
	s.mu.Lock()
	s.service.nextFallback = time.Now().Add(time.Duration(s.random.Float64() * float64(fallbackInterval)))
	s.mu.Unlock()
	for wakeup.Wait(ctx, s.uniform(roleCheckInterval/2, 3*roleCheckInterval/2), nil) {
		if s.shouldRead(time.Now()) {
			s.readManifest(ctx)
		}
	}
}

func (s *Syncer) shouldRead(now time.Time) bool {
	isWatcher := s.isWatcher()
	size := len(s.config.Membership.Alive()) + 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.service.nextRead) {
		return false
	}
	unconfirmed := now.Sub(s.confirmed) > takeoverAge(size)
	fallbackDue := !now.Before(s.service.nextFallback)
	if fallbackDue {
		s.service.nextFallback = now.Add(time.Duration((0.5 + s.random.Float64()) * float64(fallbackInterval)))
	}
	if !isWatcher && !s.tookOver && !unconfirmed && !fallbackDue {
		return false
	}
	interval := readInterval
	if s.service.failing {
		interval = max(failingInterval, time.Duration(size)*time.Second/maxFailingReads)
	}
	s.service.nextRead = now.Add(time.Duration((0.7 + 0.6*s.random.Float64()) * float64(interval)))
	return true
}

// takeoverAge returns the age of the last confirmation from which a host of a
// fleet of the size reads the service itself.
func takeoverAge(size int) time.Duration {
	factor := 1 + math.Log2(max(1, float64(size)/baseTakeoverSize))/2
	return time.Duration(factor * float64(baseTakeoverAge))
}

// readManifest reads the manifest from the service once.
func (s *Syncer) readManifest(ctx context.Context) {
	requestedAt := time.Now()
	value, err := s.read(ctx, s.config.ManifestKey)
	s.noteServiceResult(err)
	if err == nil {
		s.handleServiceValue(value, requestedAt)
	}
}

func (s *Syncer) read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.config.Platform.Read(ctx, key)
}

// noteServiceResult records an event when the service stops or starts answering.
func (s *Syncer) noteServiceResult(err error) {
	s.mu.Lock()
	changed := s.service.failing != (err != nil)
	s.service.failing = err != nil
	if err != nil {
		s.tookOver = false
		s.service.equalReads = 0
	}
	s.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		s.record(event.ConfigurationServiceUnavailable, event.Attribute("Error", err.Error()))
	default:
		s.record(event.ConfigurationServiceAvailable)
	}
}

// handleServiceValue checks a manifest that the service returned to a request
// sent at the given time, and updates the confirmation of the version in force.
func (s *Syncer) handleServiceValue(value ebonyworks.ConfigurationValue, requestedAt time.Time) {
	if len(value.Bytes) == 0 {
		return
	}
	version, valid := s.checkManifest(value.Bytes, netip.AddrPort{}, requestedAt)
	isWatcher := s.isWatcher()
	s.mu.Lock()
	active := s.config.ActiveConfig.Version()
	s.countEqualReads(version.Digest)
	// The version in force is the newest available if the service returns it or one
	// of the same revision with a smaller digest, or a refused value that no
	// replica has replaced.
	latestRefused := !valid && value.Version >= s.service.keyVersion
	siblingLost := version.Revision == active.Revision && version.Compare(active) <= 0
	current := siblingLost || latestRefused
	stale := valid && version.Revision < active.Revision
	newlyStale := stale && !s.service.stale
	s.service.stale = stale
	s.service.keyVersion = max(s.service.keyVersion, value.Version)
	if current && active != (ebonyworks.ConfigurationVersion{}) && !requestedAt.Before(s.unverifiedSince) {
		s.confirm(requestedAt, s.config.Self)
		s.tookOver = !isWatcher
	}
	s.mu.Unlock()
	if newlyStale {
		s.record(event.ConfigurationServiceStale, versionAttributes(version)...)
	}
}

func (s *Syncer) countEqualReads(digest ebonyworks.Digest) {
	if s.service.lastDigest != digest {
		s.service.lastDigest = digest
		s.service.equalReads = 0
	}
	s.service.equalReads++
}
