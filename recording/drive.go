package recording

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

// Result is what a caller of a replay got.
type Result struct {
	Call Call
	// Request is the id of the replayed request.
	Request ebonyworks.RequestID
	// Search is set for SearchKind, Outcome for ReserveKind.
	Search  ebonyworks.SearchOutcome
	Outcome ebonyworks.Outcome
	Latency time.Duration
}

// Drive sends the recorded requests of callers to the host, each at its
// recorded time after start, and returns the results in the recorded order when
// all have ended. Each alias of a ticket is replaced by a new ticket.
func (r *Recording) Drive(ctx context.Context, host Host, start time.Time) []Result {
	results := make([]Result, len(r.Calls))
	tickets := &tickets{host: host, tokens: make(map[Alias]string)}
	var calls sync.WaitGroup
	for i, call := range r.Calls {
		calls.Add(1)
		go func() {
			defer calls.Done()
			request := ebonyworks.RequestID(string(r.Host) + "-" + strconv.Itoa(i))
			results[i] = Result{Call: call, Request: request}
			if wakeup.Wait(ctx, time.Until(start.Add(call.At)), nil) {
				results[i].send(ctx, host, tickets)
			}
		}()
	}
	calls.Wait()
	return results
}

func (r *Result) send(ctx context.Context, host Host, tickets *tickets) {
	start := time.Now()
	call := r.Call
	var deadline time.Time
	if call.Timeout > 0 {
		deadline = start.Add(call.Timeout)
	}
	if call.Kind == SearchKind {
		r.Search = host.Search(ctx, ebonyworks.Search{
			Request:  r.Request,
			Route:    call.Route,
			Customer: call.House,
			Filters:  call.Filters,
			Keys:     call.Keys,
			Deadline: deadline,
		})
	} else {
		r.Outcome = tickets.reserve(ctx, ebonyworks.Reservation{
			Request:  r.Request,
			Route:    call.Route,
			Customer: call.House,
			Key:      call.Key,
			Fields:   call.Fields,
			Deadline: deadline,
		}, call.Ticket)
	}
	r.Latency = time.Since(start)
}

// tickets are the tickets of a replay by their alias.
type tickets struct {
	host   Host
	mu     sync.Mutex
	tokens map[Alias]string
}

func (t *tickets) reserve(ctx context.Context, reservation ebonyworks.Reservation, alias Alias) ebonyworks.Outcome {
	var refusal *ebonyworks.Refusal
	reservation.Ticket, refusal = t.token(ctx, alias)
	if refusal != nil {
		return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Refusal: refusal}
	}
	return t.host.Reserve(ctx, reservation)
}

func (t *tickets) token(ctx context.Context, alias Alias) (string, *ebonyworks.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token, ok := t.tokens[alias]; ok || alias == 0 {
		return token, nil
	}
	token, _, refusal := t.host.IssueTicket(ctx)
	if refusal == nil {
		t.tokens[alias] = token
	}
	return token, refusal
}
