package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
)

// lowerCaseHeaderKey is HeaderKey in lower case. net/http repeats requests by itself when
// it sees the usual spelling; this package counts its attempts and repeats them itself.
const lowerCaseHeaderKey = "idempotency-key"

// sendOnce makes one attempt. sent reports whether bytes of the request may have left.
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
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, true, fmt.Errorf("answer of entry %s after %d bytes: %w", entry, len(body), err)
	}
	return wholeAnswer(response, body, entry, key), true, nil
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
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return header
}

// wholeAnswer takes an answer without the fleet's headers, as of a server that is no entry, for unknown.
func wholeAnswer(response *http.Response, body []byte, entry, key string) Answer {
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

// Outcome asks what came of a key, at each entry of the service until one knows.
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
