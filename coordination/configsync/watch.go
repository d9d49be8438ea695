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
	// watcherCount is the number of hosts that watch the service for all.
	watcherCount = 3
	// readTime limits one reading.
	readTime = time.Second
	// watchTime limits one watch that the service doesn't end by itself.
	watchTime = time.Minute
	// readInterval is how often a host that reads for all does so. A watch
	// alone wouldn't show that the service is out of reach.
	readInterval = time.Second
	// seldomInterval is the safety net of the other hosts.
	seldomInterval = time.Minute
	// roleInterval is how often a host looks whether it has to read.
	roleInterval = 250 * time.Millisecond
	// stepAge is the age of the last confirmation from which a host of a
	// fleet of 8 reads by itself. Larger fleets hear later of confirmations.
	stepAge  = 2500 * time.Millisecond
	stepSize = 8
	// While the service doesn't answer, each host of a small fleet tries this
	// often, and a large fleet tries maxFailingReads times a second in all.
	failingInterval = 1500 * time.Millisecond
	maxFailingReads = 200
)

// serviceState is what the readings of the service showed.
type serviceState struct {
	failing bool
	stale   bool
	// version is the largest that was seen.
	version ebonyworks.KeyVersion
	// last is the digest that the last reading showed, and equal the number
	// of readings in a row that showed it.
	last  ebonyworks.Digest
	equal int
	// nextRead is when an unwatched host may read next.
	nextRead time.Time
	// nextSeldom is when the safety net reads next.
	nextSeldom time.Time
}

// IsDesignatedReader reports whether this host currently reads the service for all.
func (s *Syncer) IsDesignatedReader() bool {
	if s.chosen() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stepped
}

// chosen reports whether this host is among the watchers by rendezvous hashing.
func (s *Syncer) chosen() bool {
	larger := 0
	for _, host := range s.config.Membership.Alive() {
		if heavier(host.ID, s.config.Self) {
			larger++
		}
	}
	return larger < watcherCount
}

// heavier reports whether a comes before b in the order of watchers.
func heavier(a, b ebonyworks.HostID) bool {
	return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) > 0
}

func weight(id ebonyworks.HostID) uint64 { return xxhash.Sum64String("watch/" + string(id)) }

// watch waits for changes while this host is a chosen watcher.
func (s *Syncer) watch(ctx context.Context) {
	var version ebonyworks.KeyVersion
	failures := 0
	for ctx.Err() == nil {
		if !s.chosen() {
			failures = 0
			if !wakeup.Wait(ctx, s.uniform(roleInterval/2, 3*roleInterval/2), nil) {
				return
			}
			continue
		}
		asked := time.Now()
		value, err := s.watchOnce(ctx, version)
		if err == nil {
			failures = 0
			s.show(value, asked)
			// A version below the last one is a stale replica's.
			version = max(version, value.Version)
		} else {
			failures++
		}
		// A service that answers at once, with an error or with what is
		// known, must not be asked in a tight loop.
		pause := time.Duration(min(failures, 4)) * readInterval / 2
		if time.Since(asked) < roleInterval {
			pause = max(pause, roleInterval)
		}
		if !wakeup.Wait(ctx, s.uniform(pause/2, 3*pause/2), nil) {
			return
		}
	}
}

func (s *Syncer) watchOnce(ctx context.Context, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	return s.config.Platform.Watch(ctx, s.config.ManifestKey, after)
}

// poll reads the head when this host has to: every second if it reads for
// all, soon if nobody else seems to, and seldom otherwise.
func (s *Syncer) poll(ctx context.Context) {
	s.mu.Lock()
	s.service.nextSeldom = time.Now().Add(time.Duration(s.random.Float64() * float64(seldomInterval)))
	s.mu.Unlock()
	for wakeup.Wait(ctx, s.uniform(roleInterval/2, 3*roleInterval/2), nil) {
		if s.mustRead(time.Now()) {
			s.readHead(ctx)
		}
	}
}

func (s *Syncer) mustRead(now time.Time) bool {
	chosen := s.chosen()
	size := len(s.config.Membership.Alive()) + 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.service.nextRead) {
		return false
	}
	unheard := now.Sub(s.confirmed) > stepTime(size)
	seldom := !now.Before(s.service.nextSeldom)
	if seldom {
		s.service.nextSeldom = now.Add(time.Duration((0.5 + s.random.Float64()) * float64(seldomInterval)))
	}
	if !chosen && !s.stepped && !unheard && !seldom {
		return false
	}
	interval := readInterval
	if s.service.failing {
		interval = max(failingInterval, time.Duration(size)*time.Second/maxFailingReads)
	}
	s.service.nextRead = now.Add(time.Duration((0.7 + 0.6*s.random.Float64()) * float64(interval)))
	return true
}

// stepTime is the age of the last confirmation from which a host reads by
// itself.
func stepTime(size int) time.Duration {
	factor := 1 + math.Log2(max(1, float64(size)/stepSize))/2
	return time.Duration(factor * float64(stepAge))
}

// readHead reads the head once.
func (s *Syncer) readHead(ctx context.Context) {
	asked := time.Now()
	value, err := s.read(ctx, s.config.ManifestKey)
	s.noteService(err)
	if err == nil {
		s.show(value, asked)
	}
}

func (s *Syncer) read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	return s.config.Platform.Read(ctx, key)
}

// noteService records when the service stops or starts answering.
func (s *Syncer) noteService(err error) {
	s.mu.Lock()
	changed := s.service.failing != (err != nil)
	s.service.failing = err != nil
	if err != nil {
		s.stepped = false
		s.service.equal = 0
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

// show takes a head that the service returned to a request of the given time.
func (s *Syncer) show(value ebonyworks.ConfigurationValue, asked time.Time) {
	if len(value.Bytes) == 0 {
		return
	}
	mark, valid := s.consider(value.Bytes, netip.AddrPort{}, asked)
	chosen := s.chosen()
	s.mu.Lock()
	mine := s.config.ActiveConfig.Mark()
	s.countEqual(mark.Digest)
	// A sibling that lost, or a refused value that no replica has replaced,
	// shows that nothing newer can be had.
	latestRefused := !valid && value.Version >= s.service.version
	siblingLost := mark.Revision == mine.Revision && mark.Compare(mine) <= 0
	current := siblingLost || latestRefused
	stale := valid && mark.Revision < mine.Revision
	newlyStale := stale && !s.service.stale
	s.service.stale = stale
	s.service.version = max(s.service.version, value.Version)
	if current && mine != (ebonyworks.ConfigurationVersion{}) && !asked.Before(s.doubted) {
		s.confirm(asked, s.config.Self)
		s.stepped = !chosen
	}
	s.mu.Unlock()
	if newlyStale {
		s.record(event.ConfigurationServiceStale, markAttributes(mark)...)
	}
}

func (s *Syncer) countEqual(digest ebonyworks.Digest) {
	if s.service.last != digest {
		s.service.last = digest
		s.service.equal = 0
	}
	s.service.equal++
}
