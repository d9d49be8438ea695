package reservation

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

// outcomeGracePeriod is how long a call waits after the caller's deadline for the run
// to record its outcome, so that the caller learns why the run ended.
const outcomeGracePeriod = 5 * time.Millisecond

func notRun(code ebonyworks.OutcomeCode, message string, retryAfter time.Duration) ebonyworks.Outcome {
	return ebonyworks.Outcome{Kind: ebonyworks.OutcomeNotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

func unknown(code ebonyworks.OutcomeCode, message string) ebonyworks.Outcome {
	return ebonyworks.Outcome{Code: code, Message: message}
}

func stillRunning() ebonyworks.Outcome {
	outcome := unknown(ebonyworks.CodeRunning, "the reservation is still running")
	outcome.RetryAfter = runningRetryAfter
	return outcome
}

func ownerUnreachable() ebonyworks.Outcome {
	return unknown(ebonyworks.CodeOwnerUnreachable, "the host that issued the ticket can't be reached")
}

func conflict() ebonyworks.Outcome {
	return ebonyworks.Outcome{Refusal: &ebonyworks.Refusal{
		Code:    ebonyworks.RefusedConflict,
		Message: "the ticket was used with another body",
	}}
}

// refuseTicket rejects a token that didn't pass verification. If the key is unknown,
// a host that has the key may already have run the reservation, so this refusal doesn't
// claim that it didn't run.
func refuseTicket(result ticket.VerifyResult) ebonyworks.Outcome {
	refusal := &ebonyworks.Refusal{Code: ebonyworks.RefusedTicket, Message: "ticket " + result.String()}
	if result == ticket.TokenUnknownKey {
		refusal.Ran = true
		refusal.RetryAfter = keyRetryAfter
	}
	return ebonyworks.Outcome{Refusal: refusal}
}

// attemptOutcome returns the outcome after an attempt at which the server may have
// run the reservation.
func attemptOutcome(sent ebonyworks.SubReservation, reply ebonyworks.SubReservationReply) ebonyworks.Outcome {
	switch reply.Result {
	case ebonyworks.AttemptServed:
		if reply.Request != sent.Request || reply.Shard != sent.Shard {
			return unknown(ebonyworks.CodeInvalidReply, "the server's reply was for another request or shard")
		}
		return ebonyworks.Outcome{Kind: ebonyworks.OutcomeRan, Code: ebonyworks.CodeDone, Result: reply.Fields}
	case ebonyworks.AttemptTimeout, ebonyworks.AttemptCanceled:
		return unknown(ebonyworks.CodeTimeout, "the deadline passed while the server may have run it")
	case ebonyworks.AttemptInvalid:
		return unknown(ebonyworks.CodeInvalidReply, "the server's reply couldn't be understood")
	default:
		return unknown(ebonyworks.CodeLost, "the server went away while it may have run it")
	}
}

// refusedOutcome returns the outcome if the server provably didn't run the
// reservation at any attempt; reply is that of the last attempt.
func refusedOutcome(reply ebonyworks.SubReservationReply) ebonyworks.Outcome {
	switch reply.Result {
	case ebonyworks.AttemptRejected:
		return notRun(ebonyworks.CodeRefused, "the server regards the request as malformed", 0)
	case ebonyworks.AttemptExpired:
		return notRun(ebonyworks.CodeDeadline, "the deadline passed before the server started", refusedRetryAfter)
	default:
		return notRun(ebonyworks.CodeRefused, "every server that was asked refused before starting", max(reply.RetryAfter, refusedRetryAfter))
	}
}
