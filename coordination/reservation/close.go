package reservation

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// handOverTime is kept from the time of a stop for the hand-over.
const handOverTime = 2 * time.Second

// handOverPause is the pause before peers that failed are asked again.
const handOverPause = 100 * time.Millisecond

// Close refuses new work, waits for running reservations, closes the ledger
// and hands it to two peers, with the closed ledgers that this host holds. It
// returns an error if fewer peers took a ledger. Reservations that are still
// running when most of the context's time is used are handed over as unknown.
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closing = true
	r.settings.Ledger.Stop()
	r.mu.Unlock()
	r.awaitRuns(ctx)
	own := r.settings.Ledger.Close(r.settings.Host, r.settings.Incarnation)
	err := r.handOver(ctx, own)
	for _, held := range r.settings.Ledger.Held(r.settings.Tickets.Now()) {
		err = errors.Join(err, r.handOver(ctx, held))
	}
	return err
}

// HandleTransferLedger keeps the closed ledger of another incarnation.
func (r *Runner) HandleTransferLedger(_ context.Context, closed ebonyworks.ClosedLedger) error {
	if closed.Host == r.settings.Host && closed.Incarnation == r.settings.Incarnation {
		return errors.New("a host can't take over its own ledger")
	}
	return r.settings.Ledger.Hold(r.settings.Tickets.Now(), closed)
}

// awaitRuns waits until no reservation runs, or until the time for the
// hand-over begins. The goroutine ends with the last run, which has a
// deadline.
func (r *Runner) awaitRuns(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		reserve := min(handOverTime, time.Until(deadline)/4)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-reserve))
		defer cancel()
	}
	idle := make(chan struct{})
	go func() {
		r.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// handOver gives the ledger to successors. A peer that didn't take it is asked
// again for a while: on a busy machine a call can fail that works a moment
// later, and a host with two peers needs both.
func (r *Runner) handOver(ctx context.Context, closed ebonyworks.ClosedLedger) error {
	waiting := rendezvous(closed.Host, closed.Incarnation, r.settings.Hosts.Peers())
	taken := 0
	end := time.Now().Add(handOverTime)
	var failures error
	for {
		var failed []ebonyworks.Host
		failures = nil
		for _, peer := range waiting {
			if taken == successors || ctx.Err() != nil {
				break
			}
			if err := r.settings.Peer.TransferLedger(ctx, peer, closed); err != nil {
				failures = errors.Join(failures, errors.Wrapf(err, "hand over to %s", peer.ID))
				failed = append(failed, peer)
				continue
			}
			taken++
			r.record(event.New(event.LedgerHandedOver, event.Attribute("Peer", string(peer.ID)), event.Attribute("Owner", string(closed.Host))))
		}
		waiting = failed
		if taken == successors || len(waiting) == 0 || time.Now().After(end) || !wakeup.Wait(ctx, handOverPause, nil) {
			break
		}
	}
	if taken == successors {
		return nil
	}
	r.record(event.New(event.LedgerNotHandedOver, event.Attribute("Owner", string(closed.Host))))
	return errors.Join(failures, errors.Errorf("%d of %d peers took the ledger of %s", taken, successors, closed.Host))
}
