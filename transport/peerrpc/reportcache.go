package peerrpc

import (
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
)

// maxCachedReports bounds the number of cached reports.
const maxCachedReports = 8

// remainingTimeStep is how long a cached report with remaining times is used. Of warm-ups,
// hosts tell each other of larger differences only (warmupTolerance of serverstate).
const remainingTimeStep = 100 * time.Millisecond

// reportKey identifies the content of a report.
type reportKey struct {
	after, asOf ebonyworks.StoreRevision
	complete    bool
	// changes is their number. It changes without asOf when a state that was held against
	// a restored store ends.
	changes int
	// sentAt is the time of the report up to remainingTimeStep, if the report has
	// remaining times of warm-ups or of held evacuations; zero otherwise.
	sentAt time.Time
}

// reportCache caches the encoded content of recent store reports, because all
// followers of a host get the same changes at the same time.
type reportCache struct {
	mutex sync.Mutex
	// encoded has at most maxCachedReports entries.
	encoded map[reportKey][]byte
}

// encode returns the encoded content of a report, or nil if it has none; after is the
// revision that the follower asked from.
func (r *reportCache) encode(after ebonyworks.StoreRevision, report *ebonyworks.StoreReport) ([]byte, error) {
	if len(report.Changes) == 0 && len(report.Held) == 0 {
		return nil, nil
	}
	if slices.ContainsFunc(report.Changes, func(change ebonyworks.StoreChange) bool { return change.DeferredFor > 0 }) {
		// The remaining time differs in each report.
		return storereport.Encode(report.StoreListing)
	}
	key := reportKey{after: after, asOf: report.AsOf, complete: report.Complete, changes: len(report.Changes)}
	if len(report.Held) > 0 || slices.ContainsFunc(report.Changes, hasWarmup) {
		key.sentAt = time.Now().Truncate(remainingTimeStep)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known, ok := r.encoded[key]; ok {
		return known, nil
	}
	encoded, err := storereport.Encode(report.StoreListing)
	if err != nil {
		return nil, err
	}
	if r.encoded == nil || len(r.encoded) >= maxCachedReports {
		r.encoded = make(map[reportKey][]byte)
	}
	r.encoded[key] = encoded
	return encoded, nil
}

func hasWarmup(change ebonyworks.StoreChange) bool {
	return change.Registration != nil && change.Registration.Warmup > 0
}
