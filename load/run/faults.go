package run

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/load/scenario"
)

// stopTimeout bounds the end of a fault, which also happens when the run was
// interrupted.
const stopTimeout = 5 * time.Second

// faultRun is the faults of one run in progress.
type faultRun struct {
	pending sync.WaitGroup

	mu  sync.Mutex
	err error
}

// startFaults starts and ends the faults of the scenario at their times.
func (r *Run) startFaults(ctx context.Context) *faultRun {
	f := &faultRun{}
	for _, fault := range r.Scenario.Faults {
		f.pending.Go(func() { f.note(r.fault(ctx, fault)) })
	}
	return f
}

func (f *faultRun) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// wait returns the first error after all faults have ended.
func (f *faultRun) wait() error {
	f.pending.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (r *Run) fault(ctx context.Context, fault scenario.Fault) error {
	if r.Injector == nil {
		return errors.New("the scenario has faults, but no stand-ins were named")
	}
	r.sleepUntil(ctx, fault.At)
	if ctx.Err() != nil {
		return nil
	}
	err := r.change(ctx, event.FaultStarted, fault, r.Injector.Start)
	until := r.Scenario.Duration()
	if fault.For > 0 {
		until = min(until, fault.At+fault.For)
	}
	r.sleepUntil(ctx, until)
	// The fault also ends if the run was interrupted or the start failed on
	// some of the servers.
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if stopErr := r.change(stopping, event.FaultEnded, fault, r.Injector.Stop); err == nil {
		err = stopErr
	}
	return err
}

func (r *Run) change(ctx context.Context, id ebonyworks.EventID, fault scenario.Fault, change func(context.Context, scenario.Fault) error) error {
	kind := event.Attribute("Kind", string(fault.Kind))
	if err := change(ctx, fault); err != nil {
		r.record(event.FaultFailed, kind, event.Attribute("Error", err.Error()))
		return errors.Wrapf(err, "fault %s", fault.Kind)
	}
	r.record(id, kind)
	return nil
}
