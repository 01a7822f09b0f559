package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// maxOutstanding is the maximum number of concurrent requests of one stream.
const maxOutstanding = 2000

// outcomeTries is the maximum number of outcome queries for a non-idempotent request whose
// outcome is unknown.
const outcomeTries = 2

// resultLog holds the outcomes that the callers received.
type resultLog struct {
	mu      sync.Mutex
	results []upstream.CallerResult
	mixed   int // Answers that belong to another request.
}

func (l *resultLog) add(r upstream.CallerResult, mixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	if mixed {
		l.mixed++
	}
}

// stream sends one kind of request at a mean rate, with exponentially distributed intervals.
type stream struct {
	firm          *firm
	service       fleet.Service
	nonIdempotent bool
	rate          float64 // Requests a second.
	random        *rand.Rand
	resultLog     *resultLog
}

// run sends requests until ctx ends and waits for their answers. It is open-loop: requests
// start when they are due, however slow the answers are.
func (s *stream) run(ctx context.Context) {
	var wait conc.WaitGroup
	defer wait.Wait()
	inFlight := make(chan struct{}, maxOutstanding)
	due := time.Now()
	for i := 0; ; i++ {
		due = due.Add(time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		c := s.firm.clients[s.random.IntN(len(s.firm.clients))]
		id := fmt.Sprintf("%s-%s-%d", s.firm.name, s.service, i)
		inFlight <- struct{}{}
		wait.Go(func() {
			defer func() { <-inFlight }()
			s.send(c, id)
		})
	}
}

// request returns the request with the given ID.
func (s *stream) request(id string) client.Request {
	r := client.Request{
		Service:    s.service,
		Method:     http.MethodGet,
		URI:        s.firm.path(s.service) + "/" + id,
		Header:     http.Header{upstream.HeaderRequestID: {id}},
		Idempotent: true,
	}
	if s.nonIdempotent {
		r.Method = http.MethodPost
		r.Idempotent = false
		r.Body = []byte("order " + id)
	}
	return r
}

// send sends one request and records the outcome that its caller received.
func (s *stream) send(c *client.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.firm.deadline(s.service))
	defer cancel()
	r := s.request(id)
	a, err := c.Do(ctx, r)
	outcome, mixed := classify(a, err, r, id)
	if s.nonIdempotent && outcome == upstream.OutcomeUnknown {
		outcome, mixed = s.queryOutcome(c, r, id, keyOf(a, err))
	}
	s.resultLog.add(upstream.CallerResult{ID: id, NonIdempotent: s.nonIdempotent, Outcome: outcome}, mixed)
}

// keyOf returns the idempotency key that a request was sent with.
func keyOf(a client.Answer, err error) string {
	var none *client.NoAnswerError
	if errors.As(err, &none) {
		return none.Key
	}
	return a.Key
}

// queryOutcome queries the outcome of a non-idempotent request whose answer left it unknown.
func (s *stream) queryOutcome(c *client.Client, r client.Request, id, key string) (upstream.Outcome, bool) {
	for range outcomeTries {
		ctx, cancel := context.WithTimeout(context.Background(), s.firm.deadline(s.service))
		a, err := c.Outcome(ctx, s.service, key)
		cancel()
		if outcome, mixed := classify(a, err, r, id); outcome != upstream.OutcomeUnknown {
			return outcome, mixed
		}
	}
	return upstream.OutcomeUnknown, false
}

// classify returns the outcome that a caller received, and whether the answer belongs to
// another request.
func classify(a client.Answer, err error, r client.Request, id string) (outcome upstream.Outcome, mixed bool) {
	var none *client.NoAnswerError
	switch {
	case errors.As(err, &none) && none.Execution == client.ExecutionNotRun, errors.Is(err, client.ErrNoEntry):
		return upstream.OutcomeNotRun, false
	case errors.As(err, &none):
		return upstream.OutcomeUnknown, false
	case err != nil:
		return upstream.OutcomeNone, false
	}
	switch a.Execution {
	case client.ExecutionRan:
		return upstream.OutcomeAnswered, !matchesRequest(a, r, id)
	case client.ExecutionNotRun:
		return upstream.OutcomeNotRun, false
	case client.ExecutionUnknown:
		return upstream.OutcomeUnknown, false
	default:
		return upstream.OutcomeNone, false
	}
}

// matchesRequest reports whether an answer is complete and belongs to the request with the
// given ID.
func matchesRequest(a client.Answer, r client.Request, id string) bool {
	if a.Status != http.StatusOK {
		return a.Header.Get(upstream.HeaderRequestID) == id
	}
	var body upstream.Answer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return false
	}
	return body.RequestID == id && body.URI == r.URI && body.BodyHash == upstream.HashBody(r.Body)
}
