// Package storerelay serves this host's copy of the platform's store to the hosts that
// follow it.
package storerelay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// MaxFollowers is the maximum number of hosts that wait for changes at the same time.
const MaxFollowers = 1024

// StoreCopy is this host's copy of the store.
type StoreCopy interface {
	// Since returns the changes after the revision, or the whole content if it is zero.
	Since(after ebonyworks.StoreRevision) ebonyworks.StoreListing
	// Held returns the evacuations that this host holds against a restored store.
	Held() []ebonyworks.HeldEvacuation
	// AsOf returns the revision up to which the copy includes all changes.
	AsOf() ebonyworks.StoreRevision
	// Advanced returns a channel that is closed when AsOf increases.
	Advanced() <-chan struct{}
	// Ready reports whether the whole content was read once.
	Ready() bool
}

// Source describes the source from which the copy is updated.
type Source interface {
	// Age returns how long ago the store confirmed the copy, and false if that is too
	// long ago or unknown.
	Age() (time.Duration, bool)
	// SourceLost returns a channel that is closed when the copy is no longer updated
	// from any source.
	SourceLost() <-chan struct{}
	// SinceRecovery returns how long ago the store recovered from an outage; zero if
	// there was no recent outage.
	SinceRecovery() time.Duration
	// Via returns the hosts between this one and the store, the nearest to this one
	// last.
	Via() []ebonyworks.HostID
}

var (
	// ErrUnavailable is returned if the relay stops or the follower disconnects.
	ErrUnavailable = errors.New("this host passes on nothing more of the store")
	// ErrBusy is returned if MaxFollowers hosts are waiting already.
	ErrBusy = errors.New("too many hosts follow this one")
)

// Relay serves the hosts that follow this one. Use New to create it.
type Relay struct {
	storeCopy StoreCopy
	source    Source
	followers chan struct{}
	stopped   chan struct{}
}

// New returns a relay that serves the copy, which is updated from the source.
func New(storeCopy StoreCopy, source Source) *Relay {
	return &Relay{storeCopy: storeCopy, source: source, followers: make(chan struct{}, MaxFollowers), stopped: make(chan struct{})}
}

// Stop ends all calls of Follow with ErrUnavailable, so that the followers switch to
// another source. It must be called only once.
func (r *Relay) Stop() { close(r.stopped) }

// Follow returns the changes after the revision as soon as there are any, and at the
// latest after the wait. If the copy isn't current, the report is marked as stale and
// empty. A host without a copy returns that after the wait if the whole content is
// requested, and at once otherwise.
func (r *Relay) Follow(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreReport, error) {
	select {
	case <-r.stopped:
		return ebonyworks.StoreReport{}, ErrUnavailable
	default:
	}
	select {
	case r.followers <- struct{}{}:
		defer func() { <-r.followers }()
	default:
		return ebonyworks.StoreReport{}, ErrBusy
	}
	if after == 0 && !r.waitForCopy(ctx, wait) {
		return ebonyworks.StoreReport{}, ErrUnavailable
	}
	if _, fresh := r.source.Age(); !fresh || !r.storeCopy.Ready() {
		return ebonyworks.StoreReport{Stale: true}, nil
	}
	if !r.waitForChanges(ctx, after, wait) {
		return ebonyworks.StoreReport{}, ErrUnavailable
	}
	return r.report(after), nil
}

// waitForCopy waits until this host has a copy, or the wait ends. Hosts that start while
// the store is down get their first copy through each other in this way. It returns
// false if the relay stops or the follower disconnects.
func (r *Relay) waitForCopy(ctx context.Context, wait time.Duration) bool {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		advanced := r.storeCopy.Advanced()
		if wait <= 0 || r.storeCopy.Ready() {
			return true
		}
		select {
		case <-advanced:
		case <-end.C:
			return true
		case <-r.stopped:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// waitForChanges waits until there are changes after the revision, the source is
// lost, or the wait ends. It returns false if the relay stops or the follower
// disconnects.
func (r *Relay) waitForChanges(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) bool {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		advanced, sourceLost := r.storeCopy.Advanced(), r.source.SourceLost()
		_, fresh := r.source.Age()
		asOf := r.storeCopy.AsOf()
		// A follower that knows a later era of the store can't use this copy and must
		// not wait for it.
		if asOf > after || asOf.Era() < after.Era() || wait <= 0 || !fresh {
			return true
		}
		select {
		case <-advanced:
		case <-sourceLost:
		case <-end.C:
			return true
		case <-r.stopped:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Relay) report(after ebonyworks.StoreRevision) ebonyworks.StoreReport {
	// The age is read before the content, so that changes which arrive in between are
	// newer than it says, never older.
	age, fresh := r.source.Age()
	if !fresh {
		return ebonyworks.StoreReport{Stale: true}
	}
	report := ebonyworks.StoreReport{Age: age, Via: r.source.Via()}
	if r.storeCopy.AsOf() > after || after == 0 {
		report.StoreListing = r.storeCopy.Since(after)
	} else {
		report.AsOf = r.storeCopy.AsOf()
	}
	// Reports without changes have them, too: a follower that started from the store's copy
	// knows its revision already.
	report.Held = r.storeCopy.Held()
	report.SinceRecovery = r.source.SinceRecovery()
	return report
}
