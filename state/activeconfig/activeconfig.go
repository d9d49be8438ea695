// Package activeconfig holds the configuration in force and decides by version
// whether another one replaces it.
package activeconfig

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// maxRefusals bounds the history of refused configurations.
const maxRefusals = 32

// Bundle is a validated configuration with the bytes that were published.
type Bundle struct {
	// Configuration is not nil and isn't modified anymore.
	Configuration *ebonyworks.Configuration
	// Base is the configuration that the operator edited.
	Base     ebonyworks.ConfigurationVersion
	Manifest []byte
	// Parts are in the order of the manifest.
	Parts []StoredPart
}

// StoredPart holds the published bytes of a part and their digest.
type StoredPart struct {
	Digest ebonyworks.Digest
	Bytes  []byte
}

// Refusal tells why a configuration isn't in force.
type Refusal struct {
	// Version has revision zero if the manifest couldn't be decoded.
	Version  ebonyworks.ConfigurationVersion
	Problems []ebonyworks.Problem
	At       time.Time
}

// Holder holds the configuration in force, whose version never decreases. The zero value
// holds no configuration. It is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex
	current Bundle
	// refusals has at most maxRefusals entries, oldest first, with unique digests.
	refusals []Refusal
}

// Current returns the configuration in force, or nil if there is none.
func (h *Holder) Current() *ebonyworks.Configuration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current.Configuration
}

// Version returns the version of the configuration in force.
func (h *Holder) Version() ebonyworks.ConfigurationVersion {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.version()
}

// Manifest returns the published bytes of the manifest in force.
func (h *Holder) Manifest() ([]byte, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current.Manifest, h.current.Configuration != nil
}

// Part returns the published bytes of a part in force.
func (h *Holder) Part(digest ebonyworks.Digest) ([]byte, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, part := range h.current.Parts {
		if part.Digest == digest {
			return part.Bytes, true
		}
	}
	return nil, false
}

// Accept puts the bundle in force if it is newer than the configuration in force, and
// reports whether it did. If it replaces a configuration of the same revision, the
// replaced one is recorded as refused.
func (h *Holder) Accept(bundle Bundle, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, version := h.version(), bundle.Configuration.Version
	if version.Compare(before) <= 0 {
		return false
	}
	h.current = bundle
	if before.Revision == version.Revision {
		h.refuse(Refusal{Version: before, Problems: conflictProblem(version), At: now})
	}
	return true
}

// Refuse records why a configuration isn't accepted. It reports whether the history
// held no refusal of the digest yet.
func (h *Holder) Refuse(version ebonyworks.ConfigurationVersion, problems []ebonyworks.Problem, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refuse(Refusal{Version: version, Problems: slices.Clone(problems), At: now})
}

// RefuseConflicting records that a configuration isn't accepted because the one in force
// has the same revision and a larger digest.
func (h *Holder) RefuseConflicting(version ebonyworks.ConfigurationVersion, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refuse(Refusal{Version: version, Problems: conflictProblem(h.version()), At: now})
}

// Refused returns the refusal of the manifest with the digest.
func (h *Holder) Refused(digest ebonyworks.Digest) (Refusal, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, refusal := range h.refusals {
		if refusal.Version.Digest == digest {
			return refusal, true
		}
	}
	return Refusal{}, false
}

// Refusals returns the latest refusals, oldest first.
func (h *Holder) Refusals() []Refusal {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return slices.Clone(h.refusals)
}

func (h *Holder) version() ebonyworks.ConfigurationVersion {
	if h.current.Configuration == nil {
		return ebonyworks.ConfigurationVersion{}
	}
	return h.current.Configuration.Version
}

func (h *Holder) refuse(refusal Refusal) bool {
	for _, recorded := range h.refusals {
		if recorded.Version.Digest == refusal.Version.Digest {
			return false
		}
	}
	if len(h.refusals) == maxRefusals {
		h.refusals = slices.Delete(h.refusals, 0, 1)
	}
	h.refusals = append(h.refusals, refusal)
	return true
}

func conflictProblem(winner ebonyworks.ConfigurationVersion) []ebonyworks.Problem {
	return []ebonyworks.Problem{{
		Path:    "Revision",
		Message: "another head of revision " + strconv.FormatUint(uint64(winner.Revision), 10) + " has a larger digest; publish again from it",
	}}
}
