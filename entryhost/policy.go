package entryhost

import (
	"math/rand/v2"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/fixed"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/never"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/coordination/selection/leastoutstanding"
	"github.com/ebonyworks/ebonyworks/coordination/selection/roundrobin"
)

// fixedHedgeDelay is about the p95 of the service times in the experiments (40 ms for a
// log-normal distribution with mean 20 ms and sigma 0.5) plus the network latency
// between two failure domains.
const fixedHedgeDelay = 42 * time.Millisecond

// Policy selects how replicas are chosen and when attempts are hedged. All policies but
// Adaptive are baselines for experiments.
type Policy int

const (
	// Adaptive chooses by the latencies and loads that this host observes, and hedges
	// within budgets.
	Adaptive Policy = iota
	// RoundRobin uses the replicas in rotation and never hedges.
	RoundRobin
	// LeastOutstanding chooses the replica with the fewest attempts in flight and
	// never hedges.
	LeastOutstanding
	// FixedHedge chooses like Adaptive and hedges after a fixed delay without a
	// budget.
	FixedHedge
)

type policy struct {
	selection ebonyworks.Selection
	hedging   ebonyworks.Hedging
}

func newPolicy(kind Policy, random *rand.Rand) policy {
	switch kind {
	case RoundRobin:
		return policy{selection: &roundrobin.Selector{}, hedging: never.Hedging{}}
	case LeastOutstanding:
		return policy{selection: leastoutstanding.New(random), hedging: never.Hedging{}}
	case FixedHedge:
		return policy{selection: selection.New(random), hedging: fixed.Delay(fixedHedgeDelay)}
	default:
		return policy{selection: selection.New(random), hedging: &hedging.Budget{}}
	}
}
