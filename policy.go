package ebonyworks

import (
	"context"
	"time"
)

// Candidate is a server that could run an attempt, with the state that the host
// has recorded for it.
type Candidate struct {
	Server Server
	// Incarnation is the latest that the server reported to this host; zero if it
	// reported none.
	Incarnation Incarnation
	// SameDomain is set if the server is in the host's own failure domain. A slow server
	// counts as one of another domain.
	SameDomain bool
	// Slow is set while the server is far slower than another one of the service.
	Slow bool
	// InFlight is the number of attempts of this host at the server.
	InFlight int
	// Limit is the number of attempts that this host may have in flight there.
	Limit int
	// Latency is the host's own latency average, zero if it has none.
	Latency time.Duration
	// Share is the fraction of its normal traffic that the server may get, above 0
	// and up to 1; it starts low in a slow start.
	Share float64
	// SlotsBusy and Queued are as the server reported them and can be misleading.
	SlotsBusy int
	Queued    int
	// ReportedLoad is the average number of running and queued requests in the
	// server's last reports; zero if there is no report.
	ReportedLoad float64
	// FailureRate is the share of recent requests that the server failed, from 0 to 1. It
	// is zero for services with fewer than three servers.
	FailureRate float64
	// ExpectedDuration is how long one more request is expected to take, given what this host
	// has learned about the server; zero if it isn't known.
	ExpectedDuration time.Duration
	// Failing is set while recent attempts failed. A failing server is used
	// only if no other is left.
	Failing bool
	// Probe is set if the server is slow and should get a copy of a request, to
	// find out whether it has recovered. The request itself goes to another server.
	Probe bool
	// Backoff is how much longer the server refuses requests of this host; zero if
	// it accepts them. A server in backoff is never selected.
	Backoff time.Duration
	// RateLimited is set if an attempt at the server needs a permit.
	RateLimited bool
	// Cold is set while the server warms up after its start. It is selected only if no
	// warm server has capacity. It implies RateLimited.
	Cold bool
}

// Availability tells whether requests may be sent to a server now. With the zero
// value they may.
type Availability struct {
	// Evacuated is set if the server's failure domain is evacuated.
	Evacuated bool
	// Draining is set if the server is draining and gets no more requests.
	Draining bool
	// Backoff is how much longer the server refuses requests of this host.
	Backoff time.Duration
	// RateLimited is set if the server takes only a limited number of requests a second
	// from all hosts together, so that an attempt needs a permit.
	RateLimited bool
	// Cold is set while the server warms up after its start. It implies RateLimited.
	Cold bool
	// Incarnation is the last known incarnation of the server; zero if none is known.
	Incarnation Incarnation
}

// Available reports whether a request may be sent.
func (c Availability) Available() bool { return !c.Evacuated && !c.Draining && c.Backoff <= 0 }

// Selection chooses among replicas.
type Selection interface {
	// Select returns the index of the chosen candidate, or false if none accepts
	// requests.
	Select(candidates []Candidate) (int, bool)
}

// Hedging decides about hedges and retries, within budgets that all requests of
// the host share.
type Hedging interface {
	// Delay returns how long to wait for the first attempt before a hedge.
	Delay(service ServiceID) time.Duration
	// AllowHedge takes one hedge from the budget, or returns false.
	AllowHedge(service ServiceID) bool
	// AllowRetry takes one retry from the budget, or returns false.
	AllowRetry(service ServiceID) bool
	// Observe updates the delay and the budgets with a finished attempt.
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

// Permit allows one attempt.
type Permit interface {
	// Release returns the permit; the limit is adapted to the record. Only the
	// first call has an effect.
	Release(record AttemptRecord)
}

// MemoryBudget bounds the memory that a process holds for the data of its callers
// and peers.
type MemoryBudget interface {
	// Take reserves the bytes, or returns false if the budget is exhausted.
	Take(count int64) bool
	// TakeLarge reserves bytes for data that is large already. It leaves a part of
	// the budget to other data.
	TakeLarge(count int64) bool
	// Return releases bytes that were taken.
	Return(count int64)
}

// Admission decides whether a request of a caller is accepted.
type Admission interface {
	// Admit returns a permit, or a refusal with the delay before a retry. It may
	// queue the request for a part of its deadline.
	Admit(ctx context.Context, route Route, customer CustomerID, deadline time.Time) (AdmissionPermit, *Refusal)
}

// AdmissionPermit allows a caller's request to run.
type AdmissionPermit interface {
	// Done ends the request. Only the first call has an effect.
	Done()
}

// Verdict is the result of a quarantine check of a request.
type Verdict int

const (
	// VerdictSafe means that the fingerprint is known to be safe.
	VerdictSafe Verdict = iota
	// VerdictUntested means that the request must first succeed on one server.
	VerdictUntested
	// VerdictQuarantined means that the request is refused.
	VerdictQuarantined
)

// ShardReplicas are the servers that hold one shard of a request.
type ShardReplicas struct {
	Shard ShardID
	// All are the servers of the shard's service that the route allows.
	All []Server
	// Usable are those of All that are in use now.
	Usable []Server
}

// Canary is the shard and server chosen for the first attempt of an untested
// request.
type Canary struct {
	Shard  ShardID
	Server Server
}

// Quarantine protects servers against requests that crash them.
type Quarantine interface {
	// Check returns the verdict; the refusal is set for VerdictQuarantined.
	Check(fingerprint Fingerprint) (Verdict, *Refusal)
	// ChooseCanary returns the server for the next canary attempt, or a refusal if
	// no attempt is allowed.
	ChooseCanary(fingerprint Fingerprint, shards []ShardReplicas) (Canary, *Refusal)
	// RecordCrash records that the server crashed or disconnected while it ran the
	// request.
	RecordCrash(fingerprint Fingerprint, server ServerID, incarnation Incarnation)
	// RecordSuccess records that a server completed the request.
	RecordSuccess(fingerprint Fingerprint)
}

// Observer receives the results of attempts and requests for metrics.
// Implementations don't block.
type Observer interface {
	// AttemptEnded is called once for each attempt at a server.
	AttemptEnded(record AttemptRecord)
	// SearchEnded is called once for each search that this host answered or refused.
	SearchEnded(route RouteID, outcome SearchOutcome, elapsed time.Duration)
	// ReservationEnded is called once for each reservation that this host
	// answered.
	ReservationEnded(route RouteID, outcome Outcome, elapsed time.Duration)
}

// SerialQuarantine is a Quarantine that runs the canary attempts of one
// fingerprint one after the other on its host. Its ChooseCanary waits for a
// bounded time while another attempt runs.
type SerialQuarantine interface {
	Quarantine
	// StillAllowed reports whether the chosen attempt may be sent. It is false if a
	// crash became known since ChooseCanary; then ChooseCanary is called again.
	StillAllowed(fingerprint Fingerprint, trial Canary) bool
	// EndCanary ends the attempt that ChooseCanary allowed. It is called after
	// RecordCrash and RecordSuccess too, and when nothing was sent.
	EndCanary(fingerprint Fingerprint)
}
