// Package entryclient sends requests to entry hosts over the callers' API and checks
// the answers.
package entryclient

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/balancer"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// Target is a load.Target of entry hosts behind a balancer.
type Target struct {
	Balancer *balancer.Balancer
	// Configuration is what the hosts run; answers are checked against it.
	Configuration *ebonyworks.Configuration
	// Delay is the one-way delay between client and host, added on both sides
	// of each exchange.
	Delay time.Duration
}

// reservationExchanges are those for the ticket and for the reservation.
const reservationExchanges = 2

var _ load.Target = (*Target)(nil)

// Do sends the request to the next host that is ready. A host that can't be
// connected to is removed and the next one is tried, since nothing was sent.
func (t *Target) Do(ctx context.Context, request load.Request) load.Result {
	var result load.Result
	for range t.Balancer.Hosts() {
		host, ok := t.Balancer.Pick()
		if !ok {
			return load.Result{Code: load.FailedNoHost}
		}
		result = t.at(ctx, host, request)
		if result.Ending != load.Failed || result.Code != load.FailedConnect {
			return result
		}
		t.Balancer.Remove(host)
	}
	return result
}

// Hosts returns the number of hosts, ready or not.
func (t *Target) Hosts() int { return len(t.Balancer.Hosts()) }

// DoAt sends the request to the host with the index.
func (t *Target) DoAt(ctx context.Context, host int, request load.Request) load.Result {
	return t.at(ctx, t.Balancer.Hosts()[host], request)
}

func (t *Target) at(ctx context.Context, host *balancer.Host, request load.Request) load.Result {
	if request.Kind == ebonyworks.ReservationRoute {
		result := t.reserve(ctx, host, request)
		result.Delay = 2 * reservationExchanges * t.Delay
		return result
	}
	result := t.search(ctx, host, request)
	result.Delay = 2 * t.Delay
	return result
}

func (t *Target) search(ctx context.Context, host *balancer.Host, request load.Request) load.Result {
	outcome, err := host.Search(ctx, ebonyworks.Search{
		Route:    request.Route,
		Customer: request.House,
		Filters:  request.Filters,
		Keys:     request.Keys,
	}, request.Timeout)
	switch {
	case err != nil:
		return failed(ctx, err)
	case outcome.Refusal != nil:
		return load.Result{Ending: load.Refused, Code: string(outcome.Refusal.Code)}
	}
	return load.Result{
		Ending:     load.Answered,
		Covered:    len(outcome.Answer.Coverage.Covered),
		Missed:     outcome.Answer.Coverage.Missed,
		Violations: t.violations(request, outcome.Answer),
	}
}

// reserve takes a ticket and runs the reservation at the same host, as a caller
// with a connection to it does.
func (t *Target) reserve(ctx context.Context, host *balancer.Host, request load.Request) load.Result {
	ticket, refusal, err := host.Ticket(ctx)
	switch {
	case err != nil:
		return failed(ctx, err)
	case refusal != nil:
		return load.Result{Ending: load.Refused, Code: string(refusal.Code)}
	}
	outcome, err := host.Reserve(ctx, ebonyworks.Reservation{
		Ticket:   ticket,
		Route:    request.Route,
		Customer: request.House,
		Key:      request.Key,
		Fields:   request.Fields,
	}, request.Timeout)
	switch {
	case err != nil:
		return failed(ctx, err)
	case outcome.Refusal != nil:
		return load.Result{Ending: load.Refused, Code: string(outcome.Refusal.Code)}
	}
	return load.Result{Ending: load.Settled, Outcome: outcome.Kind, Code: string(outcome.Code)}
}

func failed(ctx context.Context, err error) load.Result {
	return load.Result{Code: reason(ctx, err)}
}

// reason classifies the error of an exchange.
func reason(ctx context.Context, err error) string {
	var operation *net.OpError
	switch {
	case ctx.Err() != nil:
		return load.FailedTimeout
	case errors.As(err, &operation) && operation.Op == "dial":
		return load.FailedConnect
	case errors.As(err, new(*json.SyntaxError)),
		errors.As(err, new(*json.UnmarshalTypeError)),
		errors.As(err, new(*callerjson.Error)):
		return load.FailedReply
	default:
		return load.FailedReset
	}
}
