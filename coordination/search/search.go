// Package search answers searches: it pins a snapshot, fans out to the shards,
// hedges and retries within budgets, and seals the answer with its coverage.
package search

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

const (
	// sealMargin is the part of the deadline that is kept for the way back to
	// the caller.
	sealMargin = 2 * time.Millisecond
	// maxRestarts bounds the snapshots that one search tries.
	maxRestarts = 3
	// retryAfterNoSnapshot is when servers have usually reported again.
	retryAfterNoSnapshot = 200 * time.Millisecond
)

// ServerStates lists the servers that a search can use.
type ServerStates interface {
	// Candidates returns the usable servers of the service on the route.
	Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// FirstCandidates is like Candidates, and can offer a server that needs to
	// be probed as the best one. It is called once for each first attempt.
	FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// Observe learns from an ended attempt.
	Observe(record ebonyworks.AttemptRecord)
}

// ActiveConfiguration returns the configuration in force.
type ActiveConfiguration interface {
	// Current returns nil until a configuration has been accepted. Stale is set
	// when the host can't tell if the configuration is the newest.
	Current() (configuration *ebonyworks.Configuration, stale bool)
}

// Coordinator runs searches. All fields but Tracer, Recorder and Observer are
// required; they don't change after the first search.
type Coordinator struct {
	Backend       ebonyworks.Backend
	Configuration ActiveConfiguration
	Servers       ServerStates
	Catalogue     *catalogue.Catalogue
	Selection     ebonyworks.Selection
	Hedging       ebonyworks.Hedging
	Quota         ebonyworks.Quota
	Quarantine    ebonyworks.SerialQuarantine
	Admission     ebonyworks.Admission
	Tracer        trace.Tracer
	Recorder      ebonyworks.EventRecorder
	Observer      ebonyworks.Observer
}

var _ ebonyworks.Searcher = (*Coordinator)(nil)

// Search answers the search by its deadline, or refuses it.
func (c *Coordinator) Search(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	start := time.Now()
	ctx, span := c.span(ctx, search)
	defer span.End()
	outcome := c.admitted(ctx, search)
	describe(span, outcome)
	if c.Observer != nil {
		c.Observer.SearchEnded(search.Route, outcome, time.Since(start))
	}
	return outcome
}

func (c *Coordinator) admitted(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	configuration, stale := c.Configuration.Current()
	if configuration == nil {
		return refuse(ebonyworks.RefusedNotReady, "no configuration is in force", time.Second)
	}
	route, ok := configuration.Route(search.Route)
	if !ok || route.Kind != ebonyworks.SearchRoute {
		return refuse(ebonyworks.RefusedUnknownRoute, "no search route named "+string(search.Route), 0)
	}
	seal := search.Deadline.Add(-sealMargin)
	ctx, cancel := context.WithDeadline(ctx, seal)
	defer cancel()
	admittance, refusal := c.Admission.Admit(ctx, route, search.Customer, seal)
	if refusal != nil {
		return ebonyworks.SearchOutcome{Refusal: refusal}
	}
	defer admittance.Done()
	if ctx.Err() != nil {
		return refuse(ebonyworks.RefusedDeadline, "the deadline passed before the search started", 0)
	}
	request := request{
		search:        search,
		route:         route,
		configuration: configuration,
		stale:         stale,
		fingerprint:   Fingerprint(search),
	}
	return c.restarting(ctx, request)
}

// request is one search with everything that stays the same over restarts.
type request struct {
	search        ebonyworks.Search
	route         ebonyworks.Route
	configuration *ebonyworks.Configuration
	stale         bool
	fingerprint   ebonyworks.Fingerprint
}

// restarting runs the search on one snapshot after the other until no shard
// misses it, if the route prefers coverage. It returns the answer with the most
// covered shards.
func (c *Coordinator) restarting(ctx context.Context, request request) ebonyworks.SearchOutcome {
	var best ebonyworks.SearchOutcome
	var tried []ebonyworks.Snapshot
	for len(tried) < maxRestarts {
		plan, ok := c.plan(request, tried)
		if !ok {
			break
		}
		tried = append(tried, plan.snapshot)
		outcome := c.pinned(ctx, request, plan)
		if len(tried) == 1 || better(outcome, best) {
			best = outcome
		}
		if !restarts(ctx, request.route, outcome) {
			return best
		}
		c.record(event.New(event.SearchRestarted,
			event.Attribute("Request", string(request.search.Request)),
			event.Attribute("Route", string(request.route.ID))))
	}
	if len(tried) == 0 {
		return refuse(ebonyworks.RefusedNoSnapshot, "no server has reported a snapshot with a known partition", retryAfterNoSnapshot)
	}
	return best
}

func better(outcome, best ebonyworks.SearchOutcome) bool {
	if outcome.Refusal != nil || best.Refusal != nil {
		return outcome.Refusal == nil
	}
	return len(outcome.Answer.Coverage.Missed) < len(best.Answer.Coverage.Missed)
}

func restarts(ctx context.Context, route ebonyworks.Route, outcome ebonyworks.SearchOutcome) bool {
	if outcome.Refusal != nil || route.Policy != ebonyworks.PreferCoverage || ctx.Err() != nil {
		return false
	}
	for _, miss := range outcome.Answer.Coverage.Missed {
		if miss.Reason == ebonyworks.MissSnapshotGone {
			return true
		}
	}
	return false
}

// pinned runs the search on the snapshot of the plan. A request that isn't
// known to be safe must first succeed on one server.
func (c *Coordinator) pinned(ctx context.Context, request request, plan plan) ebonyworks.SearchOutcome {
	run := newRun(c, request, plan)
	verdict, refusal := c.Quarantine.Check(request.fingerprint)
	switch verdict {
	case ebonyworks.VerdictQuarantined:
		return ebonyworks.SearchOutcome{Refusal: refusal}
	case ebonyworks.VerdictUntested:
		if refusal := run.tryOne(ctx); refusal != nil {
			return ebonyworks.SearchOutcome{Refusal: refusal}
		}
	case ebonyworks.VerdictSafe:
	}
	return run.all(ctx)
}

func (c *Coordinator) record(event ebonyworks.Event) {
	if c.Recorder != nil {
		c.Recorder.Record(event)
	}
}

func refuse(code ebonyworks.RefusalCode, message string, retryAfter time.Duration) ebonyworks.SearchOutcome {
	return ebonyworks.SearchOutcome{Refusal: &ebonyworks.Refusal{Code: code, Message: message, RetryAfter: retryAfter}}
}
