// Package standinclient is a client of the administration interface of stand-in
// backend servers. It injects the faults of a scenario and reads counters.
package standinclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/scenario"
)

const (
	// maxReplyBytes bounds the replies that are read. The executions of a run
	// are the largest ones.
	maxReplyBytes = 64 << 20
	// restartMilliseconds is how long a restarted server is away.
	restartMilliseconds = 200
	// parallel bounds the requests at a time. The stand-ins shouldn't be
	// disturbed by the change of a fault.
	parallel = 16
)

// Client changes and reads the servers of several stand-in processes. Use one
// client for all faults, since it knows which faults a server has.
type Client struct {
	configuration *ebonyworks.Configuration
	client        *http.Client
	bases         []string
	// servers is read-only after Connect.
	servers map[ebonyworks.ServerID]*server
}

// server is one stand-in server.
type server struct {
	id string
	// process is the base URL of its process.
	process string

	// mu is held while the faults are sent, since each request replaces all.
	mu     sync.Mutex
	faults faultsWire
}

var _ load.Meter = (*Client)(nil)

// Connect asks every process for its servers. Bases are URLs of administration
// interfaces. Every server of the configuration must be in one of them.
func Connect(ctx context.Context, client *http.Client, bases []string, configuration *ebonyworks.Configuration) (*Client, error) {
	c := &Client{
		configuration: configuration,
		client:        client,
		bases:         bases,
		servers:       make(map[ebonyworks.ServerID]*server),
	}
	for _, base := range bases {
		var list serversWire
		if err := c.get(ctx, base, "/servers", &list); err != nil {
			return nil, err
		}
		for _, listed := range list.Servers {
			c.servers[ebonyworks.ServerID(listed.Server)] = &server{id: listed.Server, process: base}
		}
	}
	for _, id := range (scenario.Selector{}).Select(configuration) {
		if _, ok := c.servers[id]; !ok {
			return nil, errors.Errorf("no stand-in process runs server %s", id)
		}
	}
	return c, nil
}

// Start gives the fault to its servers.
func (c *Client) Start(ctx context.Context, fault scenario.Fault) error {
	return c.each(ctx, fault, func(ctx context.Context, target *server) error {
		switch fault.Kind {
		case scenario.Kill:
			return c.post(ctx, target, "/kill", nil)
		case scenario.Restart:
			return c.post(ctx, target, "/kill", url.Values{"DownMilliseconds": {strconv.Itoa(restartMilliseconds)}})
		case scenario.Drain:
			return c.post(ctx, target, "/drain", nil)
		default:
			return c.change(ctx, target, func(faults *faultsWire) { faults.set(fault) })
		}
	})
}

// Stop ends the fault. Killed and drained servers are started again.
func (c *Client) Stop(ctx context.Context, fault scenario.Fault) error {
	return c.each(ctx, fault, func(ctx context.Context, target *server) error {
		switch fault.Kind {
		case scenario.Kill, scenario.Drain:
			return c.post(ctx, target, "/start", nil)
		case scenario.Restart:
			return nil
		default:
			return c.change(ctx, target, func(faults *faultsWire) { faults.clear(fault) })
		}
	})
}

// each applies the change to all servers of the fault and returns the first
// error.
func (c *Client) each(ctx context.Context, fault scenario.Fault, change func(context.Context, *server) error) error {
	var (
		pending sync.WaitGroup
		mu      sync.Mutex
		first   error
	)
	permits := make(chan struct{}, parallel)
	for _, id := range fault.Servers.Select(c.configuration) {
		permits <- struct{}{}
		pending.Go(func() {
			defer func() { <-permits }()
			err := change(ctx, c.servers[id])
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first = err
			}
		})
	}
	pending.Wait()
	return first
}

// change replaces the faults of a server by changed ones.
func (c *Client) change(ctx context.Context, target *server, change func(*faultsWire)) error {
	target.mu.Lock()
	defer target.mu.Unlock()
	change(&target.faults)
	body, err := json.Marshal(target.faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	return c.send(ctx, http.MethodPut, target.process, "/faults?"+target.selector().Encode(), body, nil)
}

func (c *Client) post(ctx context.Context, target *server, path string, values url.Values) error {
	query := target.selector()
	for name, value := range values {
		query[name] = value
	}
	return c.send(ctx, http.MethodPost, target.process, path+"?"+query.Encode(), nil, nil)
}

func (s *server) selector() url.Values {
	return url.Values{"Server": {s.id}}
}

// Read sums up the counters of all servers.
func (c *Client) Read(ctx context.Context) (load.Counters, error) {
	var (
		pending sync.WaitGroup
		mu      sync.Mutex
		sum     load.Counters
		first   error
	)
	for _, base := range c.bases {
		pending.Go(func() {
			var list serversWire
			err := c.get(ctx, base, "/servers", &list)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				first = err
			}
			for _, server := range list.Servers {
				sum = sum.Plus(server.Counts)
			}
		})
	}
	pending.Wait()
	return sum, first
}

// Executions reads which reservations ran, over all servers.
func (c *Client) Executions(ctx context.Context) (load.Executions, error) {
	started := make(map[string]int)
	for _, base := range c.bases {
		var list executionsWire
		if err := c.get(ctx, base, "/executions", &list); err != nil {
			return load.Executions{}, err
		}
		if list.Dropped > 0 {
			return load.Executions{}, errors.Errorf("%s dropped %d executions", base, list.Dropped)
		}
		for _, execution := range list.Executions {
			started[execution.Request] += execution.Started
		}
	}
	executions := load.Executions{Distinct: len(started)}
	for _, times := range started {
		if times > 1 {
			executions.Repeated++
		}
	}
	return executions, nil
}

func (c *Client) get(ctx context.Context, base, path string, reply any) error {
	return c.send(ctx, http.MethodGet, base, path, nil, reply)
}

func (c *Client) send(ctx context.Context, method, base, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask stand-in")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply of stand-in")
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, strings.TrimSpace(string(text)))
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return errors.Wrap(err, "decode reply of stand-in")
	}
	return nil
}
