package peerrpc

import (
	"sync"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
)

// maxCachedReports bounds the number of cached reports.
const maxCachedReports = 8

// reportKey identifies the content of a report.
type reportKey struct {
	after, asOf ebonyworks.StoreRevision
	complete    bool
}

// reportCache caches the encoded content of recent store reports, because all
// followers of a host get the same changes at the same time.
type reportCache struct {
	mutex sync.Mutex
	// encoded has at most maxCachedReports entries.
	encoded map[reportKey][]byte
}

// encode returns the encoded changes of a report; after is the revision that the
// follower asked from.
func (r *reportCache) encode(after ebonyworks.StoreRevision, report *ebonyworks.StoreReport) ([]byte, error) {
	if len(report.Changes) == 0 {
		return nil, nil
	}
	key := reportKey{after: after, asOf: report.AsOf, complete: report.Complete}
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
