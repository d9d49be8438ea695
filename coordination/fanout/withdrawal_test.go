package fanout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// drainTime is the time after which a server that said that it is leaving gets no
// more requests.
const drainTime = 3 * time.Second

// withdrawal is what a server says about the requests that it wants.
type serverState struct {
	draining bool
	// backoff is until when it refuses requests and wants none.
	backoffUntil time.Time
	// born is the server's incarnation.
	incarnation ebonyworks.Incarnation
}

// host is one host of a withdrawalWorld.
type host struct {
	*fanout.Forwarder
	register *serverstate.Register
}

// withdrawalWorld is two hosts, of which the smaller one delegates to the larger, in
// front of servers that leave, refuse requests for a time, and restart.
type withdrawalTestbed struct {
	*testbed
	small, large host
	random       *rand.Rand

	state map[ebonyworks.ServerID]*serverState
	// refused holds when a server asked a host for a backoff, and until when.
	refusals []refusal
	// passed is when a host first passed on that a life of a server leaves.
	drainingSince map[incarnationAt]time.Time
	// visits are the requests that reached servers.
	incarnationArrivals []incarnationArrival
	// sentAt is when a caller sent the request.
	sentAt map[ebonyworks.RequestID]time.Time
}

type incarnationAt struct {
	host        string
	server      ebonyworks.ServerID
	incarnation ebonyworks.Incarnation
}

type refusal struct {
	incarnationAt
	at, until time.Time
}

type incarnationArrival struct {
	incarnationAt
	at   time.Time
	sent time.Time
}

// endpoint is the backend of one host.
type hostBackend struct {
	*withdrawalTestbed
	name string
}

// Send reaches the server after the way there, and at times late, as from a host
// that stands still after it has decided to send.
func (e hostBackend) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	e.mutex.Lock()
	way := time.Millisecond
	if e.random.IntN(30) == 0 {
		way += time.Duration(e.random.Int64N(int64(inFlightTime / 2)))
	}
	slow := e.random.IntN(15) == 0
	e.mutex.Unlock()
	time.Sleep(way)
	e.mutex.Lock()
	state := *e.state[to.ID]
	now := time.Now()
	at := incarnationAt{e.name, to.ID, state.incarnation}
	e.incarnationArrivals = append(e.incarnationArrivals, incarnationArrival{at, now, e.sentAt[request.ID]})
	if now.Before(state.backoffUntil) {
		e.refusals = append(e.refusals, refusal{at, now, state.backoffUntil})
		e.mutex.Unlock()
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptShed, RetryAfter: state.backoffUntil.Sub(now), Report: ebonyworks.ServerReport{Draining: state.draining}}
	}
	e.mutex.Unlock()
	work := workTime
	if slow {
		work = 4 * target
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptCanceled}
	case <-time.After(time.Until(deadline)):
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptTimeout}
	}
	return ebonyworks.ForwardAttempt{
		Result: ebonyworks.AttemptServed,
		Report: ebonyworks.ServerReport{Draining: state.draining},
		Response: ebonyworks.ServerResponse{
			Status: 200, Body: make([]byte, 16),
			Signature: fmt.Sprintf("%s %d %t", to.ID, state.incarnation, state.draining),
		},
	}
}

func newWithdrawalTestbed(t *testing.T, seed uint64) *withdrawalTestbed {
	t.Helper()
	w := &withdrawalTestbed{
		testbed:       newTestbed(t),
		random:        rand.New(rand.NewPCG(seed, 1)),
		state:         make(map[ebonyworks.ServerID]*serverState),
		drainingSince: make(map[incarnationAt]time.Time),
		sentAt:        make(map[ebonyworks.RequestID]time.Time),
	}
	for i := range shardCount {
		for _, replica := range []string{"a", "b"} {
			w.state[server(i, replica)] = &serverState{incarnation: 1}
		}
	}
	w.large = w.host("large", seed)
	w.small = w.host("small", seed)
	w.small.Domain = "b"
	w.small.Delegator = newDelegator("b", &lossyLink{larger: w.large.Forwarder, random: rand.New(rand.NewPCG(seed, 6))}, w.small.register.Announce)
	time.Sleep(retryBound.Window)
	return w
}

func (w *withdrawalTestbed) host(name string, seed uint64) host {
	known := servers{
		register: &serverstate.Register{ProbeByRequest: true, LeavingGrace: drainTime / 3, Random: rand.New(rand.NewPCG(seed, 9))},
		quota:    quota.NewExclusive(8),
	}
	forwarder := w.forwarder(hostBackend{w, name}, w.Table, rand.New(rand.NewPCG(seed, uint64(len(name)))), 8, 1)
	forwarder.ServerStates, forwarder.Quota, forwarder.Quarantine = known, known.quota, nil
	for id := range w.state {
		known.register.Depart(ebonyworks.DrainState{Server: id, Incarnation: 1})
	}
	return host{forwarder, known.register}
}

// send asks a host for all shards and notes who is said to be leaving.
func (w *withdrawalTestbed) sendTo(name string, of host, id ebonyworks.RequestID) {
	w.mutex.Lock()
	w.sentAt[id] = time.Now()
	w.mutex.Unlock()
	reply := of.Forward(context.Background(), &ebonyworks.ForwardRequest{
		ID: id, Host: "h", Method: "GET", Target: "/all/" + string(id), Arrival: time.Now(), CallerTimeout: timeout,
	})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, signature := range reply.Signatures {
		var server ebonyworks.ServerID
		var born ebonyworks.Incarnation
		var leaving bool
		_, _ = fmt.Sscanf(signature, "%s %d %t", &server, &born, &leaving)
		at := incarnationAt{name, server, born}
		if leaving && w.drainingSince[at].IsZero() {
			w.drainingSince[at] = time.Now()
		}
	}
}

// disturb makes some server leave, refuse requests for a time, or start again. The hosts learn of a new
// life from the store, each a little later, and of its lapsed entry at times.
func (w *withdrawalTestbed) injectFault() {
	w.mutex.Lock()
	id := server(w.random.IntN(shardCount), []string{"a", "b"}[w.random.IntN(2)])
	state := w.state[id]
	switch w.random.IntN(5) {
	case 0, 1:
		state.draining = true
	case 2, 3:
		state.backoffUntil = time.Now().Add(200*time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Second))))
	default:
		state.incarnation++
		state.draining, state.backoffUntil = false, time.Time{}
	}
	born := state.incarnation
	lapses := w.random.IntN(3) == 0
	later := [2]time.Duration{time.Duration(w.random.Int64N(int64(time.Second))), time.Duration(w.random.Int64N(int64(time.Second)))}
	w.mutex.Unlock()
	for i, of := range []host{w.small, w.large} {
		time.AfterFunc(later[i], func() {
			if lapses {
				named := w.directory.Servers()
				delete(named, id)
				of.register.RetainServers(named)
				of.register.RetainServers(w.directory.Servers())
			}
			of.register.Depart(ebonyworks.DrainState{Server: id, Incarnation: born})
			// The store's older reading, and a peer's message about the life before.
			of.register.Depart(ebonyworks.DrainState{Server: id, Incarnation: born - 1})
			of.register.Announce(ebonyworks.DrainState{Server: id, Incarnation: born - 1, Draining: true})
		})
	}
}

// Guards against requests to servers that said that they are leaving or that they
// want none, from the host that was told, whatever is delegated, late, lost, restarted
// or frozen meanwhile.
func TestWithdrawnServersGetNoRequests(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWithdrawalTestbed(t, seed)
				var requests sync.WaitGroup
				for i := range 800 {
					if i%12 == 0 {
						w.injectFault()
					}
					requests.Go(func() { w.sendTo("small", w.small, ebonyworks.RequestID(fmt.Sprintf("small-%d", i))) })
					requests.Go(func() { w.sendTo("large", w.large, ebonyworks.RequestID(fmt.Sprintf("large-%d", i))) })
					time.Sleep(15 * time.Millisecond)
				}
				requests.Wait()
				time.Sleep(time.Minute)
				w.checkDrain(t)
				w.checkBackoffs(t)
			})
		})
	}
}

func (w *withdrawalTestbed) checkDrain(t *testing.T) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	late := 0
	for _, one := range w.incarnationArrivals {
		if told := w.drainingSince[one.incarnationAt]; !told.IsZero() && one.sent.After(told.Add(drainTime)) {
			late++
		}
	}
	assert.Zero(t, late, "requests that reached servers that had left")
	assert.NotEmpty(t, w.drainingSince)
}

func (w *withdrawalTestbed) checkBackoffs(t *testing.T) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, asked := range w.refusals {
		count := 0
		for _, one := range w.incarnationArrivals {
			if one.incarnationAt == asked.incarnationAt && one.at.After(asked.at.Add(inFlightTime)) && one.at.Before(asked.until) {
				count++
			}
		}
		assert.LessOrEqual(t, count, 2, "%v", asked)
	}
	assert.NotEmpty(t, w.refusals)
}

// Guards against a server that stays away after it was started again, because a late
// response of its earlier life says that it is leaving or wants no requests.
func TestRestartedServerIsUsedAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		ends ebonyworks.ForwardAttempt
	}{
		{"leaving", ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptFailed, Report: ebonyworks.ServerReport{Draining: true}, Response: ebonyworks.ServerResponse{Status: 500, Signature: "s"}}},
		{"backoff of a week", ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptShed, RetryAfter: serverstate.MaxBackoff}},
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/late=%t", test.name, late), func(t *testing.T) {
				runInBubble(t, func(t *testing.T, w *testbed) {
					known := servers{register: &serverstate.Register{ProbeByRequest: true}, quota: quota.NewExclusive(8)}
					w.ServerStates, w.Quota = known, known.quota
					for _, replica := range []string{"a", "b"} {
						known.register.Depart(ebonyworks.DrainState{Server: server(0, replica), Incarnation: 1})
					}
					backend := &fixedBackend{testbed: w, reply: test.ends}
					w.Backend = backend
					go w.send("/one/first")
					go w.send("/one/second")
					if late {
						time.Sleep(workTime / 2)
						backend.end()
						w.restartShardServers(known.register)
						time.Sleep(timeout)
					} else {
						time.Sleep(timeout)
						reply, elapsed := w.send("/one/third")
						assert.Equal(t, ebonyworks.ReplyRefused, reply.Kind)
						assert.Zero(t, elapsed, "refused at once")
						backend.end()
						w.restartShardServers(known.register)
					}
					reply, _ := w.send("/one/fourth")
					assert.Equal(t, ebonyworks.ReplyRelayed, reply.Kind, reply.Reason)
					for _, replica := range []string{"a", "b"} {
						assert.True(t, known.register.Clearance(server(0, replica)).Available(), replica)
					}
				})
			})
		}
	}
}

// restart tells the register of a new life of both servers of shard 0.
func (w *testbed) restartShardServers(known *serverstate.Register) {
	for _, replica := range []string{"a", "b"} {
		known.Depart(ebonyworks.DrainState{Server: server(0, replica), Incarnation: 2})
	}
}

// scripted answers each request alike until it ends.
type fixedBackend struct {
	*testbed
	reply ebonyworks.ForwardAttempt
	ended atomic.Bool
}

func (s *fixedBackend) end() { s.ended.Store(true) }

func (s *fixedBackend) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	if s.ended.Load() {
		return s.testbed.Send(ctx, to, request, deadline)
	}
	time.Sleep(workTime)
	return s.reply
}

// Guards against a shard that is lost at once because all its servers say that they
// are leaving, and against requests to them after that.
func TestDrainingServersServeUntilReplaced(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testbed) {
		known := servers{register: &serverstate.Register{ProbeByRequest: true, LeavingGrace: drainTime / 3}, quota: quota.NewExclusive(8)}
		w.ServerStates, w.Quota = known, known.quota
		leaving := ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptServed, Report: ebonyworks.ServerReport{Draining: true}, Response: ebonyworks.ServerResponse{Status: 200, Signature: "s"}}
		w.Backend = &fixedBackend{testbed: w, reply: leaving}
		begin := time.Now()
		for i := range 100 {
			reply, elapsed := w.send(fmt.Sprintf("/one/%d", i))
			switch since := time.Since(begin); {
			case since < drainTime/3:
				assert.Equal(t, ebonyworks.ReplyRelayed, reply.Kind, since)
			case since > drainTime*2/3:
				assert.Equal(t, ebonyworks.ReplyRefused, reply.Kind, since)
				assert.Equal(t, "all servers of service shard-00 are draining", reply.Reason)
				assert.Zero(t, elapsed)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a merged answer that waits for, or is refused because of, a shard
// whose servers want no requests, if the route can do without it.
func TestMergedAnswerOmitsShardInBackoff(t *testing.T) {
	for _, test := range []struct {
		backoff time.Duration
		missing int
	}{{4 * time.Second, 1}, {30 * time.Millisecond, 0}} {
		t.Run(test.backoff.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testbed) {
				w.warmUp()
				for _, replica := range []string{"a", "b"} {
					w.ServerStates.Observe(ebonyworks.AttemptRecord{Service: shard(3), Server: server(3, replica), Result: ebonyworks.AttemptShed, RetryAfter: test.backoff})
				}
				reply, elapsed := w.send("/all/1")
				assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
				assert.Equal(t, test.missing, reply.Missing)
				assert.LessOrEqual(t, elapsed, target)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				if test.missing > 0 {
					assert.Contains(t, w.reports[len(w.reports)-1].MissedReasons, "all servers of service shard-03 are in backoff, the shortest for 4")
				}
			})
		})
	}
}

// Guards against fallbacks that can't be used: a larger host that gives no answer
// then costs the part.
func TestFallbackAcceptsRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testbed) {
		w.Domain = "a"
		w.ServerStates.Observe(ebonyworks.AttemptRecord{Service: shard(0), Server: server(0, "a"), Result: ebonyworks.AttemptShed, RetryAfter: 4 * time.Second})
		w.Delegator = newDelegator("a", losingPeer{}, nil)
		reply, _ := w.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Zero(t, reply.Missing)
		assert.True(t, strings.HasPrefix(reply.Signatures[0], "of-shard-00-b"))
	})
}

// lostPeer loses each request.
type losingPeer struct{}

func (losingPeer) Forward(context.Context, ebonyworks.Host, *ebonyworks.ForwardRequest, ebonyworks.Delegation) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
}

// firstPeer runs the first request on the larger host, and loses the others.
type firstOnlyPeer struct {
	larger *fanout.Forwarder
	asked  atomic.Int64
}

func (p *firstOnlyPeer) Forward(ctx context.Context, _ ebonyworks.Host, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	if p.asked.Add(1) > 1 {
		return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
	}
	copied := *request
	reply, _ := p.larger.ForwardDelegated(ctx, &copied, terms)
	return reply, ebonyworks.Delivered
}

// Guards against a smaller host that passes on what a larger one learned of a
// leaving server, and sends that server requests of its own later.
func TestDelegatedReplyReportsDrainingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWithdrawalTestbed(t, 1)
		w.small.Delegator = newDelegator("b", &firstOnlyPeer{larger: w.large.Forwarder}, w.small.register.Announce)
		// Both hosts prefer the same servers.
		w.small.Domain = "a"
		w.mutex.Lock()
		for _, replica := range []string{"a", "b"} {
			w.state[server(7, replica)].draining = true
		}
		w.mutex.Unlock()
		w.sendTo("small", w.small, "first")
		time.Sleep(drainTime)
		w.sendTo("small", w.small, "second")
		time.Sleep(time.Minute)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		assert.NotEmpty(t, w.drainingSince)
		for _, one := range w.incarnationArrivals {
			told := w.drainingSince[one.incarnationAt]
			assert.False(t, !told.IsZero() && one.at.After(told), "%s to %s", one.host, one.server)
		}
	})
}
