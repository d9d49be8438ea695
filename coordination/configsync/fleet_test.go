package configsync_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/configsync"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
	"github.com/ebonyworks/ebonyworks/coordination/membership"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

const headKey ebonyworks.ConfigurationKey = "head"

var errFault = errors.New("injected fault")

func partKey(name string) ebonyworks.ConfigurationKey {
	return ebonyworks.ConfigurationKey("part/" + name)
}

// documents is a small ebonyworks.ConfigurationDecoder: manifests are JSON, and a part that
// contains "invalid" makes the whole configuration invalid.
type documents struct{}

func (documents) DecodeManifest(bytes []byte) (ebonyworks.Manifest, []ebonyworks.Problem) {
	var head ebonyworks.Manifest
	if err := json.Unmarshal(bytes, &head); err != nil {
		return ebonyworks.Manifest{}, []ebonyworks.Problem{{Path: "Head", Message: err.Error()}}
	}
	return head, nil
}

func (documents) Assemble(mark ebonyworks.ConfigurationVersion, _ ebonyworks.Manifest, parts []ebonyworks.ConfigurationPart) (*ebonyworks.Configuration, []ebonyworks.Problem) {
	for _, part := range parts {
		if strings.Contains(string(part.Bytes), "invalid") {
			return nil, []ebonyworks.Problem{{Path: part.Name, Message: "invalid"}}
		}
	}
	return &ebonyworks.Configuration{Version: mark}, nil
}

// publication returns a head with one part, and their mark.
func publication(revision ebonyworks.Revision, content string) (head, part []byte, mark ebonyworks.ConfigurationVersion) {
	part = []byte(content)
	head, err := json.Marshal(ebonyworks.Manifest{
		Revision: revision,
		Parts:    []ebonyworks.PartDigest{{Name: "routes", Digest: sha256.Sum256(part)}},
	})
	if err != nil {
		panic(err)
	}
	return head, part, ebonyworks.ConfigurationVersion{Revision: revision, Digest: sha256.Sum256(head)}
}

// life is one incarnation of a host.
type life struct {
	edition  activeconfig.Edition
	guild    *membership.Cluster
	bulletin *configsync.Syncer
	tracker  *drainstate.Tracker
	meter    *configsync.RateLimitedPlatform
	stop     context.CancelFunc
	done     chan struct{}
}

func (l *life) ready() bool {
	return l.guild.Readiness().Ready() && l.bulletin.Readiness().Ready()
}

// node is one host of a fleet, through all of its lives.
type node struct {
	fleet *fleet
	host  ebonyworks.Host
	// The fields below are guarded by fleet.mu.
	life        *life
	up          bool
	paused      chan struct{}
	group       int
	cutOff      bool
	disturbed   time.Time
	seen        ebonyworks.ConfigurationVersion
	markHistory []markAt
}

type markAt struct {
	mark ebonyworks.ConfigurationVersion
	at   time.Time
}

// fleet is an in-memory network of hosts and a configuration service. It must
// run in a synctest bubble.
type fleet struct {
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	nodes  []*node
	// down makes the service unavailable to all.
	down      bool
	live      map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue
	replicas  [3]map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue
	frozen    [3]bool
	changed   chan struct{}
	departed  map[string]bool
	calls     int
	exchanges int
	faults    []string
	// settled is called when a host has become settled or refreshed.
	settled  func(n *node)
	inFlight sync.WaitGroup
}

func newFleet(seed uint64, size int, loss float64) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		loss:     loss,
		live:     map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue{},
		changed:  make(chan struct{}),
		departed: map[string]bool{},
	}
	for i := range size {
		f.nodes = append(f.nodes, &node{fleet: f, host: ebonyworks.Host{
			ID:      ebonyworks.HostID(fmt.Sprintf("entry-%03d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7443),
		}})
	}
	return f
}

func (f *fleet) uniform(from, to time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from + time.Duration(f.random.Float64()*float64(to-from))
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) fail(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, arguments...))
}

// start begins a new life of the node.
func (n *node) start() {
	f := n.fleet
	f.mu.Lock()
	n.host.Incarnation++
	n.up, n.seen, n.markHistory = true, ebonyworks.ConfigurationVersion{}, nil
	n.disturbed = time.Now()
	seed := f.random.Uint64()
	f.mu.Unlock()
	l := &life{done: make(chan struct{}), meter: configsync.NewRateLimitedPlatform(platform{n})}
	l.guild = membership.New(membership.Config{
		Self: n.host, Seeds: []netip.AddrPort{f.nodes[0].host.Address}, Peer: peer{n}, Platform: l.meter,
		Random:             rand.New(rand.NewPCG(seed, 2)),
		IsDesignatedReader: func() bool { return l.bulletin.IsDesignatedReader() },
		OnHeartbeat:        n.await, Recorder: recorder{n},
	})
	l.bulletin = configsync.New(configsync.Config{
		Self: n.host.ID, ManifestKey: headKey, PartKey: partKey, Platform: l.meter, Peer: peer{n},
		Decoder: documents{}, Membership: l.guild, ActiveConfig: &l.edition, Random: rand.New(rand.NewPCG(seed, 3)), Recorder: recorder{n},
	})
	l.tracker = drainstate.New(drainstate.Config{SendNow: l.guild.TriggerGossip})
	l.guild.Attach(l.bulletin)
	l.guild.Attach(l.tracker)
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	f.mu.Lock()
	n.life = l
	f.mu.Unlock()
	go func() {
		defer close(l.done)
		var runs sync.WaitGroup
		runs.Go(func() { l.guild.Run(ctx) })
		runs.Go(func() { l.bulletin.Run(ctx) })
		runs.Wait()
	}()
}

// recorder reports when a node may have become ready.
type recorder struct{ node *node }

func (r recorder) Record(recorded ebonyworks.Event) {
	relevant := recorded.ID == event.ConfigurationSettled || recorded.ID == event.StateRefreshed
	if relevant && r.node.fleet.settled != nil {
		r.node.fleet.settled(r.node)
	}
}

// current returns the life of the node, or nil if it is down.
func (n *node) current() *life {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if !n.up {
		return nil
	}
	return n.life
}

// kill ends the life of the node.
func (n *node) kill() {
	n.resume()
	n.fleet.mu.Lock()
	wasUp, l := n.up, n.life
	n.up = false
	n.disturbed = time.Now()
	n.fleet.mu.Unlock()
	if wasUp {
		l.stop()
		<-l.done
	}
}

func (n *node) pause() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.up && n.paused == nil {
		n.paused = make(chan struct{})
		n.disturbed = time.Now()
	}
}

func (n *node) resume() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
		n.disturbed = time.Now()
	}
}

// await blocks while the node is paused.
func (n *node) await() {
	n.fleet.mu.Lock()
	paused := n.paused
	n.fleet.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// carry models the way of one call to another host and back. A lost or cut
// off message leaves the caller waiting. A paused receiver handles the message
// when it resumes, even if the caller has gone.
func (f *fleet) carry(ctx context.Context, from *node, to netip.AddrPort, handle func(*life) error) error {
	from.await()
	f.mu.Lock()
	f.exchanges++
	var target *node
	var receiver *life
	for _, candidate := range f.nodes {
		if candidate.host.Address == to && candidate.up {
			target, receiver = candidate, candidate.life
		}
	}
	cut := target != nil && (target.group != from.group || f.random.Float64() < f.loss)
	replyLost := f.random.Float64() < f.loss
	f.mu.Unlock()
	time.Sleep(f.uniform(500*time.Microsecond, 2*time.Millisecond))
	if target == nil {
		return errFault
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	result := make(chan error, 1)
	f.inFlight.Go(func() {
		target.await()
		if target.current() != receiver {
			result <- errFault
			return
		}
		result <- handle(receiver)
	})
	select {
	case err := <-result:
		time.Sleep(f.uniform(500*time.Microsecond, 2*time.Millisecond))
		from.await()
		f.mu.Lock()
		replyLost = replyLost || target.group != from.group
		f.mu.Unlock()
		if !replyLost {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	case <-ctx.Done():
		from.await()
		return ctx.Err()
	}
}

// peer is the fake ebonyworks.Peer of one node.
type peer struct{ node *node }

func (p peer) Ping(ctx context.Context, to netip.AddrPort, message ebonyworks.GossipMessage) (reply ebonyworks.GossipMessage, err error) {
	p.node.observe(message.Version)
	var answer ebonyworks.GossipMessage
	err = p.node.fleet.carry(ctx, p.node, to, func(target *life) error {
		var err error
		answer, err = target.guild.HandlePing(ctx, message)
		return err
	})
	if err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	return answer, nil
}

func (p peer) IndirectPing(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	var answered bool
	err := p.node.fleet.carry(ctx, p.node, via, func(relay *life) error {
		var err error
		answered, err = relay.guild.HandleIndirectPing(ctx, target)
		return err
	})
	return err == nil && answered, err
}

func (p peer) FetchManifest(ctx context.Context, from netip.AddrPort) ([]byte, error) {
	return p.fetch(ctx, from, func(source *life) ([]byte, error) { return source.bulletin.HandleFetchManifest(ctx) })
}

func (p peer) FetchPart(ctx context.Context, from netip.AddrPort, digest ebonyworks.Digest) ([]byte, error) {
	return p.fetch(ctx, from, func(source *life) ([]byte, error) { return source.bulletin.HandleFetchPart(ctx, digest) })
}

func (p peer) fetch(ctx context.Context, from netip.AddrPort, get func(*life) ([]byte, error)) ([]byte, error) {
	var bytes []byte
	err := p.node.fleet.carry(ctx, p.node, from, func(source *life) error {
		var err error
		bytes, err = get(source)
		return err
	})
	if err != nil {
		return nil, err
	}
	return bytes, nil
}

func (peer) Reserve(context.Context, ebonyworks.Host, ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return ebonyworks.Outcome{}, ebonyworks.NotDelivered
}

func (peer) Outcome(context.Context, ebonyworks.Host, string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return ebonyworks.Outcome{}, ebonyworks.NotDelivered
}

func (peer) TransferLedger(context.Context, ebonyworks.Host, ebonyworks.ClosedLedger) error {
	return nil
}

func (peer) ReportCrashes(context.Context, netip.AddrPort, []ebonyworks.CrashReport) error {
	return nil
}

// platform is the fake ebonyworks.Platform of one node. Each call reaches a
// random replica.
type platform struct{ node *node }

// reach models the way to the service and returns what a replica holds.
func (p platform) reach(replica int) (map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue, chan struct{}, error) {
	f := p.node.fleet
	p.node.await()
	time.Sleep(f.uniform(time.Millisecond, 4*time.Millisecond))
	p.node.await()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || p.node.cutOff {
		return nil, nil, errFault
	}
	if f.frozen[replica] {
		return f.replicas[replica], f.changed, nil
	}
	return f.live, f.changed, nil
}

func (p platform) count() int {
	f := p.node.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.random.IntN(len(f.replicas))
}

func (p platform) Read(_ context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	values, _, err := p.reach(p.count())
	if err != nil {
		return ebonyworks.ConfigurationValue{}, err
	}
	return values[key], nil
}

func (p platform) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	replica := p.count()
	end := time.NewTimer(10 * time.Second)
	defer end.Stop()
	for {
		values, changed, err := p.reach(replica)
		if err != nil {
			return ebonyworks.ConfigurationValue{}, err
		}
		if values[key].Version > after {
			return values[key], nil
		}
		select {
		case <-changed:
		case <-end.C:
			return values[key], nil
		case <-ctx.Done():
			return ebonyworks.ConfigurationValue{}, ctx.Err()
		}
	}
}

func (p platform) Hosts(context.Context) ([]ebonyworks.ListedHost, error) {
	if _, _, err := p.reach(p.count()); err != nil {
		return nil, err
	}
	f := p.node.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []ebonyworks.ListedHost
	for _, listed := range f.nodes {
		hosts = append(hosts, ebonyworks.ListedHost{Name: string(listed.host.ID), Address: listed.host.Address})
	}
	for _, name := range slices.Sorted(maps.Keys(f.departed)) {
		hosts = append(hosts, ebonyworks.ListedHost{Name: name, Role: ebonyworks.ServerRole, Leaving: f.departed[name]})
	}
	return hosts, nil
}

// publish writes a part and a head to the service and returns the mark.
func (f *fleet) publish(revision ebonyworks.Revision, content string) ebonyworks.ConfigurationVersion {
	head, part, mark := publication(revision, content)
	f.mu.Lock()
	defer f.mu.Unlock()
	values := maps.Clone(f.live)
	for key, bytes := range map[ebonyworks.ConfigurationKey][]byte{partKey("routes"): part, headKey: head} {
		values[key] = ebonyworks.ConfigurationValue{Key: key, Version: values[key].Version + 1, Bytes: bytes}
	}
	f.live = values
	f.wake()
	return mark
}

// freeze makes a replica stale, or lets it catch up.
func (f *fleet) freeze(replica int, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frozen && !f.frozen[replica] {
		f.replicas[replica] = f.live
	}
	f.frozen[replica] = frozen
	f.wake()
}

// interrupt makes the service unavailable to all, or available.
func (f *fleet) interrupt(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wake()
}

func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// observe checks that the mark of a node never decreases within one life.
func (n *node) observe(mark ebonyworks.ConfigurationVersion) {
	n.fleet.mu.Lock()
	before := n.seen
	if mark.Compare(before) > 0 {
		n.seen = mark
		n.markHistory = append(n.markHistory, markAt{mark: mark, at: time.Now()})
	}
	n.fleet.mu.Unlock()
	if mark.Compare(before) < 0 {
		n.fleet.fail("%s went back from revision %d to %d", n.host.ID, before.Revision, mark.Revision)
	}
}

// held returns the mark that the node had in force at the time.
func (n *node) held(at time.Time) ebonyworks.ConfigurationVersion {
	var mark ebonyworks.ConfigurationVersion
	for _, entry := range n.markHistory {
		if !entry.at.After(at) {
			mark = entry.mark
		}
	}
	return mark
}

// stopAll ends all lives, so that the bubble can end.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.kill()
	}
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		n.start()
	}
}

// lagging returns the nodes that are up and don't have the mark in force.
func (f *fleet) lagging(mark ebonyworks.ConfigurationVersion) []ebonyworks.HostID {
	var lagging []ebonyworks.HostID
	for _, n := range f.nodes {
		if l := n.current(); l != nil && l.edition.Mark() != mark {
			lagging = append(lagging, n.host.ID)
		}
	}
	return lagging
}

// bubble runs a fleet in a synctest bubble and fails with what it recorded.
func bubble(t *testing.T, seed uint64, size int, loss float64, run func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed, size, loss)
		run(f)
		f.stopAll()
		f.inFlight.Wait()
		for _, fault := range f.faults {
			t.Errorf("seed %d, %d hosts: %s", seed, size, fault)
		}
	})
}
