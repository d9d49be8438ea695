package fanout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/delegation"
	"github.com/ebonyworks/ebonyworks/coordination/fanout"
	"github.com/ebonyworks/ebonyworks/coordination/routing"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// lossyLink carries requests to the larger host and answers back. Each message
// may be delayed or lost, as drawn from random.
type lossyLink struct {
	larger *fanout.Forwarder

	mutex  sync.Mutex
	random *rand.Rand
}

// drawFault draws how long one message is delayed, and whether it is lost.
func (l *lossyLink) drawFault() (delay time.Duration, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch l.random.IntN(6) {
	case 0:
		return 0, true
	case 1:
		return target - time.Millisecond, false
	case 2:
		return time.Duration(l.random.Int64N(int64(4 * target))), false
	default:
		return time.Millisecond, false
	}
}

// Forward runs the request on the larger host, which isn't told when the smaller
// one stops waiting for it.
func (l *lossyLink) Forward(ctx context.Context, _ ebonyworks.Host, request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation) (ebonyworks.ForwardReply, ebonyworks.Delivery) {
	copied := *request
	requestDelay, requestLost := l.drawFault()
	responseDelay, responseLost := l.drawFault()
	replies := make(chan ebonyworks.ForwardReply, 1)
	declined := make(chan struct{})
	if !requestLost {
		go func() {
			time.Sleep(requestDelay)
			reply, ok := l.larger.ForwardDelegated(context.WithoutCancel(ctx), &copied, terms)
			time.Sleep(responseDelay)
			switch {
			case responseLost:
			case ok:
				replies <- reply
			default:
				close(declined)
			}
		}()
	}
	connectionLost := time.NewTimer(requestDelay + responseDelay)
	defer connectionLost.Stop()
	if !requestLost && !responseLost {
		connectionLost.Stop()
	}
	select {
	case reply := <-replies:
		return reply, ebonyworks.Delivered
	case <-declined:
		return ebonyworks.ForwardReply{}, ebonyworks.NotDelivered
	case <-connectionLost.C:
		return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
	case <-ctx.Done():
		return ebonyworks.ForwardReply{}, ebonyworks.DeliveryUnknown
	}
}

// delayedBackend is the backend of a host that sends some requests late, as a
// process does that freezes between its decision and the send.
type delayedBackend struct {
	*testbed
	mutex  sync.Mutex
	random *rand.Rand
}

// Send sends the request, after a pause for one in 20.
func (d *delayedBackend) Send(ctx context.Context, to ebonyworks.Server, request *ebonyworks.ForwardRequest, deadline time.Time) ebonyworks.ForwardAttempt {
	d.mutex.Lock()
	var pause time.Duration
	if d.random.IntN(20) == 0 {
		pause = time.Duration(d.random.Int64N(int64(3 * target)))
	}
	d.mutex.Unlock()
	time.Sleep(pause)
	return d.testbed.Send(ctx, to, request, deadline)
}

var faults = []behavior{
	served(workTime),
	served(workTime),
	served(workTime),
	served(3 * workTime),
	served(10 * target),
	{latency: workTime, result: ebonyworks.AttemptFailed, status: 500},
	{latency: workTime, result: ebonyworks.AttemptLost},
	{latency: workTime, result: ebonyworks.AttemptInvalid},
	{latency: time.Millisecond, result: ebonyworks.AttemptShed},
	{latency: time.Millisecond, result: ebonyworks.AttemptUnreachable},
}

// newDelegator lets a small host of the domain delegate its requests to a larger
// one.
func newDelegator(domain ebonyworks.DomainID, peer ebonyworks.ForwardPeer, departed func(ebonyworks.DrainState)) *delegation.Delegator {
	return &delegation.Delegator{
		Self:         ebonyworks.Host{ID: "small", Domain: domain, Capacity: 0.2},
		Alive:        func() []ebonyworks.Host { return []ebonyworks.Host{{ID: "large", Capacity: 0.8}} },
		Peer:         peer,
		Selection:    &selection.Selector{},
		HostStates:   &serverstate.Table{ProbeByRequest: true},
		OnDrainState: departed,
	}
}

// faultFor returns how the server handles the request.
func faultFor(seed uint64, server ebonyworks.ServerID, request ebonyworks.RequestID) behavior {
	return faults[int(hashFraction(seed, server, request)*float64(len(faults)))]
}

// Guards against a request that runs on more servers of a shard than its route
// allows because two hosts run it. The messages between the hosts are delayed or
// lost, each host knows different servers, and either host may freeze before it
// sends.
func TestHostsShareMaxAttempts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, b *testbed) { checkMaxAttempts(t, b, seed) })
		})
	}
}

func checkMaxAttempts(t *testing.T, b *testbed, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	maxAttempts := 1 + int(seed%3)
	configuration := *b.Table().Configuration()
	configuration.Routes = append([]ebonyworks.ForwardRoute(nil), configuration.Routes...)
	configuration.Routes[0].MaxAttempts = maxAttempts
	table := routing.New(&configuration)
	tables := func() *routing.Table { return table }
	largeRegistry, smallRegistry := partialRegistry(b, random), partialRegistry(b, random)
	b.setBehavior(func(id ebonyworks.ServerID, request *ebonyworks.ForwardRequest) behavior {
		return faultFor(seed, id, request.ID)
	})
	largeHost := b.forwarder(&delayedBackend{testbed: b, random: rand.New(rand.NewPCG(seed, 2))}, tables, rand.New(rand.NewPCG(seed, 3)), 8, 1)
	largeHost.Registry, largeHost.Quarantine, largeHost.Domain = largeRegistry, nil, "c"
	smallHost := b.forwarder(&delayedBackend{testbed: b, random: rand.New(rand.NewPCG(seed, 4))}, tables, rand.New(rand.NewPCG(seed, 5)), 8, 1)
	smallHost.Registry, smallHost.Quarantine, smallHost.Domain = smallRegistry, nil, "b"
	smallHost.Delegator = newDelegator("b", &lossyLink{larger: largeHost, random: rand.New(rand.NewPCG(seed, 6))}, nil)
	time.Sleep(retryBound.Window)
	for i := range 60 {
		id := ebonyworks.RequestID(fmt.Sprintf("%d-%d", seed, i))
		go smallHost.Forward(context.Background(), &ebonyworks.ForwardRequest{
			ID: id, Host: "h", Method: "GET", Target: "/all/" + string(id), Arrival: time.Now(), CallerTimeout: timeout,
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(10 * timeout)
	for request, most := range b.maxServersPerShard(seed) {
		assert.LessOrEqual(t, most, maxAttempts, "servers of one shard that ran %s", request)
	}
}

// partialRegistry returns the servers that one host knows: about three of each
// shard. Some of those that the other host knows are missing, and some are
// unknown to it.
func partialRegistry(b *testbed, random *rand.Rand) *serverregistry.Registry {
	registry := &serverregistry.Registry{}
	for i := range shardCount {
		for _, replica := range []string{"a", "b", "c", "d"} {
			if replica == "d" && random.IntN(10) > 0 || random.IntN(10) == 0 {
				continue
			}
			registry.Put(ebonyworks.Registration{
				Server:  ebonyworks.Server{ID: server(i, replica), Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: ebonyworks.DomainID(replica)},
				Service: shard(i), Slots: 2,
			}, 1)
		}
	}
	registry.SetServices(b.Table().Configuration().Services)
	return registry
}

// maxServersPerShard returns, for each request, the largest number of servers of
// one shard that ran it.
func (b *testbed) maxServersPerShard(seed uint64) map[ebonyworks.RequestID]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	type run struct {
		request ebonyworks.RequestID
		shard   string
	}
	ran := make(map[run]map[ebonyworks.ServerID]bool)
	for _, one := range b.arrivals {
		behavior := faultFor(seed, one.server, one.request)
		if behavior.result.ProvesNotRun() {
			continue
		}
		key := run{one.request, string(one.server[:len("shard-00")])}
		if ran[key] == nil {
			ran[key] = make(map[ebonyworks.ServerID]bool)
		}
		ran[key][one.server] = true
	}
	maxima := make(map[ebonyworks.RequestID]int)
	for key, servers := range ran {
		maxima[key.request] = max(maxima[key.request], len(servers))
	}
	return maxima
}
