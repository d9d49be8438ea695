// Package failurereports tells the other hosts of a failure domain which backend servers
// fail requests. It answers a load in which servers begin to lose answers and each of many
// hosts sees a few requests a second: until a host has seen failures of its own, it sends
// its requests and retries to the servers that fail.
package failurereports

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

const (
	// gatherTime is how long a round waits after the first failure. The first attempts of
	// a request at many servers fail within milliseconds of each other.
	gatherTime = 10 * time.Millisecond
	// interval is the time between two rounds of reports, which bounds their cost.
	interval = 50 * time.Millisecond
	// maxReceivers bounds the hosts that get the reports of one host. With eight, each
	// host knows of the failures of nine, at the same cost in a domain of any size.
	maxReceivers = 8
	// maxServers bounds the servers in one round. Further ones are reported by others.
	maxServers = 1024
	// sendTimeout bounds a round. Reports that take longer are of no use.
	sendTimeout = 200 * time.Millisecond
	// receiversAge is how long the chosen receivers are kept.
	receiversAge = time.Second
)

// Reporter reports failed requests to other hosts. Its exported fields are set before the
// first use. It is safe for concurrent use.
type Reporter struct {
	Self ebonyworks.Host
	// Alive returns the other hosts that the membership considers alive.
	Alive func() []ebonyworks.Host
	// Peer sends the reports; nil means that nothing is reported.
	Peer ebonyworks.FailurePeer
	// Eligible reports whether the failures of a service's servers are reported. It is
	// called by Run only. Nil means that all are.
	Eligible func(service ebonyworks.ServiceID) bool

	sent    atomic.Uint64
	pending chan struct{}
	once    sync.Once

	mutex sync.Mutex
	// failures has at most maxServers entries.
	failures map[ebonyworks.ServerID]failures
}

// failures are the failed requests of one server since the last round.
type failures struct {
	service     ebonyworks.ServiceID
	incarnation ebonyworks.Incarnation
	// count is at least 1.
	count int
}

// Record records a failed request. It doesn't block.
func (r *Reporter) Record(service ebonyworks.ServiceID, server ebonyworks.ServerID, incarnation ebonyworks.Incarnation) {
	if r.Peer == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.failures[server]
	if !ok && len(r.failures) >= maxServers {
		return
	}
	if known.incarnation != incarnation {
		known.count = 0
	}
	if r.failures == nil {
		r.failures = make(map[ebonyworks.ServerID]failures)
	}
	r.failures[server] = failures{service, incarnation, known.count + 1}
	wakeup.Signal(r.signal())
}

// Sent returns the number of reports sent to other hosts since the start.
func (r *Reporter) Sent() uint64 { return r.sent.Load() }

// Run sends the recorded failures until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	var receivers []ebonyworks.Host
	var chosenAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signal():
		}
		if !wakeup.Wait(ctx, gatherTime, nil) {
			return
		}
		report := r.take()
		if len(report.Servers) == 0 {
			continue
		}
		if time.Since(chosenAt) >= receiversAge {
			receivers, chosenAt = Receivers(r.Self, r.Alive()), time.Now()
		}
		r.send(ctx, receivers, report)
		if !wakeup.Wait(ctx, interval-gatherTime, nil) {
			return
		}
	}
}

// take returns the failures that are to be reported, and forgets all.
func (r *Reporter) take() ebonyworks.FailureReport {
	r.mutex.Lock()
	taken := r.failures
	r.failures = nil
	r.mutex.Unlock()
	report := ebonyworks.FailureReport{Reporter: r.Self.ID}
	for server, known := range taken {
		if r.Eligible == nil || r.Eligible(known.service) {
			report.Servers = append(report.Servers, ebonyworks.ServerFailures{Server: server, Incarnation: known.incarnation, Failures: known.count})
		}
	}
	return report
}

// send sends the report to all receivers, and doesn't wait for their answers.
func (r *Reporter) send(ctx context.Context, receivers []ebonyworks.Host, report ebonyworks.FailureReport) {
	for _, host := range receivers {
		r.sent.Add(1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			// The next report has newer failures.
			_ = r.Peer.ReportFailures(ctx, host, report)
		}()
	}
}

func (r *Reporter) signal() chan struct{} {
	r.once.Do(func() { r.pending = make(chan struct{}, 1) })
	return r.pending
}

// Receivers returns the hosts that get the reports of a host: of the same failure domain,
// first those that run the requests of smaller ones. The order differs between senders, so
// that the hosts of a large domain get about the same number of reports.
func Receivers(self ebonyworks.Host, others []ebonyworks.Host) []ebonyworks.Host {
	largest := self
	var hosts []ebonyworks.Host
	for _, host := range others {
		if host.Capacity > largest.Capacity {
			largest = host
		}
		if host.Domain == self.Domain && host.ID != self.ID {
			hosts = append(hosts, host)
		}
	}
	score := func(host ebonyworks.Host) uint64 {
		return xxhash.Sum64String(string(self.ID) + "\x00" + string(host.ID))
	}
	slices.SortFunc(hosts, func(a, b ebonyworks.Host) int {
		if smaller := delegation.Larger(largest, a); smaller != delegation.Larger(largest, b) {
			if smaller {
				return 1
			}
			return -1
		}
		return cmp.Compare(score(a), score(b))
	})
	return hosts[:min(len(hosts), maxReceivers)]
}
