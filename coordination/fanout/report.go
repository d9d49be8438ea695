package fanout

import (
	"fmt"
	"strings"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
)

const reasonCallerDisconnected = "the caller left"

// Report describes a request that has ended.
type Report struct {
	Request  ebonyworks.RequestID
	Route    ebonyworks.RouteID
	Revision ebonyworks.Revision
	Kind     ebonyworks.ReplyKind
	// Status is that of the relayed response, or zero.
	Status  int
	Reason  string
	Elapsed time.Duration
	// Remaining is how much of the request's time was left.
	Remaining time.Duration
	// Shards, Parts and Attempts count what the request needed and used.
	Shards, Parts, Attempts int
	// Host is the host that answered, if it could be another one.
	Host ebonyworks.HostID
	// Target is the target latency of the route.
	Target time.Duration
	// HedgeDelay is the delay in force, and MayHedge if hedges were allowed.
	HedgeDelay time.Duration
	MayHedge   bool
	// RefusalDetails holds the inputs of the decision to turn the request away; empty if
	// it was taken on.
	RefusalDetails string
	// MissedReasons lists the reasons of the legs without a response. If the request was
	// turned away, these are the ones that couldn't be expected to respond.
	MissedReasons string
	// NotableAttempts lists the attempts that were no plain success at the first try.
	NotableAttempts string
}

// maxNotable bounds the attempts that a report lists.
const maxListed = 12

func (r *run) report(reply ebonyworks.ForwardReply) Report {
	now := time.Now()
	report := Report{
		Request:         r.request.ID,
		Route:           r.route.ID,
		Revision:        r.revision,
		Kind:            reply.Kind,
		Status:          reply.Response.Status,
		Reason:          reply.Reason,
		Elapsed:         now.Sub(r.request.Arrival),
		Remaining:       r.deadline.Sub(now),
		Shards:          len(r.legs),
		Attempts:        len(r.attempts),
		Target:          r.route.TargetLatency,
		HedgeDelay:      r.hedgeDelay,
		MayHedge:        r.mayHedge,
		MissedReasons:   r.missedReasons(),
		NotableAttempts: r.notableAttempts(),
	}
	if r.refused {
		report.RefusalDetails = r.admission.String()
	}
	for _, leg := range r.legs {
		if leg.done {
			report.Parts++
		}
	}
	return report
}

// delegationReport describes a request that could run on another host.
func delegationReport(request *ebonyworks.ForwardRequest, route *routing.Route, revision ebonyworks.Revision, reply *ebonyworks.ForwardReply, host ebonyworks.HostID) Report {
	return Report{
		Request:   request.ID,
		Route:     route.ID,
		Revision:  revision,
		Kind:      reply.Kind,
		Status:    reply.Response.Status,
		Reason:    reply.Reason,
		Elapsed:   time.Since(request.Arrival),
		Remaining: time.Until(request.Arrival.Add(requestTimeout(request, route))),
		Shards:    len(route.Shards),
		Parts:     len(reply.Signatures),
		Target:    route.TargetLatency,
		Host:      host,
	}
}

// note explains the end of an attempt for the log, or is empty.
func (a *attempt) note() string {
	switch {
	case !a.finished:
		return ""
	case a.notSentReason != "":
		return a.notSentReason
	case a.record.Result == ebonyworks.AttemptInvalid:
		return a.record.Cause
	case a.record.Report.Draining:
		return "says that it is leaving"
	case a.record.RetryAfter > 0:
		return "wants no requests for " + a.record.RetryAfter.String()
	default:
		return ""
	}
}

// departures names the servers that said that they are leaving.
func (r *run) drainStates() []ebonyworks.DrainState {
	var states []ebonyworks.DrainState
	for _, attempt := range r.attempts {
		if attempt.finished && attempt.record.Report.Draining {
			states = append(states, ebonyworks.DrainState{
				Server:      attempt.candidate.Server.ID,
				Incarnation: attempt.record.Report.Incarnation,
				Draining:    true,
			})
		}
	}
	return states
}

// latencyMs returns the latency of an attempt that has ended, or zero.
func (a *attempt) latencyMs() int64 {
	if !a.finished {
		return 0
	}
	return a.record.Latency.Milliseconds()
}

// missed lists the reasons of the legs without a response.
func (r *run) missedReasons() string {
	var reasons []string
	for _, leg := range r.legs {
		if leg.done || r.refused && !leg.tooSlow {
			continue
		}
		if len(reasons) == maxListed {
			reasons = append(reasons, "...")
			break
		}
		reasons = append(reasons, leg.reason())
	}
	return strings.Join(reasons, "; ")
}

// notable lists attempts as service/server kind result latency.
func (r *run) notableAttempts() string {
	var text strings.Builder
	listed := 0
	for _, attempt := range r.attempts {
		ordinary := attempt.kind == attemptFirst && attempt.finished && attempt.record.Result == ebonyworks.AttemptServed && !attempt.record.Report.Draining
		if ordinary && len(r.legs) > 1 {
			continue
		}
		if listed++; listed > maxListed {
			text.WriteString(" ...")
			break
		}
		outcome := "pending"
		if attempt.finished {
			outcome = attempt.record.Result.String()
		}
		fmt.Fprintf(&text, "%s/%s %s %s %dms", attempt.leg.id, attempt.candidate.Server.ID, attempt.kind, outcome, attempt.latencyMs())
		if note := attempt.note(); note != "" {
			fmt.Fprintf(&text, " (%s)", note)
		}
		text.WriteString("; ")
	}
	return strings.TrimSuffix(text.String(), "; ")
}
