package server

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/backendjson"
)

// job is one request in the server. Its fields are set while it is handled.
type job struct {
	view view
	// arrived is when the request reached the server after the network delay.
	arrived time.Time
	// delay is the one-way network delay.
	delay time.Duration
	// end is when the request left its slot.
	end time.Time
}

// ServeHTTP serves the backend servers' protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job := s.newJob(r)
	switch r.Method + " " + r.URL.Path {
	case "POST " + backendjson.SearchPath:
		s.serve(w, r, job, s.search)
	case "POST " + backendjson.ReservePath:
		s.serve(w, r, job, s.reserve)
	case "GET " + backendjson.StatusPath:
		if s.options.clock.wait(r.Context(), job.arrived) {
			job.end = time.Now()
			s.answer(w, r, job, s.codec.EncodeReport(s.report(s.view())))
		}
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) newJob(r *http.Request) *job {
	job := &job{view: s.view()}
	if visit := visitOf(r.Context()); visit != nil {
		job.delay = s.options.Model.delay(visit.host, s.options.Server.Domain)
	}
	job.arrived = time.Now().Add(job.delay)
	return job
}

// handling decodes and runs a request. It returns false if there is no reply.
type handling func(ctx context.Context, job *job, body []byte) (backendjson.Reply, bool)

func (s *Server) serve(w http.ResponseWriter, r *http.Request, job *job, handle handling) {
	body, ok := s.read(r, job)
	if !ok || !s.options.clock.wait(r.Context(), job.arrived) {
		return
	}
	reply, ok := handle(s.traced(r), job, body)
	if !ok {
		return
	}
	if s.closes(job, CloseExecuted) {
		s.hangUp(r)
		return
	}
	s.answer(w, r, job, reply)
}

// read reads the body, unless a fault closes the connection.
func (s *Server) read(r *http.Request, job *job) ([]byte, bool) {
	if s.closes(job, CloseBefore) {
		s.hangUp(r)
		return nil, false
	}
	if s.closes(job, CloseDuring) {
		_, _ = io.CopyN(io.Discard, r.Body, max(r.ContentLength/2, 1))
		s.hangUp(r)
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(s.codec.RequestLimit())+1))
	if err != nil {
		return nil, false
	}
	if s.closes(job, CloseAfter) {
		s.hangUp(r)
		return nil, false
	}
	return body, true
}

func (s *Server) closes(job *job, point ClosePoint) bool {
	return job.view.faults.Close == point && s.dice.hits(job.view.faults.CloseShare)
}

// hangUp closes the connection of the request.
func (s *Server) hangUp(r *http.Request) {
	s.counters.add(ebonyworks.AttemptLost)
	if visit := visitOf(r.Context()); visit != nil {
		_ = visit.Close()
	}
	panic(http.ErrAbortHandler)
}

// answer sends the reply so that it arrives after the network delay.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, job *job, reply backendjson.Reply) {
	if !s.options.clock.wait(r.Context(), job.end.Add(job.delay)) {
		return
	}
	body := s.damage(job.view.faults, reply.Body)
	w.Header().Set("Content-Type", backendjson.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body)
}

// damage applies the faults that concern the bytes of a reply.
func (s *Server) damage(faults Faults, body []byte) []byte {
	switch faults.Reply {
	case TruncatedReply, GarbledReply, DuplicatedReply:
	default:
		return body
	}
	if !s.dice.hits(faults.ReplyShare) {
		return body
	}
	switch faults.Reply {
	case TruncatedReply:
		return body[:len(body)/2]
	case GarbledReply:
		body[len(body)/2] = '\xff'
		return body
	default:
		return slices.Concat(body, body)
	}
}

func (s *Server) search(ctx context.Context, job *job, body []byte) (backendjson.Reply, bool) {
	request, err := s.codec.DecodeSearch(body)
	if err != nil {
		return s.codec.EncodeSearchReply(s.refusedSearch(job, ebonyworks.SubSearch{}, ebonyworks.AttemptRejected), err.Error()), true
	}
	search := request.Search
	shard, result := s.findShard(job, search)
	if result == ebonyworks.AttemptServed {
		result = s.run(ctx, job, request.Remaining, search.Filters, nil)
	}
	if !replies(result) {
		s.counters.add(result)
		return backendjson.Reply{}, false
	}
	if result != ebonyworks.AttemptServed {
		return s.codec.EncodeSearchReply(s.refusedSearch(job, search, result), refusalMessage(result)), true
	}
	s.counters.add(result)
	answer := ebonyworks.SubSearchReply{
		Result:   result,
		Request:  search.Request,
		Snapshot: search.Snapshot,
		Shard:    search.Shard,
		Report:   s.report(s.view()),
	}
	s.misname(job.view.faults, &answer.Request, &answer.Shard, &answer.Snapshot)
	answer.Rows = s.options.Contents.Rows(search.Catalogue, answer.Snapshot.Number, shard.Keys, search.Keys, search.Filters)
	return s.codec.EncodeSearchReply(answer, ""), true
}

func (s *Server) refusedSearch(job *job, search ebonyworks.SubSearch, result ebonyworks.AttemptResult) ebonyworks.SubSearchReply {
	s.counters.add(result)
	job.end = latest(job.end, job.arrived)
	return ebonyworks.SubSearchReply{
		Result:     result,
		Request:    search.Request,
		Snapshot:   search.Snapshot,
		Shard:      search.Shard,
		Report:     s.report(s.view()),
		RetryAfter: retryAfter(result),
	}
}

// findShard checks that the server holds the snapshot and the shard.
func (s *Server) findShard(job *job, search ebonyworks.SubSearch) (ebonyworks.Shard, ebonyworks.AttemptResult) {
	if search.Catalogue != job.view.catalogue.ID {
		return ebonyworks.Shard{}, ebonyworks.AttemptRejected
	}
	partition, known := job.view.catalogue.Partition(search.Snapshot.Epoch)
	if !known || !slices.Contains(s.options.Timeline.Held(s.ID(), time.Now()), search.Snapshot) {
		return ebonyworks.Shard{}, ebonyworks.AttemptSnapshotGone
	}
	for _, shard := range partition.Shards {
		if shard.ID == search.Shard && shard.Service == s.options.Service {
			return shard, ebonyworks.AttemptServed
		}
	}
	return ebonyworks.Shard{}, ebonyworks.AttemptRejected
}

func (s *Server) reserve(ctx context.Context, job *job, body []byte) (backendjson.Reply, bool) {
	request, err := s.codec.DecodeReservation(body)
	if err != nil {
		return s.codec.EncodeReservationReply(s.refusedReservation(job, ebonyworks.SubReservation{}, ebonyworks.AttemptRejected), err.Error()), true
	}
	reservation := request.Reservation
	result := ebonyworks.AttemptRejected
	if s.holdsKey(job.view.catalogue, reservation) {
		result = s.run(ctx, job, request.Remaining, reservation.Fields, &reservation)
	}
	if !replies(result) {
		s.counters.add(result)
		return backendjson.Reply{}, false
	}
	if result != ebonyworks.AttemptServed {
		return s.codec.EncodeReservationReply(s.refusedReservation(job, reservation, result), refusalMessage(result)), true
	}
	s.counters.add(result)
	confirmation := ebonyworks.SubReservationReply{
		Result:  result,
		Request: reservation.Request,
		Shard:   reservation.Shard,
		Fields:  []ebonyworks.Field{{Name: "Key", Value: reservation.Key}, {Name: "Outcome", Value: "reserved"}},
		Report:  s.report(s.view()),
	}
	s.misname(job.view.faults, &confirmation.Request, &confirmation.Shard, &ebonyworks.Snapshot{})
	return s.codec.EncodeReservationReply(confirmation, ""), true
}

func (s *Server) refusedReservation(job *job, reservation ebonyworks.SubReservation, result ebonyworks.AttemptResult) ebonyworks.SubReservationReply {
	s.counters.add(result)
	job.end = latest(job.end, job.arrived)
	return ebonyworks.SubReservationReply{
		Result:     result,
		Request:    reservation.Request,
		Shard:      reservation.Shard,
		Report:     s.report(s.view()),
		RetryAfter: retryAfter(result),
	}
}

// holdsKey reports whether the key belongs to the shard, and the shard to this
// server, in any partition.
func (s *Server) holdsKey(catalogue *ebonyworks.Catalogue, reservation ebonyworks.SubReservation) bool {
	if reservation.Catalogue != catalogue.ID {
		return false
	}
	for _, partition := range catalogue.Partitions {
		for _, shard := range partition.Shards {
			if shard.ID == reservation.Shard && shard.Service == s.options.Service && shard.Keys.Contains(reservation.Key) {
				return true
			}
		}
	}
	return false
}

// run executes a request in a span of its own.
func (s *Server) run(ctx context.Context, job *job, remaining time.Duration, fields []ebonyworks.Field, reservation *ebonyworks.SubReservation) ebonyworks.AttemptResult {
	if s.options.Tracer == nil {
		return s.execute(ctx, job, remaining, fields, reservation)
	}
	ctx, span := s.options.Tracer.Start(ctx, "execute", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("server", string(s.ID()))))
	defer span.End()
	result := s.execute(ctx, job, remaining, fields, reservation)
	span.SetAttributes(attribute.String("result", result.String()))
	return result
}

// traced returns the request's context with the trace that the host sent.
func (s *Server) traced(r *http.Request) context.Context {
	if s.options.Tracer == nil {
		return r.Context()
	}
	return propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// execute holds a slot for the service time. The reservation, if any, counts as
// executed from the moment it has the slot.
func (s *Server) execute(ctx context.Context, job *job, remaining time.Duration, fields []ebonyworks.Field, reservation *ebonyworks.SubReservation) ebonyworks.AttemptResult {
	current := job.view.life
	switch {
	case job.view.state != Running:
		return ebonyworks.AttemptDraining
	case job.view.faults.Shed:
		return ebonyworks.AttemptShed
	}
	start, result := current.slots.acquire(ctx, job.arrived, job.arrived.Add(remaining))
	switch result {
	case grantShed:
		return ebonyworks.AttemptShed
	case grantExpired:
		job.end = start
		return ebonyworks.AttemptExpired
	case grantAbandoned:
		return ebonyworks.AttemptCanceled
	}
	if reservation != nil {
		s.executions.start(s.ID(), *reservation)
	}
	if faults := s.view().faults; faults.crashes(fields) {
		s.crash(faults)
		return ebonyworks.AttemptLost
	}
	job.end = start.Add(s.serviceTime(current))
	if !s.options.clock.wait(ctx, job.end) {
		current.slots.release(time.Now())
		return ebonyworks.AttemptCanceled
	}
	current.slots.release(job.end)
	if reservation != nil {
		s.executions.finish(reservation.Request)
	}
	return ebonyworks.AttemptServed
}

func (s *Server) crash(faults Faults) {
	s.counters.crashes.Add(1)
	downtime := faults.CrashDowntime
	if downtime <= 0 {
		downtime = defaultCrashDowntime
	}
	s.Kill(downtime)
}

// serviceTime draws the service time of the next request of a life.
func (s *Server) serviceTime(current *life) time.Duration {
	s.mu.Lock()
	current.ran++
	factor := s.faults.slowFactor()
	model := s.options.Model
	if model.ColdFactor > 1 && (current.ran <= model.ColdRequests || time.Since(current.started) < model.ColdTime) {
		factor *= model.ColdFactor
	}
	s.mu.Unlock()
	return time.Duration(factor * float64(s.dice.serviceTime(model)))
}

// misname applies the faults that concern the ids of a reply.
func (s *Server) misname(faults Faults, request *ebonyworks.RequestID, shard *ebonyworks.ShardID, snapshot *ebonyworks.Snapshot) {
	switch faults.Reply {
	case WrongRequestReply, WrongShardReply, WrongSnapshotReply:
	default:
		return
	}
	if !s.dice.hits(faults.ReplyShare) {
		return
	}
	switch faults.Reply {
	case WrongRequestReply:
		*request += "-other"
	case WrongShardReply:
		*shard += "-other"
	default:
		snapshot.Number++
	}
}

// replies reports whether a request with the result gets a reply.
func replies(result ebonyworks.AttemptResult) bool {
	return result == ebonyworks.AttemptServed || result.ProvesNotRun()
}

func retryAfter(result ebonyworks.AttemptResult) time.Duration {
	if result == ebonyworks.AttemptShed {
		return shedRetryAfter
	}
	return 0
}

func refusalMessage(result ebonyworks.AttemptResult) string {
	switch result {
	case ebonyworks.AttemptShed:
		return "the slots are busy and the queue is full"
	case ebonyworks.AttemptDraining:
		return "the server is leaving"
	case ebonyworks.AttemptExpired:
		return "the deadline passed before the request started"
	case ebonyworks.AttemptSnapshotGone:
		return "the server doesn't hold the snapshot"
	default:
		return "the server doesn't hold the shard or the key"
	}
}
