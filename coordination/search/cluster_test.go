package search_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/search"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

const (
	keyCount   = 64
	hedgeDelay = 10 * time.Millisecond
	routeID    = ebonyworks.RouteID("search-hair")
	stock      = ebonyworks.CatalogueID("stock-finder")
)

// fault is what a fake server does to one attempt.
type fault int

const (
	noFault fault = iota
	slow
	lost
	shed
	unreachable
	snapshotGone
	wrongRequest
	wrongSnapshot
	wrongShard
	rowOfOtherShard
	truncated
	hang
	faultCount
)

// fakeCluster is a set of fake servers with known contents. It also implements all
// policies of the coordinator, and records the attempts that reach the servers.
type fakeCluster struct {
	configuration *ebonyworks.Configuration
	catalogue     catalogue.SnapshotIndex
	// plan returns the fault to inject into an attempt.
	plan func(server ebonyworks.ServerID, search ebonyworks.SubSearch) fault

	mu       sync.Mutex
	attempts []sentAttempt
	crashes  int
	verdict  ebonyworks.Verdict
	retries  int
	random   *rand.Rand
	previous ebonyworks.SubSearchReply
}

type sentAttempt struct {
	server ebonyworks.ServerID
	search ebonyworks.SubSearch
}

// newFakeCluster returns a cluster of services with two servers each. Epoch 1 has one
// shard for each service; epoch 2 splits every shard in two and moves both halves to the
// next service.
func newFakeCluster(seed uint64) *fakeCluster {
	cat := ebonyworks.Catalogue{ID: stock}
	first := ebonyworks.Partition{Epoch: 1}
	second := ebonyworks.Partition{Epoch: 2}
	for i := range services {
		service := ebonyworks.Service{ID: ebonyworks.ServiceID(fmt.Sprintf("stock-finder-%02d", i)), Slots: 2, ConnectionCap: 25}
		for _, replica := range []string{"a", "b"} {
			service.Servers = append(service.Servers, ebonyworks.Server{ID: ebonyworks.ServerID(string(service.ID) + replica)})
		}
		cat.Services = append(cat.Services, service)
	}
	step := keyCount / services
	for i := range services {
		first.Shards = append(first.Shards, shard("s", i, services, step, cat.Services[i].ID))
		moved := cat.Services[(i+1)%services].ID
		half := step / 2
		second.Shards = append(second.Shards,
			shard("t", 2*i, 2*services, half, moved),
			shard("t", 2*i+1, 2*services, half, moved))
	}
	cat.Partitions = []ebonyworks.Partition{first, second}
	f := &fakeCluster{
		configuration: &ebonyworks.Configuration{
			Version:    ebonyworks.ConfigurationVersion{Revision: 7},
			Catalogues: []ebonyworks.Catalogue{cat},
			Routes: []ebonyworks.Route{
				{ID: routeID, Catalogue: stock, Policy: ebonyworks.PreferCoverage},
				{ID: "search-fast", Catalogue: stock, Policy: ebonyworks.PreferLatency},
			},
		},
		plan:    func(ebonyworks.ServerID, ebonyworks.SubSearch) fault { return noFault },
		random:  rand.New(rand.NewPCG(seed, 1)),
		verdict: ebonyworks.VerdictSafe,
		retries: 1 << 20,
	}
	return f
}

func shard(prefix string, index, count, step int, service ebonyworks.ServiceID) ebonyworks.Shard {
	keys := ebonyworks.KeyRange{From: key(index * step), To: key((index + 1) * step)}
	if index == 0 {
		keys.From = ""
	}
	if index == count-1 {
		keys.To = ""
	}
	return ebonyworks.Shard{ID: ebonyworks.ShardID(fmt.Sprintf("%s%02d", prefix, index)), Service: service, Keys: keys}
}

func key(index int) string { return fmt.Sprintf("k%03d", index) }

// expectedRows returns the rows of the catalogue in a range of keys. Each snapshot has
// its own value for each key and lacks some of the keys.
func expectedRows(snapshot ebonyworks.Snapshot, keys ebonyworks.KeyRange) []ebonyworks.Row {
	var rows []ebonyworks.Row
	for i := range keyCount {
		if !keys.Contains(key(i)) || (i+int(snapshot.Number))%5 == 0 {
			continue
		}
		value := fmt.Sprintf("%d@%d", i, snapshot.Number)
		rows = append(rows, ebonyworks.Row{Key: key(i), Fields: []ebonyworks.Field{{Name: "Shade", Value: value}}})
	}
	return rows
}

// report records the snapshots that a server holds in the catalogue.
func (f *fakeCluster) report(server ebonyworks.ServerID, snapshots ...ebonyworks.Snapshot) {
	f.catalogue.Observe(ebonyworks.ServerReport{Server: server, Incarnation: 1, Snapshots: snapshots})
}

func (f *fakeCluster) reportAll(snapshots ...ebonyworks.Snapshot) {
	for _, service := range f.configuration.Catalogues[0].Services {
		for _, server := range service.Servers {
			f.report(server.ID, snapshots...)
		}
	}
}

func (f *fakeCluster) coordinator() *search.Coordinator {
	return &search.Coordinator{
		Backend:       f,
		Configuration: f,
		Servers:       fakeServerStates{},
		Catalogue:     &f.catalogue,
		Selection:     f,
		Hedging:       f,
		Quota:         f,
		Quarantine:    f,
		Admission:     f,
	}
}

// Search replies with the expected rows unless plan returns a fault.
func (f *fakeCluster) Search(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	f.mu.Lock()
	planned := f.plan(server.ID, sub)
	f.attempts = append(f.attempts, sentAttempt{server: server.ID, search: sub})
	latency := time.Duration(1+f.random.IntN(5)) * time.Millisecond
	f.mu.Unlock()
	if planned == slow {
		latency *= 20
	}
	if planned == hang {
		latency = time.Hour
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptCanceled}
	}
	return f.reply(planned, sub)
}

func (f *fakeCluster) reply(planned fault, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	answer := ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptServed,
		Request:  sub.Request,
		Snapshot: sub.Snapshot,
		Shard:    sub.Shard,
		Rows:     f.rows(sub, sub.Snapshot),
	}
	switch planned {
	case lost:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptLost}
	case shed:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptShed}
	case unreachable:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptUnreachable}
	case snapshotGone:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptSnapshotGone}
	case wrongRequest:
		answer = f.swapWithPrevious(answer)
	case wrongSnapshot:
		answer.Snapshot.Number++
		answer.Rows = f.rows(sub, answer.Snapshot)
	case wrongShard:
		answer.Shard = "another"
	case rowOfOtherShard:
		answer.Rows = append(answer.Rows, ebonyworks.Row{Key: f.keyOfOtherShard(sub)})
	case truncated:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	default:
	}
	return answer
}

// swapWithPrevious returns the reply to an earlier attempt, as a server does that mixes
// up its streams.
func (f *fakeCluster) swapWithPrevious(answer ebonyworks.SubSearchReply) ebonyworks.SubSearchReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.previous
	previous.Request += "-earlier"
	f.previous = answer
	return previous
}

// keyOfOtherShard returns a key that doesn't belong to the shard.
func (f *fakeCluster) keyOfOtherShard(sub ebonyworks.SubSearch) string {
	partition, _ := f.configuration.Catalogues[0].Partition(sub.Snapshot.Epoch)
	for _, candidate := range partition.Shards {
		if candidate.ID == sub.Shard && candidate.Keys.From == "" {
			return candidate.Keys.To
		}
	}
	return "\x00"
}

func (f *fakeCluster) rows(sub ebonyworks.SubSearch, snapshot ebonyworks.Snapshot) []ebonyworks.Row {
	partition, ok := f.configuration.Catalogues[0].Partition(sub.Snapshot.Epoch)
	if !ok {
		return nil
	}
	for _, candidate := range partition.Shards {
		if candidate.ID == sub.Shard {
			return expectedRows(snapshot, candidate.Keys)
		}
	}
	return nil
}

func (f *fakeCluster) Reserve(context.Context, *ebonyworks.Service, ebonyworks.Server, ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	return ebonyworks.SubReservationReply{}
}

func (f *fakeCluster) Status(context.Context, *ebonyworks.Service, ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return ebonyworks.ServerReport{}, ebonyworks.AttemptLost
}

func (f *fakeCluster) Current() (*ebonyworks.Configuration, bool) { return f.configuration, false }

func (f *fakeCluster) Select(candidates []ebonyworks.Candidate) (int, bool) {
	return 0, len(candidates) > 0
}

func (f *fakeCluster) Delay(ebonyworks.ServiceID) time.Duration { return hedgeDelay }

func (f *fakeCluster) AllowHedge(ebonyworks.ServiceID) bool { return true }

func (f *fakeCluster) AllowRetry(ebonyworks.ServiceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
	return f.retries >= 0
}

func (f *fakeCluster) Observe(ebonyworks.AttemptRecord) {}

func (f *fakeCluster) Acquire(ctx context.Context, _ *ebonyworks.Service, _ ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	return permit{}, ctx.Err() == nil
}

func (f *fakeCluster) Load(*ebonyworks.Service, ebonyworks.ServerID) (inFlight, limit int) {
	return 0, 1
}

func (f *fakeCluster) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	return permit{}, nil
}

func (f *fakeCluster) Check(ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verdict, nil
}

// ChooseCanary chooses another shard after each crash, and refuses after two.
func (f *fakeCluster) ChooseCanary(_ ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashes >= 2 || f.crashes >= len(shards) {
		return ebonyworks.Canary{}, &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Ran: true, RetryAfter: time.Minute}
	}
	entry := shards[f.crashes]
	if len(entry.Usable) == 0 {
		return ebonyworks.Canary{}, &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Ran: true, RetryAfter: time.Minute}
	}
	return ebonyworks.Canary{Shard: entry.Shard, Server: entry.Usable[0]}, nil
}

func (f *fakeCluster) RecordCrash(ebonyworks.Fingerprint, ebonyworks.ServerID, ebonyworks.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.verdict = ebonyworks.VerdictUntested
}

func (f *fakeCluster) RecordSuccess(ebonyworks.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verdict = ebonyworks.VerdictSafe
}

func (f *fakeCluster) StillAllowed(ebonyworks.Fingerprint, ebonyworks.Canary) bool { return true }

func (f *fakeCluster) EndCanary(ebonyworks.Fingerprint) {}

type permit struct{}

func (permit) Release(ebonyworks.AttemptRecord) {}

func (permit) Done() {}

type fakeServerStates struct{}

func (fakeServerStates) Candidates(service *ebonyworks.Service, _ ebonyworks.Route) []ebonyworks.Candidate {
	var candidates []ebonyworks.Candidate
	for _, server := range service.Servers {
		candidates = append(candidates, ebonyworks.Candidate{Server: server, Share: 1, Limit: 1})
	}
	return candidates
}

func (s fakeServerStates) FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return s.Candidates(service, route)
}

func (fakeServerStates) Observe(ebonyworks.AttemptRecord) {}
