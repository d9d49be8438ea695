package recording

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// defaultMaxBytes bounds a recording.
	defaultMaxBytes = 64 << 20
	// endBytes are kept free for the last line.
	endBytes = 128
	// maxPending bounds the requests that wait to be written.
	maxPending = 1024
	// maxRows is the largest number of rows of a reply that are kept.
	maxRows = 64
)

// Options say what is recorded.
type Options struct {
	Host ebonyworks.HostID
	// MaxBytes bounds the recording; zero means 64 MiB.
	MaxBytes int
}

// Recorder passes requests on to a backend and records them. Requests never
// wait for the recording: those that it can't keep up with are counted and left
// out. Use NewRecorder, and Close at the end.
type Recorder struct {
	backend ebonyworks.Backend
	options Options
	started time.Time
	entries chan entry
	left    atomic.Int64
	// mu keeps senders and Close apart.
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
	// The fields below belong to the writing goroutine until done is closed.
	out     *bufio.Writer
	written int
	full    bool
	err     error
	// aliases of request ids and tickets; each is in a written line, so the size
	// of the recording bounds them.
	aliases map[string]Alias
}

// entry is an attempt or a call with the values that aliases replace.
type entry struct {
	attempt *Attempt
	call    *Call
	request string
	// stated is the request that the reply names.
	stated string
	ticket string
}

var _ ebonyworks.Backend = (*Recorder)(nil)

// NewRecorder starts a recording of the requests to the backend.
func NewRecorder(backend ebonyworks.Backend, out io.Writer, options Options) *Recorder {
	if options.MaxBytes == 0 {
		options.MaxBytes = defaultMaxBytes
	}
	r := &Recorder{
		backend: backend,
		options: options,
		started: time.Now(),
		entries: make(chan entry, maxPending),
		done:    make(chan struct{}),
		out:     bufio.NewWriter(out),
		aliases: make(map[string]Alias),
	}
	go r.write()
	return r
}

// Close ends the recording. It returns the number of requests that were left
// out and the first error of writing. Later requests are passed on unrecorded.
func (r *Recorder) Close() (int, error) {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.entries)
	}
	r.mu.Unlock()
	<-r.done
	return int(r.left.Load()), r.err
}

// Search passes on a sub-search.
func (r *Recorder) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	start := time.Now()
	answer := r.backend.Search(ctx, service, server, search)
	attempt := r.attempt(SearchKind, start, service, server, answer.Result)
	attempt.Catalogue, attempt.Shard, attempt.Snapshot = search.Catalogue, search.Shard, search.Snapshot
	attempt.Filters, attempt.Keys = search.Filters, search.Keys
	attempt.Reply = Reply{
		Shard:      answer.Shard,
		Snapshot:   answer.Snapshot,
		Rows:       keep(answer.Rows),
		Report:     answer.Report,
		RetryAfter: answer.RetryAfter,
	}
	r.add(entry{attempt: attempt, request: string(search.Request), stated: string(answer.Request)})
	return answer
}

// Reserve passes on a reservation, once.
func (r *Recorder) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	start := time.Now()
	confirmation := r.backend.Reserve(ctx, service, server, reservation)
	attempt := r.attempt(ReserveKind, start, service, server, confirmation.Result)
	attempt.Catalogue, attempt.Shard = reservation.Catalogue, reservation.Shard
	attempt.Key, attempt.Fields = reservation.Key, reservation.Fields
	attempt.Reply = Reply{
		Shard:      confirmation.Shard,
		Fields:     confirmation.Fields,
		Report:     confirmation.Report,
		RetryAfter: confirmation.RetryAfter,
	}
	r.add(entry{attempt: attempt, request: string(reservation.Request), stated: string(confirmation.Request)})
	return confirmation
}

// Status passes on a request for a report.
func (r *Recorder) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	start := time.Now()
	report, result := r.backend.Status(ctx, service, server)
	attempt := r.attempt(StatusKind, start, service, server, result)
	attempt.Reply = Reply{Report: report}
	r.add(entry{attempt: attempt})
	return report, result
}

// Retain tells the backend which servers are listed, if it wants to know.
func (r *Recorder) Retain(servers []ebonyworks.Server) {
	if backend, ok := r.backend.(interface{ Retain([]ebonyworks.Server) }); ok {
		backend.Retain(servers)
	}
}

func (r *Recorder) attempt(kind Kind, start time.Time, service *ebonyworks.Service, server ebonyworks.Server, result ebonyworks.AttemptResult) *Attempt {
	return &Attempt{
		At:      start.Sub(r.started),
		Latency: time.Since(start),
		Kind:    kind,
		Service: service.ID,
		Server:  server.ID,
		Result:  result,
	}
}

// keep copies the rows, since their owner may reorder them, or digests them if
// they are many.
func keep(rows []ebonyworks.Row) Rows {
	kept := Rows{Count: len(rows)}
	if len(rows) <= maxRows {
		kept.Kept = slices.Clone(rows)
		return kept
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, row := range rows {
		_, _ = digest.WriteString(strconv.Quote(row.Key))
		for _, field := range row.Fields {
			_, _ = digest.WriteString(strconv.Quote(field.Name) + strconv.Quote(field.Value))
		}
	}
	kept.Digest = digest.Sum64()
	return kept
}

// add hands an entry to the writing goroutine, or counts it as left out.
func (r *Recorder) add(e entry) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return
	}
	select {
	case r.entries <- e:
	default:
		r.left.Add(1)
	}
}

func (r *Recorder) write() {
	defer close(r.done)
	r.line(lineWire{Start: startWire{
		Format:  format,
		Host:    string(r.options.Host),
		Started: r.started.Format(time.RFC3339Nano),
	}}, r.options.MaxBytes-endBytes)
	for e := range r.entries {
		if r.full || r.err != nil {
			r.left.Add(1)
			continue
		}
		r.line(r.encode(e), r.options.MaxBytes-endBytes)
		if r.full {
			r.left.Add(1)
		}
	}
	r.line(lineWire{End: endWire{Closed: true, Left: int(r.left.Load())}}, r.options.MaxBytes)
	if err := r.out.Flush(); r.err == nil && err != nil {
		r.err = errors.Wrap(err, "write recording")
	}
}

func (r *Recorder) encode(e entry) lineWire {
	if e.call != nil {
		e.call.Request = r.alias("request", e.request)
		e.call.Ticket = r.alias("ticket", e.ticket)
		return lineWire{Call: toCall(*e.call)}
	}
	e.attempt.Request = r.alias("request", e.request)
	e.attempt.Reply.Request = r.alias("request", e.stated)
	return lineWire{Attempt: toAttempt(*e.attempt)}
}

func (r *Recorder) alias(kind, value string) Alias {
	if value == "" {
		return 0
	}
	name := kind + " " + value
	alias, ok := r.aliases[name]
	if !ok {
		alias = Alias(len(r.aliases) + 1)
		r.aliases[name] = alias
	}
	return alias
}

// line writes a line unless the recording would exceed the limit.
func (r *Recorder) line(line lineWire, limit int) {
	text, err := json.Marshal(line)
	if err != nil {
		r.err = errors.Wrap(err, "encode line")
		return
	}
	if r.written+len(text)+1 > limit {
		r.full = true
		return
	}
	r.written += len(text) + 1
	if _, err := r.out.Write(append(text, '\n')); err != nil && r.err == nil {
		r.err = errors.Wrap(err, "write recording")
	}
}
