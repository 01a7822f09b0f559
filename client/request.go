package client

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
)

// Request is one request to a service.
type Request struct {
	Service    fleet.Service
	Method     string
	URI        string      // Path and query.
	Header     http.Header // May be nil; not changed.
	Body       []byte
	Idempotent bool   // May be retried without a key. Otherwise it is sent with an idempotency key, unless Unkeyed.
	Unkeyed    bool   // A request that is not Idempotent is sent without a key, and only once.
	Key        string // From Client.NewKey; empty for a new one.
}

// Answer is one complete answer.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Code      result.Code
	Execution string // ExecutionRan, ExecutionNotRun or ExecutionUnknown, considering all attempts of the request.
	Key       string // The idempotency key that was used; empty without one.
	Entry     string // Address of the entry that answered.
	Attempts  int
}

// NewKey returns an idempotency key for a service. It may be used until its ticket expires.
func (c *Client) NewKey(ctx context.Context, service fleet.Service) (string, error) {
	discovery, err := c.Discover(ctx, service)
	if err != nil {
		return "", err
	}
	return c.keyFor(discovery), nil
}

func (c *Client) keyFor(d Discovery) string {
	var unique [16]byte
	c.mu.Lock()
	binary.BigEndian.PutUint64(unique[:8], c.random.Uint64())
	binary.BigEndian.PutUint64(unique[8:], c.random.Uint64())
	c.mu.Unlock()
	return d.Ticket + KeySeparator + hex.EncodeToString(unique[:])
}

// Do sends a request, retries it at other entries where that is safe, and returns a complete
// answer. The error is a *NoAnswerError, or wraps ErrNoEntry if nothing was sent. The caller owns
// the body of the answer.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	rt := &retrier{client: c, request: r, key: r.Key}
	for rt.attempts < c.attempts {
		answer, done, err := rt.next(ctx)
		if done {
			return answer, err
		}
	}
	return rt.result()
}

// retrier sends one request in one or more attempts.
type retrier struct {
	client       *Client
	request      Request
	key          string
	sendsWithKey int  // Attempts with the current key of which bytes may have been sent.
	mayHaveRun   bool // An attempt without a key may have run.
	attempts     int
	tried        map[string]bool
	answer       Answer
	answered     bool
	err          error
}

// next makes one attempt. done means that the results are final.
func (rt *retrier) next(ctx context.Context) (answer Answer, done bool, err error) {
	discovery, err := rt.client.Discover(ctx, rt.request.Service)
	if err != nil {
		if rt.attempts == 0 {
			return Answer{}, true, err
		}
		rt.recordError(err)
		answer, err = rt.result()
		return answer, true, err
	}
	rt.prepareKey(discovery)
	entry := rt.choose(discovery)
	rt.attempts++
	answer, sent, err := rt.client.sendOnce(ctx, entry, rt.request, rt.key)
	if sent {
		rt.sendsWithKey++
	}
	if err != nil {
		rt.recordError(err)
		rt.client.invalidate(rt.request.Service, discovery.Ticket)
		if sent && !rt.repeatable() {
			rt.mayHaveRun = true
			answer, err = rt.result()
			return answer, true, err
		}
		rt.mayHaveRun = rt.mayHaveRun || (sent && rt.key == "")
		return Answer{}, false, nil
	}
	return rt.handleAnswer(answer, discovery)
}

// handleAnswer returns an answer as final, or decides to try another entry.
func (rt *retrier) handleAnswer(answer Answer, discovery Discovery) (Answer, bool, error) {
	answer.Attempts = rt.attempts
	rt.answer, rt.answered = answer, true
	if !rt.shouldTryAnotherEntry(answer.Code) {
		return rt.finalAnswer(), true, nil
	}
	rt.client.invalidate(rt.request.Service, discovery.Ticket)
	return Answer{}, false, nil
}

// shouldTryAnotherEntry reports whether a code is specific to the entry or the key, so that another
// attempt may succeed. It drops the key if that attempt needs a new one.
func (rt *retrier) shouldTryAnotherEntry(code result.Code) bool {
	switch code {
	case result.CodeStopping, result.CodeNotReady:
		return true
	case result.CodeTicketIncarnation, result.CodeTicketExpired, result.CodeAttemptNotRun, result.CodeClaimTableFull:
		return rt.renewKey()
	case result.CodeRelayFailed:
		rt.mayHaveRun = rt.mayHaveRun || rt.key == ""
		return rt.repeatable()
	default:
		return false
	}
}

// repeatable reports whether the request may be sent again after an attempt that may have run.
func (rt *retrier) repeatable() bool {
	return rt.request.Idempotent || rt.key != ""
}

// prepareKey creates the key of a request that needs one.
func (rt *retrier) prepareKey(d Discovery) {
	if rt.key != "" || rt.request.Idempotent || rt.request.Unkeyed {
		return
	}
	rt.key = rt.client.keyFor(d)
	rt.sendsWithKey = 0
}

// renewKey drops the key, so that the next attempt gets a new one. It returns false, and keeps the
// key, if the key came from the caller or was sent in more than one attempt: an earlier attempt may have run.
func (rt *retrier) renewKey() bool {
	if rt.request.Key != "" || rt.sendsWithKey > 1 {
		return false
	}
	rt.key = ""
	return true
}

// choose returns the best entry that was not tried yet. When all were tried, it rotates through them.
func (rt *retrier) choose(d Discovery) string {
	if rt.tried == nil {
		rt.tried = make(map[string]bool)
	}
	for _, entry := range d.Entries {
		if !rt.tried[entry.Address] {
			rt.tried[entry.Address] = true
			return entry.Address
		}
	}
	return d.Entries[rt.attempts%len(d.Entries)].Address
}

func (rt *retrier) recordError(err error) {
	rt.err = err
	rt.answered = false
}

// finalAnswer returns the last answer with the execution of the whole request. "Not run" of the
// last attempt says nothing about earlier attempts, unless its code applies to the key.
func (rt *retrier) finalAnswer() Answer {
	earlier := rt.mayHaveRun || rt.sendsWithKey > 1
	if rt.answer.Execution == ExecutionNotRun && earlier && !(rt.key != "" && appliesToKey(rt.answer.Code)) {
		rt.answer.Execution = ExecutionUnknown
	}
	if rt.answer.Execution == ExecutionUnknown && !earlier && rt.request.Key == "" && rejectsAttempt(rt.answer.Code) {
		rt.answer.Execution = ExecutionNotRun
	}
	return rt.answer
}

// rejectsAttempt reports whether a code means that the attempt did not run and never will. If it
// was the only attempt with its key, the request did not run.
func rejectsAttempt(code result.Code) bool {
	switch code {
	case result.CodeNoRoute, result.CodeUnknownAccount, result.CodeAccountNotAllowed, result.CodeBodyTooLarge, result.CodeMalformedRequest,
		result.CodeStopping, result.CodeNotReady, result.CodeTicketMalformed, result.CodeTicketForged,
		result.CodeTicketIncarnation, result.CodeClaimTableFull, result.CodeAttemptNotRun:
		return true
	default:
		return false
	}
}

// appliesToKey reports whether a "not run" code is sent only after the key was sealed, so that it covers all attempts with the key.
func appliesToKey(code result.Code) bool {
	switch code {
	case result.CodeKeySealed, result.CodeShedQueueFull, result.CodeShedDeadline, result.CodeUpstreamRefused, result.CodeNotSent:
		return true
	default:
		return false
	}
}

// result returns the result of the request after its last attempt.
func (rt *retrier) result() (Answer, error) {
	if rt.answered {
		return rt.finalAnswer(), nil
	}
	execution := ExecutionNotRun
	if rt.mayHaveRun || (rt.key != "" && rt.sendsWithKey > 0) {
		execution = ExecutionUnknown
	}
	if rt.err == nil {
		rt.err = errors.New("no attempt was made")
	}
	return Answer{}, &NoAnswerError{Execution: execution, Key: rt.key, Cause: rt.err}
}
