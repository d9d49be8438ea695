package quarantine

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// safeTime is how long a completed fingerprint counts as safe.
	safeTime = 10 * time.Minute
	// maxSafe bounds the safe fingerprints; it is about 4 MiB of memory.
	maxSafe = 65_536
)

// safeCache holds completed fingerprints in two generations. When the newer one is
// full, it replaces the older one, which is dropped.
type safeCache struct {
	newer, older map[ebonyworks.Fingerprint]time.Time
}

func (s *safeCache) add(now time.Time, fingerprint ebonyworks.Fingerprint) {
	if s.newer == nil || len(s.newer) >= maxSafe/2 {
		s.older = s.newer
		s.newer = make(map[ebonyworks.Fingerprint]time.Time)
	}
	s.newer[fingerprint] = now
}

func (s *safeCache) contains(now time.Time, fingerprint ebonyworks.Fingerprint) bool {
	at, ok := s.newer[fingerprint]
	if !ok {
		at, ok = s.older[fingerprint]
	}
	return ok && now.Sub(at) < safeTime
}
