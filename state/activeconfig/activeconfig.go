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
	// Configuration is not nil and not modified any more.
	Configuration *ebonyworks.Configuration
	// Base is the configuration that the operator edited.
	Base     ebonyworks.ConfigurationVersion
	Manifest []byte
	// Parts are in the order of the head.
	Parts []StoredPart
}

// StoredPart is the bytes of a part with their digest.
type StoredPart struct {
	Digest ebonyworks.Digest
	Bytes  []byte
}

// Refusal tells why a configuration isn't in force.
type Refusal struct {
	// Version has revision zero if the head couldn't be decoded.
	Version  ebonyworks.ConfigurationVersion
	Problems []ebonyworks.Problem
	At       time.Time
}

// Holder is the configuration in force. Its mark never decreases. The zero
// value holds no configuration. Methods can be called concurrently.
type Holder struct {
	mu      sync.RWMutex
	current Bundle
	// refusals has at most maxRefusals entries, oldest first, with unique digests.
	refusals []Refusal
}

// Current returns the configuration in force, or nil if there is none.
func (e *Holder) Current() *ebonyworks.Configuration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.current.Configuration
}

// Version returns the mark of the configuration in force.
func (e *Holder) Version() ebonyworks.ConfigurationVersion {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.version()
}

// Manifest returns the published bytes of the head in force.
func (e *Holder) Manifest() ([]byte, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.current.Manifest, e.current.Configuration != nil
}

// Part returns the published bytes of a part in force.
func (e *Holder) Part(digest ebonyworks.Digest) ([]byte, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, part := range e.current.Parts {
		if part.Digest == digest {
			return part.Bytes, true
		}
	}
	return nil, false
}

// Accept puts the bundle in force if it is newer than what is in force, and
// reports whether it did. An accepted sibling of the same revision that it
// replaces is recorded as refused.
func (e *Holder) Accept(bundle Bundle, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, mark := e.version(), bundle.Configuration.Version
	if mark.Compare(before) <= 0 {
		return false
	}
	e.current = bundle
	if before.Revision == mark.Revision {
		e.refuse(Refusal{Version: before, Problems: conflictProblem(mark), At: now})
	}
	return true
}

// Refuse records why a configuration isn't accepted. It reports whether this
// is the first refusal of the digest in the history.
func (e *Holder) Refuse(mark ebonyworks.ConfigurationVersion, problems []ebonyworks.Problem, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refuse(Refusal{Version: mark, Problems: slices.Clone(problems), At: now})
}

// RefuseConflicting records that a configuration lost against the one in force of
// the same revision.
func (e *Holder) RefuseConflicting(mark ebonyworks.ConfigurationVersion, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refuse(Refusal{Version: mark, Problems: conflictProblem(e.version()), At: now})
}

// Refused returns the refusal of a head by its digest.
func (e *Holder) Refused(digest ebonyworks.Digest) (Refusal, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, refusal := range e.refusals {
		if refusal.Version.Digest == digest {
			return refusal, true
		}
	}
	return Refusal{}, false
}

// Refusals returns the latest refusals, oldest first.
func (e *Holder) Refusals() []Refusal {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Clone(e.refusals)
}

func (e *Holder) version() ebonyworks.ConfigurationVersion {
	if e.current.Configuration == nil {
		return ebonyworks.ConfigurationVersion{}
	}
	return e.current.Configuration.Version
}

func (e *Holder) refuse(refusal Refusal) bool {
	for _, known := range e.refusals {
		if known.Version.Digest == refusal.Version.Digest {
			return false
		}
	}
	if len(e.refusals) == maxRefusals {
		e.refusals = slices.Delete(e.refusals, 0, 1)
	}
	e.refusals = append(e.refusals, refusal)
	return true
}

func conflictProblem(winner ebonyworks.ConfigurationVersion) []ebonyworks.Problem {
	return []ebonyworks.Problem{{
		Path:    "Revision",
		Message: "another head of revision " + strconv.FormatUint(uint64(winner.Revision), 10) + " has a larger digest; publish again from it",
	}}
}
