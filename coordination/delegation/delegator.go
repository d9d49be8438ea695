// Package delegation lets hosts with much processor time run the fan-outs of
// hosts with little. The sub-requests of one fan-out arrive together, so on a
// small host most of their latency is the wait for its own processor.
package delegation

import (
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

const (
	// MinCapacityRatio is how much more processor time a host must have to run
	// requests for this one. Below it, the way there costs as much as it saves.
	MinCapacityRatio = 2
	// viewTime is how long a list of larger hosts is used.
	viewTime = 500 * time.Millisecond
	// fallbackPart is the part of the target latency after which the host runs
	// the request itself, too. A host that works answers before, complete or not.
	fallbackPart = 1.0
	// hostsService is the name under which hosts are registered.
	hostsService ebonyworks.ServiceID = "hosts"
)

// LocalRunFunc runs a request on this host. If the host that it was delegated to may
// run it, too, all attempts are repeats, and only the fallbacks get any.
type LocalRunFunc func(ctx context.Context, mayHaveRun bool) ebonyworks.ForwardReply

// ConditionsFunc returns what the host that runs a request keeps to.
type ConditionsFunc func() ebonyworks.Delegation

// Delegator chooses the host of each request. Its exported fields are set
// before the first use.
type Delegator struct {
	Self ebonyworks.Host
	// Alive returns the other hosts that are alive.
	Alive func() []ebonyworks.Host
	Peer  ebonyworks.ForwardPeer
	// Selection chooses among larger hosts.
	Selection ebonyworks.Selection
	// HostStates holds what is known of the other hosts' latency and failures. It
	// must not be shared with that of the servers.
	HostStates *serverstate.Register
	// OnDrainState is called for each server that said, in a reply of another host, that
	// it is leaving. Nil is allowed.
	OnDrainState func(ebonyworks.DrainState)
	Recorder ebonyworks.EventRecorder

	mutex sync.Mutex
	// view lists the larger hosts as of viewAt; hosts has the same order.
	view   *ebonyworks.Service
	hosts  map[ebonyworks.ServerID]ebonyworks.Host
	viewAt time.Time
	// inFlight counts the requests at each host.
	inFlight map[ebonyworks.ServerID]int
}

// Run runs an idempotent request on a larger host, or locally if there is none
// that works. It returns the host that answered.
func (d *Delegator) Run(ctx context.Context, request *ebonyworks.ForwardRequest, target time.Duration, terms ConditionsFunc, local LocalRunFunc) (ebonyworks.ForwardReply, ebonyworks.HostID) {
	host, candidate, ok := d.choose()
	if !ok {
		return local(ctx, false), d.Self.ID
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan delegated, 1)
	kept := terms()
	go func() { replies <- d.contained(ctx, host, candidate, request, kept) }()
	fallback := time.NewTimer(time.Until(request.Arrival.Add(time.Duration(fallbackPart * float64(target)))))
	defer fallback.Stop()
	select {
	case end := <-replies:
		if end.delivery == ebonyworks.Delivered {
			return end.reply, host.ID
		}
		mayHaveRun := end.delivery == ebonyworks.DeliveryUnknown
		return truthful(local(ctx, mayHaveRun), mayHaveRun), d.Self.ID
	case <-fallback.C:
	case <-ctx.Done():
		return ebonyworks.ForwardReply{Reason: "the caller left"}, host.ID
	}
	d.observe(candidate, ebonyworks.AttemptUnreachable, 0)
	d.record(event.DelegationLate, host, request)
	return d.both(ctx, replies, host, local)
}

type delegated struct {
	reply    ebonyworks.ForwardReply
	delivery ebonyworks.Delivery
}

// both runs the request locally while the other host may still answer, and
// returns the first answer.
func (d *Delegator) both(ctx context.Context, replies <-chan delegated, host ebonyworks.Host, local LocalRunFunc) (ebonyworks.ForwardReply, ebonyworks.HostID) {
	own := make(chan ebonyworks.ForwardReply, 1)
	go func() { own <- d.runLocally(ctx, local) }()
	var last ebonyworks.ForwardReply
	mayHaveRun := true
	for range 2 {
		select {
		case end := <-replies:
			replies = nil
			if end.delivery == ebonyworks.Delivered && answered(end.reply) {
				return end.reply, host.ID
			}
			mayHaveRun = !end.provesNotRun()
		case last = <-own:
			own = nil
			if answered(last) {
				return last, d.Self.ID
			}
		}
	}
	return truthful(last, mayHaveRun), d.Self.ID
}

// provesNotRun reports whether the other host didn't run the request.
func (d delegated) provesNotRun() bool {
	return d.delivery == ebonyworks.NotDelivered ||
		d.delivery == ebonyworks.Delivered && d.reply.Kind == ebonyworks.ReplyRefused
}

// truthful turns a refusal, which says that the request has not run, into a
// failure if another host may have run it.
func truthful(reply ebonyworks.ForwardReply, mayHaveRun bool) ebonyworks.ForwardReply {
	if mayHaveRun && reply.Kind == ebonyworks.ReplyRefused {
		reply.Kind = ebonyworks.ReplyFailed
	}
	return reply
}

func answered(reply ebonyworks.ForwardReply) bool {
	return reply.Kind == ebonyworks.ReplyMerged || reply.Kind == ebonyworks.ReplyRelayed
}

// contained forwards the request. After a panic, the other host may have run it.
func (d *Delegator) contained(ctx context.Context, host ebonyworks.Host, candidate ebonyworks.ServerID, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) (end delegated) {
	defer event.Contain(d.Recorder, func() string {
		end = delegated{delivery: ebonyworks.DeliveryUnknown}
		return "request " + string(request.ID) + " to host " + string(host.ID)
	})
	return d.send(ctx, host, candidate, request, terms)
}

// runLocally runs the request on this host beside the other one.
func (d *Delegator) runLocally(ctx context.Context, local LocalRunFunc) (reply ebonyworks.ForwardReply) {
	defer event.Contain(d.Recorder, func() string {
		reply = ebonyworks.ForwardReply{Kind: ebonyworks.ReplyFailed, Reason: event.ErrUnexpected.Error()}
		return "fallback of a delegated request"
	})
	return local(ctx, true)
}

// send forwards the request and learns from the end.
func (d *Delegator) send(ctx context.Context, host ebonyworks.Host, candidate ebonyworks.ServerID, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) delegated {
	defer d.leave(candidate)
	start := time.Now()
	reply, delivery := d.Peer.Forward(ctx, host, request, terms)
	switch {
	case delivery == ebonyworks.Delivered:
		d.observe(candidate, ebonyworks.AttemptServed, time.Since(start))
		d.departed(reply.DrainStates)
	case ctx.Err() != nil:
	case delivery == ebonyworks.NotDelivered:
		d.observe(candidate, ebonyworks.AttemptUnreachable, 0)
	default:
		d.observe(candidate, ebonyworks.AttemptLost, 0)
	}
	return delegated{reply: reply, delivery: delivery}
}

func (d *Delegator) departed(departures []ebonyworks.DrainState) {
	if d.OnDrainState == nil {
		return
	}
	for _, departure := range departures {
		d.OnDrainState(departure)
	}
}

// choose selects a larger host, and returns false if none works.
func (d *Delegator) choose() (ebonyworks.Host, ebonyworks.ServerID, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh(time.Now())
	if len(d.view.Servers) == 0 {
		return ebonyworks.Host{}, "", false
	}
	candidates := d.HostStates.Candidates(d.view, ebonyworks.Route{Kind: ebonyworks.ReservationRoute}, d.Self.Domain, nil)
	for i := range candidates {
		candidates[i].InFlight = d.inFlight[candidates[i].Server.ID]
	}
	index, ok := d.Selection.Select(candidates)
	if !ok || candidates[index].Failing {
		return ebonyworks.Host{}, "", false
	}
	id := candidates[index].Server.ID
	if d.inFlight == nil {
		d.inFlight = make(map[ebonyworks.ServerID]int)
	}
	d.inFlight[id]++
	return d.hosts[id], id, true
}

func (d *Delegator) leave(id ebonyworks.ServerID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.inFlight[id]--; d.inFlight[id] <= 0 {
		delete(d.inFlight, id)
	}
}

// refresh lists the larger hosts now and then.
func (d *Delegator) refresh(now time.Time) {
	if d.view != nil && now.Sub(d.viewAt) < viewTime {
		return
	}
	d.viewAt = now
	d.view = &ebonyworks.Service{ID: hostsService}
	d.hosts = make(map[ebonyworks.ServerID]ebonyworks.Host)
	for _, host := range d.Alive() {
		if !Larger(host, d.Self) {
			continue
		}
		id := ebonyworks.ServerID(host.ID)
		d.view.Servers = append(d.view.Servers, ebonyworks.Server{ID: id, Address: host.Address, Domain: host.Domain})
		d.hosts[id] = host
	}
}

// Larger reports whether the host has enough more processor time than the
// other one to run its requests.
func Larger(host, other ebonyworks.Host) bool {
	return other.Capacity > 0 && host.Capacity >= MinCapacityRatio*other.Capacity
}

func (d *Delegator) observe(id ebonyworks.ServerID, result ebonyworks.AttemptResult, latency time.Duration) {
	d.HostStates.Observe(ebonyworks.AttemptRecord{Service: hostsService, Server: id, Result: result, Latency: latency})
}

func (d *Delegator) record(id ebonyworks.EventID, host ebonyworks.Host, request *ebonyworks.ForwardRequest) {
	if d.Recorder != nil {
		d.Recorder.Record(event.New(id,
			event.Attribute("Host", string(host.ID)),
			event.Attribute("Request", string(request.ID))))
	}
}
