package direct_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/load"
	"github.com/ebonyworks/ebonyworks/load/direct"
)

// backend is a fake whose servers take 10 ms, but for one that takes long.
type backend struct {
	mu        sync.Mutex
	straggler ebonyworks.ServerID
	asked     map[ebonyworks.ServerID]int
	failing   ebonyworks.AttemptResult
}

func (b *backend) note(ctx context.Context, server ebonyworks.Server) ebonyworks.AttemptResult {
	b.mu.Lock()
	b.asked[server.ID]++
	failing := b.failing
	b.mu.Unlock()
	wait := 10 * time.Millisecond
	if server.ID == b.straggler {
		wait = 100 * time.Millisecond
	}
	load.Sleep(ctx, wait)
	if ctx.Err() != nil {
		return ebonyworks.AttemptTimeout
	}
	return failing
}

func (b *backend) Search(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	if search.Snapshot != (ebonyworks.Snapshot{Number: 7, Epoch: 1}) {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptSnapshotGone}
	}
	return ebonyworks.SubSearchReply{Result: b.note(ctx, server)}
}

func (b *backend) Reserve(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, _ ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	return ebonyworks.SubReservationReply{Result: b.note(ctx, server)}
}

func (b *backend) Status(context.Context, *ebonyworks.Service, ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return ebonyworks.ServerReport{Snapshots: []ebonyworks.Snapshot{{Number: 6, Epoch: 1}, {Number: 7, Epoch: 1}}}, ebonyworks.AttemptServed
}

func newTarget(t *testing.T, b *backend, shared bool) *direct.Target {
	b.asked = make(map[ebonyworks.ServerID]int)
	b.failing = ebonyworks.AttemptServed
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	target := direct.New(configuration, direct.Options{
		Backends: []ebonyworks.Backend{b, b}, Shared: shared, Delay: 3 * time.Millisecond,
	})
	require.NoError(t, target.Prepare(t.Context()))
	return target
}

var (
	search      = load.Request{Route: kitakaze.SearchHair}
	reservation = load.Request{Route: kitakaze.ReserveBundle, Kind: ebonyworks.ReservationRoute, Key: "k"}
)

// Guards against a baseline that waits for a straggler while another replica
// has fewer outstanding requests.
func TestLeastOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &backend{straggler: "stock-finder-01-a"}
		target := newTarget(t, b, true)
		var pending sync.WaitGroup
		for range 10 {
			pending.Go(func() {
				result := target.Do(t.Context(), search)
				assert.Equal(t, load.Result{Ending: load.Answered, Covered: 20, Delay: 6 * time.Millisecond}, result)
			})
			time.Sleep(20 * time.Millisecond)
		}
		pending.Wait()
		assert.Less(t, b.asked["stock-finder-01-a"], b.asked["stock-finder-01-b"])
		assert.Equal(t, 10, b.asked["stock-finder-02-a"]+b.asked["stock-finder-02-b"])
	})
}

// Guards against a baseline that knows more than an entry host could.
func TestSeparateViews(t *testing.T) {
	most := func(shared bool) int {
		var most int
		synctest.Test(t, func(t *testing.T) {
			b := &backend{straggler: "stock-finder-01-a"}
			target := newTarget(t, b, shared)
			var pending sync.WaitGroup
			for range 40 {
				pending.Go(func() { target.Do(t.Context(), search) })
				time.Sleep(20 * time.Millisecond)
			}
			pending.Wait()
			most = b.asked["stock-finder-01-a"]
		})
		return most
	}
	// One view knows of one outstanding request at the straggler, two views
	// leave one there each.
	assert.Greater(t, most(false), most(true))
}

// Guards against failed sub-requests that count as covered shards or as
// reservations that ran.
func TestFailures(t *testing.T) {
	tests := []struct {
		failing ebonyworks.AttemptResult
		reason  ebonyworks.MissReason
		outcome ebonyworks.OutcomeKind
	}{
		{ebonyworks.AttemptLost, ebonyworks.MissServerLost, ebonyworks.OutcomeUnknown},
		{ebonyworks.AttemptShed, ebonyworks.MissShed, ebonyworks.OutcomeNotRun},
		{ebonyworks.AttemptUnreachable, ebonyworks.MissNoServer, ebonyworks.OutcomeNotRun},
		{ebonyworks.AttemptInvalid, ebonyworks.MissInvalidReply, ebonyworks.OutcomeUnknown},
		{ebonyworks.AttemptTimeout, ebonyworks.MissTimeout, ebonyworks.OutcomeUnknown},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			b := &backend{}
			target := newTarget(t, b, false)
			b.failing = test.failing
			result := target.Do(t.Context(), search)
			assert.Zero(t, result.Covered)
			require.Len(t, result.Missed, 20)
			assert.Equal(t, test.reason, result.Missed[0].Reason)
			settled := target.Do(t.Context(), reservation)
			assert.Equal(t, []any{load.Settled, test.outcome}, []any{settled.Ending, settled.Outcome})
		})
	}
}
