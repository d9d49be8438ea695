package reservation

import (
	"context"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// job is the state of one run of a reservation.
type job struct {
	claims      ebonyworks.TicketClaims
	route       ebonyworks.Route
	service     *ebonyworks.Service
	sent        ebonyworks.SubReservation
	fingerprint ebonyworks.Fingerprint
	deadline    time.Time
	// refusedBy are the servers that provably didn't run the reservation. They aren't
	// tried again.
	refusedBy []ebonyworks.ServerID
}

// target is the server of one attempt.
type target struct {
	server ebonyworks.Server
	// canary is set if the quarantine chose the server for a canary attempt.
	canary bool
}

// step tells how the run continues after an attempt.
type step int

const (
	// finished means that the outcome is final.
	finished step = iota
	// nextServer means that the server provably didn't run the reservation, so another
	// one may be tried.
	nextServer
	// chooseAgain means that nothing was sent, because the quarantine learned of a
	// server crash after the server was chosen.
	chooseAgain
)

// run executes the reservation and records its outcome in the ledger before any
// caller gets it.
func (r *Runner) run(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) {
	ctx, span := r.startSpan(ctx, "run")
	outcome := r.execute(ctx, claims, reservation)
	endSpan(span, outcome)
	r.settings.Ledger.Finish(claims.ID, outcome)
	if outcome.Kind == ebonyworks.OutcomeUnknown {
		r.record(event.New(event.ReservationUnknown,
			event.Attribute("Ticket", string(claims.ID)), event.Attribute("Code", string(outcome.Code))))
	}
}

func (r *Runner) execute(ctx context.Context, claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	work, failed := r.plan(claims, reservation)
	if failed != nil {
		return *failed
	}
	ctx, cancel := context.WithDeadline(ctx, work.deadline)
	defer cancel()
	permit, refusal := r.settings.Admission.Admit(ctx, work.route, reservation.Customer, work.deadline)
	if refusal != nil {
		return notRun(ebonyworks.CodeOverloaded, refusal.Message, refusal.RetryAfter)
	}
	defer permit.Done()
	return r.tryServers(ctx, work)
}

// plan looks up route, shard and service in the configuration in force. The shard is
// that of the newest partition.
func (r *Runner) plan(claims ebonyworks.TicketClaims, reservation ebonyworks.Reservation) (*job, *ebonyworks.Outcome) {
	notInForce := func(message string) (*job, *ebonyworks.Outcome) {
		outcome := notRun(ebonyworks.CodeUnknownRoute, message, refusedRetryAfter)
		return nil, &outcome
	}
	configuration := r.settings.Configuration()
	if configuration == nil {
		return notInForce("no configuration is in force")
	}
	route, ok := configuration.Route(reservation.Route)
	if !ok || route.Kind != ebonyworks.ReservationRoute {
		return notInForce("no such reservation route is in force")
	}
	catalogue, ok := configuration.Catalogue(route.Catalogue)
	if !ok {
		return notInForce("the route's catalogue isn't in force")
	}
	shard, ok := newestShard(catalogue, reservation.Key)
	if !ok {
		return notInForce("no shard holds the key")
	}
	service, ok := catalogue.Service(shard.Service)
	if !ok {
		return notInForce("the shard's service isn't in force")
	}
	return &job{
		claims:      claims,
		route:       route,
		service:     service,
		sent:        subReservation(claims, catalogue.ID, shard.ID, reservation),
		fingerprint: workFingerprint(reservation),
		deadline:    runDeadline(route, reservation.Deadline),
	}, nil
}

// tryServers tries one server after the other, for as long as each provably didn't run
// the reservation.
func (r *Runner) tryServers(ctx context.Context, work *job) ebonyworks.Outcome {
	last := notRun(ebonyworks.CodeRefused, "no server is usable", refusedRetryAfter)
	for {
		chosen, stop := r.choose(work)
		if stop != nil {
			return *stop
		}
		if chosen == nil {
			return last
		}
		if len(work.refusedBy) > 0 && !r.settings.Hedging.AllowRetry(work.service.ID) {
			r.endCanary(work, *chosen)
			return last
		}
		outcome, next := r.attempt(ctx, work, *chosen)
		if next == finished {
			return outcome
		}
		if next == chooseAgain {
			continue
		}
		last = outcome
		work.refusedBy = append(work.refusedBy, chosen.server.ID)
	}
}

// choose returns the next server to try, nil if none is left, or an outcome that ends
// the run.
func (r *Runner) choose(work *job) (*target, *ebonyworks.Outcome) {
	candidates := slices.DeleteFunc(r.settings.Servers.Candidates(work.service, work.route), func(c ebonyworks.Candidate) bool {
		return slices.Contains(work.refusedBy, c.Server.ID)
	})
	if len(candidates) == 0 {
		return nil, nil
	}
	verdict, refusal := r.settings.Quarantine.Check(work.fingerprint)
	if verdict == ebonyworks.VerdictQuarantined {
		return nil, crashSuspectOutcome(refusal)
	}
	if verdict == ebonyworks.VerdictUntested {
		canary, refusal := r.settings.Quarantine.ChooseCanary(work.fingerprint, []ebonyworks.ShardReplicas{replicas(work, candidates)})
		if refusal != nil {
			return nil, crashSuspectOutcome(refusal)
		}
		return &target{server: canary.Server, canary: true}, nil
	}
	index, ok := r.settings.Selection.Select(candidates)
	if !ok {
		return nil, nil
	}
	return &target{server: candidates[index].Server}, nil
}

// attempt sends the reservation to one server at most once, and tells how the run
// continues.
func (r *Runner) attempt(ctx context.Context, work *job, chosen target) (ebonyworks.Outcome, step) {
	defer r.endCanary(work, chosen)
	server := chosen.server
	record := ebonyworks.AttemptRecord{Service: work.service.ID, Server: server.ID, Result: ebonyworks.AttemptCanceled, Retry: len(work.refusedBy) > 0}
	ctx, span := r.startAttemptSpan(ctx, work, chosen)
	defer func() { endAttemptSpan(span, record) }()
	permit, ok := r.settings.Quota.Acquire(ctx, work.service, server.ID)
	if !ok {
		return notRun(ebonyworks.CodeDeadline, "the deadline passed before anything was sent", refusedRetryAfter), finished
	}
	incarnation := r.settings.Servers.Incarnation(server.ID)
	if !r.stillAllowed(work, chosen) {
		permit.Release(record)
		return ebonyworks.Outcome{}, chooseAgain
	}
	// Expiry and deadline are checked right before the send, because the process may
	// have been paused since any earlier check.
	if stop := r.expiredOutcome(work); stop != nil {
		permit.Release(record)
		return *stop, finished
	}
	span.AddEvent("sent")
	begin := time.Now()
	reply := r.settings.Backend.Reserve(ctx, work.service, server, work.sent)
	record.Latency = time.Since(begin)
	record.Result = reply.Result
	record.Report = reply.Report
	permit.Release(record)
	r.settings.Hedging.Observe(record)
	r.settings.Servers.Observe(record)
	return r.evaluateReply(work, server, incarnation, reply)
}

// expiredOutcome returns the outcome if the ticket or the deadline has expired, so that
// the reservation must not be sent any more, and nil otherwise.
func (r *Runner) expiredOutcome(work *job) *ebonyworks.Outcome {
	var stop ebonyworks.Outcome
	switch {
	case !r.settings.Tickets.Now().Before(work.claims.Expiry):
		stop = notRun(ebonyworks.CodeTicketExpired, "the ticket expired before anything was sent", refusedRetryAfter)
	case deadlinePassed(work.deadline):
		stop = notRun(ebonyworks.CodeDeadline, "the deadline passed before anything was sent", refusedRetryAfter)
	default:
		return nil
	}
	return &stop
}

func (r *Runner) evaluateReply(work *job, server ebonyworks.Server, incarnation ebonyworks.Incarnation, reply ebonyworks.SubReservationReply) (ebonyworks.Outcome, step) {
	if reply.Result == ebonyworks.AttemptRejected || reply.Result == ebonyworks.AttemptExpired {
		return refusedOutcome(reply), finished
	}
	if reply.Result.ProvesNotRun() {
		return refusedOutcome(reply), nextServer
	}
	outcome := attemptOutcome(work.sent, reply)
	if outcome.Kind == ebonyworks.OutcomeRan {
		r.settings.Quarantine.RecordSuccess(work.fingerprint)
	}
	if reply.Result == ebonyworks.AttemptLost {
		r.settings.Quarantine.RecordCrash(work.fingerprint, server.ID, incarnation)
	}
	return outcome, finished
}

// stillAllowed reports whether the quarantine still allows the attempt. Crash reports
// of other hosts can arrive while the attempt waits for a permit.
func (r *Runner) stillAllowed(work *job, chosen target) bool {
	if !chosen.canary {
		verdict, _ := r.settings.Quarantine.Check(work.fingerprint)
		return verdict == ebonyworks.VerdictSafe
	}
	serial, ok := r.settings.Quarantine.(ebonyworks.SerialQuarantine)
	return !ok || serial.StillAllowed(work.fingerprint, ebonyworks.Canary{Shard: work.sent.Shard, Server: chosen.server})
}

func (r *Runner) endCanary(work *job, chosen target) {
	serial, ok := r.settings.Quarantine.(ebonyworks.SerialQuarantine)
	if ok && chosen.canary {
		serial.EndCanary(work.fingerprint)
	}
}

// deadlinePassed reports whether the deadline has passed on the monotonic or on the
// wall clock. Both are compared, because the monotonic clock stops during some pauses
// of the process.
func deadlinePassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// runDeadline returns the deadline of a run: the caller's, but at most the route's
// maximum, or the route's default if the caller set none.
func runDeadline(route ebonyworks.Route, deadline time.Time) time.Time {
	now := time.Now()
	if deadline.IsZero() {
		return now.Add(route.DefaultDeadline)
	}
	latest := now.Add(route.MaxDeadline)
	if route.MaxDeadline > 0 && deadline.After(latest) {
		return latest
	}
	return deadline
}

func newestShard(catalogue *ebonyworks.Catalogue, key string) (ebonyworks.Shard, bool) {
	if len(catalogue.Partitions) == 0 {
		return ebonyworks.Shard{}, false
	}
	newest := catalogue.Partitions[len(catalogue.Partitions)-1]
	for _, shard := range newest.Shards {
		if shard.Keys.Contains(key) {
			return shard, true
		}
	}
	return ebonyworks.Shard{}, false
}

func subReservation(claims ebonyworks.TicketClaims, catalogue ebonyworks.CatalogueID, shard ebonyworks.ShardID, reservation ebonyworks.Reservation) ebonyworks.SubReservation {
	request := reservation.Request
	if request == "" {
		request = ebonyworks.RequestID(claims.ID)
	}
	return ebonyworks.SubReservation{Request: request, Catalogue: catalogue, Shard: shard, Key: reservation.Key, Fields: reservation.Fields}
}

func replicas(work *job, candidates []ebonyworks.Candidate) ebonyworks.ShardReplicas {
	shard := ebonyworks.ShardReplicas{Shard: work.sent.Shard}
	for _, server := range work.service.Servers {
		if work.route.Allows(server.Domain) {
			shard.All = append(shard.All, server)
		}
	}
	for _, candidate := range candidates {
		shard.Usable = append(shard.Usable, candidate.Server)
	}
	return shard
}

func crashSuspectOutcome(refusal *ebonyworks.Refusal) *ebonyworks.Outcome {
	outcome := notRun(ebonyworks.CodeCrashSuspect, refusal.Message, refusal.RetryAfter)
	return &outcome
}
