package claims

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// outcomeOf returns the outcome to record for an executor's answer.
func outcomeOf(a exchange.Answer) (claim.Outcome, error) {
	o := claim.Outcome{Result: claim.ResultUnknown, Reason: claim.ReasonNoAnswer}
	switch a.Execution {
	case result.Ran:
		o = claim.Outcome{Result: claim.ResultAnswered}
	case result.NotRun:
		o = claim.Outcome{Result: claim.ResultNotRun, Reason: claim.ReasonShed}
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return o, fmt.Errorf("encode answer with code %d: %w", a.Code, err)
	}
	o.Answer = data
	return o, nil
}

// answerOf returns the answer to the caller for an outcome.
func answerOf(o claim.Outcome) exchange.Answer {
	if len(o.Answer) > 0 {
		return storedAnswer(o)
	}
	switch o.Result {
	case claim.ResultAnswered:
		return exchange.Rejection(result.CodeAnswerNotKept, "")
	case claim.ResultNotRun:
		return exchange.Rejection(notRunCode(o.Reason), "")
	case claim.ResultRefused:
		return refusalAnswer(o.Reason)
	default:
		return exchange.Rejection(unknownCode(o.Reason), "")
	}
}

// storedAnswer decodes the answer that an outcome holds. The execution is set from the
// outcome's result, whatever the stored answer says.
func storedAnswer(o claim.Outcome) exchange.Answer {
	var a exchange.Answer
	if err := cbor.Unmarshal(o.Answer, &a); err != nil {
		o.Answer = nil
		return answerOf(o)
	}
	switch o.Result {
	case claim.ResultAnswered:
		a.Execution = result.Ran
	case claim.ResultNotRun:
		a.Execution = result.NotRun
	default:
		a.Execution = result.Unknown
	}
	return a
}

func notRunCode(reason claim.Reason) result.Code {
	switch reason {
	case claim.ReasonShed:
		return result.CodeNotSent
	case claim.ReasonStopping:
		return result.CodeStopping
	default:
		return result.CodeKeySealed
	}
}

func unknownCode(reason claim.Reason) result.Code {
	switch reason {
	case claim.ReasonPeerUnreachable:
		return result.CodeAttemptNotRun
	case claim.ReasonUnknownKey:
		return result.CodeKeyUnknown
	case claim.ReasonExpired:
		return result.CodeTicketExpired
	default:
		return result.CodeOutcomeUnknown
	}
}

// refusalAnswer returns the answer to a submission that claim.Machine refused.
func refusalAnswer(reason claim.Reason) exchange.Answer {
	switch reason {
	case claim.ReasonExpired:
		return exchange.AttemptRejection(result.CodeTicketExpired, "")
	case claim.ReasonFingerprintMismatch:
		return exchange.AttemptRejection(result.CodeKeyReused, "")
	case claim.ReasonTableFull:
		return exchange.AttemptRejection(result.CodeClaimTableFull, "")
	case claim.ReasonStopping:
		return exchange.AttemptRejection(result.CodeStopping, "")
	case claim.ReasonPeerUnreachable:
		return exchange.AttemptRejection(result.CodeAttemptNotRun, "")
	default:
		return exchange.AttemptRejection(result.CodeTicketIncarnation, "")
	}
}

// lookupAnswer returns the answer to an outcome look-up.
func lookupAnswer(o claim.Outcome) exchange.Answer {
	if o.Result == claim.ResultUnknown && o.Reason == claim.ReasonPending {
		return exchange.Rejection(result.CodeOutcomePending, "")
	}
	return answerOf(o)
}
