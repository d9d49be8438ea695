package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
)

// unusedForwardPeer is a peer that gets no requests.
type unusedForwardPeer struct{ ebonyworks.ForwardPeer }

// Guards against a gateway that ignores the rate limits in replies to requests that it
// delegated, and one that issues unused permits after a pause, during which another host
// may have issued all.
func TestGatewayWiresRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Self: ebonyworks.Host{ID: "host"}, ForwardPeer: unusedForwardPeer{}})
		g.hostCount.stable.Store(true)
		delegator, ok := g.forwarder.Delegator.(*delegation.Delegator)
		require.True(t, ok)
		delegator.OnRateLimit(ebonyworks.RateLimit{Server: "s", Limited: true, Rate: 5})
		assert.Equal(t, 1, g.serverStates.CountRateLimited())
		request := ebonyworks.PermitRequest{Groups: []ebonyworks.PermitGroup{{Servers: []ebonyworks.ServerID{"s"}}}}
		granted := func() int {
			reply, err := g.permits.Take(context.Background(), request)
			require.NoError(t, err)
			require.Len(t, reply.Granted, 1)
			return reply.Granted[0]
		}
		granted()
		time.Sleep(time.Second)
		assert.Equal(t, 0, granted())
		time.Sleep(time.Second)
		storeGossip{g}.MarkStale()
		assert.Equal(t, ebonyworks.NoPermit, granted())
	})
}
