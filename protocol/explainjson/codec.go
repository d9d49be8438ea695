// Package explainjson encodes explanations of requests as JSON.
package explainjson

import (
	"encoding/json"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// States of a server in an explanation.
const (
	stateFailing   = "failing"
	stateSlow      = "slow"
	stateBackoff   = "backoff"
	stateDraining  = "draining"
	stateCold      = "cold"
	stateEvacuated = "evacuated"
	// stateUnused is the state of a server that this host doesn't use.
	stateUnused = "unused"
)

// Durations are in milliseconds.
type wireExplanation struct {
	Revision     uint64
	Route        string
	Admitted     bool
	Reply        string
	Reason       string
	RetryAfterMs float64
	Delegates    []string
	Shards       []wireShard
}

type wireShard struct {
	Service     string
	Omitted     bool
	Reason      string
	WaitMs      float64
	NeedsPermit bool
	Chosen      []string
	Candidates  []wireCandidate
}

type wireCandidate struct {
	Server             string
	Domain             string
	Usable             bool
	States             []string
	Chance             float64
	NeedsPermit        bool
	Probe              bool
	InFlight           int
	Limit              int
	LatencyMs          float64
	ExpectedDurationMs float64
	Share              float64
	SlotsBusy          int
	Queued             int
	ReportedLoad       float64
	FailureRate        float64
	BackoffMs          float64
}

// Encode encodes an explanation.
func Encode(explanation ebonyworks.Explanation) ([]byte, error) {
	wire := wireExplanation{
		Revision:  uint64(explanation.Revision),
		Route:     string(explanation.Route),
		Admitted:  explanation.Admitted,
		Delegates: make([]string, 0, len(explanation.Delegates)),
		Shards:    make([]wireShard, 0, len(explanation.Shards)),
	}
	if !explanation.Admitted {
		wire.Reply = explanation.Refusal.Kind.String()
		wire.Reason = explanation.Refusal.Reason
		wire.RetryAfterMs = milliseconds(explanation.Refusal.RetryAfter)
	}
	for _, host := range explanation.Delegates {
		wire.Delegates = append(wire.Delegates, string(host))
	}
	for i := range explanation.Shards {
		wire.Shards = append(wire.Shards, encodeShard(&explanation.Shards[i]))
	}
	return json.Marshal(wire)
}

func encodeShard(shard *ebonyworks.ShardExplanation) wireShard {
	wire := wireShard{
		Service:     string(shard.Service),
		Omitted:     shard.Omitted,
		Reason:      shard.Reason,
		WaitMs:      milliseconds(shard.Wait),
		NeedsPermit: shard.NeedsPermit,
		Chosen:      []string{},
		Candidates:  make([]wireCandidate, 0, len(shard.Candidates)),
	}
	for _, server := range shard.Choices() {
		wire.Chosen = append(wire.Chosen, string(server))
	}
	for i := range shard.Candidates {
		wire.Candidates = append(wire.Candidates, encodeCandidate(&shard.Candidates[i]))
	}
	return wire
}

func encodeCandidate(known *ebonyworks.CandidateExplanation) wireCandidate {
	candidate := &known.Candidate
	return wireCandidate{
		Server:             string(candidate.Server.ID),
		Domain:             string(candidate.Server.Domain),
		Usable:             known.Usable,
		States:             states(known),
		Chance:             known.Chance,
		NeedsPermit:        candidate.RateLimited,
		Probe:              candidate.Probe,
		InFlight:           candidate.InFlight,
		Limit:              candidate.Limit,
		LatencyMs:          milliseconds(candidate.Latency),
		ExpectedDurationMs: milliseconds(candidate.ExpectedDuration),
		Share:              candidate.Share,
		SlotsBusy:          candidate.SlotsBusy,
		Queued:             candidate.Queued,
		ReportedLoad:       candidate.ReportedLoad,
		FailureRate:        candidate.FailureRate,
		BackoffMs:          milliseconds(candidate.Backoff),
	}
}

// states returns the names of the states that apply; none for a server in normal use.
func states(known *ebonyworks.CandidateExplanation) []string {
	names := []string{}
	for _, state := range []struct {
		applies bool
		name    string
	}{
		{known.Candidate.Failing, stateFailing},
		{known.Candidate.Slow, stateSlow},
		{known.Candidate.Backoff > 0, stateBackoff},
		{known.Draining, stateDraining},
		{known.Candidate.Cold, stateCold},
		{known.Evacuated, stateEvacuated},
		{!known.Usable && !known.Draining && !known.Evacuated, stateUnused},
	} {
		if state.applies {
			names = append(names, state.name)
		}
	}
	return names
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
