package reservation_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/reservation"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/state/ledger"
)

// cluster is a cluster of three hosts with injected faults. Reported outcomes are
// checked against the number of executions that the fake servers count, which is
// independent of the code under test.
type cluster struct {
	faults faults
	seed   uint64
	nodes  [3]*node
	// partitioned is the slot of the host that can't reach the others until healed;
	// -1 if there is none.
	partitioned int
	healed      time.Time
	// work waits for the goroutines of callers, faults and messages. Runs of
	// reservations aren't included; they end by their deadlines.
	work sync.WaitGroup

	mu         sync.Mutex
	expiries   map[string]time.Time
	executions map[string]int
	reported   map[string][]ebonyworks.Outcome
	// first and last count the first outcome that each caller got for a reservation,
	// and the last one that it got for a query.
	first, last outcomeCounts
	failures    []string
}

// faults are the kinds of faults that a schedule injects.
type faults struct {
	name                                                                                 string
	refusals, losses, slow, invalid, crashes, pauses, partitions, plannedStops, messages bool
}

// outcomeCounts counts outcomes, and those of kind OutcomeUnknown by their code.
type outcomeCounts struct {
	answers int
	unknown map[ebonyworks.OutcomeCode]int
}

func (c *outcomeCounts) count(outcome ebonyworks.Outcome) {
	c.answers++
	if c.unknown == nil {
		c.unknown = map[ebonyworks.OutcomeCode]int{}
	}
	if outcome.Refusal == nil && outcome.Kind == ebonyworks.OutcomeUnknown {
		c.unknown[outcome.Code]++
	}
}

func (c *outcomeCounts) add(other outcomeCounts) {
	c.answers += other.answers
	if c.unknown == nil {
		c.unknown = map[ebonyworks.OutcomeCode]int{}
	}
	for code, count := range other.unknown {
		c.unknown[code] += count
	}
}

// String returns the percentage of unknown outcomes, in total and by code.
func (c *outcomeCounts) String() string {
	var text strings.Builder
	total := 0
	for _, code := range slices.Sorted(maps.Keys(c.unknown)) {
		total += c.unknown[code]
		fmt.Fprintf(&text, " %s %.2f", code, 100*float64(c.unknown[code])/float64(c.answers))
	}
	return fmt.Sprintf("%.2f%% of %d:%s", 100*float64(total)/float64(c.answers), c.answers, text.String())
}

// node is one incarnation of a host.
type node struct {
	cluster *cluster
	slot    int
	host    ebonyworks.Host
	runner  *reservation.Runner
	issuer  *ticket.Issuer

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
}

// randSources are the random sources of one copy of a request. The run that it starts
// has a source of its own, because it can outlive the call.
type randSources struct{ copy, run *rand.Rand }

type randKey struct{}

var (
	signingKey, _ = ticket.NewKey("k1", bytes.Repeat([]byte{1}, ticket.MinSecretBytes))
	configuration = &ebonyworks.Configuration{
		Routes: []ebonyworks.Route{{ID: "reserve", Catalogue: "stock", Kind: ebonyworks.ReservationRoute, DefaultDeadline: time.Second, MaxDeadline: time.Minute}},
		Catalogues: []ebonyworks.Catalogue{{
			ID: "stock",
			Services: []ebonyworks.Service{{ID: "finder", Servers: []ebonyworks.Server{
				{ID: "finder-a"}, {ID: "finder-b"}, {ID: "finder-c"},
			}}},
			Partitions: []ebonyworks.Partition{
				{Epoch: 1, Shards: []ebonyworks.Shard{{ID: "old", Service: "finder"}}},
				{Epoch: 2, Shards: []ebonyworks.Shard{{ID: "new", Service: "finder"}}},
			},
		}},
	}
)

func newCluster(seed uint64, injected faults) *cluster {
	c := &cluster{faults: injected, seed: seed, partitioned: -1, expiries: map[string]time.Time{}, executions: map[string]int{}, reported: map[string][]ebonyworks.Outcome{}}
	for slot := range c.nodes {
		c.nodes[slot] = c.start(slot, 1)
	}
	return c
}

func (c *cluster) start(slot int, incarnation ebonyworks.Incarnation) *node {
	name := ebonyworks.HostID(fmt.Sprintf("entry-%d", slot))
	n := &node{cluster: c, slot: slot, host: ebonyworks.Host{ID: name, Incarnation: incarnation, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(slot))}}
	n.issuer, _ = ticket.NewIssuer(name, incarnation, []ticket.Key{signingKey}, rand.New(rand.NewPCG(c.seed, uint64(incarnation))))
	n.runner = reservation.New(n.settings())
	return n
}

func (n *node) settings() reservation.Settings {
	settings := reservation.Settings{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Tickets: n.issuer, Ledger: &ledger.Ledger{}, Hosts: n, Peer: peerClient{from: n}, Servers: n,
		Configuration: func() *ebonyworks.Configuration { n.waitWhilePaused(); return configuration },
		Backend:       backend{node: n}, Selection: n, Quota: n, Admission: n, Hedging: n, Quarantine: &quarantine.Controller{},
	}
	if (n.cluster.seed+uint64(n.slot))%2 == 0 {
		settings.Quarantine = n
	}
	return settings
}

// waitWhilePaused blocks while the process is paused. Every call from the code under
// test goes through it, so that a pause can occur between any two steps.
func (n *node) waitWhilePaused() {
	n.mu.Lock()
	wait := time.Until(n.pausedUntil)
	n.mu.Unlock()
	time.Sleep(wait)
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) set(dead bool, pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = n.dead || dead
	n.pausedUntil = time.Now().Add(pause)
}

func (c *cluster) node(slot int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[slot]
}

func (c *cluster) replace(slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[slot] = c.start(slot, c.nodes[slot].host.Incarnation+1)
}

func (c *cluster) reachable(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.healed) || (a == c.partitioned) == (b == c.partitioned)
}

func (c *cluster) fail(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, values...))
}

// execute counts one execution at a server. The part of the key before the colon is
// the name of the ticket.
func (c *cluster) execute(key string) {
	name, _, _ := strings.Cut(key, ":")
	c.mu.Lock()
	c.executions[name]++
	count := c.executions[name]
	c.mu.Unlock()
	if count > 1 {
		c.fail("%s ran %d times", name, count)
	}
}

func (c *cluster) expiry(key string) time.Time {
	name, _, _ := strings.Cut(key, ":")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expiries[name]
}

// check compares the outcomes that callers got with the executions that the servers
// counted.
func (c *cluster) check() {
	for name, outcomes := range c.reported {
		for _, outcome := range outcomes {
			switch {
			case outcome.Refusal != nil || outcome.Kind == ebonyworks.OutcomeUnknown:
			case outcome.Kind == ebonyworks.OutcomeNotRun && c.executions[name] != 0:
				c.fail("%s was reported as not run (%s) but ran", name, outcome.Code)
			case outcome.Kind == ebonyworks.OutcomeRan && c.executions[name] != 1:
				c.fail("%s was reported as run but ran %d times", name, c.executions[name])
			case outcome.Kind != outcomes[0].Kind && slices.ContainsFunc(outcomes, func(o ebonyworks.Outcome) bool {
				return o.Refusal == nil && o.Kind != ebonyworks.OutcomeUnknown && o.Kind != outcome.Kind
			}):
				c.fail("%s has two different final outcomes", name)
			}
		}
	}
}

func randomFrom(ctx context.Context) *randSources { return ctx.Value(randKey{}).(*randSources) }

func chance(random *rand.Rand, percent int) bool { return random.IntN(100) < percent }

// upTo returns a random duration up to the limit. The order of magnitude is random,
// too, so that short durations are as frequent as long ones.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)>>random.IntN(16) + 1))
}

func (n *node) Host(id ebonyworks.HostID) (ebonyworks.Host, bool) {
	for slot := range n.cluster.nodes {
		if other := n.cluster.node(slot); other.host.ID == id {
			return other.host, true
		}
	}
	return ebonyworks.Host{}, false
}

func (n *node) Peers() []ebonyworks.Host {
	var hosts []ebonyworks.Host
	for slot := range n.cluster.nodes {
		if slot != n.slot {
			hosts = append(hosts, n.cluster.node(slot).host)
		}
	}
	return hosts
}

// send delivers a message to the current process at the address of a host and returns
// its reply. The handler runs in a goroutine of its own, as in another process, and
// some messages arrive a second time, up to 15 minutes later.
func (n *node) send(ctx context.Context, to ebonyworks.HostID, handle func(*node, context.Context) ebonyworks.Outcome) (ebonyworks.Outcome, ebonyworks.Delivery) {
	n.waitWhilePaused()
	random := randomFrom(ctx).copy
	slot := int(to[len(to)-1] - '0')
	time.Sleep(upTo(random, 5*time.Millisecond))
	target := n.cluster.node(slot)
	if target.isDead() || !n.cluster.reachable(n.slot, slot) || n.cluster.faults.messages && chance(random, 5) {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	replies := make(chan ebonyworks.Outcome, 2)
	deliver := func(after time.Duration, seed uint64) {
		n.cluster.work.Go(func() {
			time.Sleep(after)
			receiver := n.cluster.node(slot)
			if receiver.isDead() {
				return
			}
			receiver.waitWhilePaused()
			sources := &randSources{copy: rand.New(rand.NewPCG(seed, 1)), run: rand.New(rand.NewPCG(seed, 2))}
			outcome := handle(receiver, context.WithValue(context.WithoutCancel(ctx), randKey{}, sources))
			receiver.waitWhilePaused()
			if !receiver.isDead() && n.cluster.reachable(n.slot, slot) {
				replies <- outcome
			}
		})
	}
	deliver(0, random.Uint64())
	if n.cluster.faults.messages && chance(random, 30) {
		deliver(upTo(random, 15*time.Minute), random.Uint64())
	}
	lost := n.cluster.faults.messages && chance(random, 10)
	select {
	case outcome := <-replies:
		if lost {
			return ebonyworks.Outcome{}, ebonyworks.DeliveryUnknown
		}
		return outcome, ebonyworks.Delivered
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
	return ebonyworks.Outcome{}, ebonyworks.DeliveryUnknown
}

// peerClient is the ebonyworks.Peer of a node; it sends messages to the other nodes.
type peerClient struct {
	ebonyworks.Peer
	from *node
}

func (c peerClient) Reserve(ctx context.Context, to ebonyworks.Host, request ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return c.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return receiver.runner.HandleReserve(ctx, to, request)
	})
}

func (c peerClient) Outcome(ctx context.Context, to ebonyworks.Host, token string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return c.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return receiver.runner.HandleOutcome(ctx, to, token)
	})
}

func (c peerClient) TransferLedger(ctx context.Context, to ebonyworks.Host, closed ebonyworks.ClosedLedger) error {
	answer, delivery := c.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return ebonyworks.Outcome{Message: fmt.Sprint(receiver.runner.HandleTransferLedger(ctx, closed))}
	})
	if delivery != ebonyworks.Delivered || answer.Message != fmt.Sprint(error(nil)) {
		return errors.New("ledger not accepted")
	}
	return nil
}

func (n *node) Candidates(service *ebonyworks.Service, _ ebonyworks.Route) []ebonyworks.Candidate {
	n.waitWhilePaused()
	var candidates []ebonyworks.Candidate
	for _, server := range service.Servers {
		candidates = append(candidates, ebonyworks.Candidate{Server: server})
	}
	return candidates
}

func (n *node) Incarnation(ebonyworks.ServerID) ebonyworks.Incarnation { n.waitWhilePaused(); return 1 }
func (n *node) Observe(ebonyworks.AttemptRecord)                       {}
func (n *node) Select(c []ebonyworks.Candidate) (int, bool)            { return 0, len(c) > 0 }
func (n *node) Delay(ebonyworks.ServiceID) time.Duration               { return 0 }
func (n *node) AllowHedge(ebonyworks.ServiceID) bool                   { return false }
func (n *node) AllowRetry(ebonyworks.ServiceID) bool                   { return true }
func (n *node) Release(ebonyworks.AttemptRecord)                       {}
func (n *node) Done()                                                  {}

func (n *node) Load(*ebonyworks.Service, ebonyworks.ServerID) (inFlight, limit int) { return 0, 1 }

func (n *node) Check(ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	return ebonyworks.VerdictSafe, nil
}

func (n *node) ChooseCanary(ebonyworks.Fingerprint, []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal) {
	return ebonyworks.Canary{}, nil
}
func (n *node) RecordCrash(ebonyworks.Fingerprint, ebonyworks.ServerID, ebonyworks.Incarnation) {}
func (n *node) RecordSuccess(ebonyworks.Fingerprint)                                            {}

func (n *node) Acquire(ctx context.Context, _ *ebonyworks.Service, _ ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	n.waitWhilePaused()
	time.Sleep(upTo(randomFrom(ctx).run, 20*time.Millisecond))
	return n, true
}

func (n *node) Admit(ctx context.Context, _ ebonyworks.Route, _ ebonyworks.CustomerID, _ time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	n.waitWhilePaused()
	if n.cluster.faults.refusals && chance(randomFrom(ctx).run, 5) {
		return nil, &ebonyworks.Refusal{Code: ebonyworks.RefusedOverload, RetryAfter: time.Second}
	}
	return n, nil
}

// backend sends the reservations of a node to the fake servers.
type backend struct {
	ebonyworks.Backend
	*node
}

// Reserve is one attempt at a fake server. The server may execute the request after
// the attempt has ended.
func (b backend) Reserve(ctx context.Context, _ *ebonyworks.Service, _ ebonyworks.Server, sent ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	c, random := b.cluster, randomFrom(ctx).run
	if deadline, _ := ctx.Deadline(); !time.Now().Before(deadline) {
		c.fail("%s was sent after its deadline", sent.Key)
	}
	if !time.Now().Before(c.expiry(sent.Key)) {
		c.fail("%s was sent after its ticket expired", sent.Key)
	}
	b.waitWhilePaused()
	reply := ebonyworks.SubReservationReply{Result: ebonyworks.AttemptServed, Request: sent.Request, Shard: sent.Shard, Fields: []ebonyworks.Field{{Name: "Key", Value: sent.Key}}}
	if b.isDead() {
		return ebonyworks.SubReservationReply{}
	}
	if c.faults.refusals && chance(random, 40) {
		refusals := []ebonyworks.AttemptResult{ebonyworks.AttemptShed, ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable, ebonyworks.AttemptExpired, ebonyworks.AttemptRejected}
		reply.Result = refusals[random.IntN(len(refusals))]
		return reply
	}
	limit := 10 * time.Millisecond
	if c.faults.slow {
		limit = 5 * time.Second
	}
	runs := true
	switch fault := random.IntN(100); {
	case c.faults.losses && fault < 20:
		reply.Result = ebonyworks.AttemptLost
		runs = chance(random, 50)
	case c.faults.invalid && fault >= 20 && fault < 40:
		reply.Result = ebonyworks.AttemptInvalid
		runs = chance(random, 50)
	case c.faults.invalid && fault >= 40 && fault < 60:
		reply.Request = "another"
	}
	before, after := upTo(random, limit), upTo(random, limit)
	ended := make(chan struct{})
	go func() {
		time.Sleep(before)
		if runs {
			c.execute(sent.Key)
		}
		time.Sleep(after)
		close(ended)
	}()
	select {
	case <-ended:
		b.waitWhilePaused()
		return reply
	case <-ctx.Done():
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptTimeout}
	}
}
