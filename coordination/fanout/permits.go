package fanout

import (
	"context"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// Permits issues permits for attempts at rate-limited servers.
type Permits interface {
	// Take takes permits for the request. After an error it has none.
	Take(ctx context.Context, request ebonyworks.PermitRequest) (ebonyworks.PermitReply, error)
}

const (
	// permitTimeout bounds the wait for permits, and permitTargetDivisor bounds it to a
	// part of the time left until the target latency.
	permitTimeout       = 50 * time.Millisecond
	permitTargetDivisor = 2
	// coldPermitLifetime is how long a permit for a cold server may wait for a connection
	// or a slot. Permits of several seconds that are used at once would exceed what the
	// server tolerates in a second.
	coldPermitLifetime = 50 * time.Millisecond
	// noPermitRetryAfter is the delay for callers while no host issues permits.
	noPermitRetryAfter = 500 * time.Millisecond
)

// takePermits takes permits for the first attempts at rate-limited servers, and chooses
// other servers where there is none. It returns false if too few subrequests are left.
// Nothing has been sent before, so a refused request has not run.
func (r *run) takePermits(ctx context.Context) bool {
	request := ebonyworks.PermitRequest{Service: r.subrequests[0].id, Priority: r.route.Priority}
	var limited []*subrequest
	available := 0
	for _, sub := range r.subrequests {
		switch {
		case sub.needsPermit():
			group := sub.permitGroup()
			if group.Optional {
				available++
			}
			limited = append(limited, sub)
			request.Groups = append(request.Groups, group)
		case !sub.tooSlow:
			available++
		}
	}
	if len(limited) == 0 {
		return true
	}
	request.Needed = max(r.partial.needed-available, 0)
	granted := r.requestPermits(ctx, request)
	for i, sub := range limited {
		if granted != nil && granted[i] != ebonyworks.NoPermit {
			sub.usePermit(request.Groups[i].Servers[granted[i]])
		} else {
			sub.chooseUnlimited()
		}
	}
	r.admission.onTime = 0
	for _, sub := range r.subrequests {
		if !sub.tooSlow {
			r.admission.onTime++
		}
	}
	return r.admission.onTime >= r.admission.needed
}

// requestPermits returns the index of the permitted server for each group, or nil if
// there are no permits.
func (r *run) requestPermits(ctx context.Context, request ebonyworks.PermitRequest) []int {
	if r.forwarder.Permits == nil {
		r.permitWait = noPermitRetryAfter
		return nil
	}
	timeout := permitTimeout
	if left := time.Until(r.partial.target) / permitTargetDivisor; left > 0 {
		timeout = min(timeout, left)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := r.forwarder.Permits.Take(ctx, request)
	if err != nil {
		r.permitWait = noPermitRetryAfter
		return nil
	}
	if len(reply.Granted) != len(request.Groups) {
		r.permitWait = max(reply.RetryAfter, time.Millisecond)
		return nil
	}
	for i, index := range reply.Granted {
		if index < ebonyworks.NoPermit || index >= len(request.Groups[i].Servers) {
			reply.Granted[i] = ebonyworks.NoPermit
		}
	}
	return reply.Granted
}

// takePermit takes a permit for an attempt without one whose server is rate-limited: a
// retry, a probe, or an attempt whose server named the limit after it was chosen. Hedges
// are made only at servers without a limit.
func (a *attempt) takePermit() bool {
	if a.subrequest.run.forwarder.Permits == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(&a.permitContext, permitTimeout)
	defer cancel()
	reply, err := a.subrequest.run.forwarder.Permits.Take(ctx, ebonyworks.PermitRequest{
		Service:  a.subrequest.id,
		Priority: a.subrequest.run.route.Priority,
		Groups:   []ebonyworks.PermitGroup{{Servers: []ebonyworks.ServerID{a.candidate.Server.ID}}},
	})
	a.permitted = err == nil && len(reply.Granted) == 1 && reply.Granted[0] == 0
	a.permittedAt = time.Now()
	return a.permitted
}

// hasPermit reports whether the attempt has a permit that it may still use. One that was
// taken right before a wait for the server's backoff has expired after it.
func (a *attempt) hasPermit(availability ebonyworks.Availability) bool {
	return a.permitted && (!availability.Cold || time.Since(a.permittedAt) <= coldPermitLifetime)
}

// needsPermit reports whether the server chosen for the first attempt is rate-limited.
func (s *subrequest) needsPermit() bool {
	return len(s.candidates) > 0 && s.backoff == 0 && s.candidates[s.firstIndex].RateLimited
}

// permitGroup returns the rate-limited servers that may get the first attempt, the
// chosen one first.
func (s *subrequest) permitGroup() ebonyworks.PermitGroup {
	group := ebonyworks.PermitGroup{Servers: []ebonyworks.ServerID{s.candidates[s.firstIndex].Server.ID}}
	for i := range s.candidates {
		candidate := &s.candidates[i]
		switch {
		case candidate.Backoff > 0 || candidate.Failing:
		case !candidate.RateLimited:
			group.Optional = true
		case i != s.firstIndex:
			group.Servers = append(group.Servers, candidate.Server.ID)
		}
	}
	return group
}

// usePermit makes the server the one that gets the first attempt.
func (s *subrequest) usePermit(server ebonyworks.ServerID) {
	s.firstIndex = slices.IndexFunc(s.candidates, func(candidate ebonyworks.Candidate) bool { return candidate.Server.ID == server })
	s.permitted, s.permittedAt = true, time.Now()
}

// chooseUnlimited chooses a server without a rate limit for the first attempt, if there
// is one.
func (s *subrequest) chooseUnlimited() {
	s.candidates = withoutRateLimit(s.candidates)
	index, ok := s.run.forwarder.Selection.Select(s.candidates)
	if !ok {
		s.candidates, s.noPermit, s.tooSlow = nil, true, true
		return
	}
	s.firstIndex = index
}

// withoutRateLimit removes the servers that only accept attempts with a permit.
func withoutRateLimit(candidates []ebonyworks.Candidate) []ebonyworks.Candidate {
	return slices.DeleteFunc(candidates, func(candidate ebonyworks.Candidate) bool { return candidate.RateLimited })
}

// rateLimits returns the limits that servers named in responses to the request.
func (r *run) rateLimits() []ebonyworks.RateLimit {
	var limits []ebonyworks.RateLimit
	for _, attempt := range r.attempts {
		if !attempt.finished || !attempt.record.Report.RateLimit.Limited {
			continue
		}
		limits = append(limits, ebonyworks.RateLimit{
			Server:      attempt.candidate.Server.ID,
			Incarnation: attempt.record.Report.Incarnation,
			Limited:     true,
			Rate:        attempt.record.Report.RateLimit.Rate,
			Age:         time.Since(attempt.endedAt),
		})
	}
	return limits
}
