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
	// schedules, and seedVariable the one with the first seed.
	schedulesVariable = "EBONYWORKS_SCHEDULES"
	seedVariable      = "EBONYWORKS_SEED"
	defaultSchedules  = 1000
	scheduleShards    = 10
	departureBound    = 3 * time.Second
	// certainPause is a pause that the host notices in any case.
	certainPause = 1500 * time.Millisecond
)

// Guards against hosts that go back, that become ready on an old
// configuration, that stay behind or disagree about the winner of a race, and
// against leaving servers that stay usable, over random schedules of faults.
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
				bubble(t, seed, size, loss, func(f *fleet) { (&schedule{fleet: f}).run() })
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
	f.settled = s.checkReadiness
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
	mark := s.fleet.publish(s.revision, fmt.Sprintf("content %d", s.revision))
	s.newest = mark
}

// race publishes two siblings; the larger digest must win.
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
		f.arrange(func(i int, n *node) { n.group, n.disturbed = (i+s.servers)%2, time.Now() })
	case 10:
		f.arrange(func(_ int, n *node) { n.group, n.disturbed = 0, time.Now() })
	case 11:
		only := f.intN(len(f.nodes))
		f.arrange(func(i int, n *node) { n.cutOff = i != only })
	case 12:
		s.depart(n)
	}
}

// depart lets one host learn that a server is leaving, from the server itself
// or from the list, and checks that all hosts that it can reach know in time.
func (s *schedule) depart(knower *node) {
	s.servers++
	server := ebonyworks.ServerID(fmt.Sprintf("server-%d", s.servers))
	l := knower.current()
	if l == nil || !l.ready() {
		return
	}
	l.tracker.Observe(ebonyworks.ServerReport{Server: server, Incarnation: 1, Draining: true})
	began := time.Now()
	s.checks.Go(func() {
		time.Sleep(departureBound)
		s.checkDeparture(server, knower, began)
	})
}

func (s *schedule) checkDeparture(server ebonyworks.ServerID, knower *node, began time.Time) {
	f := s.fleet
	f.mu.Lock()
	var reachable []*node
	if knower.up && knower.disturbed.Before(began) {
		for _, n := range f.nodes {
			if n.up && n.group == knower.group && n.disturbed.Before(began) {
				reachable = append(reachable, n)
			}
		}
	}
	f.mu.Unlock()
	for _, n := range reachable {
		if l := n.current(); l != nil && l.ready() && !l.tracker.Draining(server) {
			f.fail("%s uses %s %v after %s knew that it leaves", n.host.ID, server, departureBound, knower.host.ID)
		}
	}
}

// pause stops a host for a while. When it goes on after a long pause, it must
// not be ready at once.
func (s *schedule) pause(n *node) {
	began := time.Now()
	n.pause()
	if s.fleet.intN(2) == 0 {
		s.publish()
	}
	time.Sleep(s.fleet.uniform(200*time.Millisecond, 4*time.Second))
	n.resume()
	if l := n.current(); l != nil && time.Since(began) > certainPause && l.ready() {
		s.fleet.fail("%s is ready right after a pause of %v", n.host.ID, time.Since(began))
	}
}

// checkReadiness fails if a host became ready although a peer that it could
// reach all the time held something newer for a second.
func (s *schedule) checkReadiness(n *node) {
	f := s.fleet
	f.mu.Lock()
	skip, l := !n.up || n.paused != nil, n.life
	f.mu.Unlock()
	if skip {
		return
	}
	ready := l.ready()
	mine := l.edition.Mark()
	f.mu.Lock()
	var ahead []ebonyworks.HostID
	since := time.Now().Add(-time.Second)
	for _, other := range f.nodes {
		reachable := other != n && other.up && other.paused == nil && other.group == n.group && other.disturbed.Before(since)
		if reachable && other.held(since).Compare(mine) > 0 {
			ahead = append(ahead, other.host.ID)
		}
	}
	f.mu.Unlock()
	if ready && len(ahead) > 0 {
		f.fail("%s became ready on revision %d although %v hold a newer one", n.host.ID, mine.Revision, ahead)
	}
}

// recover ends all faults, publishes, and expects the newest configuration
// everywhere and all hosts ready within the bound.
func (s *schedule) recover() {
	f := s.fleet
	f.interrupt(false)
	for replica := range f.replicas {
		f.freeze(replica, false)
	}
	only := f.intN(len(f.nodes))
	onlyOne := f.intN(2) == 0
	f.arrange(func(i int, n *node) { n.group, n.cutOff, n.disturbed = 0, onlyOne && i != only, time.Now() })
	time.Sleep(bound)
	f.expect(f.newestHeld(), "after healing")
	if f.intN(2) == 0 {
		s.race()
	} else {
		s.publish()
	}
	time.Sleep(bound)
	if f.anyHas(s.newest) {
		f.expect(s.newest, "after recovery")
		return
	}
	// The parts of the winner of a race were overwritten before any host
	// could read them; then the sibling is in force everywhere.
	winner := f.nodes[0].current().edition.Mark()
	f.expect(winner, "after a race")
	if winner.Revision != s.revision {
		f.fail("after a race: no head of revision %d is in force", s.revision)
	}
}

// newestHeld returns the newest mark that any host has in force.
func (f *fleet) newestHeld() ebonyworks.ConfigurationVersion {
	var newest ebonyworks.ConfigurationVersion
	for _, n := range f.nodes {
		if l := n.current(); l != nil && l.edition.Mark().Compare(newest) > 0 {
			newest = l.edition.Mark()
		}
	}
	return newest
}

func (f *fleet) anyHas(mark ebonyworks.ConfigurationVersion) bool {
	for _, n := range f.nodes {
		if l := n.current(); l != nil && l.edition.Mark() == mark {
			return true
		}
	}
	return false
}
