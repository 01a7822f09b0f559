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
	Idempotent bool   // It may be repeated. Else it is sent with an idempotency key, unless Unkeyed.
	Unkeyed    bool   // A request that is not idempotent goes without a key, and is sent once.
	Key        string // From Client.NewKey; empty for a new one.
}

// Answer is one whole answer.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Code      result.Code
	Execution string // ExecutionRan, ExecutionNotRun or ExecutionUnknown: of the request, over all attempts.
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

// Do sends a request and returns its whole answer, at another entry when one fails. An
// error is a *NoAnswerError, or wraps ErrNoEntry when nothing was sent. The body of the answer is the
// caller's own.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	t := &retrier{client: c, request: r, key: r.Key}
	for t.attempts < c.attempts {
		answer, done, err := t.next(ctx)
		if done {
			return answer, err
		}
	}
	return t.result()
}

// retrier is one request over its attempts.
type retrier struct {
	client       *Client
	request      Request
	key          string
	sendsWithKey int  // Attempts that may have left with the present key.
	mayHaveRun   bool // An attempt without a key may have run.
	attempts     int
	tried        map[string]bool
	answer       Answer
	answered     bool
	err          error
}

// next makes one attempt. done says that its result is the request's.
func (t *retrier) next(ctx context.Context) (answer Answer, done bool, err error) {
	discovery, err := t.client.Discover(ctx, t.request.Service)
	if err != nil {
		if t.attempts == 0 {
			return Answer{}, true, err
		}
		t.recordError(err)
		answer, err = t.result()
		return answer, true, err
	}
	t.prepareKey(discovery)
	entry := t.choose(discovery)
	t.attempts++
	answer, sent, err := t.client.sendOnce(ctx, entry, t.request, t.key)
	if sent {
		t.sendsWithKey++
	}
	if err != nil {
		t.recordError(err)
		t.client.invalidate(t.request.Service, discovery.Ticket)
		if sent && !t.repeatable() {
			t.mayHaveRun = true
			answer, err = t.result()
			return answer, true, err
		}
		t.mayHaveRun = t.mayHaveRun || (sent && t.key == "")
		return Answer{}, false, nil
	}
	return t.handleAnswer(answer, discovery)
}

// handleAnswer decides whether an answer is the request's.
func (t *retrier) handleAnswer(answer Answer, discovery Discovery) (Answer, bool, error) {
	answer.Attempts = t.attempts
	t.answer, t.answered = answer, true
	if !t.shouldTryAnotherEntry(answer.Code) {
		return t.finalAnswer(), true, nil
	}
	t.client.invalidate(t.request.Service, discovery.Ticket)
	return Answer{}, false, nil
}

// shouldTryAnotherEntry reports whether an answer is of one entry only, so that another may do better.
func (t *retrier) shouldTryAnotherEntry(code result.Code) bool {
	switch code {
	case result.CodeStopping, result.CodeNotReady:
		return true
	case result.CodeTicketIncarnation, result.CodeTicketExpired, result.CodeAttemptNotRun, result.CodeClaimTableFull:
		return t.renewKey()
	case result.CodeRelayFailed:
		t.mayHaveRun = t.mayHaveRun || t.key == ""
		return t.repeatable()
	default:
		return false
	}
}

// repeatable reports whether the request may be sent again after it may have run.
func (t *retrier) repeatable() bool {
	return t.request.Idempotent || t.key != ""
}

// prepareKey makes the key of a request that needs one.
func (t *retrier) prepareKey(d Discovery) {
	if t.key != "" || t.request.Idempotent || t.request.Unkeyed {
		return
	}
	t.key = t.client.keyFor(d)
	t.sendsWithKey = 0
}

// renewKey drops the key, so that the next attempt makes a new one, and reports whether it
// could: the key is this package's own, and the attempt that was refused was its only one.
func (t *retrier) renewKey() bool {
	if t.request.Key != "" || t.sendsWithKey > 1 {
		return false
	}
	t.key = ""
	return true
}

// choose returns the best entry that was not tried yet, else the best.
func (t *retrier) choose(d Discovery) string {
	if t.tried == nil {
		t.tried = make(map[string]bool)
	}
	for _, entry := range d.Entries {
		if !t.tried[entry.Address] {
			t.tried[entry.Address] = true
			return entry.Address
		}
	}
	return d.Entries[t.attempts%len(d.Entries)].Address
}

func (t *retrier) recordError(err error) {
	t.err = err
	t.answered = false
}

// finalAnswer returns the last answer, with what it says of the whole request: that one attempt did
// not run says nothing of an earlier one, unless the answer speaks of the key.
func (t *retrier) finalAnswer() Answer {
	earlier := t.mayHaveRun || t.sendsWithKey > 1
	if t.answer.Execution == ExecutionNotRun && earlier && !(t.key != "" && appliesToKey(t.answer.Code)) {
		t.answer.Execution = ExecutionUnknown
	}
	if t.answer.Execution == ExecutionUnknown && !earlier && t.request.Key == "" && rejectsAttempt(t.answer.Code) {
		t.answer.Execution = ExecutionNotRun
	}
	return t.answer
}

// rejectsAttempt reports whether a code says that the attempt that it answers did not run and
// never will. When that was the key's only attempt, the request did not run.
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

// appliesToKey reports whether a code that says "not run" was given after the key was sealed.
func appliesToKey(code result.Code) bool {
	switch code {
	case result.CodeKeySealed, result.CodeShedQueueFull, result.CodeShedDeadline, result.CodeUpstreamRefused, result.CodeNotSent:
		return true
	default:
		return false
	}
}

// result returns what is known after the result attempt.
func (t *retrier) result() (Answer, error) {
	if t.answered {
		return t.finalAnswer(), nil
	}
	execution := ExecutionNotRun
	if t.mayHaveRun || (t.key != "" && t.sendsWithKey > 0) {
		execution = ExecutionUnknown
	}
	if t.err == nil {
		t.err = errors.New("no attempt was made")
	}
	return Answer{}, &NoAnswerError{Execution: execution, Key: t.key, Cause: t.err}
}
