package permits_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/permitissuer"
	"github.com/ebonyworks/ebonyworks/coordination/permits"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// cluster is a set of hosts whose clients call each other directly.
type cluster struct {
	clients map[ebonyworks.HostID]*permits.Client
	tables  map[ebonyworks.HostID]*serverstate.Table
	// ready holds the hosts that know the membership.
	ready map[ebonyworks.HostID]bool
	// down holds the hosts that don't answer.
	down  map[ebonyworks.HostID]bool
	calls atomic.Int64
}

var errDown = errors.New("no answer")

func (c *cluster) TakePermits(ctx context.Context, from ebonyworks.Host, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error) {
	c.calls.Add(1)
	if c.down[from.ID] {
		<-ctx.Done()
		return ebonyworks.PermitReply{}, errDown
	}
	return c.clients[from.ID].Handle(request), nil
}

func newCluster(capacities ...float32) *cluster {
	c := &cluster{
		clients: make(map[ebonyworks.HostID]*permits.Client), tables: make(map[ebonyworks.HostID]*serverstate.Table),
		ready: make(map[ebonyworks.HostID]bool), down: make(map[ebonyworks.HostID]bool),
	}
	var all []ebonyworks.Host
	for i, capacity := range capacities {
		all = append(all, ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprint("host-", i)), Incarnation: 1, Capacity: capacity})
	}
	for i, self := range all {
		others := append(append([]ebonyworks.Host{}, all[:i]...), all[i+1:]...)
		table := &serverstate.Table{}
		c.tables[self.ID], c.ready[self.ID] = table, true
		c.clients[self.ID] = &permits.Client{
			Self: self, Alive: func() []ebonyworks.Host { return others }, Ready: func() bool { return c.ready[self.ID] },
			Peer: c, Limits: table, Issuer: &permitissuer.Issuer{Limits: table},
		}
		table.OnRateLimitChange = c.clients[self.ID].LimitChanged
	}
	return c
}

// issuers returns the hosts that issue permits.
func (c *cluster) issuers() []ebonyworks.HostID {
	var issuers []ebonyworks.HostID
	for id, client := range c.clients {
		if client.Issues() {
			issuers = append(issuers, id)
		}
	}
	return issuers
}

func (c *cluster) observe(host ebonyworks.HostID, server ebonyworks.ServerID, rate ebonyworks.RequestRate) {
	c.tables[host].Observe(ebonyworks.AttemptRecord{Server: server, Result: ebonyworks.AttemptServed, Latency: time.Millisecond, Report: ebonyworks.ServerReport{
		RateLimit: ebonyworks.RateLimitReport{Stated: true, Limited: rate > 0, Rate: rate},
	}})
}

// Guards against two hosts that issue permits, a small host that issues them for larger
// ones, and a host that issues them before it knows the others.
func TestOneHostIssues(t *testing.T) {
	c := newCluster(0.2, 0.2, 0.8, 0.2, 0.5, 0.2)
	issuers := c.issuers()
	assert.Len(t, issuers, 1)
	assert.Contains(t, []ebonyworks.HostID{"host-2", "host-4"}, issuers[0])
	c.ready[issuers[0]] = false
	assert.Empty(t, c.issuers())
	for id, client := range c.clients {
		_, err := client.Take(t.Context(), ebonyworks.PermitRequest{})
		assert.Error(t, err, id)
		if id != issuers[0] {
			assert.True(t, client.Handle(ebonyworks.PermitRequest{}).Declined, id)
		}
	}
}

// Guards against limits, changes and ends of limits that don't reach the other hosts.
func TestLimitsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1, 1, 1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		for _, client := range c.clients {
			go client.Run(ctx)
		}
		for step, rate := range []ebonyworks.RequestRate{5, 3, 0, 8} {
			learns := ebonyworks.HostID(fmt.Sprint("host-", step))
			for _, client := range c.clients {
				// A gossip message of a host that knows of limits has this effect.
				client.Suggest()
			}
			time.Sleep(time.Millisecond)
			c.observe(learns, "s", rate)
			time.Sleep(1600 * time.Millisecond)
			for id, table := range c.tables {
				limit, known := table.RateLimit("s")
				assert.True(t, known, id)
				assert.Equal(t, rate, limit.Rate, "%s, step %d", id, step)
				assert.Equal(t, rate > 0, limit.Limited, "%s, step %d", id, step)
			}
		}
		c.observe("host-0", "s", 0)
		time.Sleep(3 * time.Second)
		calls := c.calls.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, calls, c.calls.Load(), "without limits nothing is exchanged")
	})
}

// Guards against requests that each wait for a host that doesn't answer, and against
// callers that left and make a working host look silent.
func TestSilentIssuerIsntAskedEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1, 1)
		issuer := c.issuers()[0]
		asker := c.clients["host-0"]
		if issuer == "host-0" {
			asker = c.clients["host-1"]
		}
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		c.down[issuer] = true
		_, err := asker.Take(canceled, ebonyworks.PermitRequest{})
		assert.Error(t, err)
		c.down[issuer] = false
		_, err = asker.Take(t.Context(), ebonyworks.PermitRequest{})
		assert.NoError(t, err)
		c.down[issuer] = true
		begin := time.Now()
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := asker.Take(ctx, ebonyworks.PermitRequest{})
			cancel()
			assert.Error(t, err)
			time.Sleep(5 * time.Millisecond)
		}
		assert.Less(t, time.Since(begin), time.Second)
		c.down[issuer] = false
		time.Sleep(300 * time.Millisecond)
		_, err = asker.Take(t.Context(), ebonyworks.PermitRequest{})
		assert.NoError(t, err)
	})
}
