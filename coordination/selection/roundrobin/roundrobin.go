// Package roundrobin selects replicas in turn. It is a baseline for experiments and
// ignores latency and load.
package roundrobin

import (
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// maxCounters bounds the number of counters; when it is reached, all are reset.
const maxCounters = 8192

// Selector selects the candidates of each service in turn. It is safe for concurrent use,
// and the zero value is usable.
type Selector struct {
	mutex sync.Mutex
	// counters has one entry for each set of candidates, keyed by its first server.
	// With one counter for all, a search over an even number of shards would send each
	// of them to the same one of two replicas every time.
	counters map[ebonyworks.ServerID]int
}

// Select returns the next index, or false if there are no candidates.
func (r *Selector) Select(candidates []ebonyworks.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counters == nil || len(r.counters) >= maxCounters {
		r.counters = make(map[ebonyworks.ServerID]int)
	}
	key := candidates[0].Server.ID
	turn := r.counters[key]
	r.counters[key] = turn + 1
	return turn % len(candidates), true
}
