package event_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

// sink counts events. If blocked is set, Record waits until it is closed.
type sink struct {
	mutex   sync.Mutex
	got     map[ebonyworks.EventID]int
	blocked chan struct{}
}

func (s *sink) Record(recorded ebonyworks.Event) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.got[recorded.ID]++
}

// Guards against log volume that grows with load, against warnings that are
// dropped in favor of less severe lines, and against lines that are dropped
// without being counted.
func TestQueueBoundsVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{got: make(map[ebonyworks.EventID]int)}
		queue := event.NewQueue(out)
		for range 10 * event.QueueRate {
			queue.Record(event.New(event.RequestForwarded))
			synctest.Wait()
		}
		queue.Record(event.New(event.RequestUnanswered))
		time.Sleep(time.Second)
		queue.Record(event.New(event.ProcessStopped))
		queue.Close()
		assert.Equal(t, event.QueueRate*3/4, out.got[event.RequestForwarded])
		assert.Equal(t, 1, out.got[event.RequestUnanswered])
		assert.Equal(t, 1, out.got[event.LinesDropped])
		assert.Equal(t, 1, out.got[event.ProcessStopped])
	})
}

// Guards against requests that block because the log writer is stalled.
func TestQueueNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{got: make(map[ebonyworks.EventID]int), blocked: make(chan struct{})}
		queue := event.NewQueue(out)
		begin := time.Now()
		for range 20 {
			for range event.QueueRate {
				queue.Record(event.New(event.RequestForwarded))
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, 20*time.Second, time.Since(begin))
		close(out.blocked)
		queue.Close()
		assert.NotZero(t, out.got[event.LinesDropped])
	})
}
