package entryhost_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/entryhost"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
	"github.com/ebonyworks/ebonyworks/standin/memplatform"
	"github.com/ebonyworks/ebonyworks/standin/network"
	"github.com/ebonyworks/ebonyworks/telemetry"
)

const (
	// networkDelay is the one-way latency between any two processes.
	networkDelay = 500 * time.Microsecond
	// crashValue is a filter value that crashes each server that runs it.
	crashValue = "poison"
	// crashTime is how long a crashed server is unreachable.
	crashTime = 30 * time.Second
	// retainedSnapshots is the number of snapshots that servers keep.
	retainedSnapshots = 4
)

// deployment consists of real hosts, with fakes for servers, platform and network.
type deployment struct {
	t             *testing.T
	configuration *ebonyworks.Configuration
	plan          *configplan.Plan
	// telemetry, if set, is used by the hosts that start.
	telemetry *telemetry.Telemetry

	mu       sync.Mutex
	random   *rand.Rand
	hosts    []*testHost
	servers  map[ebonyworks.ServerID]*fakeServer
	platform memplatform.Values
	network  network.Network
	// epoch is the partition epoch of all snapshots.
	epoch ebonyworks.PartitionEpoch
	// shards lists the shards of the reservations that servers started, in order.
	shards []ebonyworks.ShardID
	// newest is the newest snapshot that all servers hold.
	newest ebonyworks.SnapshotNumber
	// executions counts the reservations that servers started, by key.
	executions map[string]int
	// lateRequests lists a server for each request that reached it more than 3 s after
	// its drain began.
	lateRequests []string
	crashes      int
}

// testHost is one entry host and its fake environment. It is the host's Backend.
type testHost struct {
	deployment *deployment
	address    netip.AddrPort
	host       *entryhost.Host
	cancel     context.CancelFunc
	done       chan struct{}
	// platformCut is set while the host can't reach the platform.
	platformCut atomic.Bool
}

// fakeServer is the state of one fake backend server.
type fakeServer struct {
	incarnation ebonyworks.Incarnation
	downUntil   time.Time
	slow        bool
	draining    bool
	// drainStart is when the drain began.
	drainStart time.Time
	// startedRequests counts the requests that the server has started.
	startedRequests int
	// dropsReplies is set if the server runs each request but closes the connection
	// before the reply.
	dropsReplies bool
}

func newDeployment(t *testing.T, seed uint64, hosts int) *deployment {
	s := &deployment{
		t:          t,
		plan:       kitakaze.Plan(configplan.Addresses{}),
		random:     rand.New(rand.NewPCG(seed, 1)),
		servers:    make(map[ebonyworks.ServerID]*fakeServer),
		network:    network.Network{Delay: networkDelay},
		newest:     5,
		epoch:      1,
		executions: make(map[string]int),
	}
	s.publish(1, ebonyworks.ConfigurationVersion{})
	for _, catalogue := range s.configuration.Catalogues {
		for _, service := range catalogue.Services {
			for _, server := range service.Servers {
				s.servers[server.ID] = &fakeServer{incarnation: 1}
			}
		}
	}
	for range hosts {
		s.start(len(s.hosts), 1)
	}
	return s
}

// publish publishes a revision of the plan on the platform.
func (s *deployment) publish(revision ebonyworks.Revision, base ebonyworks.ConfigurationVersion) ebonyworks.ConfigurationVersion {
	configuration, problems := s.plan.Configuration()
	require.Empty(s.t, problems)
	publication, problems := s.plan.Publish(revision, base)
	require.Empty(s.t, problems)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = configuration
	s.platform.Publish(publication.Values())
	return publication.Version()
}

// start starts a host, or restarts it with a new incarnation.
func (s *deployment) start(index int, incarnation ebonyworks.Incarnation) {
	m := &testHost{deployment: s, address: address(index), done: make(chan struct{})}
	key, err := ticket.NewKey("k", make([]byte, ticket.MinSecretBytes))
	require.NoError(s.t, err)
	options := entryhost.Options{
		Self:        ebonyworks.Host{ID: hostID(index), Incarnation: incarnation, Address: m.address, Domain: "Sapporo"},
		Seeds:       []netip.AddrPort{address(0), address(1), address(2)},
		Keys:        []ticket.Key{key},
		Backend:     m,
		Platform:    platformView{m},
		Peer:        s.network.Link(m.address),
		Decoder:     configdoc.Codec{},
		ManifestKey: configdoc.ManifestKey,
		PartKey:     configdoc.PartKey,
		Seed:        uint64(index),
	}
	if s.telemetry != nil {
		options.Meter = s.telemetry.Meter()
		options.Observer = s.telemetry
	}
	m.host, err = entryhost.New(options)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	s.network.Join(m.address, m.host)
	s.mu.Lock()
	if index < len(s.hosts) {
		s.hosts[index] = m
	} else {
		s.hosts = append(s.hosts, m)
	}
	s.mu.Unlock()
	go func() {
		defer close(m.done)
		m.host.Run(ctx)
	}()
}

func hostID(index int) ebonyworks.HostID { return ebonyworks.HostID(fmt.Sprintf("entry-%d", index)) }

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), 8180)
}

// kill stops a host without a planned stop.
func (s *deployment) kill(index int) {
	m := s.hosts[index]
	s.network.Leave(m.address)
	m.cancel()
	<-m.done
}

func (s *deployment) close() {
	for i := range s.hosts {
		s.kill(i)
	}
}

// awaitReady waits until all hosts are ready.
func (s *deployment) awaitReady() {
	limit := time.Now().Add(30 * time.Second)
	for _, m := range s.hosts {
		for ready, reasons := m.host.Ready(); !ready; ready, reasons = m.host.Ready() {
			require.True(s.t, time.Now().Before(limit), "%v", reasons)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// forEachServer calls the function for each server of a catalogue, with the index of
// the server in its service.
func (s *deployment) forEachServer(id ebonyworks.CatalogueID, change func(index int, server *fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	catalogue, _ := s.configuration.Catalogue(id)
	for _, service := range catalogue.Services {
		for i, server := range service.Servers {
			change(i, s.servers[server.ID])
		}
	}
}

// update changes the state of the deployment under its mutex.
func (s *deployment) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// waitNetwork waits for the duration, or until the context ends.
func waitNetwork(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rows returns the content of a shard: one row that names the snapshot.
func rows(snapshot ebonyworks.Snapshot, shard ebonyworks.Shard) []ebonyworks.Row {
	field := ebonyworks.Field{Name: "Snapshot", Value: fmt.Sprint(snapshot.Number, snapshot.Epoch)}
	return []ebonyworks.Row{{Key: shard.Keys.From, Fields: []ebonyworks.Field{field}}}
}

func (s *deployment) report(id ebonyworks.ServerID, server *fakeServer) ebonyworks.ServerReport {
	report := ebonyworks.ServerReport{Server: id, Incarnation: server.incarnation, Draining: server.draining}
	for number := s.newest - retainedSnapshots + 1; number <= s.newest; number++ {
		report.Snapshots = append(report.Snapshots, ebonyworks.Snapshot{Number: number, Epoch: s.epoch})
	}
	return report
}

// startRequest handles the arrival of a request at a server. If the server starts it, it
// returns AttemptServed and how long the request runs.
func (s *deployment) startRequest(id ebonyworks.ServerID, fields []ebonyworks.Field) (time.Duration, ebonyworks.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[id]
	now := time.Now()
	if now.Before(server.downUntil) {
		return 0, ebonyworks.AttemptUnreachable
	}
	if server.draining {
		if now.Sub(server.drainStart) > 3*time.Second {
			s.lateRequests = append(s.lateRequests, string(id))
		}
		return 0, ebonyworks.AttemptDraining
	}
	if slices.Contains(fields, ebonyworks.Field{Name: "Shade", Value: crashValue}) {
		s.crashes++
		server.incarnation++
		server.downUntil = now.Add(crashTime)
		return 0, ebonyworks.AttemptLost
	}
	server.startedRequests++
	duration := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	if server.slow {
		duration *= 10
	}
	return duration, ebonyworks.AttemptServed
}

// Search runs a SubSearch on a fake server.
func (m *testHost) Search(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	if waitNetwork(ctx, networkDelay) != nil {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
	}
	duration, result := m.deployment.startRequest(server.ID, search.Filters)
	if result != ebonyworks.AttemptServed {
		return ebonyworks.SubSearchReply{Result: result}
	}
	if waitNetwork(ctx, duration+networkDelay) != nil {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
	}
	s := m.deployment
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.servers[server.ID]
	if state.dropsReplies {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptLost}
	}
	report := s.report(server.ID, state)
	if !slices.Contains(report.Snapshots, search.Snapshot) {
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptSnapshotGone, Report: report}
	}
	shard := findShard(s.configuration, search.Catalogue, search.Snapshot.Epoch, search.Shard)
	return ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptServed,
		Request:  search.Request,
		Snapshot: search.Snapshot,
		Shard:    search.Shard,
		Rows:     rows(search.Snapshot, shard),
		Report:   report,
	}
}

func findShard(configuration *ebonyworks.Configuration, id ebonyworks.CatalogueID, epoch ebonyworks.PartitionEpoch, shard ebonyworks.ShardID) ebonyworks.Shard {
	catalogue, _ := configuration.Catalogue(id)
	partition, _ := catalogue.Partition(epoch)
	index := slices.IndexFunc(partition.Shards, func(candidate ebonyworks.Shard) bool { return candidate.ID == shard })
	return partition.Shards[index]
}

// Reserve runs a reservation on a fake server and counts it.
func (m *testHost) Reserve(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	if waitNetwork(ctx, networkDelay) != nil {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptCanceled}
	}
	duration, result := m.deployment.startRequest(server.ID, reservation.Fields)
	if result != ebonyworks.AttemptServed {
		return ebonyworks.SubReservationReply{Result: result}
	}
	m.deployment.mu.Lock()
	m.deployment.executions[reservation.Key]++
	m.deployment.shards = append(m.deployment.shards, reservation.Shard)
	dropsReply := m.deployment.servers[server.ID].dropsReplies
	m.deployment.mu.Unlock()
	if waitNetwork(ctx, duration+networkDelay) != nil {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptTimeout}
	}
	if dropsReply {
		return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptLost}
	}
	return ebonyworks.SubReservationReply{Result: ebonyworks.AttemptServed, Request: reservation.Request, Shard: reservation.Shard}
}

// Status returns the report of a fake server.
func (m *testHost) Status(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	if waitNetwork(ctx, 2*networkDelay) != nil {
		return ebonyworks.ServerReport{}, ebonyworks.AttemptCanceled
	}
	m.deployment.mu.Lock()
	defer m.deployment.mu.Unlock()
	state := m.deployment.servers[server.ID]
	if time.Now().Before(state.downUntil) {
		return ebonyworks.ServerReport{}, ebonyworks.AttemptUnreachable
	}
	return m.deployment.report(server.ID, state), ebonyworks.AttemptServed
}

// platformView is the platform as one host reaches it.
type platformView struct {
	*testHost
}

// Read returns a value unless the host can't reach the platform.
func (v platformView) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	if v.platformCut.Load() {
		return ebonyworks.ConfigurationValue{}, memplatform.ErrUnavailable
	}
	return v.deployment.platform.Read(ctx, key)
}

// Watch waits for a newer value unless the host can't reach the platform.
func (v platformView) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	if v.platformCut.Load() {
		return ebonyworks.ConfigurationValue{}, memplatform.ErrUnavailable
	}
	return v.deployment.platform.Watch(ctx, key, after)
}

// Hosts returns an empty host list; hosts find each other by their seeds.
func (v platformView) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	return v.deployment.platform.Hosts(ctx)
}
