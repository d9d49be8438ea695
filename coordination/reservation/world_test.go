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

// world is a small fleet with injected faults. The model of truth is the
// number of executions that the fake servers count; it shares nothing with
// the code under test.
type world struct {
	faults faults
	seed   uint64
	nodes  [3]*node
	// partitioned is the slot that can't reach the others until healed.
	partitioned int
	healed      time.Time
	// work counts the actors and the messages that they sent. Runs aren't in
	// it; they end by their deadlines.
	work sync.WaitGroup

	mu         sync.Mutex
	expiries   map[string]time.Time
	executions map[string]int
	told       map[string][]ebonyworks.Outcome
	// first and last count the callers by the first answer to a reservation
	// and the last answer to a query.
	first, last tally
	failures    []string
}

// faults are the kinds of fault that a schedule may contain.
type faults struct {
	name                                                                 string
	refusals, losses, slow, invalid, crashes, pauses, splits, stops, net bool
}

// tally counts answers, and those that were Unknown by their code.
type tally struct {
	answers int
	unknown map[ebonyworks.OutcomeCode]int
}

func (c *tally) count(outcome ebonyworks.Outcome) {
	c.answers++
	if c.unknown == nil {
		c.unknown = map[ebonyworks.OutcomeCode]int{}
	}
	if outcome.Refusal == nil && outcome.Kind == ebonyworks.OutcomeUnknown {
		c.unknown[outcome.Code]++
	}
}

func (c *tally) add(other tally) {
	c.answers += other.answers
	if c.unknown == nil {
		c.unknown = map[ebonyworks.OutcomeCode]int{}
	}
	for code, count := range other.unknown {
		c.unknown[code] += count
	}
}

// String returns the share of Unknown in percent, in all and by code.
func (c *tally) String() string {
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
	world  *world
	slot   int
	host   ebonyworks.Host
	runner *reservation.Runner
	office *ticket.Issuer

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
}

// dice are the random choices of one copy of a request. The run has its own,
// because it can outlive the copy.
type dice struct{ copy, run *rand.Rand }

type diceKey struct{}

var (
	signingKey, _ = ticket.NewKey("k1", bytes.Repeat([]byte{1}, ticket.MinSecretBytes))
	published     = &ebonyworks.Configuration{
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

func newWorld(seed uint64, injected faults) *world {
	w := &world{faults: injected, seed: seed, partitioned: -1, expiries: map[string]time.Time{}, executions: map[string]int{}, told: map[string][]ebonyworks.Outcome{}}
	for slot := range w.nodes {
		w.nodes[slot] = w.start(slot, 1)
	}
	return w
}

func (w *world) start(slot int, incarnation ebonyworks.Incarnation) *node {
	name := ebonyworks.HostID(fmt.Sprintf("entry-%d", slot))
	n := &node{world: w, slot: slot, host: ebonyworks.Host{ID: name, Incarnation: incarnation, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(slot))}}
	n.office, _ = ticket.NewIssuer(name, incarnation, []ticket.Key{signingKey}, rand.New(rand.NewPCG(w.seed, uint64(incarnation))))
	n.runner = reservation.New(n.settings())
	return n
}

func (n *node) settings() reservation.Settings {
	settings := reservation.Settings{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Tickets: n.office, Ledger: &ledger.Ledger{}, Hosts: n, Peer: wire{from: n}, Servers: n,
		Configuration: func() *ebonyworks.Configuration { n.gate(); return published },
		Backend:       backend{node: n}, Selection: n, Quota: n, Admission: n, Hedging: n, Quarantine: &quarantine.Inspector{},
	}
	if (n.world.seed+uint64(n.slot))%2 == 0 {
		settings.Quarantine = n
	}
	return settings
}

// gate blocks while the process is paused; every call of the code under test
// passes it, so a pause can fall between any two steps.
func (n *node) gate() {
	n.mu.Lock()
	wait := time.Until(n.pausedUntil)
	n.mu.Unlock()
	time.Sleep(wait)
}

func (n *node) gone() bool {
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

func (w *world) node(slot int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[slot]
}

func (w *world) replace(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[slot] = w.start(slot, w.nodes[slot].host.Incarnation+1)
}

func (w *world) reachable(a, b int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.healed) || (a == w.partitioned) == (b == w.partitioned)
}

func (w *world) fail(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}

// execute counts one run at a server. The text before the colon in the key
// names the ticket.
func (w *world) execute(key string) {
	name, _, _ := strings.Cut(key, ":")
	w.mu.Lock()
	w.executions[name]++
	count := w.executions[name]
	w.mu.Unlock()
	if count > 1 {
		w.fail("%s ran %d times", name, count)
	}
}

func (w *world) expiry(key string) time.Time {
	name, _, _ := strings.Cut(key, ":")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expiries[name]
}

// check compares what callers were told with what the servers counted.
func (w *world) check() {
	for name, outcomes := range w.told {
		for _, outcome := range outcomes {
			switch {
			case outcome.Refusal != nil || outcome.Kind == ebonyworks.OutcomeUnknown:
			case outcome.Kind == ebonyworks.OutcomeNotRun && w.executions[name] != 0:
				w.fail("%s was told not run (%s) and ran", name, outcome.Code)
			case outcome.Kind == ebonyworks.OutcomeRan && w.executions[name] != 1:
				w.fail("%s was told ran and ran %d times", name, w.executions[name])
			case outcome.Kind != outcomes[0].Kind && slices.ContainsFunc(outcomes, func(o ebonyworks.Outcome) bool {
				return o.Refusal == nil && o.Kind != ebonyworks.OutcomeUnknown && o.Kind != outcome.Kind
			}):
				w.fail("%s was told two final outcomes", name)
			}
		}
	}
}

func roll(ctx context.Context) *dice { return ctx.Value(diceKey{}).(*dice) }

func chance(random *rand.Rand, percent int) bool { return random.IntN(100) < percent }

// upTo returns durations of all magnitudes up to the limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)>>random.IntN(16) + 1))
}

func (n *node) Host(id ebonyworks.HostID) (ebonyworks.Host, bool) {
	for slot := range n.world.nodes {
		if other := n.world.node(slot); other.host.ID == id {
			return other.host, true
		}
	}
	return ebonyworks.Host{}, false
}

func (n *node) Peers() []ebonyworks.Host {
	var hosts []ebonyworks.Host
	for slot := range n.world.nodes {
		if slot != n.slot {
			hosts = append(hosts, n.world.node(slot).host)
		}
	}
	return hosts
}

// send carries a message to the current process at the address of a host and
// the reply back. The handler runs apart, as in another process, and some
// messages arrive a second time, up to minutes later.
func (n *node) send(ctx context.Context, to ebonyworks.HostID, handle func(*node, context.Context) ebonyworks.Outcome) (ebonyworks.Outcome, ebonyworks.Delivery) {
	n.gate()
	random := roll(ctx).copy
	slot := int(to[len(to)-1] - '0')
	time.Sleep(upTo(random, 5*time.Millisecond))
	target := n.world.node(slot)
	if target.gone() || !n.world.reachable(n.slot, slot) || n.world.faults.net && chance(random, 5) {
		return ebonyworks.Outcome{}, ebonyworks.NotDelivered
	}
	replies := make(chan ebonyworks.Outcome, 2)
	deliver := func(after time.Duration, seed uint64) {
		n.world.work.Go(func() {
			time.Sleep(after)
			receiver := n.world.node(slot)
			if receiver.gone() {
				return
			}
			receiver.gate()
			apart := &dice{copy: rand.New(rand.NewPCG(seed, 1)), run: rand.New(rand.NewPCG(seed, 2))}
			outcome := handle(receiver, context.WithValue(context.WithoutCancel(ctx), diceKey{}, apart))
			receiver.gate()
			if !receiver.gone() && n.world.reachable(n.slot, slot) {
				replies <- outcome
			}
		})
	}
	deliver(0, random.Uint64())
	if n.world.faults.net && chance(random, 30) {
		deliver(upTo(random, 15*time.Minute), random.Uint64())
	}
	lost := n.world.faults.net && chance(random, 10)
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

// wire is the connection of a node to the other hosts.
type wire struct {
	ebonyworks.Peer
	from *node
}

func (w wire) Reserve(ctx context.Context, to ebonyworks.Host, asked ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return w.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return receiver.runner.HandleReserve(ctx, to, asked)
	})
}

func (w wire) Outcome(ctx context.Context, to ebonyworks.Host, token string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return w.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return receiver.runner.HandleOutcome(ctx, to, token)
	})
}

func (w wire) TransferLedger(ctx context.Context, to ebonyworks.Host, closed ebonyworks.ClosedLedger) error {
	answer, delivery := w.from.send(ctx, to.ID, func(receiver *node, ctx context.Context) ebonyworks.Outcome {
		return ebonyworks.Outcome{Message: fmt.Sprint(receiver.runner.HandleTransferLedger(ctx, closed))}
	})
	if delivery != ebonyworks.Delivered || answer.Message != fmt.Sprint(error(nil)) {
		return errors.New("not taken")
	}
	return nil
}

func (n *node) Candidates(service *ebonyworks.Service, _ ebonyworks.Route) []ebonyworks.Candidate {
	n.gate()
	var candidates []ebonyworks.Candidate
	for _, server := range service.Servers {
		candidates = append(candidates, ebonyworks.Candidate{Server: server})
	}
	return candidates
}

func (n *node) Incarnation(ebonyworks.ServerID) ebonyworks.Incarnation { n.gate(); return 1 }
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
	n.gate()
	time.Sleep(upTo(roll(ctx).run, 20*time.Millisecond))
	return n, true
}

func (n *node) Admit(ctx context.Context, _ ebonyworks.Route, _ ebonyworks.CustomerID, _ time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	n.gate()
	if n.world.faults.refusals && chance(roll(ctx).run, 5) {
		return nil, &ebonyworks.Refusal{Code: ebonyworks.RefusedOverload, RetryAfter: time.Second}
	}
	return n, nil
}

// backend is the part of a node that reaches the fake servers.
type backend struct {
	ebonyworks.Backend
	*node
}

// Reserve is one attempt at a fake server. The server may run the request
// after the attempt has ended.
func (b backend) Reserve(ctx context.Context, _ *ebonyworks.Service, _ ebonyworks.Server, sent ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	w, random := b.world, roll(ctx).run
	if deadline, _ := ctx.Deadline(); !time.Now().Before(deadline) {
		w.fail("%s was sent after its deadline", sent.Key)
	}
	if !time.Now().Before(w.expiry(sent.Key)) {
		w.fail("%s was sent after its ticket expired", sent.Key)
	}
	b.gate()
	reply := ebonyworks.SubReservationReply{Result: ebonyworks.AttemptServed, Request: sent.Request, Shard: sent.Shard, Fields: []ebonyworks.Field{{Name: "Key", Value: sent.Key}}}
	if b.gone() {
		return ebonyworks.SubReservationReply{}
	}
	if w.faults.refusals && chance(random, 40) {
		refusals := []ebonyworks.AttemptResult{ebonyworks.AttemptShed, ebonyworks.AttemptDraining, ebonyworks.AttemptUnreachable, ebonyworks.AttemptExpired, ebonyworks.AttemptRejected}
		reply.Result = refusals[random.IntN(len(refusals))]
		return reply
	}
	limit := 10 * time.Millisecond
	if w.faults.slow {
		limit = 5 * time.Second
	}
	runs := true
	switch fault := random.IntN(100); {
	case w.faults.losses && fault < 20:
		reply.Result = ebonyworks.AttemptLost
		runs = chance(random, 50)
	case w.faults.invalid && fault >= 20 && fault < 40:
		reply.Result = ebonyworks.AttemptInvalid
		runs = chance(random, 50)
	case w.faults.invalid && fault >= 40 && fault < 60:
		reply.Request = "another"
	}
	before, after := upTo(random, limit), upTo(random, limit)
	ended := make(chan struct{})
	go func() {
		time.Sleep(before)
		if runs {
			w.execute(sent.Key)
		}
		time.Sleep(after)
		close(ended)
	}()
	select {
	case <-ended:
		b.gate()
		return reply
	case <-ctx.Done():
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptTimeout}
	}
}
