package hedging_test

import (
	mathrand "math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
)

const (
	service = ebonyworks.ServiceID("stock-finder-01")
	ms      = time.Millisecond
)

func observe(b *hedging.Budget, count int, result ebonyworks.AttemptResult, latency time.Duration, hedge bool) {
	for range count {
		b.Observe(ebonyworks.AttemptRecord{Service: service, Server: "a", Result: result, Latency: latency, Hedge: hedge})
	}
}

func shed(b *hedging.Budget, server ebonyworks.ServerID) {
	b.Observe(ebonyworks.AttemptRecord{Service: service, Server: server, Result: ebonyworks.AttemptShed})
}

// Guards against delays that are too long because of a slow server, too short because
// the slower attempts of hedged pairs aren't counted, or based on outdated latencies.
func TestDelay(t *testing.T) {
	const served, ended = ebonyworks.AttemptServed, ebonyworks.AttemptCanceled
	tests := []struct {
		name    string
		observe func(b *hedging.Budget)
		want    time.Duration
	}{
		{"no samples", func(*hedging.Budget) {}, 50 * ms},
		{"few samples", func(b *hedging.Budget) { observe(b, 19, served, 10*ms, false) }, 50 * ms},
		{"95th percentile", func(b *hedging.Budget) {
			observe(b, 940, served, 10*ms, false)
			observe(b, 60, served, 20*ms, false)
		}, 20 * ms},
		{"99th percentile without balance", func(b *hedging.Budget) {
			observe(b, 970, served, 10*ms, false)
			observe(b, 30, served, 20*ms, false)
			for b.AllowHedge(service) {
			}
		}, 20 * ms},
		{"floor", func(b *hedging.Budget) { observe(b, 100, served, 100*time.Microsecond, false) }, 3 * ms},
		{"ceiling", func(b *hedging.Budget) { observe(b, 100, served, time.Minute, false) }, 200 * ms},
		{"a tenth goes to a straggler", func(b *hedging.Budget) {
			observe(b, 90, served, 10*ms, false)
			observe(b, 10, served, 100*ms, false)
		}, 45 * ms},
		{"losers count", func(b *hedging.Budget) {
			observe(b, 900, served, 10*ms, false)
			time.Sleep(time.Second)
			observe(b, 100, ended, 15*ms, false)
		}, 15 * ms},
		{"early cancellations and hedges don't count", func(b *hedging.Budget) {
			observe(b, 900, served, 10*ms, false)
			time.Sleep(time.Second)
			observe(b, 9000, ended, 5*ms, false)
			observe(b, 9000, served, 5*ms, true)
		}, 10 * ms},
		{"old samples are forgotten", func(b *hedging.Budget) {
			observe(b, 9000, served, 20*ms, false)
			time.Sleep(11 * time.Second)
			observe(b, 100, served, 10*ms, false)
		}, 10 * ms},
		{"the last delay holds while there is no traffic", func(b *hedging.Budget) {
			observe(b, 100, served, 20*ms, false)
			b.Delay(service)
			time.Sleep(time.Minute)
		}, 20 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &hedging.Budget{}
				test.observe(b)
				time.Sleep(200 * ms)
				assert.InEpsilon(t, test.want, b.Delay(service), 0.02)
			})
		})
	}
}

// Guards against hedges that only add load to a slow or failing server.
func TestWorthwhile(t *testing.T) {
	assert.True(t, hedging.Worthwhile(20*ms, ebonyworks.Candidate{}))
	assert.True(t, hedging.Worthwhile(20*ms, ebonyworks.Candidate{Latency: 40 * ms}))
	assert.False(t, hedging.Worthwhile(20*ms, ebonyworks.Candidate{Latency: 100 * ms}))
	assert.False(t, hedging.Worthwhile(20*ms, ebonyworks.Candidate{Failing: true}))
}

// Guards against hedges and retries that multiply the load: of any sequence of requests,
// at most 5% are hedged and at most 10% hedged or retried, in addition to the initial
// balance, and the balance is bounded.
func TestBudgets(t *testing.T) {
	tests := []struct {
		name                 string
		useful               int
		hedges, retries      int
		wantHedges, wantBoth int
	}{
		{"quiet host", 0, 100, 100, 2, 4},
		{"hedges", 500, 1000, 0, 27, 27},
		{"retries", 500, 0, 1000, 0, 54},
		{"both", 500, 1000, 1000, 27, 54},
		{"saved balance", 1000000, 1000, 1000, 50, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &hedging.Budget{}
			observe(b, test.useful, ebonyworks.AttemptServed, ms, false)
			observe(b, test.useful, ebonyworks.AttemptServed, ms, true)
			hedges, retries := 0, 0
			for range test.hedges {
				if b.AllowHedge(service) {
					hedges++
				}
			}
			for range test.retries {
				if b.AllowRetry(service) {
					retries++
				}
			}
			assert.Equal(t, test.wantHedges, hedges)
			assert.Equal(t, test.wantBoth, hedges+retries)
		})
	}
}

// Guards against budgets that are exceeded in some orders of events.
func TestBudgetsHoldInAnyOrder(t *testing.T) {
	random := mathrand.New(mathrand.NewPCG(8, 9))
	b := &hedging.Budget{}
	useful, hedges, retries := 0, 0, 0
	for range 100000 {
		switch random.IntN(4) {
		case 0, 1:
			observe(b, 1, ebonyworks.AttemptServed, ms, false)
			useful++
		case 2:
			if b.AllowHedge(service) {
				hedges++
			}
		case 3:
			if b.AllowRetry(service) {
				retries++
			}
		}
		assert.LessOrEqual(t, float64(hedges), 2+0.05*float64(useful))
		assert.LessOrEqual(t, float64(hedges+retries), 4+0.1*float64(useful))
	}
	assert.Greater(t, hedges, useful/25, "the budget must be usable")
}

// Guards against hedges and retries that add to an overload, and against a pause that
// doesn't end or that applies to other services.
func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &hedging.Budget{}
		observe(b, 10000, ebonyworks.AttemptServed, ms, false)
		shed(b, "a")
		shed(b, "a")
		assert.False(t, b.AllowHedge(service))
		assert.True(t, b.AllowRetry(service), "another replica may have room")
		shed(b, "b")
		assert.False(t, b.AllowRetry(service))
		assert.True(t, b.AllowHedge("shop-ledger-01"))
		time.Sleep(time.Second)
		shed(b, "b")
		time.Sleep(1500 * ms)
		assert.False(t, b.AllowHedge(service))
		assert.True(t, b.AllowRetry(service))
		time.Sleep(time.Second)
		assert.True(t, b.AllowHedge(service))
	})
}

// Guards against memory that grows without bound with the number of service names.
func TestServicesAreBounded(t *testing.T) {
	b := &hedging.Budget{}
	observe(b, 100, ebonyworks.AttemptServed, 10*ms, false)
	for i := range hedging.MaxServices {
		b.Observe(ebonyworks.AttemptRecord{Service: ebonyworks.ServiceID(strconv.Itoa(i))})
	}
	b.Observe(ebonyworks.AttemptRecord{Service: "one too many", Result: ebonyworks.AttemptShed})
	assert.True(t, b.AllowHedge("one too many"))
	b.Retain(&ebonyworks.Configuration{})
	assert.Equal(t, 50*ms, b.Delay(service))
	b.Observe(ebonyworks.AttemptRecord{Service: "one too many", Result: ebonyworks.AttemptShed})
	assert.False(t, b.AllowHedge("one too many"))
}
