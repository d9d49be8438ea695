package ledger_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/ledger"
)

var start = time.Unix(1_800_000_000, 0)

func claims(id string, expiry time.Duration) ebonyworks.TicketClaims {
	return ebonyworks.TicketClaims{ID: ebonyworks.TicketID(id), Host: "entry-1", Incarnation: 1, Expiry: start.Add(expiry)}
}

var ran = ebonyworks.Outcome{Kind: ebonyworks.OutcomeRan, Code: ebonyworks.CodeDone, Result: []ebonyworks.Field{{Name: "Bundle", Value: "17"}}}

// Guards against tickets that run twice, or run after they were reported as not run,
// in each state of the ledger.
func TestTicketStatus(t *testing.T) {
	begin := func(l *ledger.Ledger, at time.Duration, fingerprint ebonyworks.Fingerprint) ledger.TicketStatus {
		return l.Begin(start.Add(at), claims("a", 30*time.Second), fingerprint)
	}
	query := func(l *ledger.Ledger, at time.Duration) ledger.TicketStatus {
		return l.Query(start.Add(at), claims("a", 30*time.Second))
	}
	other := func(l *ledger.Ledger, at time.Duration) { l.Begin(start.Add(at), claims("b", at+30*time.Second), 1) }
	end := 30*time.Second + ledger.Retention
	cases := []struct {
		name string
		do   func(l *ledger.Ledger) ledger.TicketStatus
		want ledger.TicketState
		code ebonyworks.OutcomeCode
	}{
		{"first", func(l *ledger.Ledger) ledger.TicketStatus { return begin(l, 0, 1) }, ledger.Started, ""},
		{"second", func(l *ledger.Ledger) ledger.TicketStatus { begin(l, 0, 1); return begin(l, 1, 1) }, ledger.Running, ""},
		{"other body", func(l *ledger.Ledger) ledger.TicketStatus { begin(l, 0, 1); return begin(l, 1, 2) }, ledger.Conflict, ""},
		{"after the run", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Finish("a", ran)
			return begin(l, time.Minute, 1)
		}, ledger.Final, ebonyworks.CodeDone},
		{"second result", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Finish("a", ran)
			l.Finish("a", ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun})
			return query(l, 1)
		}, ledger.Final, ebonyworks.CodeDone},
		{"expired", func(l *ledger.Ledger) ledger.TicketStatus { return begin(l, 30*time.Second, 1) }, ledger.Final, ebonyworks.CodeTicketExpired},
		{"expired, then the clock steps back", func(l *ledger.Ledger) ledger.TicketStatus { begin(l, time.Minute, 1); return begin(l, 0, 1) }, ledger.Final, ebonyworks.CodeTicketExpired},
		{"queried", func(l *ledger.Ledger) ledger.TicketStatus { return query(l, 0) }, ledger.Final, ebonyworks.CodeRevokedByQuery},
		{"used after a query", func(l *ledger.Ledger) ledger.TicketStatus { query(l, 0); return begin(l, 1, 1) }, ledger.Final, ebonyworks.CodeRevokedByQuery},
		{"kept for the retention", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Finish("a", ran)
			return query(l, end-1)
		}, ledger.Final, ebonyworks.CodeDone},
		{"dropped after it", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Finish("a", ran)
			return query(l, end)
		}, ledger.Final, ebonyworks.CodeRecordDropped},
		{"dropped, then the clock steps back", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Finish("a", ran)
			other(l, end)
			return begin(l, 0, 1)
		}, ledger.Final, ebonyworks.CodeRecordDropped},
		{"running ones aren't dropped", func(l *ledger.Ledger) ledger.TicketStatus { begin(l, 0, 1); return begin(l, end, 1) }, ledger.Running, ""},
		{"stopped", func(l *ledger.Ledger) ledger.TicketStatus { l.Stop(); return begin(l, 0, 1) }, ledger.Final, ebonyworks.CodeHostClosed},
		{"closed", func(l *ledger.Ledger) ledger.TicketStatus { l.Close("entry-1", 1); return query(l, 0) }, ledger.Final, ebonyworks.CodeHostClosed},
		{"finished after close", func(l *ledger.Ledger) ledger.TicketStatus {
			begin(l, 0, 1)
			l.Close("entry-1", 1)
			l.Finish("a", ran)
			return query(l, 1)
		}, ledger.Final, ebonyworks.CodeDone},
		{"full", func(l *ledger.Ledger) ledger.TicketStatus { l.MaxBytes = 1; return begin(l, 0, 1) }, ledger.Final, ebonyworks.CodeOverloaded},
		{"refused as full, room later", func(l *ledger.Ledger) ledger.TicketStatus {
			l.MaxBytes = 20_000
			other(l, -time.Second)
			begin(l, 0, 1)
			l.Finish("b", ran)
			return begin(l, 1, 1)
		}, ledger.Final, ebonyworks.CodeOverloaded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := test.do(&ledger.Ledger{})
			assert.Equal(t, test.want, got.State)
			assert.Equal(t, test.code, got.Outcome.Code)
			if got.State == ledger.Final {
				assert.Equal(t, test.code == ebonyworks.CodeRecordDropped, got.Outcome.Kind == ebonyworks.OutcomeUnknown)
			}
		})
	}
}

// Guards against a second run when copies of a request arrive together.
func TestOneCopyStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l ledger.Ledger
		var started, served atomic.Int32
		var copies sync.WaitGroup
		for range 20 {
			copies.Go(func() {
				if l.Begin(start, claims("a", time.Second), 1).State == ledger.Started {
					started.Add(1)
					time.Sleep(time.Second)
					l.Finish("a", ran)
				}
				outcome, ok := l.Wait(context.Background(), "a")
				if ok && outcome.Kind == ebonyworks.OutcomeRan {
					served.Add(1)
				}
			})
		}
		copies.Wait()
		assert.EqualValues(t, 1, started.Load())
		assert.EqualValues(t, 20, served.Load())
	})
}

// Guards against calls of Wait that continue after their context has ended.
func TestWaitEndsWithContext(t *testing.T) {
	var l ledger.Ledger
	l.Begin(start, claims("a", time.Second), 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := l.Wait(ctx, "a")
	assert.False(t, ok)
	_, ok = l.Wait(context.Background(), "unseen")
	assert.False(t, ok)
}

// Guards against wrong outcomes for an incarnation that transferred its ledger.
func TestTransferredLedger(t *testing.T) {
	var owner, peer ledger.Ledger
	dropped := claims("dropped", time.Second)
	owner.Begin(start, dropped, 1)
	owner.Finish("dropped", ran)
	now := start.Add(ledger.Retention + time.Minute)
	fresh := ledger.Retention + 80*time.Second
	for _, id := range []string{"ran", "open"} {
		owner.Begin(now, claims(id, fresh), 5)
	}
	owner.Finish("ran", ran)
	closed := owner.Close("entry-1", 1)
	require.NoError(t, peer.AddTransferred(now, closed))
	require.NoError(t, peer.AddTransferred(now, closed), "a second copy is ignored")
	assert.Len(t, peer.TransferredLedgers(now), 1)
	cases := []struct {
		claims ebonyworks.TicketClaims
		kind   ebonyworks.OutcomeKind
		code   ebonyworks.OutcomeCode
	}{
		{claims("ran", fresh), ebonyworks.OutcomeRan, ebonyworks.CodeDone},
		{claims("open", fresh), ebonyworks.OutcomeUnknown, ebonyworks.CodeRunning},
		{claims("unused", fresh), ebonyworks.OutcomeNotRun, ebonyworks.CodeHostClosed},
		{dropped, ebonyworks.OutcomeUnknown, ebonyworks.CodeRecordDropped},
	}
	for _, test := range cases {
		outcome, ok := peer.TransferredOutcome(now, test.claims)
		assert.True(t, ok)
		assert.Equal(t, test.kind, outcome.Kind, test.claims.ID)
		assert.Equal(t, test.code, outcome.Code, test.claims.ID)
	}
	for fingerprint, state := range map[ebonyworks.Fingerprint]ledger.TicketState{5: ledger.Final, 6: ledger.Conflict} {
		status, _ := peer.TransferredReservation(now, claims("ran", fresh), fingerprint)
		assert.Equal(t, state, status.State)
	}
	restarted := claims("ran", fresh)
	restarted.Incarnation = 2
	_, ok := peer.TransferredOutcome(now, restarted)
	assert.False(t, ok, "the ledger is that of one incarnation only")

	closed.CompleteAfter = time.Time{}
	var other ledger.Ledger
	require.NoError(t, other.AddTransferred(now, closed))
	outcome, _ := other.TransferredOutcome(now, claims("unused", fresh))
	assert.Equal(t, ebonyworks.OutcomeUnknown, outcome.Kind, "a codec that loses CompleteAfter must fail safe")

	small := ledger.Ledger{MaxTransferredBytes: 10}
	assert.ErrorIs(t, small.AddTransferred(now, closed), ledger.ErrTransferRejected)
	assert.ErrorIs(t, owner.AddTransferred(now, closed), ledger.ErrTransferRejected, "a stopped host would lose it")
	_, ok = peer.TransferredOutcome(now.Add(ledger.Retention+30*time.Second), claims("ran", fresh))
	assert.False(t, ok, "kept for the retention time only")
}

// Guards against results that use unbounded memory.
func TestLargeResult(t *testing.T) {
	var l ledger.Ledger
	l.Begin(start, claims("a", time.Second), 1)
	large := ran
	large.Result = []ebonyworks.Field{{Name: "Text", Value: strings.Repeat("x", ledger.MaxResultBytes)}}
	assert.Equal(t, ebonyworks.OutcomeRan, l.Finish("a", large).Kind)
	assert.Empty(t, l.Query(start, claims("a", time.Second)).Outcome.Result)
	_, bytes := l.Size()
	assert.Less(t, bytes, int64(1000))
}

// BenchmarkRecordMemory measures the memory of final records with a small result.
func BenchmarkRecordMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) { benchmarkRecordMemory(b, count) })
	}
}

func benchmarkRecordMemory(b *testing.B, count int) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := &ledger.Ledger{}
		for i := range count {
			id := fmt.Sprintf("%032d", i)
			l.Begin(start, claims(id, time.Second), 1)
			outcome := ran
			outcome.Result = []ebonyworks.Field{{Name: "Bundle", Value: id}}
			l.Finish(ebonyworks.TicketID(id), outcome)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, charged := l.Size()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "heap-B/record")
		b.ReportMetric(float64(charged)/float64(count), "charged-B/record")
		runtime.KeepAlive(l)
	}
}
