package recording

import (
	"context"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Host is the callers' side of an entry host.
type Host interface {
	ebonyworks.Searcher
	ebonyworks.Reserver
}

// Callers returns the host with its searches and reservations recorded.
func (r *Recorder) Callers(host Host) Host { return callers{Host: host, recorder: r} }

type callers struct {
	Host
	recorder *Recorder
}

// Search passes on a search.
func (c callers) Search(ctx context.Context, search ebonyworks.Search) ebonyworks.SearchOutcome {
	start := time.Now()
	outcome := c.Host.Search(ctx, search)
	call := &Call{
		At:      start.Sub(c.recorder.started),
		Latency: time.Since(start),
		Kind:    SearchKind,
		Route:   search.Route,
		House:   search.Customer,
		Timeout: timeout(start, search.Deadline),
		Filters: search.Filters,
		Keys:    search.Keys,
	}
	if outcome.Refusal != nil {
		call.Refusal = outcome.Refusal.Code
	} else {
		call.Snapshot = outcome.Answer.Snapshot
		call.Coverage = outcome.Answer.Coverage
		call.Rows = len(outcome.Answer.Rows)
	}
	c.recorder.add(entry{call: call, request: string(search.Request)})
	return outcome
}

// Reserve passes on a reservation.
func (c callers) Reserve(ctx context.Context, reservation ebonyworks.Reservation) ebonyworks.Outcome {
	start := time.Now()
	outcome := c.Host.Reserve(ctx, reservation)
	call := &Call{
		At:      start.Sub(c.recorder.started),
		Latency: time.Since(start),
		Kind:    ReserveKind,
		Route:   reservation.Route,
		House:   reservation.Customer,
		Timeout: timeout(start, reservation.Deadline),
		Key:     reservation.Key,
		Fields:  reservation.Fields,
		Outcome: outcome.Kind,
		Code:    outcome.Code,
	}
	if outcome.Refusal != nil {
		call.Refusal = outcome.Refusal.Code
	}
	c.recorder.add(entry{call: call, request: string(reservation.Request), ticket: reservation.Ticket})
	return outcome
}

func timeout(start, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(start)
}
