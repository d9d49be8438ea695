// Package platformstore is a stand-in of the platform's store for tests that run in one
// process.
package platformstore

import (
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// Trouble is what the store does with the calls of a host.
type Trouble int

const (
	// None means that calls are answered.
	None Trouble = iota
	// Refused means that calls are turned away at once.
	Refused
	// Silent means that calls that arrive meanwhile are never answered.
	Silent
)

const (
	// latency is how long an answer takes.
	latency = 4 * time.Millisecond
	// patience is how long a host waits for an answer beyond the time that the
	// call may wait.
	patience = 500 * time.Millisecond
	// DefaultPortion is the number of changes in one answer at most.
	DefaultPortion = 500
)

// Store is a store with a history, in memory. The revision of each change is its place
// in the history, from 1, in the era. The zero value is an empty store that answers. It is
// safe for concurrent use.
type Store struct {
	// Latency replaces the usual one if it isn't zero; negative values mean none.
	// It isn't changed after the first call.
	Latency time.Duration

	mutex   sync.Mutex
	changes []ebonyworks.StoreChange
	// era is that of all changes and dropped.
	era      ebonyworks.StoreEra
	dropped  ebonyworks.StoreRevision
	behind   int
	portion  int
	trouble  Trouble
	troubles map[ebonyworks.HostID]Trouble
	calls    map[ebonyworks.HostID]int
	woken    chan struct{}
}

// Add appends a change and returns its revision.
func (s *Store) Add(change ebonyworks.StoreChange) ebonyworks.StoreRevision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change.Revision = s.revision(len(s.changes) + 1)
	s.changes = append(s.changes, change)
	s.wake()
	return change.Revision
}

// Restore replaces the content by a copy that lacks the given number of newest
// changes, and begins the next era.
func (s *Store) Restore(lost int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.changes = s.changes[:max(0, len(s.changes)-lost)]
	for i := range s.changes {
		s.changes[i].Revision = s.revision(i + 1)
	}
	s.dropped = s.revision(int(s.dropped.InEra()))
	s.wake()
}

// revision returns the revision of the change at the place in the history.
func (s *Store) revision(place int) ebonyworks.StoreRevision {
	return ebonyworks.NewStoreRevision(s.era, uint64(place))
}

// Revision returns that of the newest change.
func (s *Store) Revision() ebonyworks.StoreRevision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision(len(s.changes))
}

// SetTrouble changes what happens to the calls of all hosts. Calls that wait end
// if they are refused, and are never answered if a change comes while the store
// is silent.
func (s *Store) SetTrouble(trouble Trouble) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trouble = trouble
	if trouble == Refused {
		s.wake()
	}
}

// SetTroubleOf changes what happens to the calls of one host. Calls that wait
// stay as they are.
func (s *Store) SetTroubleOf(host ebonyworks.HostID, trouble Trouble) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.troubles == nil {
		s.troubles = make(map[ebonyworks.HostID]Trouble)
	}
	s.troubles[host] = trouble
}

// DropHistory forgets all changes up to the newest; listings that may be old miss
// the given number of changes from then on.
func (s *Store) DropHistory(behind int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropped, s.behind = s.revision(len(s.changes)), behind
	s.wake()
}

// SetBehind sets how many changes listings miss that may be old.
func (s *Store) SetBehind(behind int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behind = behind
}

// Calls returns the number of calls of all hosts.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sum := 0
	for _, calls := range s.calls {
		sum += calls
	}
	return sum
}

// CallsOf returns the number of calls of the host.
func (s *Store) CallsOf(host ebonyworks.HostID) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[host]
}

// Reader returns the store as the host reads it.
func (s *Store) Reader(host ebonyworks.HostID) ebonyworks.StoreReader {
	return reader{store: s, host: host}
}

// wake lets waiting calls look again.
func (s *Store) wake() {
	if s.woken != nil {
		close(s.woken)
		s.woken = nil
	}
}

// changed returns a channel that is closed at the next change.
func (s *Store) changed() <-chan struct{} {
	if s.woken == nil {
		s.woken = make(chan struct{})
	}
	return s.woken
}

func (s *Store) troubleOf(host ebonyworks.HostID) Trouble {
	if s.trouble != None {
		return s.trouble
	}
	return s.troubles[host]
}

type reader struct {
	store *Store
	host  ebonyworks.HostID
}

var (
	errRefused    = &ebonyworks.StoreError{Kind: ebonyworks.StoreRefused, Message: "turned away"}
	errNoAnswer   = &ebonyworks.StoreError{Kind: ebonyworks.StoreUnavailable, Message: "no answer"}
	errEarlierEra = &ebonyworks.StoreError{Kind: ebonyworks.StoreInvalid, Message: "the store is in an earlier era"}
	errNoHistory  = &ebonyworks.StoreError{Kind: ebonyworks.StoreHistoryGone, Message: "history is gone"}
)

// arrive counts a call and returns what happens to it.
func (r reader) arrive() Trouble {
	r.store.mutex.Lock()
	defer r.store.mutex.Unlock()
	if r.store.calls == nil {
		r.store.calls = make(map[ebonyworks.HostID]int)
	}
	r.store.calls[r.host]++
	return r.store.troubleOf(r.host)
}

func (r reader) answerTime() time.Duration {
	if r.store.Latency != 0 {
		return r.store.Latency
	}
	return latency
}

// List returns the newest content, or an older one.
func (r reader) List(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	switch r.arrive() {
	case Refused:
		return ebonyworks.StoreListing{}, errRefused
	case Silent:
		wakeup.Wait(ctx, patience, nil)
		return ebonyworks.StoreListing{}, errNoAnswer
	case None:
	}
	if !wakeup.Wait(ctx, r.answerTime(), nil) {
		return ebonyworks.StoreListing{}, errNoAnswer
	}
	r.store.mutex.Lock()
	defer r.store.mutex.Unlock()
	end := len(r.store.changes)
	if !fresh {
		end = max(0, end-r.store.behind)
	}
	newest := make(map[ebonyworks.ServerID]ebonyworks.StoreChange)
	listing := ebonyworks.StoreListing{AsOf: r.store.revision(end), Complete: true}
	evacuations := make(map[ebonyworks.DomainID]ebonyworks.StoreChange)
	var configuration *ebonyworks.StoreChange
	for i, change := range r.store.changes[:end] {
		switch {
		case change.Configuration != nil:
			configuration = &r.store.changes[i]
		case change.Evacuation != nil && change.Evacuation.Active:
			evacuations[change.Evacuation.Domain] = change
		case change.Evacuation != nil:
			delete(evacuations, change.Evacuation.Domain)
		case change.Registration != nil:
			newest[change.Registration.Server.ID] = change
		default:
			delete(newest, change.Removed)
		}
	}
	for _, change := range newest {
		listing.Changes = append(listing.Changes, change)
	}
	for _, change := range evacuations {
		listing.Changes = append(listing.Changes, change)
	}
	if configuration != nil {
		listing.Changes = append(listing.Changes, *configuration)
	}
	return listing, nil
}

// Watch returns the changes after the revision, a portion at a time.
func (r reader) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	switch r.arrive() {
	case Refused:
		return ebonyworks.StoreListing{}, errRefused
	case Silent:
		wakeup.Wait(ctx, wait+patience, nil)
		return ebonyworks.StoreListing{}, errNoAnswer
	case None:
	}
	if !wakeup.Wait(ctx, r.answerTime(), nil) {
		return ebonyworks.StoreListing{}, errNoAnswer
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		r.store.mutex.Lock()
		listing, ready, err := r.store.after(after)
		switch r.store.trouble {
		case Refused:
			err, ready = errRefused, true
		case Silent:
			// The call hears nothing any more.
			r.store.mutex.Unlock()
			wakeup.Wait(ctx, patience+wait, nil)
			return ebonyworks.StoreListing{}, errNoAnswer
		case None:
		}
		changed := r.store.changed()
		r.store.mutex.Unlock()
		if ready {
			return listing, err
		}
		select {
		case <-changed:
		case <-end.C:
			return ebonyworks.StoreListing{AsOf: after}, nil
		case <-ctx.Done():
			return ebonyworks.StoreListing{}, errNoAnswer
		}
	}
}

// after returns the changes after the revision, and false if there are none.
func (s *Store) after(after ebonyworks.StoreRevision) (listing ebonyworks.StoreListing, ready bool, err error) {
	place := int(after.InEra())
	switch {
	case after.Era() > s.era:
		return ebonyworks.StoreListing{}, true, errEarlierEra
	case after < s.dropped || after.Era() < s.era:
		return ebonyworks.StoreListing{}, true, errNoHistory
	case place >= len(s.changes):
		return ebonyworks.StoreListing{}, false, nil
	}
	portion := s.portion
	if portion == 0 {
		portion = DefaultPortion
	}
	last := min(len(s.changes), place+portion)
	changes := append([]ebonyworks.StoreChange(nil), s.changes[place:last]...)
	return ebonyworks.StoreListing{AsOf: s.revision(last), Changes: changes}, true, nil
}
