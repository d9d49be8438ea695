// Package search coordinates searches: it chooses one snapshot, fans out to the
// shards, hedges and retries within budgets, and returns an answer that lists the
// covered and the missed shards.
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
	// replyMargin is how long before the deadline the answer is completed, to leave
	// time for sending it to the caller.
	replyMargin = 2 * time.Millisecond
	// maxRestarts bounds the number of snapshots that one search tries.
	maxRestarts = 3
	// retryAfterNoSnapshot is the time in which servers usually send a new report.
	retryAfterNoSnapshot = 200 * time.Millisecond
)

// ServerStates provides the servers of a service with the state that the host has
// recorded for them.
type ServerStates interface {
	// Candidates returns the usable servers of the service on the route.
	Candidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// FirstCandidates is like Candidates, but can present a server that needs to
	// be probed as the best candidate. It is called once for each first attempt.
	FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate
	// Observe updates the state of the server with a finished attempt.
	Observe(record ebonyworks.AttemptRecord)
}

// ActiveConfiguration provides the configuration in force.
type ActiveConfiguration interface {
	// Current returns nil until a configuration has been accepted. stale is set
	// when the host can't tell whether the configuration is the newest.
	Current() (configuration *ebonyworks.Configuration, stale bool)
}

// Coordinator runs searches. All fields except Tracer, Recorder and Observer are
// required, and none may change after the first search.
type Coordinator struct {
	Backend       ebonyworks.Backend
	Configuration ActiveConfiguration
	Servers       ServerStates
	Catalogue     *catalogue.SnapshotIndex
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

// Search returns an answer or a refusal by the deadline of the search.
func (c *Coordinator) Search(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	start := time.Now()
	ctx, span := c.span(ctx, search)
	defer span.End()
	outcome := c.admitAndSearch(ctx, search)
	setOutcome(span, outcome)
	if c.Observer != nil {
		c.Observer.SearchEnded(search.Route, outcome, time.Since(start))
	}
	return outcome
}

func (c *Coordinator) admitAndSearch(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	configuration, stale := c.Configuration.Current()
	if configuration == nil {
		return refuse(ebonyworks.RefusedNotReady, "no configuration is in force", time.Second)
	}
	route, ok := configuration.Route(search.Route)
	if !ok || route.Kind != ebonyworks.SearchRoute {
		return refuse(ebonyworks.RefusedUnknownRoute, "no search route named "+string(search.Route), 0)
	}
	answerBy := search.Deadline.Add(-replyMargin)
	ctx, cancel := context.WithDeadline(ctx, answerBy)
	defer cancel()
	permit, refusal := c.Admission.Admit(ctx, route, search.Customer, answerBy)
	if refusal != nil {
		return ebonyworks.SearchOutcome{Refusal: refusal}
	}
	defer permit.Done()
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
	return c.searchWithRestarts(ctx, request)
}

// request is one search with the state that all its snapshots share.
type request struct {
	search        ebonyworks.Search
	route         ebonyworks.Route
	configuration *ebonyworks.Configuration
	stale         bool
	fingerprint   ebonyworks.Fingerprint
}

// searchWithRestarts runs the search on one snapshot. If the route prefers coverage,
// it runs the search again on another snapshot while servers no longer hold the
// chosen one. It returns the answer with the fewest missed shards.
func (c *Coordinator) searchWithRestarts(ctx context.Context, request request) ebonyworks.SearchOutcome {
	var best ebonyworks.SearchOutcome
	var tried []ebonyworks.Snapshot
	for len(tried) < maxRestarts {
		plan, ok := c.plan(request, tried)
		if !ok {
			break
		}
		tried = append(tried, plan.snapshot)
		outcome := c.searchSnapshot(ctx, request, plan)
		if len(tried) == 1 || isBetter(outcome, best) {
			best = outcome
		}
		if !shouldRestart(ctx, request.route, outcome) {
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

func isBetter(outcome, best ebonyworks.SearchOutcome) bool {
	if outcome.Refusal != nil || best.Refusal != nil {
		return outcome.Refusal == nil
	}
	return len(outcome.Answer.Coverage.Missed) < len(best.Answer.Coverage.Missed)
}

func shouldRestart(ctx context.Context, route ebonyworks.Route, outcome ebonyworks.SearchOutcome) bool {
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

// searchSnapshot runs the search on the snapshot of the plan. A request that isn't
// known to be safe must first succeed on one server, as a canary.
func (c *Coordinator) searchSnapshot(ctx context.Context, request request, plan plan) ebonyworks.SearchOutcome {
	run := newRun(c, request, plan)
	verdict, refusal := c.Quarantine.Check(request.fingerprint)
	switch verdict {
	case ebonyworks.VerdictQuarantined:
		return ebonyworks.SearchOutcome{Refusal: refusal}
	case ebonyworks.VerdictUntested:
		if refusal := run.runCanaries(ctx); refusal != nil {
			return ebonyworks.SearchOutcome{Refusal: refusal}
		}
	case ebonyworks.VerdictSafe:
	}
	return run.fanOut(ctx)
}

func (c *Coordinator) record(event ebonyworks.Event) {
	if c.Recorder != nil {
		c.Recorder.Record(event)
	}
}

func refuse(code ebonyworks.RefusalCode, message string, retryAfter time.Duration) ebonyworks.SearchOutcome {
	return ebonyworks.SearchOutcome{Refusal: &ebonyworks.Refusal{Code: code, Message: message, RetryAfter: retryAfter}}
}
