package fanout

import "github.com/ebonyworks/ebonyworks"

// severalInFlight is the number of attempts of this host at a server from which they are
// the reason to choose another one.
const severalInFlight = 2

// leaveReason returns why the chosen server isn't one of the domain, given all servers
// that could have been chosen.
func leaveReason(domain ebonyworks.DomainID, chosen ebonyworks.Server, candidates []ebonyworks.Candidate) ebonyworks.LeaveReason {
	if chosen.Domain == domain {
		return ebonyworks.LeaveNone
	}
	reason := ebonyworks.LeaveAbsent
	for i := range candidates {
		if candidates[i].Server.Domain == domain {
			// The last server of the domain stands for all of them; most services have one.
			reason = reasonAgainst(&candidates[i])
		}
	}
	return reason
}

// reasonAgainst returns the strongest reason not to choose the server.
func reasonAgainst(candidate *ebonyworks.Candidate) ebonyworks.LeaveReason {
	switch {
	case candidate.Backoff > 0:
		return ebonyworks.LeaveBackoff
	case candidate.Failing:
		return ebonyworks.LeaveFailing
	case candidate.Slow:
		return ebonyworks.LeaveSlow
	case candidate.RateLimited:
		return ebonyworks.LeavePermit
	case candidate.FailureRate > 0:
		return ebonyworks.LeaveFailures
	case candidate.Share < 1:
		return ebonyworks.LeaveSlowStart
	case candidate.InFlight >= severalInFlight:
		return ebonyworks.LeaveInFlight
	default:
		return ebonyworks.LeaveLatency
	}
}
