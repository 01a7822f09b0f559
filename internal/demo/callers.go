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

// maxOutstanding bounds the requests of one stream that are under way at once.
const maxOutstanding = 2000

// outcomeTries is how often a caller asks what came of an order that it is unsure of.
const outcomeTries = 2

// ledger is what the callers were told.
type ledger struct {
	mu      sync.Mutex
	beliefs []upstream.CallerResult
	mixed   int
}

func (l *ledger) add(b upstream.CallerResult, mixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beliefs = append(l.beliefs, b)
	if mixed {
		l.mixed++
	}
}

// stream is one kind of request at a mean rate, with exponential gaps.
type stream struct {
	firm    *firm
	service fleet.Service
	order   bool
	rate    float64 // Requests a second.
	random  *rand.Rand
	ledger  *ledger
}

// run sends requests until ctx ends and waits for their answers. Requests start when
// they are due, however slow the answers are.
func (s *stream) run(ctx context.Context) {
	var wait conc.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxOutstanding)
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
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			s.send(c, id)
		})
	}
}

// request returns the request named id.
func (s *stream) request(id string) client.Request {
	r := client.Request{
		Service:    s.service,
		Method:     http.MethodGet,
		URI:        s.firm.path(s.service) + "/" + id,
		Header:     http.Header{upstream.HeaderRequestID: {id}},
		Idempotent: true,
	}
	if s.order {
		r.Method = http.MethodPost
		r.Idempotent = false
		r.Body = []byte("order " + id)
	}
	return r
}

// send sends one request and notes what its caller was told.
func (s *stream) send(c *client.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.firm.deadline(s.service))
	defer cancel()
	r := s.request(id)
	a, err := c.Do(ctx, r)
	told, mixed := judge(a, err, r, id)
	if s.order && told == upstream.OutcomeUnknown {
		told, mixed = s.askOutcome(c, r, id, keyOf(a, err))
	}
	s.ledger.add(upstream.CallerResult{ID: id, NonIdempotent: s.order, Outcome: told}, mixed)
}

// keyOf returns the idempotency key that a request was sent with.
func keyOf(a client.Answer, err error) string {
	var none *client.NoAnswerError
	if errors.As(err, &none) {
		return none.Key
	}
	return a.Key
}

// askOutcome asks what came of an order whose caller is unsure.
func (s *stream) askOutcome(c *client.Client, r client.Request, id, key string) (upstream.Outcome, bool) {
	for range outcomeTries {
		ctx, cancel := context.WithTimeout(context.Background(), s.firm.deadline(s.service))
		a, err := c.Outcome(ctx, s.service, key)
		cancel()
		if told, mixed := judge(a, err, r, id); told != upstream.OutcomeUnknown {
			return told, mixed
		}
	}
	return upstream.OutcomeUnknown, false
}

// judge returns what a caller was told, and whether the answer was another request's.
func judge(a client.Answer, err error, r client.Request, id string) (told upstream.Outcome, mixed bool) {
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
		return upstream.OutcomeAnswered, !own(a, r, id)
	case client.ExecutionNotRun:
		return upstream.OutcomeNotRun, false
	case client.ExecutionUnknown:
		return upstream.OutcomeUnknown, false
	default:
		return upstream.OutcomeNone, false
	}
}

// own reports whether an answer is whole and of the request named id.
func own(a client.Answer, r client.Request, id string) bool {
	if a.Status != http.StatusOK {
		return a.Header.Get(upstream.HeaderRequestID) == id
	}
	var body upstream.Answer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return false
	}
	return body.RequestID == id && body.URI == r.URI && body.BodyHash == upstream.HashBody(r.Body)
}
