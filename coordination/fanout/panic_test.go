package fanout_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/standin/eventlog"
)

// panickingBackend is a backend that panics on the responses of some servers.
type panickingBackend struct {
	*testbed
	panics func(server ebonyworks.ServerID) bool
}

// Send sends the request and may panic on the response.
func (p panickingBackend) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	attempt := p.testbed.Send(ctx, to, request, deadline)
	if p.panics(to.ID) {
		panic("unexpected response of " + string(to.ID))
	}
	return attempt
}

// Guards against one response that crashes the process, and against a reply that
// claims that a request didn't run although a server received it.
func TestPanicOnResponse(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		log := &eventlog.Log{}
		b.Recorder = log
		b.Quarantine = nil
		b.Backend = panickingBackend{b, func(id ebonyworks.ServerID) bool { return id == server(3, "a") }}
		reply, _ := b.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Zero(t, reply.Missing, "another server of the shard answers")
		assert.Equal(t, 1, log.Count(event.PanicRecovered))
		b.Backend = panickingBackend{b, func(ebonyworks.ServerID) bool { return true }}
		for range 10 {
			// Each attempt returns its permit.
			reply, _ = b.send("/once/1")
			assert.Equal(t, ebonyworks.ReplyFailed, reply.Kind)
		}
	})
}
