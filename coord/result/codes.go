package result

// Codes of responses to callers.
const (
	CodeAnswered           Code = 1000
	CodeNoRoute            Code = 1001
	CodeUnknownAccount     Code = 1002
	CodeAccountNotAllowed  Code = 1003
	CodeBodyTooLarge       Code = 1004
	CodeMalformedRequest   Code = 1005
	CodeHeadTooLarge       Code = 1006
	CodeRequestTimedOut    Code = 1007
	CodeNoEndpoint         Code = 1010
	CodeShedQueueFull      Code = 1011
	CodeShedDeadline       Code = 1012
	CodeUpstreamRefused    Code = 1013
	CodeNotSent            Code = 1014
	CodeAnswerCutOff       Code = 1015
	CodeAnswerTimedOut     Code = 1016
	CodeAnswerMalformed    Code = 1017
	CodeCallerGone         Code = 1018
	CodeStopping           Code = 1019
	CodeNotReady           Code = 1020
	CodeRelayFailed        Code = 1021
	CodeBodiesFull         Code = 1022
	CodeKeyMissing         Code = 1023
	CodeKeyMalformed       Code = 1024
	CodeAccountKeyUnknown  Code = 1025
	CodeConfigUnconfirmed  Code = 1026
	CodeAccountLimit       Code = 1027
	CodeTicketMalformed    Code = 1100
	CodeTicketForged       Code = 1101
	CodeTicketExpired      Code = 1102
	CodeTicketOtherFleet   Code = 1103
	CodeTicketIncarnation  Code = 1104
	CodeTicketOtherAccount Code = 1105
	CodeKeyReused          Code = 1110
	CodeKeySealed          Code = 1111
	CodeKeyUnknown         Code = 1112
	CodeClaimTableFull     Code = 1113
	CodeOutcomeUnknown     Code = 1114
	CodeAnswerNotKept      Code = 1115
	CodeAttemptNotRun      Code = 1116
	CodeOutcomePending     Code = 1117
)

// Codes of the control plane: peers, health, configuration, the roster, the platform's store, settings and operators.
const (
	CodePeerRefused        Code = 2000
	CodePeerOtherFleet     Code = 2001
	CodePeerMalformed      Code = 2002
	CodePeerVersion        Code = 2003
	CodePeerIncarnation    Code = 2004
	CodeEvidenceDropped    Code = 2100
	CodeVerdictDropped     Code = 2101
	CodeConfigFault        Code = 2200
	CodeConfigConflict     Code = 2201
	CodeConfigDigest       Code = 2202
	CodeConfigTooLarge     Code = 2203
	CodeConfigUnknown      Code = 2204
	CodeRosterConflict     Code = 2300
	CodeStoreUnavailable   Code = 2400
	CodeStoreUnknownResult Code = 2401
	CodeLeaseLost          Code = 2402
	CodeSettingsFault      Code = 2500
	CodeAddressInUse       Code = 2501
	CodeNotAuthorized      Code = 2502
)

// Table lists every code in ascending order.
var Table = []Entry{
	{CodeAnswered, "answered", 0, Ran, "The answer is the upstream's own."},
	{CodeNoRoute, "no-route", 404, NotRun, "No route of a service takes the method and path."},
	{CodeUnknownAccount, "unknown-account", 403, NotRun, "The client account is not in the configuration."},
	{CodeAccountNotAllowed, "account-not-allowed", 403, NotRun, "The client account may not call the service."},
	{CodeBodyTooLarge, "body-too-large", 413, NotRun, "The body is over the service's bound."},
	{CodeMalformedRequest, "malformed-request", 400, NotRun, "A header of the request has no valid form."},
	{CodeHeadTooLarge, "head-too-large", 431, NotRun, "The request's head is over the configuration's bound."},
	{CodeRequestTimedOut, "request-timed-out", 408, NotRun, "The request did not arrive whole in time."},
	{CodeNoEndpoint, "no-endpoint", 503, NotRun, "The service has no endpoint that takes new work."},
	{CodeShedQueueFull, "shed-queue-full", 503, NotRun, "The service's queue is at its bound."},
	{CodeShedDeadline, "shed-deadline", 503, NotRun, "The request could not have met its deadline in the queue."},
	{CodeUpstreamRefused, "upstream-refused", 503, NotRun, "Every upstream tried refused the request before starting it."},
	{CodeNotSent, "not-sent", 502, NotRun, "No byte of the request reached an upstream."},
	{CodeAnswerCutOff, "answer-cut-off", 502, Unknown, "The upstream's answer was cut off."},
	{CodeAnswerTimedOut, "answer-timed-out", 504, Unknown, "No whole answer came before the deadline."},
	{CodeAnswerMalformed, "answer-malformed", 502, Unknown, "The upstream's answer is not valid HTTP."},
	{CodeCallerGone, "caller-gone", 499, Unknown, "The caller closed its connection before the answer."},
	{CodeStopping, "stopping", 503, NotRun, "The instance is stopping and took no new work."},
	{CodeNotReady, "not-ready", 503, NotRun, "The instance has no configuration yet."},
	{CodeRelayFailed, "relay-failed", 502, Unknown, "The instance that the request was passed to did not answer."},
	{CodeBodiesFull, "bodies-full", 503, NotRun, "The instance has no memory left for the request's body."},
	{CodeKeyMissing, "key-missing", 401, NotRun, "The request carries no key, which its route requires."},
	{CodeKeyMalformed, "key-malformed", 401, NotRun, "The request's Authorization is repeated, has another scheme than Token, or holds no valid key."},
	{CodeAccountKeyUnknown, "account-key-unknown", 401, NotRun, "No client account has the request's key."},
	{CodeConfigUnconfirmed, "configuration-unconfirmed", 503, NotRun, "The configuration in force may be too old to decide on the request's key."},
	{CodeAccountLimit, "account-limit", 429, NotRun, "The client account is at its limit over all instances."},
	{CodeTicketMalformed, "ticket-malformed", 400, Unknown, "The Idempotency-Key does not hold a ticket; this attempt did not run."},
	{CodeTicketForged, "ticket-forged", 403, Unknown, "The ticket's authentication code is wrong or of a retired key; this attempt did not run."},
	{CodeTicketExpired, "ticket-expired", 409, Unknown, "The ticket has expired; an earlier attempt may have run."},
	{CodeTicketOtherFleet, "ticket-other-fleet", 403, Unknown, "The ticket is of another fleet, which may have run the request."},
	{CodeTicketIncarnation, "ticket-incarnation", 409, Unknown, "The instance that the ticket names has restarted; an earlier attempt may have run."},
	{CodeTicketOtherAccount, "ticket-other-account", 403, Unknown, "The ticket is of another client account or service; an earlier attempt there may have run."},
	{CodeKeyReused, "key-reused", 422, None, "The key was used with another request; this one did not run."},
	{CodeKeySealed, "key-sealed", 409, NotRun, "The key was given up before it ran; use a new one."},
	{CodeKeyUnknown, "key-unknown", 404, Unknown, "Nothing is recorded of the key."},
	{CodeClaimTableFull, "claim-table-full", 503, Unknown, "The table of keys is at its bound; an earlier attempt may have run."},
	{CodeOutcomeUnknown, "outcome-unknown", 504, Unknown, "The request may have run; its outcome is not known."},
	{CodeAnswerNotKept, "answer-not-kept", 410, Ran, "The request ran; its answer was too large to keep."},
	{CodeAttemptNotRun, "attempt-not-run", 503, Unknown, "This attempt did not run and will not; another attempt with the key may have."},
	{CodeOutcomePending, "outcome-pending", 202, Unknown, "The request was taken and has no outcome yet."},
	{CodePeerRefused, "peer-refused", 0, None, "A peer could not prove itself."},
	{CodePeerOtherFleet, "peer-other-fleet", 0, None, "A peer is of another fleet."},
	{CodePeerMalformed, "peer-malformed", 0, None, "A peer's message does not decode."},
	{CodePeerVersion, "peer-version", 0, None, "A peer's message has a version that is not supported."},
	{CodePeerIncarnation, "peer-incarnation", 0, None, "A peer's message is of another life of an instance."},
	{CodeEvidenceDropped, "evidence-dropped", 0, None, "A judge dropped evidence that is absurd, old or not from a carrier."},
	{CodeVerdictDropped, "verdict-dropped", 0, None, "A carrier dropped a verdict that is late, replayed or not its judge's."},
	{CodeConfigFault, "config-fault", 0, None, "A template has faults; nothing was changed."},
	{CodeConfigConflict, "config-conflict", 0, None, "Another operator changed the configuration first."},
	{CodeConfigDigest, "config-digest", 0, None, "A snapshot shard does not match its digest."},
	{CodeConfigTooLarge, "config-too-large", 0, None, "A value is over the store's bound."},
	{CodeConfigUnknown, "config-unknown", 0, None, "A template names a service or client account that does not exist."},
	{CodeRosterConflict, "roster-conflict", 0, None, "Another instance wrote the roster first."},
	{CodeStoreUnavailable, "store-unavailable", 0, None, "The platform's store did not take a call."},
	{CodeStoreUnknownResult, "store-unknown-result", 0, None, "A write to the store may have taken effect."},
	{CodeLeaseLost, "lease-lost", 0, None, "A lease lapsed."},
	{CodeSettingsFault, "settings-fault", 0, None, "A settings file has faults."},
	{CodeAddressInUse, "address-in-use", 0, None, "An address to listen on is in use."},
	{CodeNotAuthorized, "not-authorized", 401, None, "The operator's token is missing or wrong."},
}

// Lookup returns the entry of a code.
func Lookup(code Code) (Entry, bool) {
	for _, e := range Table {
		if e.Code == code {
			return e, true
		}
	}
	return Entry{}, false
}
