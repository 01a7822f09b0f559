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
	t := &try{client: c, request: r, key: r.Key}
	for t.attempts < c.attempts {
		answer, done, err := t.next(ctx)
		if done {
			return answer, err
		}
	}
	return t.last()
}

// try is one request over its attempts.
type try struct {
	client   *Client
	request  Request
	key      string
	keySends int  // Attempts that may have left with the present key.
	unsure   bool // An attempt without a key may have run.
	attempts int
	tried    map[string]bool
	answer   Answer
	answered bool
	err      error
}

// next makes one attempt. done says that its result is the request's.
func (t *try) next(ctx context.Context) (answer Answer, done bool, err error) {
	discovery, err := t.client.Discover(ctx, t.request.Service)
	if err != nil {
		if t.attempts == 0 {
			return Answer{}, true, err
		}
		t.fail(err)
		answer, err = t.last()
		return answer, true, err
	}
	t.prepareKey(discovery)
	entry := t.choose(discovery)
	t.attempts++
	answer, sent, err := t.client.sendOnce(ctx, entry, t.request, t.key)
	if sent {
		t.keySends++
	}
	if err != nil {
		t.fail(err)
		t.client.forget(t.request.Service, discovery.Ticket)
		if sent && !t.repeatable() {
			t.unsure = true
			answer, err = t.last()
			return answer, true, err
		}
		t.unsure = t.unsure || (sent && t.key == "")
		return Answer{}, false, nil
	}
	return t.judge(answer, discovery)
}

// judge decides whether an answer is the request's.
func (t *try) judge(answer Answer, discovery Discovery) (Answer, bool, error) {
	answer.Attempts = t.attempts
	t.answer, t.answered = answer, true
	if !t.mayGoOn(answer.Code) {
		return t.finish(), true, nil
	}
	t.client.forget(t.request.Service, discovery.Ticket)
	return Answer{}, false, nil
}

// mayGoOn reports whether an answer is of one entry only, so that another may do better.
func (t *try) mayGoOn(code result.Code) bool {
	switch code {
	case result.CodeStopping, result.CodeNotReady:
		return true
	case result.CodeTicketIncarnation, result.CodeTicketExpired, result.CodeAttemptNotRun, result.CodeClaimTableFull:
		return t.renewKey()
	case result.CodeRelayFailed:
		t.unsure = t.unsure || t.key == ""
		return t.repeatable()
	default:
		return false
	}
}

// repeatable reports whether the request may be sent again after it may have run.
func (t *try) repeatable() bool {
	return t.request.Idempotent || t.key != ""
}

// prepareKey makes the key of a request that needs one.
func (t *try) prepareKey(d Discovery) {
	if t.key != "" || t.request.Idempotent || t.request.Unkeyed {
		return
	}
	t.key = t.client.keyFor(d)
	t.keySends = 0
}

// renewKey drops the key, so that the next attempt makes a new one, and reports whether it
// could: the key is this package's own, and the attempt that was refused was its only one.
func (t *try) renewKey() bool {
	if t.request.Key != "" || t.keySends > 1 {
		return false
	}
	t.key = ""
	return true
}

// choose returns the best entry that was not tried yet, else the best.
func (t *try) choose(d Discovery) string {
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

func (t *try) fail(err error) {
	t.err = err
	t.answered = false
}

// finish returns the last answer, with what it says of the whole request: that one attempt did
// not run says nothing of an earlier one, unless the answer speaks of the key.
func (t *try) finish() Answer {
	earlier := t.unsure || t.keySends > 1
	if t.answer.Execution == ExecutionNotRun && earlier && !(t.key != "" && speaksOfKey(t.answer.Code)) {
		t.answer.Execution = ExecutionUnknown
	}
	if t.answer.Execution == ExecutionUnknown && !earlier && t.request.Key == "" && refusesAttempt(t.answer.Code) {
		t.answer.Execution = ExecutionNotRun
	}
	return t.answer
}

// refusesAttempt reports whether a code says that the attempt that it answers did not run and
// never will. When that was the key's only attempt, the request did not run.
func refusesAttempt(code result.Code) bool {
	switch code {
	case result.CodeNoRoute, result.CodeUnknownAccount, result.CodeAccountNotAllowed, result.CodeBodyTooLarge, result.CodeMalformedRequest,
		result.CodeStopping, result.CodeNotReady, result.CodeTicketMalformed, result.CodeTicketForged,
		result.CodeTicketIncarnation, result.CodeClaimTableFull, result.CodeAttemptNotRun:
		return true
	default:
		return false
	}
}

// speaksOfKey reports whether a code that says "not run" was given after the key was sealed.
func speaksOfKey(code result.Code) bool {
	switch code {
	case result.CodeKeySealed, result.CodeShedQueueFull, result.CodeShedDeadline, result.CodeUpstreamRefused, result.CodeNotSent:
		return true
	default:
		return false
	}
}

// last returns what is known after the last attempt.
func (t *try) last() (Answer, error) {
	if t.answered {
		return t.finish(), nil
	}
	execution := ExecutionNotRun
	if t.unsure || (t.key != "" && t.keySends > 0) {
		execution = ExecutionUnknown
	}
	if t.err == nil {
		t.err = errors.New("no attempt was made")
	}
	return Answer{}, &NoAnswerError{Execution: execution, Key: t.key, Cause: t.err}
}
