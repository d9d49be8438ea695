package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
	"github.com/ebonyworks/ebonyworks/event"
)

// Metrics counts finished requests and attempts.
type Metrics interface {
	// AttemptEnded counts an attempt at a server.
	AttemptEnded(record ebonyworks.AttemptRecord)
	// ForwardEnded counts a request. Missing is its number of shards without a part.
	ForwardEnded(route ebonyworks.RouteID, kind ebonyworks.ReplyKind, missing int, elapsed time.Duration)
}

const (
	// invalidLogInterval is the least time between two log events about invalid
	// responses of one server.
	invalidLogInterval = time.Second
	// maxLoggedServers bounds the servers whose last log event is remembered.
	maxLoggedServers = 1024
)

// Observer logs and counts requests and attempts. Use NewObserver.
type Observer struct {
	self     ebonyworks.HostID
	recorder ebonyworks.EventRecorder
	metrics  Metrics

	mutex sync.Mutex
	// invalidLoggedAt is when an invalid response of a server was last logged. It has
	// at most maxLoggedServers entries.
	invalidLoggedAt map[ebonyworks.ServerID]time.Time
}

var _ fanout.Observer = (*Observer)(nil)

// NewObserver returns an observer that logs to the recorder and counts in the metrics.
func NewObserver(self ebonyworks.HostID, recorder ebonyworks.EventRecorder, metrics Metrics) *Observer {
	return &Observer{self: self, recorder: recorder, metrics: metrics}
}

// AttemptEnded counts an attempt, and logs the cause if its response is invalid.
func (o *Observer) AttemptEnded(record ebonyworks.AttemptRecord) {
	o.metrics.AttemptEnded(record)
	kind, cause, logged := attemptEvent(record)
	if !logged || !o.shouldLogInvalid(record.Server, time.Now()) {
		return
	}
	o.recorder.Record(event.New(kind,
		event.Attribute("Service", string(record.Service)),
		event.Attribute("Server", string(record.Server)),
		event.Attribute("Error", cause)))
}

// attemptEvent returns the event to log for an attempt whose response is invalid or
// has an invalid part, and the cause. It returns false if there is nothing to log.
func attemptEvent(record ebonyworks.AttemptRecord) (id ebonyworks.EventID, cause string, logged bool) {
	switch {
	case record.Result == ebonyworks.AttemptInvalid:
		return event.ServerReplyInvalid, record.Cause, true
	case record.Report.RateLimit.Problem != "":
		return event.ServerRateLimitInvalid, record.Report.RateLimit.Problem, true
	case record.Result == ebonyworks.AttemptShed && record.Cause != "":
		return event.ServerReturnTimeInvalid, record.Cause, true
	default:
		return 0, "", false
	}
}

// shouldLogInvalid reports whether to log an invalid response of the server. It returns
// true at most once per invalidLogInterval.
func (o *Observer) shouldLogInvalid(server ebonyworks.ServerID, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Sub(o.invalidLoggedAt[server]) < invalidLogInterval {
		return false
	}
	if o.invalidLoggedAt == nil || len(o.invalidLoggedAt) >= maxLoggedServers {
		o.invalidLoggedAt = make(map[ebonyworks.ServerID]time.Time)
	}
	o.invalidLoggedAt[server] = now
	return true
}

// Delegated logs and counts a request that another host answered.
func (o *Observer) Delegated(report fanout.Report) {
	if report.Host == o.self {
		return
	}
	o.metrics.ForwardEnded(report.Route, report.Kind, report.Shards-report.Parts, report.Elapsed)
	o.recorder.Record(event.New(event.RequestDelegated,
		event.Attribute("Request", string(report.Request)),
		event.Attribute("Route", string(report.Route)),
		event.Attribute("Revision", strconv.FormatUint(uint64(report.Revision), 10)),
		event.Attribute("Host", string(report.Host)),
		event.Attribute("Outcome", report.Kind.String()),
		event.Attribute("ElapsedMs", milliseconds(report.Elapsed)),
		event.Attribute("LeftMs", milliseconds(report.Remaining)),
		event.Attribute("Parts", strconv.Itoa(report.Parts)+"/"+strconv.Itoa(report.Shards))))
}

// Forwarded logs and counts a request that this host answered.
func (o *Observer) Forwarded(report fanout.Report) {
	missing := report.Shards - report.Parts
	o.metrics.ForwardEnded(report.Route, report.Kind, missing, report.Elapsed)
	attributes := []ebonyworks.Attribute{
		event.Attribute("Request", string(report.Request)),
		event.Attribute("Route", string(report.Route)),
		event.Attribute("Revision", strconv.FormatUint(uint64(report.Revision), 10)),
		event.Attribute("Outcome", report.Kind.String()),
		event.Attribute("ElapsedMs", milliseconds(report.Elapsed)),
		event.Attribute("LeftMs", milliseconds(report.Remaining)),
		event.Attribute("TargetMs", milliseconds(report.Target)),
		event.Attribute("Parts", strconv.Itoa(report.Parts)+"/"+strconv.Itoa(report.Shards)),
		event.Attribute("Attempts", strconv.Itoa(report.Attempts)),
		event.Attribute("HedgeDelayMs", milliseconds(report.HedgeDelay)),
	}
	if !report.MayHedge && report.Attempts > 0 {
		attributes = append(attributes, event.Attribute("Hedging", "paused: overload"))
	}
	if report.Status != 0 {
		attributes = append(attributes, event.Attribute("Status", strconv.Itoa(report.Status)))
	}
	if report.Reason != "" {
		attributes = append(attributes, event.Attribute("Reason", report.Reason))
	}
	if report.RefusalDetails != "" {
		attributes = append(attributes, event.Attribute("Refusal", report.RefusalDetails))
	}
	if report.MissedReasons != "" {
		attributes = append(attributes, event.Attribute("Missed", report.MissedReasons))
	}
	if report.NotableAttempts != "" {
		attributes = append(attributes, event.Attribute("Tries", report.NotableAttempts))
	}
	o.recorder.Record(event.New(requestEvent(report, missing), attributes...))
}

func requestEvent(report fanout.Report, missing int) ebonyworks.EventID {
	switch {
	case report.Kind != ebonyworks.ReplyMerged && report.Kind != ebonyworks.ReplyRelayed:
		return event.RequestUnanswered
	case missing > 0:
		return event.RequestIncomplete
	default:
		return event.RequestForwarded
	}
}

func milliseconds(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration.Microseconds())/1000, 'f', 1, 64)
}
