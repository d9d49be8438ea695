package configsync_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
)

// fleetSizeVariable is the environment variable that adds a fleet of its size to
// the scale tests.
const fleetSizeVariable = "EBONYWORKS_FLEET"

// Guards against a load on the configuration service that grows in proportion to
// the fleet, and against a thundering herd when the service returns after an
// outage.
func TestPlatformCalls(t *testing.T) {
	// The bounds are calls per second: in normal operation, in the busiest
	// second after an outage, and on average in the minute after it.
	cases := []struct {
		size                 int
		normal, peak, minute float64
	}{
		{size: 8, normal: 10, peak: 30, minute: 12},
		{size: 32, normal: 20, peak: 100, minute: 25},
	}
	if text, found := os.LookupEnv(fleetSizeVariable); found {
		size, err := strconv.Atoi(text)
		assert.NoError(t, err)
		cases = append(cases, cases[1])
		cases[2].size, cases[2].normal, cases[2].peak, cases[2].minute = size, 60, 800, 150
	}
	for _, test := range cases {
		t.Run(strconv.Itoa(test.size), func(t *testing.T) {
			t.Parallel()
			runFleet(t, 1, test.size, 0.01, func(f *fleet) {
				f.startAll()
				f.publish(1, "one")
				time.Sleep(30 * time.Second)
				f.expect(f.newestHeld(), "start")
				normal := f.rate(time.Minute)
				peerCalls := f.peerCallRate(10 * time.Second)
				f.interrupt(true)
				time.Sleep(30 * time.Second)
				during := f.rate(10 * time.Second)
				stale := f.staleHosts()
				f.interrupt(false)
				version := f.publish(2, "two")
				peak, total := 0.0, 0.0
				for second := range 60 {
					rate := f.rate(time.Second)
					peak, total = max(peak, rate), total+rate
					if second == 4 {
						f.expect(version, "5 s after the outage")
					}
				}
				t.Logf("%d hosts: platform calls/s: normal %.1f, during an outage %.1f, after it: peak %.0f, minute %.1f; peer calls/s and host: %.2f; stale during/after: %d/%d",
					test.size, normal, during, peak, total/60, peerCalls, stale, f.staleHosts())
				assert.LessOrEqual(t, normal, test.normal)
				assert.LessOrEqual(t, peak, test.peak)
				assert.LessOrEqual(t, total/60, test.minute)
				assert.Equal(t, test.size, stale)
				assert.Zero(t, f.staleHosts())
			})
		})
	}
}

// rate measures the calls to the platform per second over the given time.
func (f *fleet) rate(during time.Duration) float64 {
	before := f.count(&f.calls)
	time.Sleep(during)
	return float64(f.count(&f.calls)-before) / during.Seconds()
}

// peerCallRate measures the calls between hosts per second and host.
func (f *fleet) peerCallRate(during time.Duration) float64 {
	before := f.count(&f.peerCalls)
	time.Sleep(during)
	return float64(f.count(&f.peerCalls)-before) / during.Seconds() / float64(len(f.nodes))
}

func (f *fleet) count(counter *int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *counter
}

func (f *fleet) staleHosts() int {
	stale := 0
	for _, n := range f.nodes {
		if inst := n.current(); inst != nil && inst.syncer.Stale() {
			stale++
		}
	}
	return stale
}

// Guards against drain states that are piggybacked only on periodic probes, which
// is too slow in a large fleet: a drain that a reply or the host list shows must be
// known to all hosts within 3 s.
func TestDrainStateReachesLargeFleet(t *testing.T) {
	runFleet(t, 1, 48, 0.01, func(f *fleet) {
		f.startAll()
		f.publish(1, "one")
		time.Sleep(20 * time.Second)
		observer := f.nodes[7].current().tracker
		observer.Observe(ebonyworks.ServerReport{Server: "replying", Incarnation: 4, Draining: true})
		f.update(func(int, *node) { f.draining["listed"] = true })
		time.Sleep(drainBound)
		for _, server := range []ebonyworks.ServerID{"replying", "listed"} {
			for _, n := range f.nodes {
				if !n.current().tracker.Draining(server) {
					f.fail("%s doesn't know that %s is draining", n.host.ID, server)
				}
			}
		}
		observer.Observe(ebonyworks.ServerReport{Server: "replying", Incarnation: 5})
		f.update(func(int, *node) { f.draining["listed"] = false })
		time.Sleep(45 * time.Second)
		for _, server := range []ebonyworks.ServerID{"replying", "listed"} {
			for _, n := range f.nodes {
				if n.current().tracker.Draining(server) {
					f.fail("%s considers %s draining after it returned", n.host.ID, server)
				}
			}
		}
	})
}

// Guards against a first start with an old configuration that a single stale
// replica of the service returned.
func TestFirstStartNeedsEqualReads(t *testing.T) {
	runFleet(t, 1, 1, 0, func(f *fleet) {
		f.onReady = func(n *node) {
			if calls := f.count(&f.calls); n.current().ready() && calls < 4 {
				f.fail("ready after %d calls", calls)
			}
		}
		f.publish(1, "one")
		f.startAll()
		time.Sleep(applyBound)
		f.expect(f.newestHeld(), "single host")
		f.nodes[0].kill()
		f.interrupt(true)
		f.startAll()
		time.Sleep(time.Minute)
		if f.nodes[0].current().ready() {
			f.fail("ready without a peer and without the service")
		}
	})
}
