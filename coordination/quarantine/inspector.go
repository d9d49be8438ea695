// Package quarantine protects servers against requests that crash them: an
// unknown request is sent to one server first (a canary), and a request under which
// two servers crashed is refused for a while.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// blockTime is the time from the last death during which it counts.
	blockTime = time.Minute
	// deathsToBlock is the number of deaths after which nothing is tried.
	deathsToBlock = 2
	// trialTime bounds the wait for an earlier single attempt, and is when an
	// attempt counts as ended if nobody said so.
	trialTime = time.Second
	// settleTime is how long the reports of other hosts may take. A server
	// that has just gone may have died from the same request on another host.
	settleTime = 20 * time.Millisecond
	// restartTime is the advice while the server that died is not back.
	restartTime = 5 * time.Second
	// maxTrials bounds the single attempts that run at a time.
	maxTrials = 4096
)

// Controller implements ebonyworks.TrialInspection. The zero value is usable;
// it is safe for concurrent use.
type Controller struct {
	// Publish sends reports to all peers at once. It must not block. Nil means
	// that only exchanges carry them. It isn't changed after the first use.
	Publish func(reports []ebonyworks.CrashReport)
	// Recorder may be nil. It isn't changed after the first use.
	Recorder ebonyworks.EventRecorder

	mu       sync.Mutex
	safe     safeCache
	suspects suspects
	gone     absences
	trials   map[ebonyworks.Fingerprint]trial
	// changed is closed and replaced when a trial ends or a death is learned.
	changed chan struct{}
}

var _ ebonyworks.SerialQuarantine = (*Controller)(nil)

// trial is a single attempt that may be running on this host.
type trial struct {
	until  time.Time
	server ebonyworks.ServerID
	// deaths is how many were known when the attempt was chosen.
	deaths int
}

// Check returns RunNone after two deaths, RunAll for a fingerprint that
// completed in the last 10 minutes, and RunOne otherwise. One death says little
// of a request that has completed before: a request that crashes every server
// never completes, and servers also go away for other reasons. The refusal says
// that this copy didn't run.
func (i *Controller) Check(fingerprint ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	count, last := i.suspects.count(now, fingerprint)
	switch {
	case count >= deathsToBlock:
		return ebonyworks.VerdictQuarantined, blocked(now, last, false)
	case i.safe.contains(now, fingerprint):
		return ebonyworks.VerdictSafe, nil
	default:
		return ebonyworks.VerdictUntested, nil
	}
}

// ChooseCanary returns the server for a single attempt. It waits up to a second for
// another attempt of the fingerprint on this host. The refusal says that the
// request may have run if any death is known.
func (i *Controller) ChooseCanary(fingerprint ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal) {
	limit := time.Now().Add(trialTime)
	for {
		chosen, refusal, wait, changed := i.tryChoose(fingerprint, shards)
		if wait <= 0 {
			return chosen, refusal
		}
		left := time.Until(limit)
		if left <= 0 {
			return ebonyworks.Canary{}, refuse("the same request is being tried on one server", trialTime, true)
		}
		timer := time.NewTimer(min(wait, left))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryChoose decides at once, or returns how long to wait at most for a
// change.
func (i *Controller) tryChoose(fingerprint ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal, time.Duration, <-chan struct{}) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	count, last := i.suspects.count(now, fingerprint)
	if count >= deathsToBlock {
		return ebonyworks.Canary{}, blocked(now, last, true), 0, nil
	}
	trusted := count == 0 && i.safe.contains(now, fingerprint)
	if running, ok := i.trials[fingerprint]; ok && !trusted && now.Before(running.until) {
		return ebonyworks.Canary{}, nil, running.until.Sub(now), i.change()
	}
	i.gone.update(now, shards)
	choice := choice{fingerprint: fingerprint, reached: i.suspects.reached(now, fingerprint)}
	chosen, ok := choice.first(shards)
	if count > 0 {
		chosen, ok = choice.second(shards)
	}
	if !ok {
		return ebonyworks.Canary{}, refuse("a server went away while it ran this request", restartTime, count > 0), 0, nil
	}
	if wait := i.settling(now, chosen, choice); wait > 0 && count == 0 {
		return ebonyworks.Canary{}, nil, wait, i.change()
	}
	if !i.start(now, fingerprint, chosen.server.ID, count) {
		return ebonyworks.Canary{}, refuse("too many requests are being tried on one server", trialTime, false), 0, nil
	}
	return ebonyworks.Canary{Shard: chosen.replicas.Shard, Server: chosen.server}, nil, 0, nil
}

// settling returns how long a first attempt has to wait for reports because
// it would use the last usable server of a shard whose fixed server has just
// gone.
func (i *Controller) settling(now time.Time, chosen option, choice choice) time.Duration {
	if len(chosen.replicas.Usable) > 1 {
		return 0
	}
	fixed := choice.fixed(chosen.replicas)
	if fixed.ID == chosen.server.ID {
		return 0
	}
	return i.gone.since(fixed.ID).Add(settleTime).Sub(now)
}

// StillAllowed reports whether no death became known since the attempt was
// chosen.
func (i *Controller) StillAllowed(fingerprint ebonyworks.Fingerprint, chosen ebonyworks.Canary) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	count, _ := i.suspects.count(time.Now(), fingerprint)
	running, ok := i.trials[fingerprint]
	if !ok || running.server != chosen.Server.ID {
		return count == 0
	}
	return count <= running.deaths
}

// EndCanary lets the next attempt of the fingerprint start.
func (i *Controller) EndCanary(fingerprint ebonyworks.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.end(fingerprint)
}

// RecordCrash records a death and reports it to all peers.
func (i *Controller) RecordCrash(fingerprint ebonyworks.Fingerprint, server ebonyworks.ServerID, incarnation ebonyworks.Incarnation) {
	report := ebonyworks.CrashReport{Fingerprint: fingerprint, Server: server, Incarnation: incarnation}
	i.mu.Lock()
	i.merge(report)
	i.end(fingerprint)
	i.mu.Unlock()
	i.publish([]ebonyworks.CrashReport{report})
}

// RecordSuccess makes the fingerprint known as safe, clears its deaths, and
// reports that to all peers.
func (i *Controller) RecordSuccess(fingerprint ebonyworks.Fingerprint) {
	now := time.Now()
	i.mu.Lock()
	i.safe.add(now, fingerprint)
	cleared := i.suspects.clear(now, fingerprint)
	i.end(fingerprint)
	i.mu.Unlock()
	i.publish(cleared)
}

// Reports returns the newest reports, for an exchange with a peer.
func (i *Controller) Reports() []ebonyworks.CrashReport {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspects.reports(time.Now())
}

// Quarantined returns the number of fingerprints that are refused.
func (i *Controller) Quarantined() int {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	blocked := 0
	for fingerprint := range i.suspects.deaths {
		if count, _ := i.suspects.count(now, fingerprint); count >= deathsToBlock {
			blocked++
		}
	}
	return blocked
}

// Merge learns from the reports of a peer. The order and the number of copies
// of reports make no difference.
func (i *Controller) Merge(reports []ebonyworks.CrashReport) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, report := range reports {
		i.merge(report)
	}
}

// merge also records the events of a first and a second death.
func (i *Controller) merge(report ebonyworks.CrashReport) {
	now := time.Now()
	before, _ := i.suspects.count(now, report.Fingerprint)
	i.suspects.merge(now, report)
	after, _ := i.suspects.count(now, report.Fingerprint)
	if after <= before {
		return
	}
	i.wake()
	if i.Recorder == nil {
		return
	}
	kind := event.RequestSuspected
	if after >= deathsToBlock {
		kind = event.RequestBlocked
	}
	i.Recorder.Record(event.New(kind,
		event.Attribute("Fingerprint", strconv.FormatUint(uint64(report.Fingerprint), 16)),
		event.Attribute("Server", string(report.Server))))
}

func (i *Controller) publish(reports []ebonyworks.CrashReport) {
	if i.Publish != nil && len(reports) > 0 {
		i.Publish(reports)
	}
}

// start takes the place of the fingerprint's single attempt. It returns false
// if too many run.
func (i *Controller) start(now time.Time, fingerprint ebonyworks.Fingerprint, server ebonyworks.ServerID, deaths int) bool {
	if i.trials == nil {
		i.trials = make(map[ebonyworks.Fingerprint]trial)
	}
	if len(i.trials) >= maxTrials {
		for known, running := range i.trials {
			if !now.Before(running.until) {
				delete(i.trials, known)
			}
		}
	}
	if len(i.trials) >= maxTrials {
		return false
	}
	i.trials[fingerprint] = trial{until: now.Add(trialTime), server: server, deaths: deaths}
	return true
}

func (i *Controller) end(fingerprint ebonyworks.Fingerprint) {
	if _, ok := i.trials[fingerprint]; ok {
		delete(i.trials, fingerprint)
		i.wake()
	}
}

func (i *Controller) change() <-chan struct{} {
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed
}

func (i *Controller) wake() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

func blocked(now, last time.Time, ran bool) *ebonyworks.Refusal {
	return refuse("servers went away while they ran this request", last.Add(blockTime).Sub(now), ran)
}

func refuse(message string, retryAfter time.Duration, ran bool) *ebonyworks.Refusal {
	return &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Message: message, RetryAfter: retryAfter, Ran: ran}
}
