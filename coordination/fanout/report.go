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
	// Status is the status of the relayed response, or zero.
	Status  int
	Reason  string
	Elapsed time.Duration
	// Remaining is how much of the request's time was left.
	Remaining time.Duration
	// Shards is the number of services that the request needed, Parts is how many
	// of them responded, and Attempts is the number of attempts.
	Shards, Parts, Attempts int
	// Host is the host that answered, if the request could be delegated.
	Host ebonyworks.HostID
	// Target is the target latency of the route.
	Target time.Duration
	// HedgeDelay is the delay in force; MayHedge is set if hedges were allowed.
	HedgeDelay time.Duration
	MayHedge   bool
	// RefusalDetails holds the inputs of the admission decision if the request
	// was refused; empty if it was admitted.
	RefusalDetails string
	// MissedReasons lists the reasons of the subrequests without a response. If
	// the request was refused, it lists only the subrequests that weren't
	// expected to respond in time.
	MissedReasons string
	// NotableAttempts lists the attempts other than first attempts that
	// succeeded.
	NotableAttempts string
}

// maxListed bounds the attempts and the reasons that a report lists.
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
		Shards:          len(r.subrequests),
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
	for _, sub := range r.subrequests {
		if sub.done {
			report.Parts++
		}
	}
	return report
}

// delegationReport describes a request that could be delegated to another host.
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

// note explains the end of an attempt for the log; empty if there is nothing to
// explain.
func (a *attempt) note() string {
	switch {
	case !a.finished:
		return ""
	case a.notSentReason != "":
		return a.notSentReason
	case a.record.Result == ebonyworks.AttemptInvalid:
		return a.record.Cause
	case a.record.Report.Draining:
		return "reports that it is draining"
	case a.record.RetryAfter > 0:
		return "asks for a backoff of " + a.record.RetryAfter.String()
	default:
		return ""
	}
}

// drainStates returns the servers that reported that they are draining.
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

// missedReasons lists the reasons of the subrequests without a response.
func (r *run) missedReasons() string {
	var reasons []string
	for _, sub := range r.subrequests {
		if sub.done || r.refused && !sub.tooSlow {
			continue
		}
		if len(reasons) == maxListed {
			reasons = append(reasons, "...")
			break
		}
		reasons = append(reasons, sub.reason())
	}
	return strings.Join(reasons, "; ")
}

// notableAttempts lists attempts in the form "service/server kind result
// latency".
func (r *run) notableAttempts() string {
	var text strings.Builder
	listed := 0
	for _, attempt := range r.attempts {
		ordinary := attempt.kind == attemptFirst && attempt.finished && attempt.record.Result == ebonyworks.AttemptServed && !attempt.record.Report.Draining
		if ordinary && len(r.subrequests) > 1 {
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
		fmt.Fprintf(&text, "%s/%s %s %s %dms", attempt.subrequest.id, attempt.candidate.Server.ID, attempt.kind, outcome, attempt.latencyMs())
		if note := attempt.note(); note != "" {
			fmt.Fprintf(&text, " (%s)", note)
		}
		text.WriteString("; ")
	}
	return strings.TrimSuffix(text.String(), "; ")
}
