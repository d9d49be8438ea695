package peerrpc

import (
	"sync"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
)

// maxReports bounds the encoded reports that are kept.
const maxReports = 8

// reportKey names the content of a report.
type reportKey struct {
	after, asOf ebonyworks.StoreRevision
	complete    bool
}

// reports keeps the encoded content of recent reports: all followers of a host
// get the same changes at the same time.
type reports struct {
	mutex sync.Mutex
	// encoded has at most maxReports entries.
	encoded map[reportKey][]byte
}

// encode returns the changes of a report in the encoding of hosts.
func (r *reports) encode(after ebonyworks.StoreRevision, report *ebonyworks.StoreReport) ([]byte, error) {
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
	if r.encoded == nil || len(r.encoded) >= maxReports {
		r.encoded = make(map[reportKey][]byte)
	}
	r.encoded[key] = encoded
	return encoded, nil
}
