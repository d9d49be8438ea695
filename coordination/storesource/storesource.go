// Package storesource chooses the source from which a host follows the
// platform's store: the store itself, or another host that reads it.
package storesource

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storereaders"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/event"
)

// Parts of the time in which changes have to be in force.
const (
	// storeWaitPart is how long a watch of the store waits. A watch that was sent
	// while the store was silent is never answered, and has to end within that
	// time after the store is back for long enough to count.
	storeWaitPart = 2.0 / 3
	// gatherPart passes between two watches of the store that show changes.
	// Changes come in bursts, and each call is paid for.
	gatherPart = 1.0 / 6
	// hostWaitPart is how long a watch of another host waits. One that is longer
	// by answerTime shows that the host is lost or frozen.
	hostWaitPart = 1.0 / 6
	// maxAgePart is the age from which what a host tells isn't used. The sum of
	// the above is the age that is reached without any fault.
	maxAgePart = 1.25
	// deputyPart is the time without any source after which the next hosts of a
	// domain read the store, too: twice as many after each further such time.
	deputyPart = 1.0 / 12
	// forgottenPart is how long the return of the store is passed on.
	forgottenPart = 2.0
)

const (
	// maxDeputies bounds the hosts of a domain that read the store while nobody
	// knows its state, so that an outage costs no call of each host of the fleet.
	maxDeputies = 4
	// answerTime is what another host gets to answer beyond the wait.
	answerTime = 400 * time.Millisecond
	// listTime is what another host gets to send everything.
	listTime = time.Second
	// firstAvoidTime and maxAvoidTime bound how long a host isn't asked after it
	// failed; the time doubles with each further failure.
	firstAvoidTime = time.Second
	maxAvoidTime   = 8 * time.Second
	// staleAvoidTime is how long a host isn't asked that has no source itself.
	staleAvoidTime = 250 * time.Millisecond
	// lostAsks is the number of hosts, besides the first one of the domain, that
	// are asked at a time while nobody knows the state of the store.
	lostAsks = 2
	// firstStorePause and maxStorePause bound the pause after a failed call of
	// the store while other hosts know its state, and lostStorePause while nobody
	// does.
	firstStorePause = 250 * time.Millisecond
	maxStorePause   = 3 * time.Second
	lostStorePause  = time.Second
	// startPatience is how long a host that starts looks for others that know the
	// store, plus up to as much again, before it reads the store itself. Seeds
	// that work answer within milliseconds. At the first start of the fleet, seeds
	// start as well, and no caller waits.
	startPatience      = 50 * time.Millisecond
	firstStartPatience = 500 * time.Millisecond
	// readerPatience is the same for the first host of a domain, from when it has
	// met another host: if all hosts start together, the others wait for it.
	readerPatience = 250 * time.Millisecond
	// startInterval is the time between two looks, and startAvoidTime that between
	// two questions to one host, which may be starting as well.
	startInterval  = 5 * time.Millisecond
	startAvoidTime = 50 * time.Millisecond
	// viewTime is how long an order of the hosts is used.
	viewTime = 500 * time.Millisecond
	// backlog is the number of changes in one watch from which more are taken to
	// wait, as after an outage: the store returns some hundred at a time.
	backlog = 100
	// transitTime is the way of a message at most, where it can't be told from the
	// wait.
	transitTime = 100 * time.Millisecond
	// returnError is how much later than known a return of the store has to be to
	// be another one. Each host that passes it on adds the way of a message.
	returnError = time.Second
	// maxVia bounds the hosts between the store and one that is followed.
	maxVia = 3
	// maxAvoided bounds the hosts that aren't asked; the roster has no more.
	maxAvoided = 4096
)

// FailoverReader is a StoreReader that uses one of several sources. One host of each
// domain reads the store, and the others follow it; the next one takes its place
// when it is lost, frozen, cut off or turned away. A source that fails is passed
// over at once, and an error is returned only if there is none that knows the
// state of the store. Its fields are set before the first use.
type FailoverReader struct {
	Self  ebonyworks.Host
	Store ebonyworks.StoreReader
	// Peers reads through other hosts; nil if there are none.
	Peers ebonyworks.StorePeer
	// Alive returns the other hosts that are alive. It isn't used if Peers is nil.
	Alive func() []ebonyworks.Host
	// Seed is set if others find each other through this host, so that it has
	// nobody to ask when it starts.
	Seed bool
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// ApplyTime is the time in which changes have to be in force. Zero means
	// three seconds.
	ApplyTime time.Duration
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Random spreads the calls of hosts. It must not be shared.
	Random *rand.Rand

	mutex sync.Mutex
	// confirmed is when the store said, to this host or another one, that nothing
	// newer was in it; zero if that isn't known.
	confirmed time.Time
	// returned is when the store came back after an outage; zero if there was none.
	returned time.Time
	// lostAt is since when there is no source; zero while there is one.
	lostAt time.Time
	// abandoned is closed when there is no source any more; nil while nobody waits for
	// that.
	abandoned chan struct{}
	// silentSince is when the first long watch was sent that the store left unanswered;
	// zero while it answers. Short ones don't tell silence from a refusal.
	silentSince time.Time
	// othersLost is set if another host said, since there was a source, that it
	// had none either: then it is the store that is away.
	othersLost bool
	// avoided has at most maxAvoided entries.
	avoided map[ebonyworks.HostID]*avoidance
	// storeFailures counts failed calls of the store since the last good one, and
	// storeAt is when the next one is worth a try.
	storeFailures int
	storeAt       time.Time
	// gatherUntil is when the next watch of the store may be sent.
	gatherUntil time.Time
	// source is the host that is followed; this one if it reads the store.
	source ebonyworks.HostID
	// leader is the last other host that was followed, and via are the hosts
	// between it and the store.
	leader ebonyworks.Host
	via    []ebonyworks.HostID
	// hint is a host that said that it knows the state of the store.
	hint ebonyworks.Host
	// order is the readership of the alive hosts as of orderAt.
	order   storereaders.Readership
	alive   []ebonyworks.Host
	orderAt time.Time
	calls   uint64
	// trouble is what was last wrong with a source, for the log.
	trouble string
	// behind is set if the last watch was given up since other hosts know more than
	// its source has shown.
	behind bool
}

var _ ebonyworks.StoreReader = (*FailoverReader)(nil)

// errNoSource is returned while nobody knows the state of the store.
var errNoSource = &ebonyworks.StoreError{Kind: ebonyworks.StoreUnavailable, Message: "neither the store nor another host answers"}

// List reads everything: a fresh listing from the store, and an old one from
// another host if one is found soon.
func (u *FailoverReader) List(ctx context.Context, fresh bool) (ebonyworks.StoreListing, error) {
	if !fresh && u.Peers != nil && !u.Seed {
		if listing, ok := u.listFromHosts(ctx); ok {
			return listing, nil
		}
	}
	asked := time.Now()
	listing, err := u.Store.List(ctx, fresh)
	u.ended(ctx, err)
	if err != nil {
		return ebonyworks.StoreListing{}, err
	}
	if fresh {
		u.confirm(asked)
	}
	listing.SinceRecovery = u.SinceRecovery()
	return listing, nil
}

// listFromHosts asks the hosts that become known for a while.
func (u *FailoverReader) listFromHosts(ctx context.Context) (ebonyworks.StoreListing, bool) {
	patience := startPatience
	if u.FirstStart {
		patience = firstStartPatience
	}
	deadline := time.Now().Add(patience + u.random(patience))
	var met time.Time
	for time.Now().Before(deadline) {
		order := u.currentReadership(time.Now())
		if met.IsZero() && len(order.Others()) > 0 {
			met = time.Now()
		}
		if order.Rank() == 0 && !met.IsZero() && time.Since(met) >= readerPatience {
			return ebonyworks.StoreListing{}, false
		}
		for _, host := range append(order.Before(), order.Others()...) {
			if u.isAvoided(host.ID, time.Now()) {
				continue
			}
			if report, ok := u.ask(ctx, host, 0, 0, listTime); ok {
				u.follow(host, &report)
				u.forgive()
				return report.StoreListing, true
			}
			if ctx.Err() != nil || !time.Now().Before(deadline) {
				return ebonyworks.StoreListing{}, false
			}
			u.mutex.Lock()
			u.avoid(host.ID, time.Now(), startAvoidTime).failures = 0
			u.mutex.Unlock()
		}
		if !wakeup.Wait(ctx, startInterval, nil) {
			break
		}
	}
	return ebonyworks.StoreListing{}, false
}

// Watch returns the changes after the revision, from the best source that knows
// the state of the store.
func (u *FailoverReader) Watch(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	if u.Peers == nil {
		listing, err := u.watchStore(ctx, after, wait)
		if err != nil && !ebonyworks.IsHistoryGone(err) {
			u.lost(ctx)
		}
		return listing, err
	}
	defer u.checkBehind(ctx)
	order := u.readership(time.Now())
	before, others := u.candidates(order)
	if u.takeBehind() {
		if listing, ok := u.news(ctx, append(slices.Clone(before), others...), after); ok {
			return listing, nil
		}
	}
	reads := u.mayRead(order, time.Now())
	if !reads {
		before = append(before, u.followed()...)
	}
	if listing, ok := u.watchHosts(ctx, before, after, wait); ok {
		return listing, nil
	}
	if ctx.Err() != nil {
		return ebonyworks.StoreListing{}, errNoSource
	}
	reads = u.mayRead(order, time.Now())
	if reads {
		listing, err := u.watchStore(ctx, after, wait)
		if err == nil || ebonyworks.IsHistoryGone(err) {
			return listing, err
		}
	}
	if listing, ok := u.firstAnswer(ctx, others, after); ok {
		return listing, nil
	}
	if !reads && ctx.Err() == nil && u.isAlone(append(order.Before(), others...)) {
		return u.watchStore(ctx, after, wait)
	}
	u.lost(ctx)
	return ebonyworks.StoreListing{}, errNoSource
}

// watchHosts follows the first of the hosts. If it fails, the others are asked at
// once for what they know by now.
func (u *FailoverReader) watchHosts(ctx context.Context, hosts []ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, bool) {
	first := slices.IndexFunc(hosts, func(host ebonyworks.Host) bool { return !u.isAvoided(host.ID, time.Now()) })
	if first < 0 {
		return ebonyworks.StoreListing{}, false
	}
	if listing, ok := u.watchHost(ctx, hosts[first], after, wait); ok {
		return listing, true
	}
	return u.firstAnswer(ctx, hosts[first+1:], after)
}

// watchStore watches the store itself.
func (u *FailoverReader) watchStore(ctx context.Context, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, error) {
	u.mutex.Lock()
	pause := time.Until(u.gatherUntil)
	if u.storeFailures > 0 {
		wait = min(wait, time.Millisecond)
	}
	u.mutex.Unlock()
	if !wakeup.Wait(ctx, pause, nil) {
		return ebonyworks.StoreListing{}, errNoSource
	}
	wait = min(wait, u.part(storeWaitPart))
	sent := time.Now()
	listing, err := u.Store.Watch(ctx, after, wait)
	now := time.Now()
	if err != nil && ctx.Err() == nil && wait >= u.part(hostWaitPart) && now.Sub(sent) >= wait {
		u.noteSilence(sent)
	}
	recovered := u.ended(ctx, err)
	if err != nil {
		return ebonyworks.StoreListing{}, err
	}
	if len(listing.Changes) < backlog {
		u.confirm(now)
	}
	u.mutex.Lock()
	u.gatherUntil = time.Time{}
	if !recovered && len(listing.Changes) > 0 && len(listing.Changes) < backlog {
		u.gatherUntil = now.Add(wakeup.Spread(u.part(gatherPart), u.Random))
	}
	u.mutex.Unlock()
	listing.SinceRecovery = u.SinceRecovery()
	return listing, nil
}

// ended learns from a call of the store, and reports whether the store was away
// before.
func (u *FailoverReader) ended(ctx context.Context, err error) bool {
	now := time.Now()
	u.mutex.Lock()
	u.calls++
	recovered := u.storeFailures > 0
	switch {
	case err == nil:
		if !u.lostAt.IsZero() && (recovered || u.othersLost) {
			u.returned = now
		}
		u.storeFailures = 0
		u.silentSince = time.Time{}
		u.lostAt = time.Time{}
		u.othersLost = false
	case ctx.Err() != nil || ebonyworks.IsHistoryGone(err):
	default:
		u.storeFailures++
		u.trouble = "store: " + err.Error()
		pause := min(firstStorePause<<min(u.storeFailures-1, 8), maxStorePause)
		if !u.lostAt.IsZero() {
			pause = min(pause, lostStorePause)
		}
		u.storeAt = now.Add(wakeup.Spread(pause, u.Random))
	}
	u.mutex.Unlock()
	if err == nil {
		u.use(u.Self.ID)
	}
	return recovered
}

// lost notes that there is no source.
func (u *FailoverReader) lost(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	u.mutex.Lock()
	first := u.lostAt.IsZero()
	if first {
		u.lostAt = time.Now()
		if u.abandoned != nil {
			close(u.abandoned)
			u.abandoned = nil
		}
	}
	u.mutex.Unlock()
	if first {
		u.use("")
	}
}

// watchHost follows another host.
func (u *FailoverReader) watchHost(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, wait time.Duration) (ebonyworks.StoreListing, bool) {
	wait = min(wait, u.part(hostWaitPart))
	if u.hasFailed(host.ID) {
		// One that was frozen shows at once whether it answers.
		wait = 0
	}
	report, ok := u.ask(ctx, host, after, wait, wait+answerTime)
	if !ok {
		return ebonyworks.StoreListing{}, false
	}
	u.follow(host, &report)
	return report.StoreListing, true
}

// follow notes what a host told.
func (u *FailoverReader) follow(host ebonyworks.Host, report *ebonyworks.StoreReport) {
	now := time.Now()
	u.confirm(now.Add(-report.Age))
	u.mutex.Lock()
	u.lostAt = time.Time{}
	u.othersLost = false
	u.leader, u.via = host, report.Via
	if report.SinceRecovery > 0 {
		if returned := now.Add(-report.SinceRecovery); returned.Sub(u.returned) > returnError {
			u.returned = returned
		}
	}
	u.mutex.Unlock()
	u.use(host.ID)
}

// use records a change of the source.
func (u *FailoverReader) use(source ebonyworks.HostID) {
	u.mutex.Lock()
	before := u.source
	u.source = source
	trouble := u.trouble
	u.trouble = ""
	u.mutex.Unlock()
	if before == source || u.Recorder == nil {
		return
	}
	u.Recorder.Record(event.New(event.SourceChanged,
		event.Attribute("Source", u.name(source)),
		event.Attribute("Before", u.name(before)),
		event.Attribute("Trouble", trouble)))
}

// name returns how the log calls a source.
func (u *FailoverReader) name(source ebonyworks.HostID) string {
	switch source {
	case u.Self.ID:
		return "store"
	case "":
		return "none"
	default:
		return "host " + string(source)
	}
}

// part returns a part of the time in which changes have to be in force.
func (u *FailoverReader) part(of float64) time.Duration {
	applyTime := u.ApplyTime
	if applyTime <= 0 {
		applyTime = ebonyworks.DefaultApplyTime
	}
	return time.Duration(of * float64(applyTime))
}

// random returns a duration up to the given one.
func (u *FailoverReader) random(most time.Duration) time.Duration {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.Random == nil {
		return 0
	}
	return time.Duration(u.Random.Float64() * float64(most))
}
