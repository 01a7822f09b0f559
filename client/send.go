package client

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/httpanswer"
)

// maxAnswerBytes bounds the body of an answer. Entries pass on no larger one: it is the largest limits.max_answer.
const maxAnswerBytes = 64 << 20

// lowerCaseHeaderKey is HeaderKey in lower case. net/http retries requests on its own if the header
// map contains the canonical spelling, but this package must count attempts and retry by itself.
const lowerCaseHeaderKey = "idempotency-key"

// sendOnce makes one attempt. sent reports whether any bytes of the request may have been sent.
func (c *Client) sendOnce(ctx context.Context, entry string, r Request, key string) (answer Answer, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+entry+r.URI, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, false, err
	}
	request.Header = c.headers(ctx, r, key)
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, connected.Load(), fmt.Errorf("request to entry %s: %w", entry, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := httpanswer.ReadBody(response, maxAnswerBytes)
	if err != nil {
		return Answer{}, true, fmt.Errorf("read answer of entry %s: %w", entry, err)
	}
	return newAnswer(response, body, entry, key), true, nil
}

func (c *Client) headers(ctx context.Context, r Request, key string) http.Header {
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderAccount, string(c.account))
	if r.Service != "" {
		header.Set(HeaderService, string(r.Service))
	}
	if key != "" {
		header[lowerCaseHeaderKey] = []string{key}
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(HeaderDeadline, strconv.FormatInt(timeLeft, 10))
	}
	return header
}

// newAnswer returns a complete answer. Its execution is unknown if the fleet's headers are
// missing, as in the response of a server that is not an entry.
func newAnswer(response *http.Response, body []byte, entry, key string) Answer {
	code, _ := strconv.ParseUint(response.Header.Get(HeaderCode), 10, 16)
	execution := response.Header.Get(HeaderExecution)
	if execution != ExecutionRan && execution != ExecutionNotRun {
		execution = ExecutionUnknown
	}
	return Answer{
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      body,
		Code:      result.Code(code),
		Execution: execution,
		Key:       key,
		Entry:     entry,
	}
}

// Outcome requests the outcome of a key from the entries of the service in turn, until one returns a definite outcome.
func (c *Client) Outcome(ctx context.Context, service fleet.Service, key string) (Answer, error) {
	discovery, err := c.Discover(ctx, service)
	if err != nil {
		return Answer{}, err
	}
	var answer Answer
	for _, entry := range discovery.Entries {
		request := Request{Service: service, Method: http.MethodGet, URI: OutcomePath, Idempotent: true}
		got, _, sendErr := c.sendOnce(ctx, entry.Address, request, key)
		if sendErr != nil {
			err = sendErr
			continue
		}
		answer, err = got, nil
		if got.Execution == ExecutionRan || got.Execution == ExecutionNotRun {
			break
		}
	}
	if err != nil {
		return Answer{}, &NoAnswerError{Execution: ExecutionUnknown, Key: key, Cause: err}
	}
	return answer, nil
}
