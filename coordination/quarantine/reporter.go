package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// reportQueue bounds the batches that wait to be sent. Batches that don't fit are
	// spread by gossip only.
	reportQueue = 64
	// reportTimeout bounds the time to send to all peers.
	reportTimeout = 500 * time.Millisecond
)

// Reporter sends crash reports to all peers at once. Its Publish method is meant for
// the field Publish of Controller.
type Reporter struct {
	peer  ebonyworks.Peer
	peers func() []ebonyworks.Host
	queue chan []ebonyworks.CrashReport
}

// NewReporter returns a reporter that sends to the hosts that peers returns.
func NewReporter(peer ebonyworks.Peer, peers func() []ebonyworks.Host) *Reporter {
	return &Reporter{peer: peer, peers: peers, queue: make(chan []ebonyworks.CrashReport, reportQueue)}
}

// Publish queues the reports and returns at once.
func (r *Reporter) Publish(reports []ebonyworks.CrashReport) {
	select {
	case r.queue <- reports:
	default:
	}
}

// Run sends queued reports until the context ends. Reports that were queued while
// peers were slow are sent as one batch.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reports := <-r.queue:
			r.send(ctx, r.drain(reports))
		}
	}
}

func (r *Reporter) drain(reports []ebonyworks.CrashReport) []ebonyworks.CrashReport {
	for {
		select {
		case more := <-r.queue:
			reports = append(reports[:len(reports):len(reports)], more...)
		default:
			return reports
		}
	}
}

func (r *Reporter) send(ctx context.Context, reports []ebonyworks.CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, host := range r.peers() {
		sends.Go(func() { _ = r.peer.ReportCrashes(ctx, host.Address, reports) })
	}
	sends.Wait()
}
