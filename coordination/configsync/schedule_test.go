package configsync_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// schedulesVariable is the environment variable with the number of
	// schedules, and seedVariable the one with the seed of the first.
	schedulesVariable = "EBONYWORKS_SCHEDULES"
	seedVariable      = "EBONYWORKS_SEED"
	defaultSchedules  = 1000
	scheduleShards    = 10
	drainBound        = 3 * time.Second
	// detectablePause is a pause that is long enough for the host to detect in
	// any case.
	detectablePause = 1500 * time.Millisecond
)

// Runs random schedules of faults. Guards against hosts that return to an older
// configuration, become ready with an old one, keep an old one or disagree about
// which manifest of one revision wins, and against draining servers that stay
// usable.
func TestSchedules(t *testing.T) {
	count, first := setting(t, schedulesVariable, defaultSchedules), setting(t, seedVariable, 1)
	t.Logf("%d schedules from seed %d", count, first)
	for shard := range scheduleShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < count && !t.Failed(); i += scheduleShards {
				seed := uint64(first + i)
				size := 2 + int(seed%5)
				loss := []float64{0, 0.01}[seed%2]
				runFleet(t, seed, size, loss, func(f *fleet) { (&schedule{fleet: f}).run() })
			}
		})
	}
}

func setting(t *testing.T, name string, fallback int) int {
	t.Helper()
	text, found := os.LookupEnv(name)
	if !found {
		return fallback
	}
	value, err := strconv.Atoi(text)
	require.NoError(t, err)
	return value
}

// schedule is one random sequence of faults on a fleet.
type schedule struct {
	fleet    *fleet
	revision ebonyworks.Revision
	newest   ebonyworks.ConfigurationVersion
	servers  int
	checks   sync.WaitGroup
}

func (s *schedule) run() {
	f := s.fleet
	f.onReady = s.checkReadiness
	f.startAll()
	s.publish()
	for range 10 {
		time.Sleep(f.uniform(100*time.Millisecond, 3*time.Second))
		s.step()
	}
	s.recover()
	s.checks.Wait()
}

func (s *schedule) publish() {
	s.revision++
	version := s.fleet.publish(s.revision, fmt.Sprintf("content %d", s.revision))
	s.newest = version
}

// race publishes two manifests of one revision; the larger digest must win.
func (s *schedule) race() {
	s.revision++
	one := s.fleet.publish(s.revision, fmt.Sprintf("left %d", s.revision))
	time.Sleep(s.fleet.uniform(0, 200*time.Millisecond))
	other := s.fleet.publish(s.revision, fmt.Sprintf("right %d", s.revision))
	s.newest = one
	if other.Compare(one) > 0 {
		s.newest = other
	}
}

func (s *schedule) step() {
	f := s.fleet
	n := f.nodes[f.intN(len(f.nodes))]
	switch f.intN(13) {
	case 0, 1:
		s.publish()
	case 2:
		s.race()
	case 3:
		f.interrupt(true)
	case 4:
		f.interrupt(false)
	case 5:
		f.freeze(f.intN(3), f.intN(2) == 0)
	case 6, 7:
		n.kill()
		time.Sleep(f.uniform(0, time.Second))
		n.start()
	case 8:
		s.pause(n)
	case 9:
		f.update(func(i int, n *node) { n.group, n.disruptedAt = (i+s.servers)%2, time.Now() })
	case 10:
		f.update(func(_ int, n *node) { n.group, n.disruptedAt = 0, time.Now() })
	case 11:
		only := f.intN(len(f.nodes))
		f.update(func(i int, n *node) { n.cutOff = i != only })
	case 12:
		s.announceDrain(n)
	}
}

// announceDrain lets one host learn from a server's report that the server is
// draining, and checks that all hosts that it can reach know it in time.
func (s *schedule) announceDrain(informed *node) {
	s.servers++
	server := ebonyworks.ServerID(fmt.Sprintf("server-%d", s.servers))
	inst := informed.current()
	if inst == nil || !inst.ready() {
		return
	}
	inst.tracker.Observe(ebonyworks.ServerReport{Server: server, Incarnation: 1, Draining: true})
	began := time.Now()
	s.checks.Go(func() {
		time.Sleep(drainBound)
		s.checkDrain(server, informed, began)
	})
}

func (s *schedule) checkDrain(server ebonyworks.ServerID, informed *node, began time.Time) {
	f := s.fleet
	f.mu.Lock()
	var reachable []*node
	if informed.up && informed.disruptedAt.Before(began) {
		for _, n := range f.nodes {
			if n.up && n.group == informed.group && n.disruptedAt.Before(began) {
				reachable = append(reachable, n)
			}
		}
	}
	f.mu.Unlock()
	for _, n := range reachable {
		if inst := n.current(); inst != nil && inst.ready() && !inst.tracker.Draining(server) {
			f.fail("%s doesn't know that %s is draining %v after %s learned it", n.host.ID, server, drainBound, informed.host.ID)
		}
	}
}

// pause suspends a host. When the host is resumed after a long pause, it must not
// be ready at once.
func (s *schedule) pause(n *node) {
	began := time.Now()
	n.pause()
	if s.fleet.intN(2) == 0 {
		s.publish()
	}
	time.Sleep(s.fleet.uniform(200*time.Millisecond, 4*time.Second))
	n.resume()
	if inst := n.current(); inst != nil && time.Since(began) > detectablePause && inst.ready() {
		s.fleet.fail("%s is ready right after a pause of %v", n.host.ID, time.Since(began))
	}
}

// checkReadiness fails if a host became ready although a peer that was reachable
// throughout the last second had a newer configuration in force for that time.
func (s *schedule) checkReadiness(n *node) {
	f := s.fleet
	f.mu.Lock()
	skip, inst := !n.up || n.paused != nil, n.instance
	f.mu.Unlock()
	if skip {
		return
	}
	ready := inst.ready()
	active := inst.activeConfig.Version()
	f.mu.Lock()
	var ahead []ebonyworks.HostID
	since := time.Now().Add(-time.Second)
	for _, other := range f.nodes {
		reachable := other != n && other.up && other.paused == nil && other.group == n.group && other.disruptedAt.Before(since)
		if reachable && other.versionHeld(since).Compare(active) > 0 {
			ahead = append(ahead, other.host.ID)
		}
	}
	f.mu.Unlock()
	if ready && len(ahead) > 0 {
		f.fail("%s became ready on revision %d although %v hold a newer one", n.host.ID, active.Revision, ahead)
	}
}

// recover ends all faults and publishes. It expects the newest configuration in
// force on all hosts, and all hosts ready, within applyBound.
func (s *schedule) recover() {
	f := s.fleet
	f.interrupt(false)
	for replica := range f.replicas {
		f.freeze(replica, false)
	}
	only := f.intN(len(f.nodes))
	onlyOne := f.intN(2) == 0
	f.update(func(i int, n *node) { n.group, n.cutOff, n.disruptedAt = 0, onlyOne && i != only, time.Now() })
	time.Sleep(applyBound)
	f.expect(f.newestHeld(), "after healing")
	if f.intN(2) == 0 {
		s.race()
	} else {
		s.publish()
	}
	time.Sleep(applyBound)
	if f.anyHas(s.newest) {
		f.expect(s.newest, "after recovery")
		return
	}
	// If the parts of the winning manifest were overwritten before any host could
	// read them, the other manifest of the revision is in force everywhere.
	winner := f.nodes[0].current().activeConfig.Version()
	f.expect(winner, "after a race")
	if winner.Revision != s.revision {
		f.fail("after a race: no manifest of revision %d is in force", s.revision)
	}
}

// newestHeld returns the newest version that any host has in force.
func (f *fleet) newestHeld() ebonyworks.ConfigurationVersion {
	var newest ebonyworks.ConfigurationVersion
	for _, n := range f.nodes {
		if inst := n.current(); inst != nil && inst.activeConfig.Version().Compare(newest) > 0 {
			newest = inst.activeConfig.Version()
		}
	}
	return newest
}

func (f *fleet) anyHas(version ebonyworks.ConfigurationVersion) bool {
	for _, n := range f.nodes {
		if inst := n.current(); inst != nil && inst.activeConfig.Version() == version {
			return true
		}
	}
	return false
}
