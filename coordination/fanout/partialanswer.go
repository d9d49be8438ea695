package fanout

import "time"

const (
	// partialAnswerFraction is the fraction of the target latency after which a
	// partial answer without the slowest shards is worth more than a late one. At
	// least callerTransitTime is left for the network between caller and host:
	// two round trips of 3 ms each way when the caller opens a connection, and
	// the transfer. The rest of the target covers the merging of many large
	// responses.
	partialAnswerFraction = 0.9
	callerTransitTime     = 15 * time.Millisecond
	// shortTarget is the target latency up to which the measured transit time of the
	// caller replaces callerTransitTime, which is more than a third of such a target.
	shortTarget = 45 * time.Millisecond
	// replyTime is left in addition to a measured transit time, for the merge, the
	// transfer, and the wait for the processor of a small host.
	replyTime = 8 * time.Millisecond
	// relayTransitTime is left in addition if another host passes the answer on.
	relayTransitTime = 5 * time.Millisecond
	// lateGrace is how long an answer that is late already waits for its last
	// shards, unless requests are queued at many servers. Pauses of servers end
	// within this time.
	lateGrace = 150 * time.Millisecond
)

// partialAnswerTime returns how long after the request's arrival a partial answer
// is sent. The measured transit time of the caller is zero if unknown.
func partialAnswerTime(target, measured time.Duration, relayed bool) time.Duration {
	transit := callerTransitTime
	if measured > 0 && target <= shortTarget {
		transit = measured + replyTime
	}
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

// partialAnswerPolicy decides when the answer of a sharded request is merged from
// the responses received so far. It is meant for load in which single servers
// pause or fail while the others are fast.
type partialAnswerPolicy struct {
	// total is the number of shards; needed is how many of them an answer must
	// cover.
	total, needed int
	// partialAt is when an answer has to be sent to arrive in time; target is the
	// end of the target latency.
	partialAt, target time.Time
	// grace is how long a late answer waits for its last shards.
	grace time.Duration
}

// decide returns whether to answer now, to wait, or to fail, given the numbers of
// responses received and of shards that may still respond.
func (p partialAnswerPolicy) decide(responded, pending int, now time.Time) partialAnswerDecision {
	switch {
	case responded+pending < p.needed:
		return tooFewShards
	case responded == p.total, pending == 0:
		return answerNow
	case responded < p.needed:
		return keepWaiting
	case !now.Before(p.partialAt) && now.Before(p.target):
		return answerNow
	case !now.Before(p.target.Add(p.grace)):
		return answerNow
	default:
		return keepWaiting
	}
}

// next returns the next time at which the decision can change without a response,
// or a time in the far future.
func (p partialAnswerPolicy) next(now time.Time) time.Time {
	for _, at := range []time.Time{p.partialAt, p.target.Add(p.grace)} {
		if now.Before(at) {
			return at
		}
	}
	return now.Add(time.Hour)
}
