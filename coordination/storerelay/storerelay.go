// Package storerelay serves this host's copy of the platform's store to the
// hosts that follow it.
package storerelay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// MaxFollowers bounds the hosts that wait for changes at a time.
const MaxFollowers = 1024

// StoreCopy is what this host knows of the store.
type StoreCopy interface {
	// Since returns what is known beyond the revision; all if it is zero.
	Since(after ebonyworks.StoreRevision) ebonyworks.StoreListing
	// AsOf returns the revision up to which all changes are known.
	AsOf() ebonyworks.StoreRevision
	// Advanced returns a channel that is closed when AsOf grows.
	Advanced() <-chan struct{}
	// Ready reports whether everything was read once.
	Ready() bool
}

// Source tells how old the content is.
type Source interface {
	// Age returns how long ago the store confirmed the content, and false if
	// that is too long ago or unknown.
	Age() (time.Duration, bool)
	// SourceLost returns a channel that is closed when the content has no source any
	// more.
	SourceLost() <-chan struct{}
	// SinceRecovery returns how long ago the store came back; zero if it wasn't away
	// lately.
	SinceRecovery() time.Duration
	// Via returns the hosts between this one and the store, the nearest one last.
	Via() []ebonyworks.HostID
}

var (
	// ErrUnavailable is returned if the host stops or the caller leaves.
	ErrUnavailable = errors.New("this host passes on nothing more of the store")
	// ErrBusy is returned if too many hosts wait.
	ErrBusy = errors.New("too many hosts follow this one")
)

// Relay serves the hosts that follow this one. Use New.
type Relay struct {
	content   StoreCopy
	freshness Source
	followers chan struct{}
	stopped   chan struct{}
}

// New returns a replica of the content.
func New(content StoreCopy, freshness Source) *Relay {
	return &Relay{content: content, freshness: freshness, followers: make(chan struct{}, MaxFollowers), stopped: make(chan struct{})}
}

// Stop makes the hosts that follow this one look for another. It is called once.
func (r *Relay) Stop() { close(r.stopped) }

// Follow returns what is known beyond the revision, as soon as that is anything,
// and at the latest after the wait. A report whose content isn't fresh is stale
// and empty.
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
	if _, fresh := r.freshness.Age(); !fresh || !r.content.Ready() {
		return ebonyworks.StoreReport{Stale: true}, nil
	}
	if !r.await(ctx, after, wait) {
		return ebonyworks.StoreReport{}, ErrUnavailable
	}
	return r.report(after), nil
}

// await waits until more is known or the content has no source any more. It returns
// false if the host stops or the caller leaves.
func (r *Relay) await(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) bool {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		advanced, abandoned := r.content.Advanced(), r.freshness.SourceLost()
		_, fresh := r.freshness.Age()
		if r.content.AsOf() > after || wait <= 0 || !fresh {
			return true
		}
		select {
		case <-advanced:
		case <-abandoned:
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
	// The age is taken first: what becomes known meanwhile is newer.
	age, fresh := r.freshness.Age()
	if !fresh {
		return ebonyworks.StoreReport{Stale: true}
	}
	report := ebonyworks.StoreReport{Age: age, Via: r.freshness.Via()}
	if r.content.AsOf() > after || after == 0 {
		report.StoreListing = r.content.Since(after)
	} else {
		report.AsOf = r.content.AsOf()
	}
	report.SinceRecovery = r.freshness.SinceRecovery()
	return report
}
