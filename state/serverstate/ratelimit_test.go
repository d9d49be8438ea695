package serverstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

func stated(incarnation ebonyworks.Incarnation, rate ebonyworks.RequestRate, limited bool) ebonyworks.AttemptRecord {
	return ebonyworks.AttemptRecord{Server: "s", Result: ebonyworks.AttemptServed, Latency: time.Millisecond, Report: ebonyworks.ServerReport{
		Incarnation: incarnation, RateLimit: ebonyworks.RateLimitReport{Stated: true, Limited: limited, Rate: rate},
	}}
}

// Guards against limits that outlive their server's statement, that an old message or a
// late response brings back or ends, or that a lapsed registration drops.
func TestRateLimitOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		table := &serverstate.Table{OnRateLimitChange: func() { changes++ }}
		check := func(rate ebonyworks.RequestRate, limited bool, message string) {
			t.Helper()
			limit, _ := table.RateLimit("s")
			assert.Equal(t, limited, limit.Limited, message)
			assert.Equal(t, rate, limit.Rate, message)
			assert.Equal(t, limited, table.CountRateLimited() == 1, message)
			assert.Equal(t, limited, table.RateLimited()["s"], message)
			assert.Equal(t, limited, table.Availability("s").RateLimited, message)
		}
		table.Observe(stated(2, 0, false))
		check(0, false, "no limit")
		assert.Empty(t, table.RateLimits(time.Time{}), "a server that never named a limit isn't passed on")
		table.Observe(stated(2, 5, true))
		check(5, true, "named")
		table.Observe(ebonyworks.AttemptRecord{Server: "s", Result: ebonyworks.AttemptLost})
		check(5, true, "a response that says nothing")
		table.Observe(stated(1, 0, false))
		check(5, true, "a late response of an earlier incarnation")
		time.Sleep(time.Hour)
		check(5, true, "silence doesn't end a limit")
		table.Observe(stated(2, 7, true))
		check(7, true, "changed")
		assert.Equal(t, 2, changes)
		table.MergeRateLimit(ebonyworks.RateLimit{Server: "s", Incarnation: 2, Age: time.Minute})
		check(7, true, "an older end of another host")
		table.MergeRateLimit(ebonyworks.RateLimit{Server: "s", Incarnation: 1, Limited: true, Rate: 1})
		check(7, true, "an earlier incarnation of another host")
		time.Sleep(time.Second)
		since := time.Now()
		table.MergeRateLimit(ebonyworks.RateLimit{Server: "s", Incarnation: 2, Age: time.Millisecond})
		check(0, false, "a later end of another host")
		assert.Len(t, table.RateLimits(since), 1, "an end is passed on")
		assert.Empty(t, table.RateLimits(since.Add(time.Nanosecond)))
		table.MergeRateLimit(ebonyworks.RateLimit{Server: "s", Incarnation: 2, Limited: true, Rate: 7, Age: time.Second})
		check(0, false, "an old message that another host still passes on")
		table.Observe(stated(2, 3, true))
		check(3, true, "named again")
		table.RetainServers(nil)
		assert.Zero(t, table.CountRateLimited())
		table.RetainServers(map[ebonyworks.ServerID]bool{"s": true})
		check(3, true, "a registration that lapsed and is back")
		table.MergeDrainState(ebonyworks.DrainState{Server: "s", Incarnation: 3})
		check(0, false, "a new incarnation")
		_, known := table.RateLimit("s")
		assert.False(t, known)
		assert.Equal(t, 3, changes, "only responses of the server to this host count as changes")
	})
}
