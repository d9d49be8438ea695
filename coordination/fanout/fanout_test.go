package fanout_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
)

func runInBubble(t *testing.T, test func(t *testing.T, b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, newTestbed(t))
		// Attempts that are no longer needed end after the reply.
		time.Sleep(time.Minute)
	})
}

// Guards against answers that lack a shard although nothing fails, and against
// responses that are counted twice.
func TestAnswerIsCompleteWithoutFaults(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		reply, elapsed := b.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Zero(t, reply.Missing)
		assert.Equal(t, workTime, elapsed)
		seen := make(map[string]bool)
		for _, signature := range reply.Signatures {
			of := signature[:len("of-shard-00")]
			assert.False(t, seen[of], signature)
			seen[of] = true
		}
		assert.Len(t, seen, shardCount)
		assert.Len(t, reply.Records, 5*16)
		assert.Len(t, b.arrivalCounts(), shardCount)
	})
}

// Guards against answers that wait for a paused server: each server pauses for
// 120 ms every 3 s, so of 20 shards some server is paused in most requests.
func TestPausesAreHedged(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		begin := time.Now()
		b.setBehavior(func(server ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			return served(workTime + pauseLeft(server, time.Since(begin)))
		})
		late, incomplete, extra := 0, 0, 0
		const requests = 200
		for i := range requests {
			reply, elapsed := b.send(fmt.Sprintf("/all/%d", i))
			require.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
			if elapsed > target {
				late++
			}
			if reply.Missing > 0 {
				incomplete++
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, count := range b.arrivalCounts() {
			extra += count
		}
		extra -= requests * shardCount
		assert.Zero(t, late)
		assert.LessOrEqual(t, incomplete, requests/10)
		assert.LessOrEqual(t, float64(extra), 0.2*requests*shardCount, "hedges stay within the retry budget")
	})
}

// pauseLeft returns how much longer the server's pause lasts. Each server pauses
// at a different time.
func pauseLeft(server ebonyworks.ServerID, at time.Duration) time.Duration {
	offset := time.Duration(xxhash.Sum64String(string(server))%3000) * time.Millisecond
	into := (at + offset) % (3 * time.Second)
	return max(0, 120*time.Millisecond-into)
}

// Guards against hedges because of the host's own congestion, which would use up
// the retry budget: all responses are late together, as on a host whose processor
// is busy.
func TestHostCongestionIsNotHedged(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior { return served(60 * time.Millisecond) })
		reply, _ := b.send("/all/1")
		assert.Zero(t, reply.Missing)
		for server, count := range b.arrivalCounts() {
			assert.Equal(t, 1, count, server)
		}
		assert.Len(t, b.arrivalCounts(), shardCount)
	})
}

// Guards against late answers because of a shard whose servers all don't respond,
// and against answers that don't report the missing shard.
func TestUnresponsiveShardIsOmitted(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(server ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			if strings.HasPrefix(string(server), "shard-07") {
				return served(time.Minute)
			}
			return served(workTime)
		})
		reply, elapsed := b.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Equal(t, 1, reply.Missing)
		assert.Len(t, reply.Signatures, shardCount-1)
		assert.Less(t, elapsed, target)
	})
}

// Guards against callers that wait until the deadline after it is certain that
// too few shards respond.
func TestTooFewShardsFailAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(server ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			if server < "shard-03" {
				return behavior{latency: time.Millisecond, result: ebonyworks.AttemptFailed, status: 500}
			}
			return served(workTime)
		})
		reply, elapsed := b.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyFailed, reply.Kind)
		assert.Less(t, elapsed, target)
	})
}

// Guards against requests that run twice. A non-idempotent request reaches a
// second server only if the first one proved that it didn't run it, and the reply
// claims that the request didn't run only if that is proven.
func TestAtMostOnce(t *testing.T) {
	for _, test := range []struct {
		result  ebonyworks.AttemptResult
		kind    ebonyworks.ReplyKind
		reached int
	}{
		{ebonyworks.AttemptServed, ebonyworks.ReplyRelayed, 1},
		{ebonyworks.AttemptFailed, ebonyworks.ReplyRelayed, 1},
		{ebonyworks.AttemptLost, ebonyworks.ReplyFailed, 1},
		{ebonyworks.AttemptInvalid, ebonyworks.ReplyFailed, 1},
		{ebonyworks.AttemptShed, ebonyworks.ReplyRefused, 2},
		{ebonyworks.AttemptDraining, ebonyworks.ReplyRefused, 2},
		{ebonyworks.AttemptUnreachable, ebonyworks.ReplyRefused, 2},
		{ebonyworks.AttemptRejected, ebonyworks.ReplyRefused, 2},
	} {
		runInBubble(t, func(t *testing.T, b *testbed) {
			b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior {
				return behavior{latency: workTime, result: test.result}
			})
			reply, elapsed := b.send("/once/1")
			assert.Equal(t, test.kind, reply.Kind, test.result)
			assert.Len(t, b.arrivalCounts(), test.reached, test.result)
			assert.Less(t, elapsed, target, "a request that can't be served is answered at once")
			if test.kind == ebonyworks.ReplyRefused {
				assert.Positive(t, reply.RetryAfter)
			}
		})
	}
}

// Guards against a request that is sent after its caller was told that it didn't
// run, and against one that reaches a server without time to run: all permits of
// the servers are in use until the deadline.
func TestRefusedRequestIsNeverSent(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior { return served(time.Minute) })
		var requests sync.WaitGroup
		refused := make(map[ebonyworks.RequestID]bool)
		for i := range 20 {
			requests.Go(func() {
				path := fmt.Sprintf("/once/%d", i)
				reply, _ := b.send(path)
				b.mutex.Lock()
				defer b.mutex.Unlock()
				refused[ebonyworks.RequestID(path)] = reply.Kind == ebonyworks.ReplyRefused
			})
		}
		requests.Wait()
		time.Sleep(time.Minute)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		assert.LessOrEqual(t, len(b.arrivals), 6, "at most one for each connection")
		for _, one := range b.arrivals {
			assert.False(t, refused[one.request], one.request)
		}
	})
}

// Guards against requests that wait in vain: ten times as many arrive as the
// servers finish. Requests that can't be served in time are refused at once, with
// a RetryAfter that covers the queue, and admitted requests are served.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		const work = 200 * time.Millisecond
		b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior { return served(work) })
		var requests sync.WaitGroup
		outcomes := make(map[ebonyworks.ReplyKind]int)
		late := 0
		for i := range 900 {
			time.Sleep(10 * time.Millisecond)
			requests.Go(func() {
				reply, elapsed := b.send(fmt.Sprintf("/once/%d", i))
				b.mutex.Lock()
				defer b.mutex.Unlock()
				outcomes[reply.Kind]++
				if reply.Kind == ebonyworks.ReplyRefused && elapsed > target/4 {
					late++
				}
			})
		}
		requests.Wait()
		// Two servers with two permits each serve 20 requests a second.
		assert.Greater(t, outcomes[ebonyworks.ReplyRelayed], 150)
		assert.Less(t, outcomes[ebonyworks.ReplyTimeout], 20)
		assert.Less(t, late, 90, "at most one in ten requests is refused after a wait")
	})
}

// Guards against a request that crashes each server that runs it, so that both
// servers of every shard are lost, and against the same request sent again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(_ ebonyworks.ServerID, request *ebonyworks.ForwardRequest) behavior {
			if strings.Contains(request.Target, "deadly") {
				return behavior{latency: workTime, result: ebonyworks.AttemptLost}
			}
			return served(workTime)
		})
		reply, _ := b.send("/all/deadly")
		assert.Equal(t, ebonyworks.ReplyFailed, reply.Kind)
		first := len(b.arrivalCounts())
		assert.LessOrEqual(t, first, shardCount, "one server of each shard at most")
		for range 5 {
			reply, elapsed := b.send("/all/deadly")
			assert.Equal(t, ebonyworks.ReplyRefused, reply.Kind)
			assert.Zero(t, elapsed)
			assert.Greater(t, reply.RetryAfter, 50*time.Second, "the request is refused for a minute")
		}
		assert.Len(t, b.arrivalCounts(), first)
		reply, _ = b.send("/all/harmless")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
	})
}

// Guards against an answer that lacks a shard although only the response of its
// first server was lost: other servers prove that the request is harmless.
func TestLostResponseIsRetried(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(server ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			if strings.HasPrefix(string(server), "shard-03") && b.arrivalsAtShard("shard-03") == 1 {
				return behavior{latency: time.Millisecond, result: ebonyworks.AttemptLost}
			}
			return served(workTime)
		})
		reply, _ := b.send("/all/1")
		assert.Equal(t, ebonyworks.ReplyMerged, reply.Kind)
		assert.Zero(t, reply.Missing)
	})
}

// arrivalsAtShard counts the arrivals at a shard. The caller holds the mutex.
func (b *testbed) arrivalsAtShard(prefix string) int {
	count := 0
	for _, one := range b.arrivals {
		if strings.HasPrefix(string(one.server), prefix) {
			count++
		}
	}
	return count
}

// Guards against work for a caller that has disconnected: connections are closed
// soon, and attempts that wait for a permit are dropped.
func TestCallerDisconnects(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior { return served(time.Minute) })
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		begin := time.Now()
		b.Forward(ctx, &ebonyworks.ForwardRequest{ID: "gone", Host: "h", Method: "GET", Target: "/all/1", Arrival: begin, CallerTimeout: timeout})
		assert.Equal(t, 20*time.Millisecond, time.Since(begin))
		time.Sleep(200 * time.Millisecond)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		assert.Equal(t, len(b.arrivals), b.canceled)
	})
}

// Guards against a server's error response that isn't passed on to the caller
// unchanged.
func TestServerErrorIsRelayed(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.setBehavior(func(ebonyworks.ServerID, *ebonyworks.ForwardRequest) behavior {
			return behavior{latency: workTime, result: ebonyworks.AttemptFailed, status: 500}
		})
		reply, _ := b.send("/one/1")
		assert.Equal(t, ebonyworks.ReplyRelayed, reply.Kind)
		assert.Equal(t, 500, reply.Response.Status)
		assert.NotEmpty(t, reply.Response.Signature)
	})
}

// Guards against replies that claim that a request may have run although no route
// or no server is known.
func TestNoRouteOrServer(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		reply, _ := b.send("/none/1")
		assert.Equal(t, ebonyworks.ReplyNoRoute, reply.Kind)
		for _, replica := range []string{"a", "b"} {
			b.directory.Remove(server(0, replica), 9, time.Time{})
		}
		reply, elapsed := b.send("/once/1")
		assert.Equal(t, ebonyworks.ReplyRefused, reply.Kind)
		assert.Zero(t, elapsed)
		assert.Empty(t, b.arrivalCounts())
	})
}

// Guards against partial answers that are sent within the target latency and
// arrive after it: the target is 50 ms, the request takes 6 ms to the host and
// the answer 3 ms back, with a relay in between.
func TestIncompleteAnswerArrivesInTime(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *testbed) {
		b.warmUp()
		b.setBehavior(func(server ebonyworks.ServerID, _ *ebonyworks.ForwardRequest) behavior {
			if strings.HasPrefix(string(server), "shard-07") {
				return served(time.Minute)
			}
			return served(workTime)
		})
		for _, test := range []struct {
			relayed bool
			latest  time.Duration
		}{{false, 41 * time.Millisecond}, {true, 36 * time.Millisecond}} {
			request := &ebonyworks.ForwardRequest{ID: "q", Host: "h", Method: "GET", Target: "/quick/1", Arrival: time.Now(), CallerTimeout: timeout}
			begin := time.Now()
			reply, ok := ebonyworks.ForwardReply{}, true
			if test.relayed {
				reply, ok = b.ForwardDelegated(context.Background(), request, ebonyworks.Delegation{Revision: 1, Fallbacks: make([]ebonyworks.ServerHash, shardCount)})
			} else {
				reply = b.Forward(context.Background(), request)
			}
			assert.True(t, ok)
			assert.Equal(t, 1, reply.Missing)
			assert.LessOrEqual(t, time.Since(begin), test.latest)
		}
	})
}
