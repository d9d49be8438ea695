package serverstate_test

import (
	"fmt"
	mathrand "math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

func shed(backoff time.Duration) ebonyworks.AttemptRecord {
	return ebonyworks.AttemptRecord{Server: "a", Result: ebonyworks.AttemptShed, RetryAfter: backoff}
}

func says(server ebonyworks.ServerID, life ebonyworks.Incarnation) ebonyworks.AttemptRecord {
	return ebonyworks.AttemptRecord{Server: server, Result: ebonyworks.AttemptServed, Report: ebonyworks.ServerReport{Incarnation: life, Draining: true}}
}

// Guards against a backoff that is cut short, or doesn't end, and against requests that
// all come back at its end.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &serverstate.Table{ProbeByRequest: true}
		r.MergeDrainState(ebonyworks.DrainState{Server: "a", Incarnation: 1})
		r.Observe(shed(4 * time.Second))
		time.Sleep(time.Second)
		r.Observe(shed(time.Second))
		candidates := func() ebonyworks.Candidate { return r.Candidates(service, searches, "Sapporo", nil)[0] }
		assert.GreaterOrEqual(t, candidates().Backoff, 3*time.Second, "a shorter time doesn't end the backoff")
		assert.False(t, candidates().Probe)
		assert.Empty(t, r.DueForStatus(service.Servers[:1], 1))
		_, backoff := r.CountUnavailable()
		assert.Equal(t, 1, backoff)
		time.Sleep(3 * time.Second)
		assert.LessOrEqual(t, candidates().Backoff, 500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		assert.Zero(t, candidates().Backoff)
		assert.Less(t, candidates().Share, 0.3)
		time.Sleep(4 * time.Second)
		assert.InDelta(t, 1, candidates().Share, 1e-9)
	})
}

// Guards against a backoff of some nanoseconds that takes down every request to the
// service.
func TestShortestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for length := time.Duration(1); length < time.Second; length *= 3 {
			r := &serverstate.Table{}
			r.Observe(shed(length))
			time.Sleep(3 * length)
			candidate := r.Candidates(service, searches, "Sapporo", nil)[0]
			assert.Zero(t, candidate.Backoff, length)
			assert.InDelta(t, 1, candidate.Share, 1e-9, length)
		}
	})
}

// Guards against hosts that return to a server at one moment.
func TestHostsReturnOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[time.Duration]bool)
		for i := range 50 {
			r := &serverstate.Table{Random: mathrand.New(mathrand.NewPCG(uint64(i), 7))}
			r.Observe(shed(4 * time.Second))
			backoff := r.Availability("a").Backoff
			assert.GreaterOrEqual(t, backoff, 4*time.Second)
			seen[backoff.Round(10*time.Millisecond)] = true
		}
		assert.Greater(t, len(seen), 20)
	})
}

// Guards against what one life of a server said being applied to another, or
// forgotten while its registration lapses.
func TestAvailability(t *testing.T) {
	leave := func(r *serverstate.Table) { r.Observe(says("a", 2)) }
	backOff := func(r *serverstate.Table) { r.Observe(shed(time.Hour)) }
	lapse := func(r *serverstate.Table) {
		r.RetainServers(map[ebonyworks.ServerID]bool{"b": true})
		r.RetainServers(map[ebonyworks.ServerID]bool{"a": true, "b": true})
	}
	life := func(incarnation ebonyworks.Incarnation) func(*serverstate.Table) {
		return func(r *serverstate.Table) { r.MergeDrainState(ebonyworks.DrainState{Server: "a", Incarnation: incarnation}) }
	}
	earlier := func(r *serverstate.Table) {
		r.Observe(says("a", 1))
		r.RecordDrainAnnouncement(ebonyworks.DrainState{Server: "a", Incarnation: 1, Draining: true})
		r.Observe(ebonyworks.AttemptRecord{Server: "a", RetryAfter: time.Hour, Report: ebonyworks.ServerReport{Incarnation: 1}})
	}
	announce := func(r *serverstate.Table) {
		r.RecordDrainAnnouncement(ebonyworks.DrainState{Server: "a", Incarnation: 2, Draining: true})
	}
	foreign := func(r *serverstate.Table) {
		r.Observe(ebonyworks.AttemptRecord{Server: "a", Report: ebonyworks.ServerReport{Server: "b", Incarnation: 2, Draining: true}})
	}
	for _, test := range []struct {
		name  string
		steps []func(*serverstate.Table)
		taken bool
	}{
		{"leaves", []func(*serverstate.Table){leave}, false},
		{"leaves, lapses", []func(*serverstate.Table){leave, lapse}, false},
		{"leaves, lapses, same life", []func(*serverstate.Table){leave, lapse, life(2)}, false},
		{"leaves, old reading", []func(*serverstate.Table){leave, life(1)}, false},
		{"leaves, new life", []func(*serverstate.Table){leave, life(3)}, true},
		{"leaves, lapses, new life", []func(*serverstate.Table){leave, lapse, life(3)}, true},
		{"backoff", []func(*serverstate.Table){backOff}, false},
		{"backoff, lapses, same life", []func(*serverstate.Table){backOff, lapse, life(2)}, false},
		{"backoff, new life", []func(*serverstate.Table){backOff, life(3)}, true},
		{"earlier life", []func(*serverstate.Table){earlier}, true},
		{"told by a peer", []func(*serverstate.Table){announce}, false},
		{"told by a peer, lapses", []func(*serverstate.Table){announce, lapse}, false},
		{"another server's report", []func(*serverstate.Table){foreign}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &serverstate.Table{}
			life(2)(r)
			for _, step := range test.steps {
				step(r)
			}
			assert.Equal(t, test.taken, r.Availability("a").Available())
			assert.Equal(t, test.taken, !r.Unavailable()["a"])
		})
	}
}

// Guards against state for servers that left long ago.
func TestTombstonesAreBounded(t *testing.T) {
	r := &serverstate.Table{}
	for i := range 6000 {
		id := ebonyworks.ServerID(fmt.Sprint(i))
		r.Observe(says(id, 1))
		if i%100 == 99 {
			r.RetainServers(nil)
		}
	}
	r.RetainServers(map[ebonyworks.ServerID]bool{"0": true, "5999": true})
	assert.True(t, r.Availability("0").Available(), "the oldest is forgotten")
	assert.False(t, r.Availability("5999").Available())
}

// Guards against work for a server that the store says is leaving, and for one whose
// time of grace has passed.
func TestGraceOfLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &serverstate.Table{DrainGrace: time.Second}
		offered := func() int { return len(r.Candidates(service, searches, "Sapporo", nil)) }
		whole := offered()
		r.Observe(says(service.Servers[0].ID, 1))
		assert.Equal(t, whole-1, offered(), "another server takes requests")
		for _, server := range service.Servers[1:] {
			r.MergeDrainState(ebonyworks.DrainState{Server: server.ID, Incarnation: 1, Draining: true})
		}
		// A message of an earlier life opens no time of grace.
		r.RecordDrainAnnouncement(ebonyworks.DrainState{Server: service.Servers[1].ID, Incarnation: 0, Draining: true})
		assert.Equal(t, 1, offered(), "only the one that said so itself")
		assert.True(t, r.Availability(service.Servers[0].ID).Available())
		time.Sleep(time.Second)
		assert.Zero(t, offered())
		assert.True(t, r.Availability(service.Servers[0].ID).Draining)
	})
}
