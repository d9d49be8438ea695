// Package quarantine protects servers against requests that crash them: an unknown
// request is sent to one server first (a canary), and a request under which two
// servers crashed is refused for a while.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	// quarantineTime is how long a crash counts, from the last crash of the
	// fingerprint.
	quarantineTime = time.Minute
	// crashLimit is the number of crashes after which the fingerprint is quarantined.
	crashLimit = 2
	// canaryTimeout bounds the wait for an earlier canary attempt, and is the time
	// after which an attempt counts as ended if EndCanary wasn't called.
	canaryTimeout = time.Second
	// reportDelay is how long the crash reports of other hosts may take. A server that
	// has just become unusable may have crashed from the same request on another host.
	reportDelay = 20 * time.Millisecond
	// restartRetryAfter is the Retry-After time while the server that crashed has not
	// restarted.
	restartRetryAfter = 5 * time.Second
	// maxCanaries bounds the canary attempts that run concurrently.
	maxCanaries = 4096
)

// Controller implements ebonyworks.SerialQuarantine. The zero value is usable; it is
// safe for concurrent use.
type Controller struct {
	// Publish sends reports to all peers at once. It must not block. Nil means that
	// reports are spread by gossip only. It must not be changed after the first use.
	Publish func(reports []ebonyworks.CrashReport)
	// Recorder may be nil. It must not be changed after the first use.
	Recorder ebonyworks.EventRecorder

	mu       sync.Mutex
	safe     safeCache
	crashLog crashLog
	unusable unusableServers
	canaries map[ebonyworks.Fingerprint]canary
	// changed is closed and replaced when a canary attempt ends or a crash becomes
	// known.
	changed chan struct{}
}

var _ ebonyworks.SerialQuarantine = (*Controller)(nil)

// canary is a canary attempt that may be running on this host.
type canary struct {
	until  time.Time
	server ebonyworks.ServerID
	// crashes is how many were known when the attempt was chosen.
	crashes int
}

// Check returns VerdictQuarantined after two crashes, VerdictSafe for a fingerprint
// that completed in the last 10 minutes, and VerdictUntested otherwise. A single crash
// doesn't make a request suspect that has completed before: a request that crashes
// every server never completes, and servers also stop for other reasons. Ran isn't set
// in the refusal, since this copy of the request didn't run.
func (c *Controller) Check(fingerprint ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	count, last := c.crashLog.count(now, fingerprint)
	switch {
	case count >= crashLimit:
		return ebonyworks.VerdictQuarantined, refuseQuarantined(now, last, false)
	case c.safe.contains(now, fingerprint):
		return ebonyworks.VerdictSafe, nil
	default:
		return ebonyworks.VerdictUntested, nil
	}
}

// ChooseCanary returns the server for a canary attempt. It waits up to a second for
// another attempt of the fingerprint on this host. Ran is set in the refusal if any
// crash is known, since the request may have run.
func (c *Controller) ChooseCanary(fingerprint ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal) {
	limit := time.Now().Add(canaryTimeout)
	for {
		chosen, refusal, wait, changed := c.chooseNow(fingerprint, shards)
		if wait <= 0 {
			return chosen, refusal
		}
		left := time.Until(limit)
		if left <= 0 {
			return ebonyworks.Canary{}, refuse("the same request is being tried on one server", canaryTimeout, true)
		}
		timer := time.NewTimer(min(wait, left))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// chooseNow returns a server or a refusal, or how long to wait at most for a change.
func (c *Controller) chooseNow(fingerprint ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal, time.Duration, <-chan struct{}) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	count, last := c.crashLog.count(now, fingerprint)
	if count >= crashLimit {
		return ebonyworks.Canary{}, refuseQuarantined(now, last, true), 0, nil
	}
	isSafe := count == 0 && c.safe.contains(now, fingerprint)
	if running, ok := c.canaries[fingerprint]; ok && !isSafe && now.Before(running.until) {
		return ebonyworks.Canary{}, nil, running.until.Sub(now), c.changes()
	}
	c.unusable.update(now, shards)
	choice := canaryChoice{fingerprint: fingerprint, exposed: c.crashLog.exposed(now, fingerprint)}
	chosen, ok := choice.chooseFirst(shards)
	if count > 0 {
		chosen, ok = choice.chooseSecond(shards)
	}
	if !ok {
		return ebonyworks.Canary{}, refuse("a server went away while it ran this request", restartRetryAfter, count > 0), 0, nil
	}
	if wait := c.reportWait(now, chosen, choice); wait > 0 && count == 0 {
		return ebonyworks.Canary{}, nil, wait, c.changes()
	}
	if !c.start(now, fingerprint, chosen.server.ID, count) {
		return ebonyworks.Canary{}, refuse("too many requests are being tried on one server", canaryTimeout, false), 0, nil
	}
	return ebonyworks.Canary{Shard: chosen.replicas.Shard, Server: chosen.server}, nil, 0, nil
}

// reportWait returns how long a first attempt has to wait for crash reports because it
// would use the last usable server of a shard whose preferred server has just become
// unusable.
func (c *Controller) reportWait(now time.Time, chosen candidate, choice canaryChoice) time.Duration {
	if len(chosen.replicas.Usable) > 1 {
		return 0
	}
	preferred := choice.preferred(chosen.replicas)
	if preferred.ID == chosen.server.ID {
		return 0
	}
	return c.unusable.lookup(preferred.ID).Add(reportDelay).Sub(now)
}

// StillAllowed reports whether no crash became known since the attempt was chosen.
func (c *Controller) StillAllowed(fingerprint ebonyworks.Fingerprint, chosen ebonyworks.Canary) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, _ := c.crashLog.count(time.Now(), fingerprint)
	running, ok := c.canaries[fingerprint]
	if !ok || running.server != chosen.Server.ID {
		return count == 0
	}
	return count <= running.crashes
}

// EndCanary ends the attempt, so that the next attempt of the fingerprint can start.
func (c *Controller) EndCanary(fingerprint ebonyworks.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(fingerprint)
}

// RecordCrash records a crash and reports it to all peers.
func (c *Controller) RecordCrash(fingerprint ebonyworks.Fingerprint, server ebonyworks.ServerID, incarnation ebonyworks.Incarnation) {
	report := ebonyworks.CrashReport{Fingerprint: fingerprint, Server: server, Incarnation: incarnation}
	c.mu.Lock()
	c.merge(report)
	c.end(fingerprint)
	c.mu.Unlock()
	c.publish([]ebonyworks.CrashReport{report})
}

// RecordSuccess marks the fingerprint as safe, clears its crashes, and reports that to
// all peers.
func (c *Controller) RecordSuccess(fingerprint ebonyworks.Fingerprint) {
	now := time.Now()
	c.mu.Lock()
	c.safe.add(now, fingerprint)
	cleared := c.crashLog.clear(now, fingerprint)
	c.end(fingerprint)
	c.mu.Unlock()
	c.publish(cleared)
}

// Reports returns the newest crash reports, for a gossip message.
func (c *Controller) Reports() []ebonyworks.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashLog.reports(time.Now())
}

// Quarantined returns the number of quarantined fingerprints.
func (c *Controller) Quarantined() int {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	quarantined := 0
	for fingerprint := range c.crashLog.crashes {
		if count, _ := c.crashLog.count(now, fingerprint); count >= crashLimit {
			quarantined++
		}
	}
	return quarantined
}

// Merge merges the crash reports of a peer. Merging is commutative and idempotent.
func (c *Controller) Merge(reports []ebonyworks.CrashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, report := range reports {
		c.merge(report)
	}
}

// merge also records events if the report adds a crash.
func (c *Controller) merge(report ebonyworks.CrashReport) {
	now := time.Now()
	before, _ := c.crashLog.count(now, report.Fingerprint)
	c.crashLog.merge(now, report)
	after, _ := c.crashLog.count(now, report.Fingerprint)
	if after <= before {
		return
	}
	c.notifyChanged()
	if c.Recorder == nil {
		return
	}
	kind := event.RequestSuspected
	if after >= crashLimit {
		kind = event.RequestQuarantined
	}
	c.Recorder.Record(event.New(kind,
		event.Attribute("Fingerprint", strconv.FormatUint(uint64(report.Fingerprint), 16)),
		event.Attribute("Server", string(report.Server))))
}

func (c *Controller) publish(reports []ebonyworks.CrashReport) {
	if c.Publish != nil && len(reports) > 0 {
		c.Publish(reports)
	}
}

// start records the canary attempt of the fingerprint. It returns false if too many
// are running.
func (c *Controller) start(now time.Time, fingerprint ebonyworks.Fingerprint, server ebonyworks.ServerID, crashes int) bool {
	if c.canaries == nil {
		c.canaries = make(map[ebonyworks.Fingerprint]canary)
	}
	if len(c.canaries) >= maxCanaries {
		for known, running := range c.canaries {
			if !now.Before(running.until) {
				delete(c.canaries, known)
			}
		}
	}
	if len(c.canaries) >= maxCanaries {
		return false
	}
	c.canaries[fingerprint] = canary{until: now.Add(canaryTimeout), server: server, crashes: crashes}
	return true
}

func (c *Controller) end(fingerprint ebonyworks.Fingerprint) {
	if _, ok := c.canaries[fingerprint]; ok {
		delete(c.canaries, fingerprint)
		c.notifyChanged()
	}
}

func (c *Controller) changes() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

func (c *Controller) notifyChanged() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

func refuseQuarantined(now, last time.Time, ran bool) *ebonyworks.Refusal {
	return refuse("servers went away while they ran this request", last.Add(quarantineTime).Sub(now), ran)
}

func refuse(message string, retryAfter time.Duration, ran bool) *ebonyworks.Refusal {
	return &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Message: message, RetryAfter: retryAfter, Ran: ran}
}
