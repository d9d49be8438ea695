// Package callerclient is a client of the callers' HTTP API.
package callerclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/callerjson"
)

// maxReplyBytes is the largest number of bytes that is read from a response body.
const maxReplyBytes = 64 << 20

// Client sends requests to one entry host, or to a load balancer in front of several.
type Client struct {
	// Base is the base URL of the host or load balancer, such as "http://127.0.0.1:8080".
	Base string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Search runs a search. It returns an error if the host can't be reached or the
// response can't be decoded; a refusal is returned in the outcome.
func (c *Client) Search(ctx context.Context, search ebonyworks.Search, timeout time.Duration) (ebonyworks.SearchOutcome, error) {
	body, err := callerjson.EncodeSearch(search, timeout)
	if err != nil {
		return ebonyworks.SearchOutcome{}, errors.Wrap(err, "encode search")
	}
	reply, refusal, err := c.do(ctx, http.MethodPost, "/v1/search", body)
	if err != nil || refusal != nil {
		return ebonyworks.SearchOutcome{Refusal: refusal}, err
	}
	answer, err := callerjson.DecodeAnswer(reply)
	return ebonyworks.SearchOutcome{Answer: answer}, err
}

// Ticket requests a ticket for one reservation.
func (c *Client) Ticket(ctx context.Context) (string, *ebonyworks.Refusal, error) {
	reply, refusal, err := c.do(ctx, http.MethodPost, "/v1/tickets", nil)
	if err != nil || refusal != nil {
		return "", refusal, err
	}
	ticket, _, err := callerjson.DecodeTicket(reply)
	return ticket, nil, err
}

// Reserve runs a reservation, which must have a ticket.
func (c *Client) Reserve(ctx context.Context, reservation ebonyworks.Reservation, timeout time.Duration) (ebonyworks.Outcome, error) {
	body, err := callerjson.EncodeReservation(reservation, timeout)
	if err != nil {
		return ebonyworks.Outcome{}, errors.Wrap(err, "encode reservation")
	}
	return c.outcome(ctx, http.MethodPost, "/v1/reservations", body)
}

// Outcome returns the outcome of the reservation with the ticket. The host revokes
// the ticket if it is unused.
func (c *Client) Outcome(ctx context.Context, ticket string) (ebonyworks.Outcome, error) {
	return c.outcome(ctx, http.MethodGet, "/v1/reservations/"+url.PathEscape(ticket), nil)
}

func (c *Client) outcome(ctx context.Context, method, path string, body []byte) (ebonyworks.Outcome, error) {
	reply, refusal, err := c.do(ctx, method, path, body)
	if err != nil || refusal != nil {
		return ebonyworks.Outcome{Refusal: refusal}, err
	}
	return callerjson.DecodeOutcome(reply)
}

// Ready reports whether the host is ready.
func (c *Client) Ready(ctx context.Context) bool {
	_, refusal, err := c.do(ctx, http.MethodGet, "/readyz", nil)
	return err == nil && refusal == nil
}

// do sends one request and returns the response body, or the refusal if the status
// isn't 200. GetBody is cleared, so that the transport can't send a reservation
// twice.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, *ebonyworks.Refusal, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "create request")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read reply")
	}
	if response.StatusCode == http.StatusOK {
		return reply, nil, nil
	}
	refusal, err := callerjson.DecodeRefusal(reply)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "status %d", response.StatusCode)
	}
	return nil, &refusal, nil
}
