package fanout

import "time"

const (
	// sealPart is the part of the target latency after which an answer without
	// the slowest shards is worth more than a late one. For the way from and to
	// the caller returnTime is left at least: two round trips of 3 ms each way
	// when the caller opens a connection, and the sending. The rest of the
	// target covers the merging of many large parts.
	partialAnswerFraction = 0.9
	callerTransitTime     = 15 * time.Millisecond
	// relayTime is left besides if another host passes the answer on.
	relayTransitTime = 5 * time.Millisecond
	// lateGrace is how long an answer that is late already waits for its last
	// shards, unless queues stand at the servers. Pauses end within this time.
	lateGrace = 150 * time.Millisecond
)

// sealTime returns how long after its arrival an incomplete answer is sent.
func partialAnswerTime(target time.Duration, relayed bool) time.Duration {
	transit := callerTransitTime
	if relayed {
		transit += relayTransitTime
	}
	fraction := time.Duration(partialAnswerFraction * float64(target))
	return min(fraction, max(target-transit, target/2))
}

type partialAnswerDecision int

const (
	keepWaiting partialAnswerDecision = iota
	answerNow
	tooFewShards
)

// sealing decides when the answer of a scattered request is made of the parts
// that are in. It answers the load in which single servers pause or fail while
// the others are fast.
type partialAnswerPolicy struct {
	// total is the number of shards, and needed how many of them an answer
	// covers at least.
	total, needed int
	// early is when an answer has to be sent to arrive in time, and target the
	// end of the target latency.
	partialAt, target time.Time
	// grace is how long a late answer waits for its last shards.
	grace time.Duration
}

// decide takes the number of parts that are in and of shards that may still
// respond.
func (s partialAnswerPolicy) decide(done, open int, now time.Time) partialAnswerDecision {
	switch {
	case done+open < s.needed:
		return tooFewShards
	case done == s.total, open == 0:
		return answerNow
	case done < s.needed:
		return keepWaiting
	case !now.Before(s.partialAt) && now.Before(s.target):
		return answerNow
	case !now.Before(s.target.Add(s.grace)):
		return answerNow
	default:
		return keepWaiting
	}
}

// next returns the next time at which the decision can change by itself, or a
// time far away.
func (s partialAnswerPolicy) next(now time.Time) time.Time {
	for _, at := range []time.Time{s.partialAt, s.target.Add(s.grace)} {
		if now.Before(at) {
			return at
		}
	}
	return now.Add(time.Hour)
}
