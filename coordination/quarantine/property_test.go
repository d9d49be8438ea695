package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
)

// crasher crashes every server that runs it; larger fingerprints are harmless.
const crasher ebonyworks.Fingerprint = 1

// fleet is a set of hosts and fake servers. The assertions use the state of the fake
// servers, which doesn't depend on the code under test.
type fleet struct {
	random *rand.Rand
	shards [][]*server
	hosts  []*quarantine.Controller
	work   sync.WaitGroup

	mu       sync.Mutex
	crashes  int
	refused  map[ebonyworks.Fingerprint]int
	failures []string
}

type server struct {
	id          ebonyworks.ServerID
	incarnation ebonyworks.Incarnation
	up          bool
}

func newFleet(seed uint64, minShards int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 9)), refused: map[ebonyworks.Fingerprint]int{}}
	for shard := range minShards + f.random.IntN(3) {
		var replicas []*server
		for replica := range 2 + f.random.IntN(2) {
			replicas = append(replicas, &server{id: ebonyworks.ServerID(fmt.Sprintf("%d-%d", shard, replica)), incarnation: 1, up: true})
		}
		f.shards = append(f.shards, replicas)
	}
	for index := range 2 + f.random.IntN(3) {
		f.hosts = append(f.hosts, &quarantine.Controller{Publish: func(reports []ebonyworks.CrashReport) { f.publish(index, reports) }})
	}
	return f
}

func (f *fleet) draw(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *fleet) publish(from int, reports []ebonyworks.CrashReport) {
	for to, host := range f.hosts {
		if to != from {
			delay := 500*time.Microsecond + f.draw(2*time.Millisecond)
			f.work.Go(func() { time.Sleep(delay); host.Merge(reports) })
		}
	}
}

// replicas returns the servers as a host sees them: those that are down aren't usable,
// and neither are those that refused this request.
func (f *fleet) replicas(refusedBy []ebonyworks.ServerID) []ebonyworks.ShardReplicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ebonyworks.ShardReplicas
	for number, replicas := range f.shards {
		shard := ebonyworks.ShardReplicas{Shard: ebonyworks.ShardID(fmt.Sprint(number))}
		for _, s := range replicas {
			shard.All = append(shard.All, ebonyworks.Server{ID: s.id})
			if s.up && !slices.Contains(refusedBy, s.id) {
				shard.Usable = append(shard.Usable, ebonyworks.Server{ID: s.id})
			}
		}
		all = append(all, shard)
	}
	return all
}

func (f *fleet) find(id ebonyworks.ServerID) (*server, []*server) {
	for _, replicas := range f.shards {
		for _, s := range replicas {
			if s.id == id {
				return s, replicas
			}
		}
	}
	return nil, nil
}

// crash stops the given incarnation of a server if it is still the current one.
func (f *fleet) crash(id ebonyworks.ServerID, incarnation ebonyworks.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	victim, replicas := f.find(id)
	if !victim.up || victim.incarnation != incarnation {
		return
	}
	victim.up = false
	f.crashes++
	if !slices.ContainsFunc(replicas, func(s *server) bool { return s.up }) {
		f.failures = append(f.failures, "a shard lost all servers")
	}
	restart := time.Duration(f.random.Int64N(int64(10 * time.Second)))
	f.work.Go(func() {
		time.Sleep(restart)
		f.mu.Lock()
		defer f.mu.Unlock()
		victim.up = true
		victim.incarnation++
	})
}

// status returns the incarnation of a server, and whether it is up.
func (f *fleet) status(id ebonyworks.ServerID) (ebonyworks.Incarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, _ := f.find(id)
	return s.incarnation, s.up
}

// request runs one copy of a request on one host up to its first success or refusal.
func (f *fleet) request(host *quarantine.Controller, fingerprint ebonyworks.Fingerprint) *ebonyworks.Refusal {
	var refusedBy []ebonyworks.ServerID
	for {
		if verdict, refusal := host.Check(fingerprint); verdict == ebonyworks.VerdictQuarantined {
			return refusal
		}
		chosen, refusal := host.ChooseCanary(fingerprint, f.replicas(refusedBy))
		if refusal != nil {
			return refusal
		}
		time.Sleep(f.draw(5 * time.Millisecond))
		if !host.StillAllowed(fingerprint, chosen) {
			host.EndCanary(fingerprint)
			continue
		}
		time.Sleep(500 * time.Microsecond)
		incarnation, up := f.status(chosen.Server.ID)
		if !up {
			refusedBy = append(refusedBy, chosen.Server.ID)
			host.EndCanary(fingerprint)
			continue
		}
		time.Sleep(f.draw(5 * time.Millisecond))
		if fingerprint == crasher {
			f.crash(chosen.Server.ID, incarnation)
		}
		time.Sleep(500 * time.Microsecond)
		if now, up := f.status(chosen.Server.ID); up && now == incarnation {
			host.RecordSuccess(fingerprint)
			return nil
		}
		host.RecordCrash(fingerprint, chosen.Server.ID, incarnation)
	}
}

// caller sends a request and resends it to random hosts, after a short time or after
// the Retry-After time.
func (f *fleet) caller(fingerprint ebonyworks.Fingerprint, resends int) {
	for range resends {
		f.mu.Lock()
		host, useRetryAfter := f.hosts[f.random.IntN(len(f.hosts))], f.random.IntN(2) == 0
		f.mu.Unlock()
		refusal := f.request(host, fingerprint)
		if refusal == nil {
			return
		}
		f.mu.Lock()
		f.refused[fingerprint]++
		f.mu.Unlock()
		wait := 50 * time.Millisecond
		if useRetryAfter && refusal.RetryAfter < 10*time.Second {
			wait = refusal.RetryAfter
		}
		time.Sleep(wait)
	}
}

// Guards the limits on crashes: two where copies of a request follow each other, one
// more for each further host that gets one at the same moment, no shard without a
// server, and no refusal of harmless requests in flight on servers that crash. Set
// SCHEDULES for a longer run, and SEED with SCHEDULES=1 to repeat one.
func TestCrashBounds(t *testing.T) {
	number := func(name string, fallback uint64) uint64 {
		if text := os.Getenv(name); text != "" {
			parsed, err := strconv.ParseUint(text, 10, 64)
			require.NoError(t, err)
			return parsed
		}
		return fallback
	}
	first, count := number("SEED", rand.Uint64()>>16), number("SCHEDULES", 1000)
	crashes := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		for seed := first; seed < first+count; seed++ {
			single := newFleet(seed, 1)
			single.caller(crasher, 6)
			single.work.Wait()
			require.LessOrEqual(t, single.crashes, 2, "one copy at a time, SEED=%d", seed)
			require.Empty(t, single.failures, "one copy at a time, SEED=%d", seed)
			crashes["one copy at a time"] += single.crashes

			burst := newFleet(seed, 1)
			for range 2 + burst.random.IntN(6) {
				after := burst.draw(20 * time.Millisecond)
				burst.work.Go(func() { time.Sleep(after); burst.caller(crasher, 4) })
			}
			burst.work.Wait()
			require.LessOrEqual(t, burst.crashes, 2+len(burst.hosts)-1, "copies together, SEED=%d", seed)
			require.Empty(t, burst.failures, "copies together, SEED=%d", seed)
			crashes["copies together"] += burst.crashes

			harmless := newFleet(seed, 2)
			victim := harmless.shards[0][0]
			for n := range 10 {
				after := harmless.draw(10 * time.Millisecond)
				harmless.work.Go(func() { time.Sleep(after); harmless.caller(crasher+1+ebonyworks.Fingerprint(n), 1) })
			}
			time.Sleep(harmless.draw(20 * time.Millisecond))
			harmless.crash(victim.id, 1)
			harmless.work.Wait()
			require.Empty(t, harmless.refused, "harmless requests, SEED=%d", seed)
		}
	})
	t.Logf("%d schedules from seed %d: crashes %v", count, first, crashes)
}
