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
	gone
	wrongRequest
	wrongSnapshot
	wrongShard
	foreignRow
	truncated
	hang
	faultCount
)

// world is a set of fake servers with known contents. It stands in for the
// backend and for every policy, and counts what reaches the servers.
type world struct {
	configuration *ebonyworks.Configuration
	catalogue     catalogue.Catalogue
	// plan returns the fault of an attempt.
	plan func(server ebonyworks.ServerID, search ebonyworks.SubSearch) fault

	mu       sync.Mutex
	attempts []attempted
	deaths   int
	verdict  ebonyworks.Verdict
	retries  int
	random   *rand.Rand
	previous ebonyworks.SubSearchReply
}

type attempted struct {
	server ebonyworks.ServerID
	search ebonyworks.SubSearch
}

// newWorld has services with two servers each. Epoch 1 has one shard for each
// service; epoch 2 moves every shard to the next service and halves it.
func newWorld(seed uint64) *world {
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
	w := &world{
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
	return w
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

// truth returns the contents of the catalogue: each snapshot has its own value
// for each key and lacks some keys.
func truth(snapshot ebonyworks.Snapshot, keys ebonyworks.KeyRange) []ebonyworks.Row {
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

// report lets the catalogue know what a server holds.
func (w *world) report(server ebonyworks.ServerID, snapshots ...ebonyworks.Snapshot) {
	w.catalogue.Observe(ebonyworks.ServerReport{Server: server, Incarnation: 1, Snapshots: snapshots})
}

func (w *world) reportAll(snapshots ...ebonyworks.Snapshot) {
	for _, service := range w.configuration.Catalogues[0].Services {
		for _, server := range service.Servers {
			w.report(server.ID, snapshots...)
		}
	}
}

func (w *world) coordinator() *search.Coordinator {
	return &search.Coordinator{
		Backend:       w,
		Configuration: w,
		Servers:       directory{},
		Catalogue:     &w.catalogue,
		Selection:     w,
		Hedging:       w,
		Quota:         w,
		Quarantine:    w,
		Admission:     w,
	}
}

// Search answers with the true rows unless a fault is planned.
func (w *world) Search(ctx context.Context, _ *ebonyworks.Service, server ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	w.mu.Lock()
	planned := w.plan(server.ID, sub)
	w.attempts = append(w.attempts, attempted{server: server.ID, search: sub})
	latency := time.Duration(1+w.random.IntN(5)) * time.Millisecond
	w.mu.Unlock()
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
	return w.reply(planned, sub)
}

func (w *world) reply(planned fault, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	answer := ebonyworks.SubSearchReply{
		Result:   ebonyworks.AttemptServed,
		Request:  sub.Request,
		Snapshot: sub.Snapshot,
		Shard:    sub.Shard,
		Rows:     w.rows(sub, sub.Snapshot),
	}
	switch planned {
	case lost:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptLost}
	case shed:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptShed}
	case unreachable:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptUnreachable}
	case gone:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptSnapshotGone}
	case wrongRequest:
		answer = w.swapPrevious(answer)
	case wrongSnapshot:
		answer.Snapshot.Number++
		answer.Rows = w.rows(sub, answer.Snapshot)
	case wrongShard:
		answer.Shard = "another"
	case foreignRow:
		answer.Rows = append(answer.Rows, ebonyworks.Row{Key: w.outside(sub)})
	case truncated:
		answer = ebonyworks.SubSearchReply{Result: ebonyworks.AttemptInvalid}
	default:
	}
	return answer
}

// swapPrevious returns the reply of an earlier attempt, as a server would that
// mixes up its streams.
func (w *world) swapPrevious(answer ebonyworks.SubSearchReply) ebonyworks.SubSearchReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.previous
	previous.Request += "-earlier"
	w.previous = answer
	return previous
}

// outside returns a key that doesn't belong to the shard.
func (w *world) outside(sub ebonyworks.SubSearch) string {
	partition, _ := w.configuration.Catalogues[0].Partition(sub.Snapshot.Epoch)
	for _, candidate := range partition.Shards {
		if candidate.ID == sub.Shard && candidate.Keys.From == "" {
			return candidate.Keys.To
		}
	}
	return "\x00"
}

func (w *world) rows(sub ebonyworks.SubSearch, snapshot ebonyworks.Snapshot) []ebonyworks.Row {
	partition, ok := w.configuration.Catalogues[0].Partition(sub.Snapshot.Epoch)
	if !ok {
		return nil
	}
	for _, candidate := range partition.Shards {
		if candidate.ID == sub.Shard {
			return truth(snapshot, candidate.Keys)
		}
	}
	return nil
}

func (w *world) Reserve(context.Context, *ebonyworks.Service, ebonyworks.Server, ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	return ebonyworks.SubReservationReply{}
}

func (w *world) Status(context.Context, *ebonyworks.Service, ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return ebonyworks.ServerReport{}, ebonyworks.AttemptLost
}

func (w *world) Current() (*ebonyworks.Configuration, bool) { return w.configuration, false }

func (w *world) Select(candidates []ebonyworks.Candidate) (int, bool) {
	return 0, len(candidates) > 0
}

func (w *world) Delay(ebonyworks.ServiceID) time.Duration { return hedgeDelay }

func (w *world) AllowHedge(ebonyworks.ServiceID) bool { return true }

func (w *world) AllowRetry(ebonyworks.ServiceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

func (w *world) Observe(ebonyworks.AttemptRecord) {}

func (w *world) Acquire(ctx context.Context, _ *ebonyworks.Service, _ ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	return permit{}, ctx.Err() == nil
}

func (w *world) Load(*ebonyworks.Service, ebonyworks.ServerID) (inFlight, limit int) { return 0, 1 }

func (w *world) Admit(context.Context, ebonyworks.Route, ebonyworks.CustomerID, time.Time) (ebonyworks.AdmissionPermit, *ebonyworks.Refusal) {
	return permit{}, nil
}

func (w *world) Check(ebonyworks.Fingerprint) (ebonyworks.Verdict, *ebonyworks.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.verdict, nil
}

// ChooseCanary tries a new shard after each death, and refuses after two.
func (w *world) ChooseCanary(_ ebonyworks.Fingerprint, shards []ebonyworks.ShardReplicas) (ebonyworks.Canary, *ebonyworks.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaths >= 2 || w.deaths >= len(shards) {
		return ebonyworks.Canary{}, &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Ran: true, RetryAfter: time.Minute}
	}
	entry := shards[w.deaths]
	if len(entry.Usable) == 0 {
		return ebonyworks.Canary{}, &ebonyworks.Refusal{Code: ebonyworks.RefusedCrashSuspect, Ran: true, RetryAfter: time.Minute}
	}
	return ebonyworks.Canary{Shard: entry.Shard, Server: entry.Usable[0]}, nil
}

func (w *world) RecordCrash(ebonyworks.Fingerprint, ebonyworks.ServerID, ebonyworks.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaths++
	w.verdict = ebonyworks.VerdictUntested
}

func (w *world) RecordSuccess(ebonyworks.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict = ebonyworks.VerdictSafe
}

func (w *world) StillAllowed(ebonyworks.Fingerprint, ebonyworks.Canary) bool { return true }

func (w *world) EndCanary(ebonyworks.Fingerprint) {}

type permit struct{}

func (permit) Release(ebonyworks.AttemptRecord) {}

func (permit) Done() {}

type directory struct{}

func (directory) Candidates(service *ebonyworks.Service, _ ebonyworks.Route) []ebonyworks.Candidate {
	var candidates []ebonyworks.Candidate
	for _, server := range service.Servers {
		candidates = append(candidates, ebonyworks.Candidate{Server: server, Share: 1, Limit: 1})
	}
	return candidates
}

func (d directory) FirstCandidates(service *ebonyworks.Service, route ebonyworks.Route) []ebonyworks.Candidate {
	return d.Candidates(service, route)
}

func (directory) Observe(ebonyworks.AttemptRecord) {}
