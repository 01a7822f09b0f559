package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Keys of Report.Codes for outcomes without a result code.
const (
	codeNone     = "none"
	codeNoAnswer = "no-answer"
	codeNoEntry  = "no-entry"
)

// fleetSender sends through the fleet, as its callers do.
type fleetSender struct {
	options Options
	clients []*client.Client
	body    []byte
}

func (s *fleetSender) send(ctx context.Context, n int, id string) outcome {
	answer, err := s.clients[n%len(s.clients)].Do(ctx, client.Request{
		Service:    s.options.Service,
		Method:     s.options.Method,
		URI:        s.options.Path,
		Header:     http.Header{upstream.HeaderRequestID: {id}},
		Body:       s.body,
		Idempotent: !s.options.Keyed && !s.options.Unkeyed,
		Unkeyed:    s.options.Unkeyed,
	})
	var none *client.NoAnswerError
	switch {
	case errors.As(err, &none):
		return outcome{code: codeNoAnswer, notRun: none.Execution == client.ExecutionNotRun}
	case err != nil:
		return outcome{code: codeNoEntry, notRun: true}
	}
	return outcome{
		code:        codeText(answer),
		answered:    answer.Execution == client.ExecutionRan,
		notRun:      answer.Execution == client.ExecutionNotRun,
		serverError: answer.Status >= http.StatusInternalServerError,
		mixed:       mixed(answer.Header, id),
	}
}

func codeText(answer client.Answer) string {
	if answer.Code == 0 {
		return codeNone
	}
	return strconv.Itoa(int(answer.Code))
}

// directSender sends to upstream endpoints in turn.
type directSender struct {
	options Options
	http    *http.Client
	body    []byte
}

func (s *directSender) send(ctx context.Context, n int, id string) outcome {
	address := s.options.Direct[n%len(s.options.Direct)]
	request, err := http.NewRequestWithContext(ctx, s.options.Method, "http://"+address+s.options.Path, bytes.NewReader(s.body))
	if err != nil {
		return outcome{code: codeNoEntry, notRun: true}
	}
	request.Header.Set(upstream.HeaderRequestID, id)
	request.Header.Set(client.HeaderAccount, string(s.options.Accounts[n%len(s.options.Accounts)]))
	response, err := s.http.Do(request)
	if err != nil {
		return outcome{code: codeNoAnswer}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return outcome{code: codeNoAnswer}
	}
	notRun := response.Header.Get(upstream.HeaderNotStarted) != ""
	return outcome{
		code:        codeNone,
		answered:    !notRun,
		notRun:      notRun,
		serverError: response.StatusCode >= http.StatusInternalServerError,
		mixed:       mixed(response.Header, id),
	}
}
