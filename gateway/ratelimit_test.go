package gateway_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/retrybudget"
	"github.com/ebonyworks/ebonyworks/gateway"
	"github.com/ebonyworks/ebonyworks/standin/network"
)

const (
	// limitApplyTime is how long after it was first named a limit must hold, and
	// limitWindow is the window in which requests are counted.
	limitApplyTime = 5 * time.Second
	limitWindow    = 4 * time.Second
	// limitNoticeTime is how long after it has passed on a response with the limit a
	// host counts.
	limitNoticeTime = 500 * time.Millisecond
)

// limitedServer is a server that may name a rate limit in its responses.
type limitedServer struct {
	// limit is zero while the server names none.
	limit float64
	// namedAt is when a response first named a limit since the server last named none.
	namedAt time.Time
	// arrivals are the requests from hosts that knew of a limit, with the limit then.
	arrivals []limitedArrival
	total    int
}

type limitedArrival struct {
	at    time.Time
	limit float64
}

// limitFleet is a fleet of gateways in front of shards whose servers name rate
// limits.
type limitFleet struct {
	t        *testing.T
	network  network.Network
	listing  ebonyworks.StoreListing
	mutex    sync.Mutex
	servers  map[ebonyworks.ServerID]*limitedServer
	hosts    []*limitHost
	requests sync.WaitGroup
	served   int
	refused  int
	sent     int
}

// limitHost is one host of a limitFleet.
type limitHost struct {
	fleet   *limitFleet
	index   int
	host    *gateway.Gateway
	stop    context.CancelFunc
	stopped chan struct{}
	// toldAt is when the host has passed on a response of the server with a limit.
	toldAt map[ebonyworks.ServerID]time.Time
	// calmSince is when the host was last started, or its links were restored.
	calmSince time.Time
	cut       bool
}

const (
	limitShards   = 4
	limitReplicas = 3
	limitWork     = 10 * time.Millisecond
)

func limitServer(shard, replica int) ebonyworks.ServerID {
	return ebonyworks.ServerID(fmt.Sprintf("server-%d-%d", shard, replica))
}

// newLimitFleet starts the hosts and waits until they know each other.
func newLimitFleet(t *testing.T, hosts int) *limitFleet {
	t.Helper()
	f := &limitFleet{t: t, servers: make(map[ebonyworks.ServerID]*limitedServer)}
	f.network.Delay = time.Millisecond
	all := ebonyworks.ForwardRoute{ID: "all", Host: "h", Prefix: "/all/", Idempotent: true, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, TopRecords: 5, MinCoverage: 1}
	quick := all
	quick.ID, quick.Prefix, quick.Priority, quick.MinCoverage = "quick", "/quick/", 1, 0.5
	configuration := &ebonyworks.ForwardConfiguration{Revision: 1}
	f.listing.AsOf = 2
	for i := range limitShards {
		shard := ebonyworks.ServiceID(fmt.Sprint("shard-", i))
		all.Shards = append(all.Shards, shard)
		configuration.Services = append(configuration.Services, ebonyworks.ForwardService{ID: shard, ConnectionCap: 400})
		for j := range limitReplicas {
			f.servers[limitServer(i, j)] = &limitedServer{}
			f.listing.Changes = append(f.listing.Changes, ebonyworks.StoreChange{Revision: 2, Registration: &ebonyworks.Registration{
				Server:  ebonyworks.Server{ID: limitServer(i, j), Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a"},
				Service: shard, Slots: 8, Incarnation: 1,
			}})
		}
	}
	quick.Shards = all.Shards
	one := ebonyworks.ForwardRoute{ID: "one", Host: "h", Prefix: "/one/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Backends: []ebonyworks.WeightedService{{Service: "shard-0", Weight: 1}}}
	configuration.Routes = []ebonyworks.ForwardRoute{all, quick, one}
	f.listing.Changes = append(f.listing.Changes, ebonyworks.StoreChange{Revision: 1, Configuration: configuration})
	for i := range hosts {
		f.hosts = append(f.hosts, &limitHost{fleet: f, index: i})
		f.hosts[i].start()
	}
	time.Sleep(15 * time.Second)
	t.Cleanup(func() {
		f.requests.Wait()
		for _, host := range f.hosts {
			host.kill()
		}
	})
	return f
}

func limitAddress(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(host / 256), byte(host)}), 7380)
}

// start starts the host with empty state.
func (h *limitHost) start() {
	address := limitAddress(h.index)
	link := h.fleet.network.Link(address)
	h.host = gateway.New(gateway.Options{
		Self:        ebonyworks.Host{ID: ebonyworks.HostID(fmt.Sprint("host-", h.index)), Incarnation: ebonyworks.Incarnation(time.Now().UnixNano()), Address: address, Domain: "a", Capacity: 1},
		Seeds:       []netip.AddrPort{limitAddress(0), limitAddress(1)},
		Peer:        link,
		Store:       fixedStore{h.fleet.listing},
		Backend:     h,
		RetryBudget: retrybudget.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
		Observer:    discardObserver{},
		Seed:        uint64(h.index),
	})
	h.fleet.mutex.Lock()
	h.toldAt = make(map[ebonyworks.ServerID]time.Time)
	h.calmSince = time.Now()
	h.fleet.mutex.Unlock()
	h.fleet.network.Join(address, h.host)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.stopped = make(chan struct{})
	go func() {
		defer close(h.stopped)
		h.host.Run(ctx)
	}()
}

// kill ends the host without notice.
func (h *limitHost) kill() {
	if h.stop == nil {
		return
	}
	h.fleet.network.Leave(limitAddress(h.index))
	h.stop()
	<-h.stopped
	h.stop = nil
}

// cutOff cuts the host off from the other hosts, or ends that.
func (h *limitHost) cutOff(cut bool) {
	h.fleet.network.Cut(limitAddress(h.index), cut)
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	h.cut, h.calmSince = cut, time.Now()
}

// Send serves the request.
func (h *limitHost) Send(ctx context.Context, to ebonyworks.Server, _ *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	f := h.fleet
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	now := time.Now()
	server := f.servers[to.ID]
	limit := server.limit
	server.total++
	told, knows := h.toldAt[to.ID]
	calm := !h.cut && now.Sub(h.calmSince) >= limitApplyTime
	if limit > 0 && server.namedAt.IsZero() {
		server.namedAt = now
	}
	if limit > 0 && calm && knows && now.Sub(told) >= limitNoticeTime && now.Sub(server.namedAt) >= limitApplyTime {
		server.arrivals = append(server.arrivals, limitedArrival{now, limit})
	}
	f.mutex.Unlock()
	select {
	case <-time.After(limitWork):
	case <-ctx.Done():
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptCanceled}
	case <-time.After(time.Until(deadline)):
		return ebonyworks.ForwardAttempt{Result: ebonyworks.AttemptTimeout}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if limit > 0 && !knows {
		h.toldAt[to.ID] = time.Now()
	}
	return ebonyworks.ForwardAttempt{
		Result:   ebonyworks.AttemptServed,
		Report:   ebonyworks.ServerReport{Server: to.ID, RateLimit: ebonyworks.RateLimitReport{Stated: true, Limited: limit > 0, Rate: ebonyworks.RequestRate(limit)}},
		Response: ebonyworks.ServerResponse{Status: 200, Body: make([]byte, 16), Signature: "signed"},
	}
}

// name lets the server name a limit from now on; zero ends the limit.
func (f *limitFleet) name(server ebonyworks.ServerID, limit float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.servers[server]
	if limit == 0 || known.limit == 0 {
		known.namedAt = time.Time{}
	}
	known.limit = limit
}

// load sends requests on the route for the time, to hosts that choose selects.
func (f *limitFleet) load(path string, perSecond int, duration time.Duration, choose func() int) {
	for i := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		host := f.hosts[choose()]
		if host.stop == nil {
			continue
		}
		f.requests.Go(func() {
			now := time.Now()
			reply := host.host.Forward(context.Background(), &ebonyworks.ForwardRequest{
				ID: ebonyworks.RequestID(fmt.Sprint(path, i, now.UnixNano())), Host: "h", Method: "GET", Target: path, Arrival: now, CallerTimeout: time.Second,
			})
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.sent++
			switch reply.Kind {
			case ebonyworks.ReplyMerged, ebonyworks.ReplyRelayed:
				f.served++
			case ebonyworks.ReplyRefused:
				f.refused++
				assert.Less(f.t, time.Since(now), 100*time.Millisecond, "a request that can't be served is refused at once")
			}
		})
	}
}

// assertLimits checks every window of every server.
func (f *limitFleet) assertLimits(seed uint64) {
	f.t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, server := range f.servers {
		slices.SortFunc(server.arrivals, func(a, b limitedArrival) int { return a.at.Compare(b.at) })
		for i, first := range server.arrivals {
			count, allowed := 0, 0.0
			for _, later := range server.arrivals[i:] {
				if later.at.Sub(first.at) >= limitWindow {
					break
				}
				count++
				// The highest limit of the window applies to all of it.
				allowed = math.Max(allowed, later.limit)
			}
			if float64(count) > 1.5*allowed*limitWindow.Seconds()+5 {
				f.t.Errorf("seed %d: server %s, which named %.2f a second, got %d requests in 4 s, %.0f allowed", seed, id, allowed, count, 1.5*allowed*limitWindow.Seconds()+5)
				return
			}
		}
	}
}

// Guards against servers that get more requests than the limit that they named, because
// each host keeps only its own rate.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	for _, hosts := range []int{8, 40} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(hosts)))
				f := newLimitFleet(t, hosts)
				everyHost := func() int { return random.IntN(hosts) }
				f.load("/all/1", 60, 2*time.Second, everyHost)
				for replica := range limitReplicas {
					f.name(limitServer(0, replica), 4.5)
				}
				f.load("/all/2", 60, 15*time.Second, everyHost)
				f.load("/all/3", 60, 10*time.Second, func() int { return 0 })
				f.requests.Wait()
				f.assertLimits(0)
			})
		})
	}
}
