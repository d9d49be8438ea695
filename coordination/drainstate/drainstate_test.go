package drainstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
)

const server ebonyworks.ServerID = "stock-finder-01-a"

func report(incarnation ebonyworks.Incarnation, draining bool) ebonyworks.ServerReport {
	return ebonyworks.ServerReport{Server: server, Incarnation: incarnation, Draining: draining}
}

func listed(draining bool) []ebonyworks.ListedHost {
	return []ebonyworks.ListedHost{{Name: string(server), Role: ebonyworks.ServerRole, Leaving: draining}}
}

func fromPeer(incarnation ebonyworks.Incarnation, draining bool) ebonyworks.GossipMessage {
	return ebonyworks.GossipMessage{DrainStates: []ebonyworks.DrainState{{Server: server, Incarnation: incarnation, Draining: draining}}}
}

// Guards against a draining server that becomes usable again in the same incarnation,
// against a new incarnation that stays unused, and against drain states without an
// incarnation that never expire.
func TestSources(t *testing.T) {
	type step struct {
		name     string
		do       func(t *drainstate.Tracker)
		draining bool
	}
	observe := func(incarnation ebonyworks.Incarnation, draining bool) func(*drainstate.Tracker) {
		return func(t *drainstate.Tracker) { t.Observe(report(incarnation, draining)) }
	}
	receive := func(incarnation ebonyworks.Incarnation, draining bool) func(*drainstate.Tracker) {
		return func(t *drainstate.Tracker) { t.Receive(fromPeer(incarnation, draining), time.Time{}) }
	}
	list := func(draining bool) func(*drainstate.Tracker) {
		return func(t *drainstate.Tracker) { t.ObserveList(listed(draining), time.Now()) }
	}
	sleep := func(d time.Duration) func(*drainstate.Tracker) {
		return func(*drainstate.Tracker) { time.Sleep(d) }
	}
	cases := map[string][]step{
		"own reply": {
			{"alive", observe(3, false), false}, {"leaving", observe(3, true), true}, {"late reply", observe(3, false), true},
			{"list says no", list(false), true}, {"older incarnation", observe(2, false), true}, {"new incarnation", observe(4, false), false},
			{"old state", receive(3, true), false}, {"drains again", receive(4, true), true},
		},
		"go away": {
			{"alive", observe(3, false), false},
			{"go away", func(t *drainstate.Tracker) { t.ObserveGoAway(server) }, true},
			{"later", sleep(time.Hour), true}, {"new incarnation", receive(4, false), false},
		},
		"go away of an unknown incarnation": {
			{"go away", func(t *drainstate.Tracker) { t.ObserveGoAway(server) }, true}, {"later", sleep(time.Minute), false},
		},
		"list": {
			{"leaving", list(true), true}, {"replies nevertheless", observe(3, false), true}, {"list says no", list(false), false},
		},
		"list that lags behind a restart": {
			{"alive", observe(3, false), false}, {"leaving", list(true), true}, {"new incarnation", observe(4, false), false},
			{"list still says draining", list(true), false}, {"list is up to date", list(false), false}, {"leaving", list(true), true},
		},
		"list that can't be read any more": {
			{"leaving", list(true), true}, {"50 s", sleep(50 * time.Second), true}, {"70 s", sleep(20 * time.Second), false},
		},
		"peer's state without an incarnation": {
			{"leaving", receive(0, true), true}, {"echo", sleep(20 * time.Second), true},
			{"doesn't renew", receive(0, true), true}, {"expired", sleep(11 * time.Second), false},
		},
		"peer's state ended by a later list": {
			{"leaving", receive(0, true), true}, {"older list", list(false), true}, {"wait", sleep(12 * time.Second), true}, {"list", list(false), false},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := drainstate.New(drainstate.Config{})
				for _, s := range steps {
					s.do(tracker)
					assert.Equal(t, s.draining, tracker.Draining(server), s.name)
					assert.Equal(t, s.draining, len(tracker.DrainStates()) == 1, s.name)
				}
			})
		})
	}
}

// Guards against drain states that are never sent to other hosts, that are echoed
// without end, or that exceed the budget of a message.
func TestContribute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sendNow, changed := 0, 0
		tracker := drainstate.New(drainstate.Config{
			SendNow: func() { sendNow++ },
			Changed: func(ebonyworks.ServerID) { changed++ },
		})
		sent := func(budget int) []ebonyworks.DrainState {
			var message ebonyworks.GossipMessage
			tracker.Contribute(&message, budget)
			return message.DrainStates
		}
		tracker.Observe(report(3, false))
		assert.Empty(t, sent(1000))
		tracker.ObserveList(listed(true), time.Now())
		assert.Equal(t, []ebonyworks.DrainState{{Server: server, Draining: true}}, sent(1000))
		time.Sleep(5 * time.Second)
		assert.Empty(t, sent(1000))
		tracker.Observe(report(3, true))
		assert.Empty(t, sent(10))
		assert.Equal(t, []ebonyworks.DrainState{{Server: server, Incarnation: 3, Draining: true}}, sent(1000))
		tracker.Observe(report(4, false))
		assert.Equal(t, []ebonyworks.DrainState{{Server: server, Incarnation: 4}}, sent(1000))
		for range 100 {
			assert.Len(t, sent(1000), 1)
		}
		assert.Equal(t, 2, sendNow)
		assert.Equal(t, 3, changed)
	})
}
