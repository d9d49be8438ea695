// Package platform is a stand-in for the platform: a configuration service
// with replicas that can be stale, and a lagging host list. It follows
// docs/platform.md.
package platform

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// MaxValueBytes bounds a value.
	MaxValueBytes = 1 << 20
	// maxHistory bounds the versions of a key that lagging replicas can show.
	maxHistory = 64
	// maxKeys bounds the keys.
	maxKeys = 10_000
)

// revision is one version of a value.
type revision struct {
	version ebonyworks.KeyVersion
	bytes   []byte
	written time.Time
}

// store holds the versions of all keys.
type store struct {
	mu   sync.Mutex
	keys map[ebonyworks.ConfigurationKey][]revision
	// changed is closed and replaced by each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{keys: make(map[ebonyworks.ConfigurationKey][]revision), changed: make(chan struct{})}
}

// write adds a version of a key. Versions are at least the time in
// milliseconds, so they also increase over a restart of the stand-in. The
// store keeps the bytes. The written time decides when replicas see them.
func (s *store) write(key ebonyworks.ConfigurationKey, bytes []byte, written time.Time) (ebonyworks.KeyVersion, error) {
	if len(bytes) > MaxValueBytes {
		return 0, errors.Errorf("value of %q has %d bytes, more than %d", key, len(bytes), MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	history, known := s.keys[key]
	if !known && len(s.keys) >= maxKeys {
		return 0, errors.New("too many keys")
	}
	version := ebonyworks.KeyVersion(time.Now().UnixMilli())
	if known {
		version = max(version, history[len(history)-1].version+1)
	}
	if len(history) >= maxHistory {
		history = history[1:]
	}
	s.keys[key] = append(history, revision{version: version, bytes: bytes, written: written})
	close(s.changed)
	s.changed = make(chan struct{})
	return version, nil
}

// remove deletes a key on all replicas.
func (s *store) remove(key ebonyworks.ConfigurationKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
}

// newest returns the newest version of a key.
func (s *store) newest(key ebonyworks.ConfigurationKey) (revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.keys[key]
	if len(history) == 0 {
		return revision{}, false
	}
	return history[len(history)-1], true
}

// platformView is what one replica sees of a key.
type platformView struct {
	revision revision
	found    bool
	// next is how long until the replica sees a newer version; zero if there
	// is none so far.
	next time.Duration
	// changed is closed by the next write.
	changed <-chan struct{}
}

// see returns the newest version that was written until the given time. If
// older versions were dropped, a replica sees the oldest that is kept.
func (s *store) see(key ebonyworks.ConfigurationKey, until time.Time) platformView {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := platformView{changed: s.changed}
	history := s.keys[key]
	dropped := len(history) == maxHistory
	for i, candidate := range history {
		if candidate.written.After(until) && (i > 0 || !dropped) {
			seen.next = candidate.written.Sub(until)
			break
		}
		seen.revision = candidate
		seen.found = true
	}
	return seen
}
