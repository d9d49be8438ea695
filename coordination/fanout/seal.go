package fanout

import "time"

const (
	// sealPart is the part of the target latency after which an answer without
	// the slowest shards is worth more than a late one. For the way from and to
	// the caller returnTime is left at least: two round trips of 3 ms each way
	// when the caller opens a connection, and the sending. The rest of the
	// target covers the merging of many large parts.
	sealPart   = 0.9
	returnTime = 15 * time.Millisecond
	// relayTime is left besides if another host passes the answer on.
	relayTime = 5 * time.Millisecond
	// lateGrace is how long an answer that is late already waits for its last
	// shards, unless queues stand at the servers. Pauses end within this time.
	lateGrace = 150 * time.Millisecond
)

// sealTime returns how long after its arrival an incomplete answer is sent.
func sealTime(target time.Duration, relayed bool) time.Duration {
	back := returnTime
	if relayed {
		back += relayTime
	}
	byPart := time.Duration(sealPart * float64(target))
	return min(byPart, max(target-back, target/2))
}

type sealDecision int

const (
	sealLater sealDecision = iota
	sealNow
	sealHopeless
)

// sealing decides when the answer of a scattered request is made of the parts
// that are in. It answers the load in which single servers pause or fail while
// the others are fast.
type sealing struct {
	// total is the number of shards, and needed how many of them an answer
	// covers at least.
	total, needed int
	// early is when an answer has to be sent to arrive in time, and target the
	// end of the target latency.
	early, target time.Time
	// grace is how long a late answer waits for its last shards.
	grace time.Duration
}

// decide takes the number of parts that are in and of shards that may still
// respond.
func (s sealing) decide(done, open int, now time.Time) sealDecision {
	switch {
	case done+open < s.needed:
		return sealHopeless
	case done == s.total, open == 0:
		return sealNow
	case done < s.needed:
		return sealLater
	case !now.Before(s.early) && now.Before(s.target):
		return sealNow
	case !now.Before(s.target.Add(s.grace)):
		return sealNow
	default:
		return sealLater
	}
}

// next returns the next time at which the decision can change by itself, or a
// time far away.
func (s sealing) next(now time.Time) time.Time {
	for _, at := range []time.Time{s.early, s.target.Add(s.grace)} {
		if now.Before(at) {
			return at
		}
	}
	return now.Add(time.Hour)
}
