package fanout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
)

// inFlightTime is how long after its refusal a server may still receive requests
// that were sent before the host knew of it.
const inFlightTime = 500 * time.Millisecond

// backoffFleet is a fleet whose servers refuse all requests for a time and ask
// for a backoff.
type backoffFleet struct {
	*fleet
	// backoffFrom and backoffUntil bound the backoff.
	backoffFrom, backoffUntil time.Time
	// backoffSince is when each server first refused a request of each host;
	// lateArrivals counts the requests of that host that reached the server more
	// than inFlightTime later.
	backoffSince map[backoffKey]time.Time
	lateArrivals map[backoffKey]int
}

type backoffKey struct {
	host   int
	server ebonyworks.ServerID
}

// backoffHost is the backend of one host.
type backoffHost struct {
	*backoffFleet
	host int
}

func newBackoffFleet(t *testing.T) *backoffFleet {
	t.Helper()
	f := &backoffFleet{fleet: newFleet(t), backoffSince: make(map[backoffKey]time.Time), lateArrivals: make(map[backoffKey]int)}
	for i := range f.hosts {
		f.hosts[i] = f.forwarder(backoffHost{f, i}, f.Table, rand.New(rand.NewPCG(uint64(i), 5)), hostCount, hostCount)
	}
	time.Sleep(retryBound.Window)
	return f
}

// Send refuses the request while the servers are in backoff.
func (h backoffHost) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	now := time.Now()
	h.mutex.Lock()
	if now.Before(h.backoffFrom) || !now.Before(h.backoffUntil) {
		h.mutex.Unlock()
		return h.fleet.Send(ctx, to, request, deadline)
	}
	defer h.mutex.Unlock()
	key := backoffKey{h.host, to.ID}
	if h.backoffSince[key].IsZero() {
		h.backoffSince[key] = now
	}
	if now.Sub(h.backoffSince[key]) > inFlightTime {
		h.lateArrivals[key]++
	}
	return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptShed, RetryAfter: h.backoffUntil.Sub(now)}
}

// loadResult counts the outcomes of callers' requests.
type loadResult struct {
	sent, inTime, late, refused int
	// refusalWait is how long callers waited for refusals in total.
	refusalWait time.Duration
}

// meanValue returns the mean value of the requests: 1 for an answer in time,
// lateValue for a late one and 0 for none.
func (r *loadResult) meanValue() float64 {
	const lateValue = 0.1
	return (float64(r.inTime) + lateValue*float64(r.late)) / float64(r.sent)
}

// sendLoad sends requests to the single service at the rate. Callers that are
// refused retry once, after RetryAfter but at most a third of their remaining
// time.
func (f *backoffFleet) sendLoad(perSecond int, duration time.Duration) *loadResult {
	result := &loadResult{}
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for i := range int(duration / interval) {
		time.Sleep(interval)
		requests.Go(func() {
			begin := time.Now()
			var reply ebonyworks.ForwardReply
			for try := range 2 {
				id := fmt.Sprintf("one-%d-%d", i, try)
				sent := time.Now()
				reply = f.hosts[(i+try)%len(f.hosts)].Forward(context.Background(), &ebonyworks.ForwardRequest{
					ID: ebonyworks.RequestID(id), Host: "h", Method: "GET", Target: "/one/" + id, Arrival: sent, CallerTimeout: begin.Add(timeout).Sub(sent),
				})
				if reply.Kind != ebonyworks.ReplyRefused {
					break
				}
				f.mutex.Lock()
				result.refusalWait += time.Since(sent)
				f.mutex.Unlock()
				left := time.Until(begin.Add(timeout))
				time.Sleep(min(reply.RetryAfter, left/3))
			}
			f.mutex.Lock()
			defer f.mutex.Unlock()
			result.sent++
			switch {
			case reply.Kind != ebonyworks.ReplyRelayed:
				result.refused++
			case time.Since(begin) <= target:
				result.inTime++
			default:
				result.late++
			}
		})
	}
	requests.Wait()
	return result
}

// Measures how callers are served while all servers of a service are in backoff,
// by the length of the backoff and the load. Also guards against servers that
// receive requests during a backoff that they asked for.
func TestLoadDuringBackoff(t *testing.T) {
	for _, load := range []int{100, 240, 380} {
		for _, backoff := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d/%s", load, backoff), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newBackoffFleet(t)
					f.sendLoad(load, 2*time.Second)
					f.mutex.Lock()
					f.backoffFrom = time.Now()
					f.backoffUntil = f.backoffFrom.Add(backoff)
					f.mutex.Unlock()
					during := f.sendLoad(load, backoff)
					after := f.sendLoad(load, time.Second)
					t.Logf("during: mean value %.2f of %d, in time %d, late %d, refused %d, wait for refusals per request %s; after: mean value %.2f, refused %d",
						during.meanValue(), during.sent, during.inTime, during.late, during.refused, during.refusalWait/time.Duration(max(during.sent, 1)), after.meanValue(), after.refused)
					f.mutex.Lock()
					defer f.mutex.Unlock()
					for key, count := range f.lateArrivals {
						assert.LessOrEqual(t, count, 2, "%v", key)
					}
				})
			})
		}
	}
}

var _ ebonyworks.ForwardBackend = backoffHost{}
var _ fanout.Observer = (*backoffFleet)(nil)
