package fanout

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/merging"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
)

// maxResends bounds the attempts of a leg beyond MaxAttempts whose servers
// proved that they didn't run the request.
const maxResends = 2

// leg is the part of a run that concerns one service. It belongs to the
// goroutine of the run.
type leg struct {
	run *run
	id  ebonyworks.ServiceID
	// view is nil if no server is known.
	view *ebonyworks.Service
	// share bounds the servers that this host may ask.
	share share
	// asked are the servers that got an attempt.
	asked []ebonyworks.ServerID
	// started counts the attempts, and spent those that may have run.
	started, spent int
	// arrived is set once a server may have got the request from this host. Each
	// further arrival is a repeat.
	arrived  bool
	inFlight int
	// due is when a hedge is considered; zero if none is.
	due time.Time
	// done is set once response is the answer of the leg.
	done     bool
	response ebonyworks.ServerResponse
	// failure is the failure of its own that a server replied with.
	failure *ebonyworks.ServerResponse
	// deferred is set while a retry waits for proof that the request doesn't
	// crash servers.
	deferred bool
	last     ebonyworks.AttemptResult
	// offered are the servers that may get the first attempt, and first the
	// index of the one that was chosen.
	offered []ebonyworks.Candidate
	first   int
	// wait is the predicted wait of the first attempt for its permit, and backoff how
	// long its server, the first one to return, takes no requests. backoff is zero
	// unless all servers are in backoff.
	wait, backoff time.Duration
	// departing is set if no server takes requests because all are leaving.
	departing bool
	// crowded is set if a queue stands at the chosen server, and hopeless if the
	// leg couldn't be expected to respond in time.
	crowded, hopeless bool
	// starved is set if a repeat was needed and not allowed.
	starved bool
	// withheld is why a hedge that was due wasn't made; empty if none was due.
	withheld string
	// declined is why the last attempt wasn't sent; empty if it was.
	declined string
}

func (l *leg) open() bool { return !l.done && l.inFlight > 0 }

func (l *leg) reason() string {
	switch {
	case l.view == nil:
		return "no server of service " + string(l.id) + " is known"
	case l.started == 0 && l.departing:
		return "all servers of service " + string(l.id) + " are leaving"
	case l.started == 0 && l.backoff > 0:
		return "all servers of service " + string(l.id) + " want no requests, the first for " + l.backoff.Round(time.Millisecond).String()
	case l.started == 0 && l.wait > 0:
		return "service " + string(l.id) + " is overloaded: a request would wait for " + l.wait.Round(time.Millisecond).String()
	case l.started == 0 && l.starved:
		return "the repeat budget of service " + string(l.id) + " is used up"
	case l.started == 0:
		return "no server of service " + string(l.id) + " is usable"
	case l.declined != "":
		return "service " + string(l.id) + ": " + l.declined
	case l.inFlight > 0 && l.starved:
		return "no response of service " + string(l.id) + " in time, and the repeat budget is used up"
	case l.inFlight > 0 && l.withheld != "":
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts: " + l.withheld
	case l.inFlight > 0:
		return "no response of service " + string(l.id) + " in time after " + strconv.Itoa(l.started) + " attempts"
	case l.starved:
		return "service " + string(l.id) + " failed (" + l.last.String() + ") and the repeat budget is used up"
	default:
		return "service " + string(l.id) + " failed: " + l.last.String()
	}
}

// probeReserve is the number of repeats that a probe leaves for hedges.
const probeReserve = 2

// prepare chooses the server of the first attempt, and predicts the wait for its
// permit.
func (l *leg) prepare() {
	if l.view == nil {
		return
	}
	candidates := l.run.forwarder.ServerStates.Candidates(l.view, l.run.route.Idempotent)
	l.departing = len(candidates) == 0 && len(l.view.Servers) > 0
	offered := l.admitted(candidates)
	index, ok := l.run.forwarder.Selection.Select(offered)
	if !ok {
		if index, ok = firstToReturn(offered); !ok {
			return
		}
		l.backoff = offered[index].Backoff
	}
	l.offered, l.first = offered, index
	l.wait = l.run.forwarder.Quota.PredictedWait(offered[index].Server.ID)
	l.crowded = crowded(&offered[index], l.view.Slots)
}

// firstToReturn returns the index of the server with the shortest backoff, or false if
// there is none.
func firstToReturn(candidates []ebonyworks.Candidate) (int, bool) {
	first := -1
	for i := range candidates {
		if first < 0 || candidates[i].Backoff < candidates[first].Backoff {
			first = i
		}
	}
	return first, first >= 0
}

// expected reports whether the leg can be expected to respond in time. While many
// legs wait, a server that reports nothing is taken for crowded.
func (l *leg) expected(admission *admission) bool {
	if len(l.offered) == 0 {
		return false
	}
	if l.backoff > 0 {
		return admission.awaits(l.backoff + l.wait)
	}
	return admission.accepts(l.wait, l.crowded || admission.contended() && l.offered[l.first].ReportedLoad == 0)
}

// startFirst starts the first attempt that prepare chose, and a copy of the
// request at a server that needs a probe.
func (l *leg) startFirst(now time.Time) {
	if len(l.offered) == 0 || l.backoff > 0 && l.hopeless {
		return
	}
	charge, ok := l.charge(l.run.repeat)
	if !ok {
		return
	}
	l.start(l.offered[l.first], attemptFirst, charge)
	l.scheduleHedge(now.Add(l.backoff))
	for i := range l.offered {
		if i == l.first || !l.offered[i].Probe || !l.mayStart() || !l.admits(l.offered[i].Server.ID) || !l.hasRoom(&l.offered[i]) {
			continue
		}
		if l.run.forwarder.RetryBudget.Left(l.id) <= probeReserve {
			continue
		}
		if charge, ok := l.run.forwarder.RetryBudget.Take(l.id); ok {
			l.start(l.offered[i], attemptProbe, charge)
		}
	}
}

func (l *leg) scheduleHedge(now time.Time) {
	if l.run.route.Idempotent && l.run.mayHedge && l.mayStart() {
		l.due = now.Add(l.run.hedgeDelay)
	}
}

// mayStart reports whether the route allows another attempt.
func (l *leg) mayStart() bool {
	return l.spent+l.inFlight < l.run.route.MaxAttempts && l.started < l.run.route.MaxAttempts+maxResends
}

// hasRoom reports whether a second attempt at the server, or a probe, leaves the
// room that first attempts need.
func (l *leg) hasRoom(candidate *ebonyworks.Candidate) bool {
	return !l.run.admission.overloaded() || hasFreeSlot(candidate, l.view.Slots)
}

// hedge starts a second attempt at another server if that can help.
func (l *leg) hedge(now time.Time) {
	l.due = time.Time{}
	if l.done || l.inFlight == 0 || !l.mayStart() {
		return
	}
	candidate, ok := l.choose()
	if !ok || candidate.Failing {
		l.withheld = "no other server works"
		return
	}
	switch {
	case candidate.InFlight >= candidate.Limit:
		l.withheld = "no permit is free at another server"
	case !l.hasRoom(&candidate):
		l.withheld = "queues stand at the other servers"
	default:
		l.withheld = ""
	}
	if l.withheld != "" {
		l.due = now.Add(l.run.recheckTime())
		return
	}
	if charge, ok := l.charge(true); ok {
		l.start(candidate, attemptHedge, charge)
	}
}

// ended takes the end of an attempt and decides on a retry.
func (l *leg) ended(end *attempt, now time.Time) {
	l.inFlight--
	l.last = end.record.Result
	l.declined = end.declined
	if end.record.Result.ProvesNotRun() {
		l.share.giveBack(end.candidate.Server.ID)
	} else {
		l.spent++
	}
	if end.record.Result == ebonyworks.AttemptUnreachable {
		l.run.forwarder.RetryBudget.Return(l.id, end.charge)
	} else {
		l.arrived = true
	}
	switch {
	case l.done:
		return
	case end.record.Result == ebonyworks.AttemptServed:
		l.run.prove(now)
		l.done = true
		l.due = time.Time{}
		l.response = end.response
		l.abandonOthers()
		return
	case end.record.Result == ebonyworks.AttemptFailed:
		l.run.prove(now)
		l.failure = &end.response
	}
	if l.inFlight == 0 {
		l.retry(end.record.Result, now)
	}
}

// abandonOthers ends the attempts whose response is no longer needed.
func (l *leg) abandonOthers() {
	if l.inFlight == 0 {
		return
	}
	for _, other := range l.run.attempts {
		if other.leg == l && !other.ended {
			other.abandon()
		}
	}
}

// trim returns the records of a part that can be in the answer. A part may hold any
// number of them.
func (l *leg) trim(part []byte) []byte {
	if len(part) <= trimAbove*l.run.route.TopRecords*merging.RecordSize {
		return part
	}
	return merging.Greatest([][]byte{part}, l.run.route.TopRecords)
}

// trimAbove is how many times the records of an answer a part has to hold to be
// trimmed before the others are in.
const trimAbove = 4

// retry starts another attempt after a failed one.
func (l *leg) retry(failed ebonyworks.AttemptResult, now time.Time) {
	l.due = time.Time{}
	if !now.Before(l.run.deadline) || !l.mayStart() || !l.mayRepeat(failed) {
		return
	}
	if failed == ebonyworks.AttemptLost && !l.run.proven && l.run.route.IsSharded() {
		l.deferred = true
		return
	}
	candidate, ok := l.choose()
	if !ok {
		return
	}
	// If no server could be reached so far, none saw the request.
	charge, ok := l.charge(l.arrived || l.run.repeat)
	if !ok {
		return
	}
	l.start(candidate, attemptRetry, charge)
	l.scheduleHedge(now)
}

// charge takes a repeat if the attempt is one. It returns false if none is left.
func (l *leg) charge(repeat bool) (retrybudget.Charge, bool) {
	if !repeat {
		return retrybudget.Charge{}, true
	}
	charge, ok := l.run.forwarder.RetryBudget.Take(l.id)
	l.starved = l.starved || !ok
	return charge, ok
}

// mayRepeat reports whether the request may be sent again after the result.
func (l *leg) mayRepeat(result ebonyworks.AttemptResult) bool {
	return result.ProvesNotRun() || l.run.route.Idempotent
}

// choose selects a server that wasn't asked yet.
func (l *leg) choose() (ebonyworks.Candidate, bool) {
	candidates := l.admitted(l.run.forwarder.ServerStates.Candidates(l.view, false))
	candidates = slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool {
		return slices.Contains(l.asked, candidate.Server.ID)
	})
	index, ok := l.run.forwarder.Selection.Select(candidates)
	if !ok {
		return ebonyworks.Candidate{}, false
	}
	return candidates[index], true
}

// admits reports whether the server may get an attempt.
func (l *leg) admits(server ebonyworks.ServerID) bool {
	return l.share.admits(server, l.run.route.MaxAttempts-l.spent-l.inFlight)
}

// admitted returns the candidates that may get an attempt.
func (l *leg) admitted(candidates []ebonyworks.Candidate) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool { return !l.admits(candidate.Server.ID) })
}

func (l *leg) start(candidate ebonyworks.Candidate, kind attemptKind, charge retrybudget.Charge) {
	l.asked = append(l.asked, candidate.Server.ID)
	l.share.take(candidate.Server.ID)
	l.started++
	l.inFlight++
	l.run.inFlight++
	started := &attempt{leg: l, candidate: candidate, kind: kind, charge: charge, awaits: candidate.Backoff > 0}
	started.waiting.deadline = l.run.latest
	l.run.attempts = append(l.run.attempts, started)
	go started.do()
}
