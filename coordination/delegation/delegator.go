// Package delegation delegates the fan-outs of hosts with a low CPU capacity to hosts
// with a high one. The sub-requests of one fan-out arrive together, so that on a small
// host most of their latency is the wait for its own CPU.
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
	// MinCapacityRatio is the minimum ratio between the CPU capacity of a host and that
	// of a host that delegates requests to it. Below it, forwarding costs as much as it
	// saves.
	MinCapacityRatio = 2
	// viewMaxAge is how long the list of larger hosts is used before it is refreshed.
	viewMaxAge = 500 * time.Millisecond
	// fallbackFraction is the fraction of the target latency after which this host
	// runs the request, too. A working host answers earlier, with a complete reply or
	// not.
	fallbackFraction = 1.0
	// hostsService is the service id under which HostStates tracks hosts.
	hostsService ebonyworks.ServiceID = "hosts"
)

// LocalRunFunc runs a request on this host. If mayHaveRun is set, the host that it was
// delegated to may run it, too. Then all attempts count as retries and are sent only to
// the fallback servers.
type LocalRunFunc func(ctx context.Context, mayHaveRun bool) ebonyworks.ForwardReply

// ConditionsFunc returns the conditions under which another host runs a request.
type ConditionsFunc func() ebonyworks.Delegation

// Delegator chooses the host that runs a request. Its exported fields are set before
// the first use.
type Delegator struct {
	Self ebonyworks.Host
	// Alive returns the other hosts that membership considers alive.
	Alive func() []ebonyworks.Host
	Peer  ebonyworks.ForwardPeer
	// Selection chooses one of the larger hosts.
	Selection ebonyworks.PredictableSelection
	// HostStates tracks the latency and failures of the other hosts. It must not be
	// shared with the state of the backend servers.
	HostStates *serverstate.Table
	// OnDrainState is called for each server that reported in a reply to another host
	// that it is draining. It may be nil.
	OnDrainState func(ebonyworks.DrainState)
	// OnRateLimit is called for each rate limit that a server named in a response to
	// another host. It may be nil.
	OnRateLimit func(ebonyworks.RateLimit)
	Recorder    ebonyworks.EventRecorder

	mutex sync.Mutex
	// view lists the larger hosts as servers, as of viewAt; hosts has the same hosts by
	// server id.
	view   *ebonyworks.Service
	hosts  map[ebonyworks.ServerID]ebonyworks.Host
	viewAt time.Time
	// inFlight counts the delegated requests that each host is running.
	inFlight map[ebonyworks.ServerID]int
}

// Run runs an idempotent request on a larger host, or locally if there is no working
// one. It returns the reply and the host that sent it.
func (d *Delegator) Run(ctx context.Context, request *ebonyworks.ForwardRequest, target time.Duration, conditionsFor ConditionsFunc, local LocalRunFunc) (ebonyworks.ForwardReply, ebonyworks.HostID) {
	host, candidate, ok := d.choose()
	if !ok {
		return local(ctx, false), d.Self.ID
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan delegatedReply, 1)
	conditions := conditionsFor()
	go func() { replies <- d.sendRecoveringPanic(ctx, host, candidate, request, conditions) }()
	fallback := time.NewTimer(time.Until(request.Arrival.Add(time.Duration(fallbackFraction * float64(target)))))
	defer fallback.Stop()
	select {
	case result := <-replies:
		if result.delivery == ebonyworks.Delivered {
			return result.reply, host.ID
		}
		mayHaveRun := result.delivery == ebonyworks.DeliveryUnknown
		return failedIfMayHaveRun(local(ctx, mayHaveRun), mayHaveRun), d.Self.ID
	case <-fallback.C:
	case <-ctx.Done():
		return ebonyworks.ForwardReply{Reason: "the caller left"}, host.ID
	}
	d.observe(candidate, ebonyworks.AttemptUnreachable, 0)
	d.record(event.DelegationTimedOut, host, request)
	return d.runOnBoth(ctx, replies, host, local)
}

type delegatedReply struct {
	reply    ebonyworks.ForwardReply
	delivery ebonyworks.Delivery
}

// runOnBoth runs the request locally while the other host may still answer, and
// returns the first successful reply.
func (d *Delegator) runOnBoth(ctx context.Context, replies <-chan delegatedReply, host ebonyworks.Host, local LocalRunFunc) (ebonyworks.ForwardReply, ebonyworks.HostID) {
	own := make(chan ebonyworks.ForwardReply, 1)
	go func() { own <- d.runLocally(ctx, local) }()
	var last ebonyworks.ForwardReply
	mayHaveRun := true
	for range 2 {
		select {
		case result := <-replies:
			replies = nil
			if result.delivery == ebonyworks.Delivered && isAnswer(result.reply) {
				return result.reply, host.ID
			}
			mayHaveRun = !result.provesNotRun()
		case last = <-own:
			own = nil
			if isAnswer(last) {
				return last, d.Self.ID
			}
		}
	}
	return failedIfMayHaveRun(last, mayHaveRun), d.Self.ID
}

// provesNotRun reports whether the other host can't have run the request.
func (d delegatedReply) provesNotRun() bool {
	return d.delivery == ebonyworks.NotDelivered ||
		d.delivery == ebonyworks.Delivered && d.reply.Kind == ebonyworks.ReplyRefused
}

// failedIfMayHaveRun changes a refusal into a failure if another host may have run
// the request, because a refusal means that it has not run.
func failedIfMayHaveRun(reply ebonyworks.ForwardReply, mayHaveRun bool) ebonyworks.ForwardReply {
	if mayHaveRun && reply.Kind == ebonyworks.ReplyRefused {
		reply.Kind = ebonyworks.ReplyFailed
	}
	return reply
}

func isAnswer(reply ebonyworks.ForwardReply) bool {
	return reply.Kind == ebonyworks.ReplyMerged || reply.Kind == ebonyworks.ReplyRelayed
}

// sendRecoveringPanic forwards the request and recovers panics. After a panic the
// delivery is unknown, because the other host may have run the request.
func (d *Delegator) sendRecoveringPanic(ctx context.Context, host ebonyworks.Host, candidate ebonyworks.ServerID, request *ebonyworks.ForwardRequest, conditions ebonyworks.Delegation) (result delegatedReply) {
	defer event.RecoverPanic(d.Recorder, func() string {
		result = delegatedReply{delivery: ebonyworks.DeliveryUnknown}
		return "request " + string(request.ID) + " to host " + string(host.ID)
	})
	return d.send(ctx, host, candidate, request, conditions)
}

// runLocally runs the request on this host while the other host may run it, too.
func (d *Delegator) runLocally(ctx context.Context, local LocalRunFunc) (reply ebonyworks.ForwardReply) {
	defer event.RecoverPanic(d.Recorder, func() string {
		reply = ebonyworks.ForwardReply{Kind: ebonyworks.ReplyFailed, Reason: event.ErrPanicked.Error()}
		return "fallback of a delegated request"
	})
	return local(ctx, true)
}

// send forwards the request and updates the state of the host from the result.
func (d *Delegator) send(ctx context.Context, host ebonyworks.Host, candidate ebonyworks.ServerID, request *ebonyworks.ForwardRequest, conditions ebonyworks.Delegation) delegatedReply {
	defer d.endRequest(candidate)
	start := time.Now()
	reply, delivery := d.Peer.Forward(ctx, host, request, conditions)
	switch {
	case delivery == ebonyworks.Delivered:
		d.observe(candidate, ebonyworks.AttemptServed, time.Since(start))
		d.reportDrainStates(reply.DrainStates)
		d.reportRateLimits(reply.RateLimits)
	case ctx.Err() != nil:
	case delivery == ebonyworks.NotDelivered:
		d.observe(candidate, ebonyworks.AttemptUnreachable, 0)
	default:
		d.observe(candidate, ebonyworks.AttemptLost, 0)
	}
	return delegatedReply{reply: reply, delivery: delivery}
}

func (d *Delegator) reportDrainStates(states []ebonyworks.DrainState) {
	if d.OnDrainState == nil {
		return
	}
	for _, state := range states {
		d.OnDrainState(state)
	}
}

func (d *Delegator) reportRateLimits(limits []ebonyworks.RateLimit) {
	if d.OnRateLimit == nil {
		return
	}
	for _, limit := range limits {
		d.OnRateLimit(limit)
	}
}

// choose selects a larger host, and returns false if there is no working one.
func (d *Delegator) choose() (ebonyworks.Host, ebonyworks.ServerID, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh(time.Now())
	candidates := d.candidates(d.view, d.HostStates.Candidates)
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

// candidatesFunc is Candidates or PeekCandidates of a table of server states.
type candidatesFunc func(*ebonyworks.Service, ebonyworks.Route, ebonyworks.DomainID, ebonyworks.Quota) []ebonyworks.Candidate

// candidates returns the hosts of the view that may get a request, or nil if it has none.
func (d *Delegator) candidates(view *ebonyworks.Service, from candidatesFunc) []ebonyworks.Candidate {
	if len(view.Servers) == 0 {
		return nil
	}
	candidates := from(view, ebonyworks.Route{Kind: ebonyworks.ReservationRoute}, d.Self.Domain, nil)
	for i := range candidates {
		candidates[i].InFlight = d.inFlight[candidates[i].Server.ID]
	}
	return candidates
}

// Preview returns the hosts one of which would run the next request, or nil if this host
// would run it. It changes nothing.
func (d *Delegator) Preview() []ebonyworks.HostID {
	candidates := d.previewCandidates()
	var hosts []ebonyworks.HostID
	// The chances of hundreds of hosts take milliseconds, so requests don't wait for them.
	for i, chance := range d.Selection.Chances(candidates) {
		if chance > 0 && !candidates[i].Failing {
			hosts = append(hosts, ebonyworks.HostID(candidates[i].Server.ID))
		}
	}
	return hosts
}

// previewCandidates returns the hosts that may get the next request.
func (d *Delegator) previewCandidates() []ebonyworks.Candidate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	view := d.view
	if !d.viewIsCurrent(time.Now()) {
		view, _ = d.listLarger()
	}
	return d.candidates(view, d.HostStates.PeekCandidates)
}

func (d *Delegator) endRequest(id ebonyworks.ServerID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.inFlight[id]--; d.inFlight[id] <= 0 {
		delete(d.inFlight, id)
	}
}

// refresh updates the list of larger hosts if it is older than viewMaxAge.
func (d *Delegator) refresh(now time.Time) {
	if d.viewIsCurrent(now) {
		return
	}
	d.viewAt = now
	d.view, d.hosts = d.listLarger()
}

func (d *Delegator) viewIsCurrent(now time.Time) bool {
	return d.view != nil && now.Sub(d.viewAt) < viewMaxAge
}

// listLarger lists the larger hosts as servers, and the same hosts by server id.
func (d *Delegator) listLarger() (*ebonyworks.Service, map[ebonyworks.ServerID]ebonyworks.Host) {
	view := &ebonyworks.Service{ID: hostsService}
	hosts := make(map[ebonyworks.ServerID]ebonyworks.Host)
	for _, host := range d.Alive() {
		if !Larger(host, d.Self) {
			continue
		}
		id := ebonyworks.ServerID(host.ID)
		view.Servers = append(view.Servers, ebonyworks.Server{ID: id, Address: host.Address, Domain: host.Domain})
		hosts[id] = host
	}
	return view, hosts
}

// Larger reports whether the CPU capacity of the host is at least MinCapacityRatio
// times that of the other one, so that it may run the other one's requests.
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
