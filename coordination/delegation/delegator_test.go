package delegation_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

const target = 50 * time.Millisecond

// fleet answers for the other hosts.
type fleet struct {
	mutex sync.Mutex
	asked map[ebonyworks.HostID]int
	// answer is what a host does with a request.
	answer func(ctx context.Context, host ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery)
}

func (f *fleet) Forward(ctx context.Context, to ebonyworks.Host, _ *ebonyworks.ForwardRequest, _ ebonyworks.Delegation) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	f.mutex.Lock()
	f.asked[to.ID]++
	answer := f.answer
	f.mutex.Unlock()
	return answer(ctx, to.ID)
}

func merged(context.Context, ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	return ebonyworks.ForwardReply{Kind: ebonyworks.ReplyMerged}, ebonyworks.Delivered
}

func newDelegator(hosts ...ebonyworks.Host) (*delegation.Delegator, *fleet) {
	others := &fleet{asked: make(map[ebonyworks.HostID]int), answer: merged}
	return &delegation.Delegator{
		Self:      ebonyworks.Host{ID: "small", Domain: "a", Capacity: 0.2},
		Alive:     func() []ebonyworks.Host { return hosts },
		Peer:      others,
		Selection: &selection.Selector{},
		HostStates:  &serverstate.Register{ProbeByRequest: true},
	}, others
}

// runner counts the requests that run locally.
type runner struct {
	mutex           sync.Mutex
	firsts, repeats int
	takes           time.Duration
	kind            ebonyworks.ReplyKind
}

func (r *runner) run(_ context.Context, repeat bool) ebonyworks.ForwardReply {
	r.mutex.Lock()
	if repeat {
		r.repeats++
	} else {
		r.firsts++
	}
	r.mutex.Unlock()
	time.Sleep(r.takes)
	return ebonyworks.ForwardReply{Kind: r.kind}
}

func noTerms() ebonyworks.Delegation { return ebonyworks.Delegation{} }

func ask(delegator *delegation.Delegator, local *runner) (ebonyworks.ForwardReply, ebonyworks.HostID, time.Duration) {
	begin := time.Now()
	reply, host := delegator.Run(context.Background(), &ebonyworks.ForwardRequest{ID: "q", Arrival: begin}, target, noTerms, local.run)
	return reply, host, time.Since(begin)
}

// Guards against hosts of about the same size that send each other their work.
func TestOnlyLargerHostsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator, others := newDelegator(
			ebonyworks.Host{ID: "same", Domain: "a", Capacity: 0.3},
			ebonyworks.Host{ID: "unknown", Domain: "a"},
		)
		local := &runner{kind: ebonyworks.ReplyMerged}
		_, host, _ := ask(delegator, local)
		assert.EqualValues(t, "small", host)
		assert.Empty(t, others.asked)
		delegator, others = newDelegator(ebonyworks.Host{ID: "large", Domain: "a", Capacity: 0.8})
		_, host, _ = ask(delegator, local)
		assert.EqualValues(t, "large", host)
		assert.Equal(t, 1, others.asked["large"])
		assert.Equal(t, 1, local.firsts)
	})
}

// Guards against requests that fail because a larger host can't be reached or
// declines, and against repeats that aren't counted as such when it may have
// run the request.
func TestFallsBackAtOnce(t *testing.T) {
	for _, test := range []struct {
		delivery        ebonyworks.Delivery
		firsts, repeats int
	}{
		{ebonyworks.NotDelivered, 1, 0},
		{ebonyworks.DeliveryUnknown, 0, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			delegator, others := newDelegator(ebonyworks.Host{ID: "large", Capacity: 0.8})
			others.answer = func(context.Context, ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
				return ebonyworks.ForwardReply{}, test.delivery
			}
			local := &runner{kind: ebonyworks.ReplyMerged}
			reply, host, elapsed := ask(delegator, local)
			assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
			assert.EqualValues(t, "small", host)
			assert.Zero(t, elapsed)
			assert.Equal(t, test.firsts, local.firsts)
			assert.Equal(t, test.repeats, local.repeats)
		})
	}
}

// Guards against requests that are lost in a frozen host, and against further
// ones that wait for it although another host works.
func TestFrozenHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator, others := newDelegator(
			ebonyworks.Host{ID: "frozen", Domain: "a", Capacity: 0.8},
			ebonyworks.Host{ID: "works", Domain: "b", Capacity: 0.8},
		)
		others.answer = func(ctx context.Context, host ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
			if host == "frozen" {
				<-ctx.Done()
				return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
			}
			return merged(ctx, host)
		}
		local := &runner{kind: ebonyworks.ReplyMerged, takes: 10 * time.Millisecond}
		late := 0
		for range 40 {
			reply, _, elapsed := ask(delegator, local)
			assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
			assert.LessOrEqual(t, elapsed, target+10*time.Millisecond)
			if elapsed > target {
				late++
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.LessOrEqual(t, late, 10)
	})
}

// Guards against a false claim that a request has not run, and against a failure
// in its place although neither host ran it.
func TestRefusalIsTrue(t *testing.T) {
	for _, test := range []struct {
		name     string
		takes    time.Duration
		other    ebonyworks.ReplyKind
		delivery ebonyworks.Delivery
		want     ebonyworks.ReplyKind
	}{
		{"not delivered", 0, ebonyworks.ReplyFailed, ebonyworks.NotDelivered, ebonyworks.ReplyRefused},
		{"no answer", 0, ebonyworks.ReplyFailed, ebonyworks.DeliveryUnknown, ebonyworks.ReplyFailed},
		{"no answer, late", 2 * target, ebonyworks.ReplyFailed, ebonyworks.DeliveryUnknown, ebonyworks.ReplyFailed},
		{"failed, late", 2 * target, ebonyworks.ReplyFailed, ebonyworks.Delivered, ebonyworks.ReplyFailed},
		{"refused, late", 2 * target, ebonyworks.ReplyRefused, ebonyworks.Delivered, ebonyworks.ReplyRefused},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				delegator, others := newDelegator(ebonyworks.Host{ID: "large", Capacity: 0.8})
				others.answer = func(context.Context, ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
					time.Sleep(test.takes)
					return ebonyworks.ForwardReply{Kind: test.other}, test.delivery
				}
				reply, _, _ := ask(delegator, &runner{kind: ebonyworks.ReplyRefused})
				assert.Equal(t, test.want, reply.Kind)
			})
		})
	}
}

// Guards against a claim that a request didn't run although the other host may
// have run it, and against an answer of that host that is thrown away.
func TestLateHostMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator, others := newDelegator(ebonyworks.Host{ID: "large", Capacity: 0.8})
		others.answer = func(context.Context, ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
			time.Sleep(2 * target)
			return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
		}
		local := &runner{kind: ebonyworks.ReplyRefused}
		reply, _, _ := ask(delegator, local)
		assert.Equal(t, ebonyworks.ReplyFailed, reply.Kind)
		others.answer = func(ctx context.Context, host ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
			time.Sleep(2 * target)
			return merged(ctx, host)
		}
		time.Sleep(10 * time.Second)
		reply, host, _ := ask(delegator, local)
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.EqualValues(t, "large", host)
	})
}

// Guards against an answer of another host that takes the process down, before and
// after the host has run the request itself.
func TestPanicOnAnswer(t *testing.T) {
	for _, takes := range []time.Duration{0, 2 * target} {
		synctest.Test(t, func(t *testing.T) {
			delegator, others := newDelegator(ebonyworks.Host{ID: "large", Capacity: 0.8})
			others.answer = func(context.Context, ebonyworks.HostID) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
				time.Sleep(takes)
				panic("unexpected answer")
			}
			reply, _, _ := ask(delegator, &runner{kind: ebonyworks.ReplyMerged, takes: 3 * target})
			assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
			reply, _, _ = ask(delegator, &runner{kind: ebonyworks.ReplyRefused})
			assert.NotEqual(t, ebonyworks.ReplyMerged, reply.Kind)
		})
	}
}
