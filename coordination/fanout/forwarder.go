// Package fanout forwards opaque requests to backend servers: to one server of
// one service, or to one server of each shard.
package fanout

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

// Registry lists the servers of services.
type Registry interface {
	// Service returns the servers in use, or nil if none is known. The result
	// isn't changed later.
	Service(id ebonyworks.ServiceID) *ebonyworks.Service
}

// ServerStates tells which servers may be sent requests.
type ServerStates interface {
	// Candidates returns the servers that may get an attempt. Probes of servers
	// that may be slow or failing are offered only to idempotent requests.
	Candidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate
	// PeekCandidates returns what the next call of Candidates would return, without a
	// change of the state.
	PeekCandidates(service *ebonyworks.Service, idempotent bool) []ebonyworks.Candidate
	// Availability tells whether a request may be sent now to a server that was
	// chosen before.
	Availability(server ebonyworks.Server) ebonyworks.Availability
	// Unavailable returns the servers that get no requests now, or nil if there
	// are none.
	Unavailable() map[ebonyworks.ServerID]bool
	// RateLimited returns the servers that only accept attempts with a permit, or nil
	// if there are none.
	RateLimited() map[ebonyworks.ServerID]bool
	// Observe updates the server's state with a finished attempt.
	Observe(record ebonyworks.AttemptRecord)
}

// RetryBudget bounds the extra attempts at a service: those after the first
// attempt of each request.
type RetryBudget interface {
	// RecordRequest records a request of a caller, which raises the bound.
	RecordRequest(service ebonyworks.ServiceID)
	// Take takes one attempt from the budget, or returns false.
	Take(service ebonyworks.ServiceID) (retrybudget.Charge, bool)
	// Remaining returns the number of attempts that can be taken now.
	Remaining(service ebonyworks.ServiceID) float64
	// Return gives back an attempt that reached no server.
	Return(service ebonyworks.ServiceID, charge retrybudget.Charge)
}

// LatencyEstimator estimates how long attempts usually take.
type LatencyEstimator interface {
	// Delay returns how long to wait for an attempt before a hedge, and false if
	// hedges would add to an overload.
	Delay(route ebonyworks.RouteID, target time.Duration) (time.Duration, bool)
	// MedianLatency returns the recent median latency of attempts, and the
	// median without queues; zero if unknown.
	MedianLatency(route ebonyworks.RouteID) (median, unloaded time.Duration)
	// PeekMedianLatency returns what the next call of MedianLatency would return, without
	// a change of the state.
	PeekMedianLatency(route ebonyworks.RouteID) (median, unloaded time.Duration)
	// Observe adds the latency of an attempt.
	Observe(route ebonyworks.RouteID, latency time.Duration)
}

// Quota bounds the attempts in flight at each server.
type Quota interface {
	ebonyworks.Quota
	// PredictedWait returns how long a new attempt would wait for a permit.
	PredictedWait(server ebonyworks.ServerID) time.Duration
}

// PriorityShedder compares how often requests of each priority are refused.
type PriorityShedder interface {
	// Record records a request that was admitted, or refused because of load.
	Record(service ebonyworks.ServiceID, priority int, refused bool)
	// RefusalRate returns the recent fraction of the requests that were refused.
	RefusalRate(service ebonyworks.ServiceID, priority int) float64
	// PeekRefusalRate returns what RefusalRate would return after Record with the same
	// arguments, which it doesn't record.
	PeekRefusalRate(service ebonyworks.ServiceID, priority int, refused bool) float64
	// ShouldShed reports whether requests of the priority should be refused
	// because more urgent ones are refused more often.
	ShouldShed(service ebonyworks.ServiceID, priority int) bool
}

// RouteLimiter bounds the concurrent requests of a route while its servers are
// overloaded.
type RouteLimiter interface {
	// TryAcquire reports whether one more request may run, and counts it if so.
	TryAcquire(route ebonyworks.RouteID, overloaded bool) bool
	// Allows reports what TryAcquire would report now, without counting a request.
	Allows(route ebonyworks.RouteID, overloaded bool) bool
	// Release ends a request that TryAcquire counted.
	Release(route ebonyworks.RouteID, overloaded, late bool)
}

// Observer receives the end of each request and attempt. Implementations don't
// block.
type Observer interface {
	// AttemptEnded is called once for each attempt.
	AttemptEnded(record ebonyworks.AttemptRecord)
	// Forwarded is called once for each request that ran on this host.
	Forwarded(report Report)
	// Delegated is called once for each request that could be delegated to
	// another host.
	Delegated(report Report)
}

// Delegator lets other hosts run sharded requests.
type Delegator interface {
	// Run runs the request on another host, or on this one by calling local. It
	// returns the host that answered.
	Run(ctx context.Context, request *ebonyworks.ForwardRequest, target time.Duration, terms delegation.ConditionsFunc, local delegation.LocalRunFunc) (ebonyworks.ForwardReply, ebonyworks.HostID)
	// Preview returns the hosts one of which would run the next request, or nil if this
	// host would run it. It changes nothing.
	Preview() []ebonyworks.HostID
}

// Forwarder runs opaque requests. Its fields are set before the first use;
// Quarantine, Observer, Delegator and Recorder may be nil. Without Permits, which may
// be nil, too, rate-limited servers get no requests.
type Forwarder struct {
	// Domain is the failure domain of the host.
	Domain ebonyworks.DomainID
	// Table returns the routes in force, or nil if there are none yet.
	Table func() *routing.Table
	// Sourceless returns for how long neither the store nor another host has given this
	// host its routes; zero if no attempt has failed. Nil means zero.
	Sourceless       func() time.Duration
	Registry         Registry
	ServerStates     ServerStates
	Selection        ebonyworks.PredictableSelection
	Quota            Quota
	RetryBudget      RetryBudget
	LatencyEstimator LatencyEstimator
	PriorityShedder  PriorityShedder
	RouteLimiter     RouteLimiter
	Backend          ebonyworks.ForwardBackend
	Quarantine       ebonyworks.Quarantine
	Observer         Observer
	Delegator        Delegator
	Permits          Permits
	// AnswerBy returns the time by which the host must have answered all requests, or
	// the zero time if there is none. Nil means that there is none.
	AnswerBy func() time.Time
	// OnWithheld is called for each attempt that wasn't sent because the failure domain
	// of its server is evacuated. It must not block. Nil is allowed.
	OnWithheld func()
	Recorder   ebonyworks.EventRecorder
}

var _ ebonyworks.Forwarder = (*Forwarder)(nil)

// Forward runs the request under the configuration in force.
func (f *Forwarder) Forward(ctx context.Context, request *ebonyworks.ForwardRequest) ebonyworks.ForwardReply {
	route, revision, refusal := f.findRoute(request)
	if refusal != nil {
		return f.reportUnrouted(request, revision, *refusal)
	}
	f.prepare(request, route)
	if !f.mayDelegate(request, route) {
		return f.run(ctx, request, route, revision, origin{})
	}
	terms := ebonyworks.Delegation{Revision: revision}
	choose := func() ebonyworks.Delegation {
		terms.Fallbacks = f.fallbacks(request, route)
		return terms
	}
	reply, host := f.Delegator.Run(ctx, request, route.TargetLatency, choose, func(ctx context.Context, mayHaveRun bool) ebonyworks.ForwardReply {
		if !mayHaveRun {
			return f.run(ctx, request, route, revision, origin{})
		}
		return f.run(ctx, request, route, revision, origin{mayHaveRun: true, fallbacks: terms.Fallbacks})
	})
	if f.Observer != nil {
		f.Observer.Delegated(delegationReport(request, route, revision, &reply, host))
	}
	return reply
}

// findRoute returns the route of the request and the revision of the configuration, or a
// refusal if the request isn't run. If there is a refusal, the route may be nil.
func (f *Forwarder) findRoute(request *ebonyworks.ForwardRequest) (*routing.Route, ebonyworks.Revision, *ebonyworks.ForwardReply) {
	table := f.Table()
	if table == nil {
		return nil, 0, &ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRefused, Reason: "no configuration is known yet", RetryAfter: f.unconfiguredRetryAfter(request.ID)}
	}
	revision := table.Configuration().Revision
	route, ok := table.Match(request.Host, request.Path())
	if !ok {
		return nil, revision, &ebonyworks.ForwardReply{Kind: ebonyworks.ReplyNoRoute, Reason: "no route accepts the request"}
	}
	if f.endsTooLate(request, route) {
		return route, revision, &ebonyworks.ForwardReply{Kind: ebonyworks.ReplyRefused, Reason: "the host is stopping and may not answer the request in time"}
	}
	return route, revision, nil
}

// mayDelegate reports whether another host may run the request.
func (f *Forwarder) mayDelegate(request *ebonyworks.ForwardRequest, route *routing.Route) bool {
	return f.Delegator != nil && route.IsSharded() && len(request.Body) <= maxDelegatedBody
}

// endsTooLate reports whether the request may take longer than the host runs. A request
// that may be repeated is only refused if it is expected to take longer.
func (f *Forwarder) endsTooLate(request *ebonyworks.ForwardRequest, route *routing.Route) bool {
	if f.AnswerBy == nil {
		return false
	}
	by := f.AnswerBy()
	longest := requestTimeout(request, route)
	if route.Idempotent {
		longest = min(longest, lateFactor*route.TargetLatency)
	}
	return !by.IsZero() && request.Arrival.Add(longest).After(by)
}

// lateFactor times the target latency is how long requests take that are late.
const lateFactor = 2

// maxDelegatedBody bounds the bodies of delegated requests in bytes, because the
// size of messages between hosts is bounded.
const maxDelegatedBody = 1 << 20

// reportUnrouted reports a request that isn't run.
func (f *Forwarder) reportUnrouted(request *ebonyworks.ForwardRequest, revision ebonyworks.Revision, reply ebonyworks.ForwardReply) ebonyworks.ForwardReply {
	if f.Observer != nil {
		f.Observer.Forwarded(Report{
			Request:  request.ID,
			Revision: revision,
			Kind:     reply.Kind,
			Reason:   reply.Reason,
			Elapsed:  time.Since(request.Arrival),
		})
	}
	return reply
}

// ForwardDelegated runs a request that another host delegated. It returns false,
// without having run it, if it can't meet the terms.
func (f *Forwarder) ForwardDelegated(ctx context.Context, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) (ebonyworks.ForwardReply, bool) {
	table := f.Table()
	if table == nil || table.Configuration().Revision != terms.Revision {
		return ebonyworks.ForwardReply{}, false
	}
	route, ok := table.Match(request.Host, request.Path())
	if !ok || !route.Idempotent || len(route.Shards) != len(terms.Fallbacks) {
		return ebonyworks.ForwardReply{}, false
	}
	f.prepare(request, route)
	return f.run(ctx, request, route, terms.Revision, origin{relayed: true, fallbacks: terms.Fallbacks}), true
}

// prepare sets what the attempts of the request on this host need.
func (f *Forwarder) prepare(request *ebonyworks.ForwardRequest, route *routing.Route) {
	request.BodyOnly = route.IsSharded()
}

// inUsedDomain reports whether the failure domain of the server isn't evacuated.
func (f *Forwarder) inUsedDomain(server ebonyworks.Server) bool {
	return !f.ServerStates.Availability(server).Evacuated
}

// origin tells how a request came to be run on this host.
type origin struct {
	// mayHaveRun is set if another host may have run the request.
	mayHaveRun bool
	// relayed is set if another host passes the answer on to the caller.
	relayed bool
	// fallbacks are the servers that the delegating host sends the request to if
	// it gets no answer; empty if the request isn't delegated.
	fallbacks []ebonyworks.ServerHash
}

func (f *Forwarder) run(ctx context.Context, request *ebonyworks.ForwardRequest, route *routing.Route, revision ebonyworks.Revision, from origin) ebonyworks.ForwardReply {
	run := f.newRun(request, route, services(route), revision, from)
	reply := run.do(ctx)
	if from.relayed {
		reply.DrainStates = run.drainStates()
		reply.RateLimits = run.rateLimits()
	}
	if f.Observer != nil {
		f.Observer.Forwarded(run.report(reply))
	}
	return reply
}

// services returns the services that the request needs: those of all shards, or
// the next one of the weighted backends.
func services(route *routing.Route) []ebonyworks.ServiceID {
	if route.IsSharded() {
		return route.Shards
	}
	return []ebonyworks.ServiceID{route.Next()}
}

// fingerprint identifies requests that make servers do the same work.
func fingerprint(request *ebonyworks.ForwardRequest) ebonyworks.Fingerprint {
	digest := xxhash.New()
	for _, value := range []string{request.Method, request.Host, request.Target} {
		// xxhash never returns an error.
		_, _ = digest.WriteString(value)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return ebonyworks.Fingerprint(digest.Sum64())
}
