// Package failurerate estimates which share of its recent requests a backend server has
// failed. It answers a load in which servers lose or spoil part of their answers and
// work otherwise: they are never failing for long enough to be taken out, and each of
// many hosts sees only a few of their requests.
package failurerate

import (
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// weight is that of one request. After one failure, another server is preferred
	// unless it is far slower or fails as often.
	weight = 0.3
	// decayTime is the time in which the estimate falls to 1/e without requests, so that
	// a server that has recovered is used again after some seconds.
	decayTime = 5 * time.Second
	// negligible is the estimate below which the failures are forgotten.
	negligible = 0.01
	// confirmTime is the time within which a second host must have seen failures, too.
	confirmTime = 2 * time.Second
	// maxReported bounds the failures of one report that count. Three make the estimate
	// 0.66.
	maxReported = 3
)

// Rate is the estimate for one incarnation of a server. The zero value has seen no
// failures. It isn't safe for concurrent use.
type Rate struct {
	// value is the estimate as of at, from 0 to 1.
	value float64
	at    time.Time
	// failedAt is when this host last saw a failure; zero if it saw none.
	failedAt time.Time
	// reporter is the other host that last reported failures, at reportedAt, and
	// unconfirmed are those of them that don't count yet, at most maxReported.
	reporter    ebonyworks.HostID
	reportedAt  time.Time
	unconfirmed int
}

// Observe records the end of a request.
func (r *Rate) Observe(failed bool, now time.Time) {
	if failed {
		r.failedAt = now
		if now.Sub(r.reportedAt) < confirmTime {
			r.confirm(now)
		}
	}
	r.add(failed, now)
}

// Report records requests of another host that the server has failed. They count once two
// hosts, this one included, have seen failures. Otherwise a host whose own link is broken
// would keep the others from the server.
func (r *Rate) Report(reporter ebonyworks.HostID, failures int, now time.Time) {
	seenHere := now.Sub(r.failedAt) < confirmTime
	reported := now.Sub(r.reportedAt) < confirmTime
	seenByAnother := reported && r.reporter != reporter
	if !reported {
		r.unconfirmed = 0
	}
	r.reporter, r.reportedAt = reporter, now
	r.unconfirmed = min(r.unconfirmed+failures, maxReported)
	if seenHere || seenByAnother {
		r.confirm(now)
	}
}

// confirm counts the failures of other hosts.
func (r *Rate) confirm(now time.Time) {
	for range r.unconfirmed {
		r.add(true, now)
	}
	r.unconfirmed = 0
}

func (r *Rate) add(failed bool, now time.Time) {
	value := r.At(now) * (1 - weight)
	if failed {
		value += weight
	}
	if value < negligible {
		value = 0
	}
	r.value, r.at = value, now
}

// At returns the estimate as of now, from 0 to 1.
func (r *Rate) At(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(decayTime))
}
