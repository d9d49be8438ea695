package reservation

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

// answerGrace is how long a copy waits after its deadline for the run to
// record why it ended.
const answerGrace = 5 * time.Millisecond

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

// refuseTicket refuses a token. Another host with the unknown key may have
// run an earlier copy, so that refusal doesn't deny a run.
func refuseTicket(fault ticket.VerifyResult) ebonyworks.Outcome {
	refusal := &ebonyworks.Refusal{Code: ebonyworks.RefusedTicket, Message: "ticket " + fault.String()}
	if fault == ticket.TokenUnknownKey {
		refusal.Ran = true
		refusal.RetryAfter = keyRetryAfter
	}
	return ebonyworks.Outcome{Refusal: refusal}
}

// confirm maps the end of an attempt that may have run.
func confirm(sent ebonyworks.SubReservation, reply ebonyworks.SubReservationReply) ebonyworks.Outcome {
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

// refused maps the last of the attempts that all provably didn't run.
func refused(reply ebonyworks.SubReservationReply) ebonyworks.Outcome {
	switch reply.Result {
	case ebonyworks.AttemptRejected:
		return notRun(ebonyworks.CodeRefused, "the server regards the request as malformed", 0)
	case ebonyworks.AttemptExpired:
		return notRun(ebonyworks.CodeDeadline, "the deadline passed before the server started", refusedRetryAfter)
	default:
		return notRun(ebonyworks.CodeRefused, "every server that was asked refused before starting", max(reply.RetryAfter, refusedRetryAfter))
	}
}
