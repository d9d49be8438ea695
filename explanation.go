package ebonyworks

import "time"

// Explainer explains what would happen to a request now.
type Explainer interface {
	// Explain makes the decisions about the request without sending it and without a
	// change of the host's state.
	Explain(request *ForwardRequest) Explanation
}

// PredictableSelection is a Selection whose choices can be predicted.
type PredictableSelection interface {
	Selection
	// Chances returns the probability with which Select chooses each candidate now. Their
	// sum is 1, or 0 if Select chooses none. It doesn't affect the choices of Select.
	Chances(candidates []Candidate) []float64
}

// Explanation tells what would happen to a request now.
type Explanation struct {
	// Revision is the configuration in force; zero if there is none.
	Revision Revision
	// Route is empty if no route accepts the request.
	Route RouteID
	// Admitted is set if the request would be sent to servers. Otherwise Refusal is the
	// reply to it.
	Admitted bool
	// Refusal has the kind ReplyRefused or ReplyNoRoute unless Admitted is set.
	Refusal ForwardReply
	// Delegates are the larger hosts one of which would run the request. Admitted,
	// Refusal and Shards then tell what this host would do without them. It is empty if
	// this host runs the request itself.
	Delegates []HostID
	// Shards are the services that the request needs, in the order of the route. It is
	// empty if the request is refused before servers are considered.
	Shards []ShardExplanation
}

// ShardExplanation tells how a request would be handled at one service.
type ShardExplanation struct {
	Service ServiceID
	// Omitted is set if no first attempt would be made. Reason is why the service isn't
	// expected to respond in time; empty if it is.
	Omitted bool
	Reason  string
	// Wait is how long the first attempt is expected to wait for a permit of this host's
	// own limit, at the most probable server.
	Wait time.Duration
	// NeedsPermit is set if the most probable server is rate-limited, so that the first
	// attempt goes there only with a permit of the host that issues them, which isn't asked.
	NeedsPermit bool
	// Candidates are all servers of the service: first those that may get an attempt.
	Candidates []CandidateExplanation
}

// Choices returns the servers that the first attempt would be sent to with a probability
// above zero. There is one unless the choice is random.
func (s *ShardExplanation) Choices() []ServerID {
	var choices []ServerID
	for i := range s.Candidates {
		if s.Candidates[i].Chance > 0 {
			choices = append(choices, s.Candidates[i].Candidate.Server.ID)
		}
	}
	return choices
}

// CandidateExplanation tells what is known of a server of a service.
type CandidateExplanation struct {
	// Candidate has only Server, Backoff, RateLimited and Cold unless Usable is set.
	Candidate Candidate
	// Usable is set if the server may get an attempt.
	Usable bool
	// Evacuated is set if the server's failure domain is evacuated, and Draining if the
	// server is draining.
	Evacuated, Draining bool
	// Chance is the probability that the first attempt is sent to the server, before
	// permits are taken.
	Chance float64
}
