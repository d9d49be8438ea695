package fanout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
)

const (
	// fleetHosts share the servers.
	fleetHosts = 4
	// serverSlots and serverQueue are those of each server.
	serverSlots = 2
	serverQueue = 12
	// longWork and shortWork are the mean work of the routes /all/ and /quick/.
	longWork  = 11 * time.Millisecond
	shortWork = 4 * time.Millisecond
	// loadTime is how long one load lasts.
	loadTime = 5 * time.Second
)

// slotServer has two slots and a queue, and sheds what doesn't fit.
type slotServer struct {
	slots  chan struct{}
	queued int
}

// fleet is several hosts in front of servers with slots.
type fleet struct {
	*world
	hosts   []*fanout.Forwarder
	servers map[ebonyworks.ServerID]*slotServer
	random  *rand.Rand
	// ran holds the requests that a server began to run.
	ran map[ebonyworks.RequestID]bool
	// begun is when the servers' pauses began; zero without pauses.
	begun time.Time
	// sent counts the requests that reached a server.
	sent int
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{world: newWorld(t), servers: make(map[ebonyworks.ServerID]*slotServer), random: rand.New(rand.NewPCG(3, 4)), ran: make(map[ebonyworks.RequestID]bool)}
	for i := range shardCount {
		for _, replica := range []string{"a", "b"} {
			f.servers[server(i, replica)] = &slotServer{slots: make(chan struct{}, serverSlots)}
		}
	}
	for i := range uint64(fleetHosts) {
		f.hosts = append(f.hosts, f.forwarder(f, f.Table, rand.New(rand.NewPCG(i, 5)), fleetHosts, fleetHosts))
	}
	return f
}

// Send runs the request in a slot of the server.
func (f *fleet) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	f.mutex.Lock()
	target := f.servers[to.ID]
	if target.queued >= serverQueue {
		f.mutex.Unlock()
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptShed}
	}
	target.queued++
	f.sent++
	mean := longWork
	if request.Target[:3] == "/qu" {
		mean = shortWork
	}
	work := time.Duration((0.5 + f.random.Float64()) * float64(mean))
	begun := f.begun
	f.mutex.Unlock()
	select {
	case target.slots <- struct{}{}:
	case <-ctx.Done():
		f.leaveQueue(target, "")
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptCanceled}
	}
	defer func() { <-target.slots }()
	f.leaveQueue(target, request.ID)
	if !begun.IsZero() {
		work += pauseLeft(to.ID, time.Since(begun))
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptTimeout}
	}
	f.mutex.Lock()
	report := ebonyworks.ServerReport{Server: to.ID, SlotsBusy: len(target.slots), Queued: target.queued}
	f.mutex.Unlock()
	return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptServed, Report: report, Response: ebonyworks.ServerResponse{Status: 200, Signature: "of-" + string(to.ID), Body: make([]byte, 16)}}
}

// leaveQueue takes a request off the queue; it runs unless the id is empty.
func (f *fleet) leaveQueue(target *slotServer, id ebonyworks.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	target.queued--
	if id != "" {
		f.ran[id] = true
	}
}

// tally counts the ends of requests.
type tally struct {
	asked, inTime, late, refused, slowlyRefused, failed int
}

func (t *tally) add(kind ebonyworks.ReplyKind, elapsed, aim time.Duration) {
	t.asked++
	switch {
	case kind == ebonyworks.ReplyMerged && elapsed <= aim:
		t.inTime++
	case kind == ebonyworks.ReplyMerged:
		t.late++
	case kind == ebonyworks.ReplyRefused:
		t.refused++
		if elapsed > aim/4 {
			t.slowlyRefused++
		}
	default:
		t.failed++
	}
}

// load sends requests to /all/ and a third as many to /quick/ for loadTime, and
// returns how they ended.
func (f *fleet) load(perSecond int) (long, short *tally) {
	long, short = &tally{}, &tally{}
	var asking sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	refused := make(map[ebonyworks.RequestID]bool)
	for i := range int(loadTime / interval) {
		time.Sleep(interval)
		path, aim, patience, of := "/all/", target, timeout, long
		if i%4 == 3 {
			path, aim, patience, of = "/quick/", target/2, timeout/2, short
		}
		asking.Go(func() {
			begin := time.Now()
			id := ebonyworks.RequestID(fmt.Sprint(path, perSecond, i))
			reply := f.hosts[i%fleetHosts].Forward(context.Background(), &ebonyworks.ForwardRequest{ID: id, Host: "h", Method: "GET", Target: string(id), Arrival: begin, CallerTimeout: patience})
			f.mutex.Lock()
			defer f.mutex.Unlock()
			of.add(reply.Kind, time.Since(begin), aim)
			if reply.Kind == ebonyworks.ReplyRefused {
				refused[id] = true
			}
		})
	}
	asking.Wait()
	time.Sleep(time.Second)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id := range refused {
		if f.ran[id] {
			long.failed += long.asked
		}
	}
	return long, short
}

// Guards against a queue that makes every answer late: five times as many
// requests arrive as on a calm day, and twice as many as the servers can finish.
// A queue that is bounded by the deadline only would delay all of them to it.
func TestBurstIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		long, short := f.load(120)
		t.Logf("calm: %+v %+v", *long, *short)
		assert.Greater(t, long.inTime, long.asked*9/10)
		const perSecond = 800
		long, short = f.load(perSecond)
		t.Logf("burst: %+v %+v", *long, *short)
		// In the time of four requests of which one is short, a shard with four
		// slots finishes four.
		mean := (3*longWork + shortWork) / 4
		capacity := int(loadTime / mean * 2 * serverSlots)
		assert.Greater(t, long.inTime+short.inTime, capacity/2, "half of what the servers can finish arrives in time")
		assert.Less(t, long.late+short.late, (long.inTime+short.inTime)/4)
		assert.Less(t, long.slowlyRefused+short.slowlyRefused, (long.refused+short.refused)/20, "what can't be served is refused at once")
		assert.Less(t, long.failed+short.failed, (long.asked+short.asked)/50)
		// Neither kind of request starves.
		assert.Greater(t, long.inTime*short.asked, short.inTime*long.asked*19/20, "the urgent kind is served as often as the other")
		assert.Greater(t, short.inTime, short.asked/10)
		time.Sleep(5 * time.Second)
		long, short = f.load(120)
		t.Logf("after: %+v %+v", *long, *short)
		assert.Greater(t, long.inTime, long.asked*9/10)
		time.Sleep(time.Minute)
	})
}

// Guards against second attempts that take the room that a burst leaves: seven
// tenths of the servers' time are needed, and each server pauses for 120 ms every
// 3 s. With second attempts at a fifth of the legs, queues stand everywhere.
func TestHedgesLeaveRoomInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.begun = time.Now()
		long, short := f.load(90)
		t.Logf("calm: %+v %+v", *long, *short)
		f.mutex.Lock()
		f.sent = 0
		f.mutex.Unlock()
		long, short = f.load(300)
		f.mutex.Lock()
		sent := f.sent
		f.mutex.Unlock()
		legs := (long.asked - long.refused + short.asked - short.refused) * shardCount
		t.Logf("burst: %+v %+v, %.3f attempts for each leg", *long, *short, float64(sent)/float64(legs))
		assert.Less(t, sent, legs*11/10, "second attempts beyond the servers' pauses")
		assert.Greater(t, long.inTime, long.asked*9/10)
		time.Sleep(time.Minute)
	})
}

// Guards against requests that are turned away because answers are late for
// another reason than load: three shards are slow, and servers report no load.
func TestLateAnswersAreNoOverload(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		w.warmUp()
		w.set(func(id ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			if id < server(3, "a") {
				return served(150 * time.Millisecond)
			}
			return served(usual)
		})
		var asking sync.WaitGroup
		kinds := make(map[ebonyworks.ReplyKind]int)
		for i := range 60 {
			time.Sleep(100 * time.Millisecond)
			asking.Go(func() {
				reply, _ := w.ask(fmt.Sprintf("/all/%d", i))
				w.mutex.Lock()
				defer w.mutex.Unlock()
				kinds[reply.Kind]++
			})
		}
		asking.Wait()
		assert.Zero(t, kinds[ebonyworks.ReplyRefused])
	})
}

// Guards against a refusal that can't be explained from the log: the line names
// the inputs of the decision, and only the shards that were its cause.
func TestRefusalIsExplained(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		w.warmUp()
		for i := range 4 {
			for _, replica := range []string{"a", "b"} {
				w.directory.Remove(server(i, replica), 9, time.Time{})
			}
		}
		w.mutex.Lock()
		w.reports = nil
		w.mutex.Unlock()
		reply, _ := w.ask("/all/1")
		assert.Equal(t, ebonyworks.ReplyRefused, reply.Kind)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		assert.Contains(t, w.reports[0].RefusalDetails, "expected 16 of 20, needed 18; waiting 0, crowded 0")
		assert.Contains(t, w.reports[0].RefusalDetails, "usual 10ms")
		assert.Equal(t, 4, strings.Count(w.reports[0].MissedReasons, "no server of service"))
	})
}

// crowding makes the reports of some servers say that queues stand there.
type crowding struct {
	fanout.ServerStates
	crowded func(server ebonyworks.ServerID) bool
}

// Candidates returns the servers with the reports.
func (c crowding) Candidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate {
	candidates := c.ServerStates.Candidates(service, idempotent)
	for i := range candidates {
		if c.crowded(candidates[i].Server.ID) {
			candidates[i].SlotsBusy, candidates[i].Queued, candidates[i].ReportedLoad = 2, 4, 6
		}
	}
	return candidates
}

// Guards against a shard that is left out since the last reports of its other
// server tell of the short queue after a pause, and against second attempts while
// queues stand at many servers.
func TestHedgesInSpiteOfOneQueue(t *testing.T) {
	for _, test := range []struct {
		name    string
		crowded func(server ebonyworks.ServerID) bool
		missing int
	}{
		{"at the other server", func(id ebonyworks.ServerID) bool { return id == server(3, "b") }, 0},
		{"at all servers", func(ebonyworks.ServerID) bool { return true }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, w *world) {
				w.warmUp()
				w.set(func(id ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
					if id == server(3, "a") {
						return served(usual + 250*time.Millisecond)
					}
					return served(usual)
				})
				w.ServerStates = crowding{w.ServerStates, test.crowded}
				reply, elapsed := w.ask("/all/1")
				assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
				assert.Equal(t, test.missing, reply.Missing)
				assert.LessOrEqual(t, elapsed, target)
			})
		})
	}
}
