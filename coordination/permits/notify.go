package permits

import (
	"context"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

const (
	// gatherTime is the time from the first report of an outage to the messages about it.
	// A host sends its reports minSyncInterval apart, so that one message covers servers
	// that fail together if it also waits for the transit of the second report.
	gatherTime = minSyncInterval + 10*time.Millisecond
	// notifySpacing bounds the messages about outages to 800 a second in the long run, and
	// notifyBatch in batchInterval to 1,600 a second at any time. A message that opens its
	// connection takes 0.6 to 0.8 ms of CPU time at both hosts together.
	notifySpacing = time.Second / 800
	notifyBatch   = 8
	batchInterval = 5 * time.Millisecond
	// maxNotifiedServers bounds the servers in one message. The hosts learn of others as
	// without the message: by gossip and from their exchanges with the issuer.
	maxNotifiedServers = 64
	// maxNotifications bounds the messages in flight.
	maxNotifications = 64
	// notifyTimeout bounds the time for which a host that doesn't answer delays others.
	notifyTimeout = 200 * time.Millisecond
)

// OutageBegan tells that a server can't be reached. It doesn't block.
func (c *Client) OutageBegan() {
	c.createSignals()
	wakeup.Signal(c.outage)
}

// notifyOutages tells all other hosts of servers that can't be reached, while this host
// issues permits, until the context ends. Otherwise a host that doesn't use the servers
// would learn of an outage of less than a second only after it.
func (c *Client) notifyOutages(ctx context.Context) {
	c.createSignals()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.outage:
		}
		if !wakeup.Wait(ctx, gatherTime, nil) {
			return
		}
		if !c.Issues() || c.Peer == nil {
			continue
		}
		begin := time.Now()
		outages := c.Limits.Outages(since, maxNotifiedServers)
		since = begin
		if len(outages) == 0 {
			continue
		}
		hosts := c.Alive()
		c.notify(ctx, hosts, outages)
		if !wakeup.Wait(ctx, time.Until(begin.Add(time.Duration(len(hosts))*notifySpacing)), nil) {
			return
		}
	}
}

// notify sends the outages to the hosts in requests without groups. The hosts, also those
// of earlier versions, merge the limits of such a request before they decline it.
func (c *Client) notify(ctx context.Context, hosts []ebonyworks.Host, outages []ebonyworks.RateLimit) {
	request := ebonyworks.PermitRequest{Limits: outages}
	slots := make(chan struct{}, maxNotifications)
	var notifications sync.WaitGroup
	for i, host := range hosts {
		if i%notifyBatch == 0 && !wakeup.Wait(ctx, batchInterval, nil) {
			break
		}
		slots <- struct{}{}
		notifications.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			// The host learns of outages by gossip, too.
			_, _ = c.Peer.TakePermits(ctx, host, request)
		})
	}
	notifications.Wait()
}
