package reservation

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// ledgerTransferTime is how much of the shutdown time is reserved for the transfer
// of ledgers, and how long failed transfers are retried.
const ledgerTransferTime = 2 * time.Second

// transferRetryInterval is the pause before a transfer is retried at the peers that
// failed.
const transferRetryInterval = 100 * time.Millisecond

// Close refuses new work, waits for running reservations, closes the ledger and
// transfers it to two peers, together with the closed ledgers of other incarnations
// that this host holds. It returns an error if fewer peers accepted a ledger.
// Reservations that are still running when most of the context's time is used have an
// unknown outcome in the ledger.
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closing = true
	r.settings.Ledger.Stop()
	r.mu.Unlock()
	r.waitForRuns(ctx)
	own := r.settings.Ledger.Close(r.settings.Host, r.settings.Incarnation)
	err := r.transferLedger(ctx, own)
	for _, held := range r.settings.Ledger.TransferredLedgers(r.settings.Tickets.Now()) {
		err = errors.Join(err, r.transferLedger(ctx, held))
	}
	return err
}

// HandleTransferLedger stores the closed ledger of another incarnation, so that this
// host can answer queries for its outcomes.
func (r *Runner) HandleTransferLedger(_ context.Context, closed ebonyworks.ClosedLedger) error {
	if closed.Host == r.settings.Host && closed.Incarnation == r.settings.Incarnation {
		return errors.New("a host can't take over its own ledger")
	}
	return r.settings.Ledger.AddTransferred(r.settings.Tickets.Now(), closed)
}

// waitForRuns waits until no reservation is running, or until the time reserved for the
// transfer of ledgers begins. Its goroutine always ends, because every run has a
// deadline.
func (r *Runner) waitForRuns(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		reserved := min(ledgerTransferTime, time.Until(deadline)/4)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-reserved))
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

// transferLedger sends the ledger to its successors. Failed transfers are retried for
// up to ledgerTransferTime, because a call that fails on a busy machine can succeed a
// moment later, and a host with two peers needs both of them.
func (r *Runner) transferLedger(ctx context.Context, closed ebonyworks.ClosedLedger) error {
	pending := rendezvousOrder(closed.Host, closed.Incarnation, r.settings.Hosts.Peers())
	accepted := 0
	end := time.Now().Add(ledgerTransferTime)
	var errs error
	for {
		var failed []ebonyworks.Host
		errs = nil
		for _, peer := range pending {
			if accepted == successorCount || ctx.Err() != nil {
				break
			}
			if err := r.settings.Peer.TransferLedger(ctx, peer, closed); err != nil {
				errs = errors.Join(errs, errors.Wrapf(err, "transfer ledger to host %s", peer.ID))
				failed = append(failed, peer)
				continue
			}
			accepted++
			r.record(event.New(event.LedgerTransferred, event.Attribute("Peer", string(peer.ID)), event.Attribute("Owner", string(closed.Host))))
		}
		pending = failed
		if accepted == successorCount || len(pending) == 0 || time.Now().After(end) || !wakeup.Wait(ctx, transferRetryInterval, nil) {
			break
		}
	}
	if accepted == successorCount {
		return nil
	}
	r.record(event.New(event.LedgerTransferIncomplete, event.Attribute("Owner", string(closed.Host))))
	return errors.Join(errs, errors.Errorf("%d of %d peers accepted the ledger of host %s", accepted, successorCount, closed.Host))
}
