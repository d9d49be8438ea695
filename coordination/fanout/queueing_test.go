package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against waits that make answers late in overload, and against refusals
// while the cause of a wait isn't load or no answer could be in time.
func TestAccepts(t *testing.T) {
	const ms = time.Millisecond
	busy := queueing{untilTarget: 80 * ms, untilDeadline: 600 * ms, usual: 20 * ms, unloaded: 10 * ms}
	slow := queueing{untilTarget: 80 * ms, untilDeadline: 600 * ms, usual: 100 * ms, unloaded: 90 * ms}
	congested := queueing{untilTarget: 80 * ms, untilDeadline: 600 * ms, usual: 200 * ms, unloaded: 10 * ms}
	for _, test := range []struct {
		name     string
		queueing queueing
		wait     time.Duration
		crowded  bool
		accepted bool
	}{
		{"free permit", busy, 0, true, true},
		{"short wait", busy, 15 * ms, true, true},
		{"longer wait in overload", busy, 20 * ms, true, false},
		{"longer wait because of a pause", busy, 100 * ms, false, true},
		{"no time left after a pause", busy, 590 * ms, false, false},
		{"work slower than the target", slow, 400 * ms, true, true},
		{"work slower than the target, no time left", slow, 550 * ms, true, false},
		{"queues at the servers, wait as long as the work", congested, 10 * ms, true, true},
		{"queues at the servers, longer wait", congested, 11 * ms, true, false},
		{"nothing known", queueing{untilTarget: 80 * ms, untilDeadline: 600 * ms}, 300 * ms, true, true},
	} {
		assert.Equal(t, test.accepted, test.queueing.accepts(test.wait, test.crowded), test.name)
	}
}
