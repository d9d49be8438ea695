package fanout_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// panicking is a backend that panics on the answers of some servers.
type panicking struct {
	*world
	broken func(server ebonyworks.ServerID) bool
}

// Send sends the request and may panic on the response.
func (p panicking) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	attempt := p.world.Send(ctx, to, request, deadline)
	if p.broken(to.ID) {
		panic("unexpected response of " + string(to.ID))
	}
	return attempt
}

// lines collects events.
type lines struct {
	mutex  sync.Mutex
	events []ebonyworks.Event
}

func (l *lines) Record(recorded ebonyworks.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, recorded)
}

func (l *lines) count(id ebonyworks.EventID) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, recorded := range l.events {
		if recorded.ID == id {
			count++
		}
	}
	return count
}

// Guards against one response that takes the process down, and against a request
// that is said not to have run although a server got it.
func TestPanicOnResponse(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		w.warmUp()
		log := &lines{}
		w.Recorder = log
		w.Inspection = nil
		w.Backend = panicking{w, func(id ebonyworks.ServerID) bool { return id == server(3, "a") }}
		reply, _ := w.ask("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Zero(t, reply.Missing, "another server of the shard answers")
		assert.Equal(t, 1, log.count(event.PanicContained))
		w.Backend = panicking{w, func(ebonyworks.ServerID) bool { return true }}
		for range 10 {
			// No permit stays taken.
			reply, _ = w.ask("/once/1")
			assert.Equal(t, ebonyworks.ReplyFailed, reply.Kind)
		}
	})
}
