package ebonyworks

import (
	"context"
	"time"
)

// Candidate is a server that could run an attempt, with what the host knows
// about it.
type Candidate struct {
	Server Server
	// Incarnation is the life of the server that this host last heard from, zero
	// if it heard from none.
	Incarnation Incarnation
	// Near is set if the server is in the host's own failure domain.
	Near bool
	// InFlight is the number of attempts of this host at the server.
	InFlight int
	// Limit is the number of attempts that this host allows itself there.
	Limit int
	// Latency is the host's own latency average, zero if it has none.
	Latency time.Duration
	// Share is the part of its normal traffic that the server may get, from
	// above 0 to 1; a cold server starts low.
	Share float64
	// SlotsBusy and Queued are the server's own report and can mislead.
	SlotsBusy int
	Queued    int
	// Demand is the average of the requests that ran and waited at the server, by
	// its last reports; zero if there is none.
	Demand float64
	// Failing is set while recent attempts failed. A failing server is used
	// only if no other is left.
	Failing bool
	// Probe is set if the server is slow and should get a copy of a request, to
	// see if it has recovered. The request itself goes to another server.
	Probe bool
	// Backoff is how long the server still wants no request of this host; zero if it
	// takes some. A server in backoff is never selected.
	Backoff time.Duration
}

// Clearance tells whether a server may be sent a request now. The zero value lets
// it be sent.
type Clearance struct {
	// Leaving is set if the server gets no more work.
	Leaving bool
	// Backoff is how long it still wants no request of this host.
	Backoff time.Duration
}

// Granted reports whether the request may be sent.
func (c Clearance) Granted() bool { return !c.Leaving && c.Backoff <= 0 }

// Selection chooses among replicas.
type Selection interface {
	// Select returns the index of the chosen candidate, or false if there is none
	// that takes requests.
	Select(candidates []Candidate) (int, bool)
}

// Hedging decides on second attempts, within budgets that hold for all
// requests of the host together.
type Hedging interface {
	// Delay returns how long to wait for the first attempt before a hedge.
	Delay(service ServiceID) time.Duration
	// AllowHedge takes one hedge from the budget, or returns false.
	AllowHedge(service ServiceID) bool
	// AllowRetry takes one retry from the budget, or returns false.
	AllowRetry(service ServiceID) bool
	// Observe learns from an ended attempt.
	Observe(record AttemptRecord)
}

// Quota bounds the attempts in flight at each server.
type Quota interface {
	// Acquire waits for a permit until the context ends. It returns false if
	// the context ended first.
	Acquire(ctx context.Context, service *Service, server ServerID) (Permit, bool)
	// Load returns the attempts in flight at a server and its limit.
	Load(service *Service, server ServerID) (inFlight, limit int)
}

// Permit is the right to one attempt.
type Permit interface {
	// Release returns the permit; the record adapts the limit. Only the first
	// call counts.
	Release(record AttemptRecord)
}

// MemoryBudget bounds the bytes that a process holds for others.
type MemoryBudget interface {
	// Take holds that many more bytes, or returns false if there is no room.
	Take(count int64) bool
	// Return gives back bytes that were taken.
	Return(count int64)
}

// Admission decides whether a request of a caller is taken on.
type Admission interface {
	// Admit returns an admittance, or a refusal with when to come back. It
	// may queue the request for a part of its deadline.
	Admit(ctx context.Context, route Route, house HouseID, deadline time.Time) (Admittance, *Refusal)
}

// Admittance is the right to run one request of a caller.
type Admittance interface {
	// Done ends the request. Only the first call counts.
	Done()
}

// Verdict is what an inspection says of a request.
type Verdict int

const (
	// RunAll means that the fingerprint is known to be safe.
	RunAll Verdict = iota
	// RunOne means that the request must first succeed on one server.
	RunOne
	// RunNone means that the request is refused.
	RunNone
)

// ShardReplicas are the servers that could run one shard of a request.
type ShardReplicas struct {
	Shard ShardID
	// All are all servers of the shard's service that the route allows.
	All []Server
	// Usable are those of them that are in use now.
	Usable []Server
}

// Trial is the choice of the server for the single attempt of RunOne.
type Trial struct {
	Shard  ShardID
	Server Server
}

// Inspection protects servers against requests that crash them.
type Inspection interface {
	// Inspect returns the verdict; the refusal is set for RunNone.
	Inspect(fingerprint Fingerprint) (Verdict, *Refusal)
	// Choose returns the server for the next single attempt, or a refusal if
	// no attempt is allowed.
	Choose(fingerprint Fingerprint, shards []ShardReplicas) (Trial, *Refusal)
	// Died records that the server went away while it ran the request.
	Died(fingerprint Fingerprint, server ServerID, incarnation Incarnation)
	// Survived records that a server completed the request.
	Survived(fingerprint Fingerprint)
}

// Observer receives measurements. Implementations don't block.
type Observer interface {
	// AttemptEnded is called once for each attempt at a server.
	AttemptEnded(record AttemptRecord)
	// SearchEnded is called once for each search.
	SearchEnded(route RouteID, outcome SearchOutcome, elapsed time.Duration)
	// ReservationEnded is called once for each reservation that this host
	// answered.
	ReservationEnded(route RouteID, outcome Outcome, elapsed time.Duration)
}

// TrialInspection is an Inspection that runs the single attempts of one
// fingerprint one after the other on its host. Its Choose waits for a bounded
// time while another attempt runs.
type TrialInspection interface {
	Inspection
	// StillAllowed reports whether the chosen attempt may be sent. It is false
	// if a death became known since Choose; then Choose is called again.
	StillAllowed(fingerprint Fingerprint, trial Trial) bool
	// Ended ends the attempt that Choose allowed. It is called after Died and
	// Survived too, and when nothing was sent.
	Ended(fingerprint Fingerprint)
}
