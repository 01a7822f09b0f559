package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// MaxBodyBytes bounds the body of a request and the padding of an answer.
const MaxBodyBytes = 16 << 20

// Answer is the body of an answer to a request for work. A caller compares RequestID, Account and
// BodyHash with those of its request.
type Answer struct {
	RequestID   string         `json:"request_id"`
	Account     string         `json:"account"`
	Service     fleet.Service  `json:"service"`
	Endpoint    fleet.Endpoint `json:"endpoint"`
	Method      string         `json:"method"`
	URI         string         `json:"uri"`
	BodyHash    uint64         `json:"body_hash"` // HashBody of the request's body.
	StartNumber int            `json:"run"`       // Number of this start among those of the request ID on this host, from 1; always 1 if they are not recorded.
	Padding     string         `json:"padding,omitempty"`
}

// HashBody returns the hash that an Answer carries for a request's body.
func HashBody(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// ServeHTTP answers one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathHealth || r.URL.Path == PathLoad {
		e.probe(w, r)
		return
	}
	e.count(func(s *Stats) { s.Received++ })
	j, err := e.readJob(r)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := j.context(r.Context())
	defer cancel()
	if err := e.acquire(ctx); err != nil {
		e.refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	defer e.release()
	e.work(ctx, w, r, j)
}

// Reasons for which work does not start.
var (
	errDraining   = errors.New("the endpoint is leaving")
	errFull       = errors.New("the endpoint's queue is full")
	errNotStarted = errors.New("the request's deadline passed, or its caller went away, before it started")
)

// acquire waits for a slot and takes it.
func (e *Endpoint) acquire(ctx context.Context) error {
	if err := e.enqueue(); err != nil {
		return err
	}
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.dequeue()
		return errNotStarted
	}
	e.dequeue()
	if ctx.Err() != nil {
		<-e.slots
		return errNotStarted
	}
	e.sampleLoad()
	return nil
}

func (e *Endpoint) enqueue() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.drainingSince.IsZero() {
		return errDraining
	}
	if len(e.slots) == cap(e.slots) && e.queued >= e.spec.Queue {
		return errFull
	}
	e.queued++
	return nil
}

func (e *Endpoint) dequeue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
}

func (e *Endpoint) release() {
	<-e.slots
	e.sampleLoad()
}

func (e *Endpoint) sampleLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	inFlight := len(e.slots)
	e.stats.PeakInFlight = max(e.stats.PeakInFlight, inFlight)
	e.load.add(time.Now(), inFlight, e.spec.Lag)
}

func (e *Endpoint) refuse(w http.ResponseWriter, status int, err error) {
	e.count(func(s *Stats) { s.Refused++ })
	e.setHeaders(w, Faults{})
	w.Header().Set(HeaderNotStarted, "1")
	http.Error(w, err.Error(), status)
}

// work runs a job that holds a slot, and answers it.
func (e *Endpoint) work(ctx context.Context, w http.ResponseWriter, r *http.Request, j job) {
	startNumber := e.start(r, j)
	fault := e.drawFault(j.faults)
	if !sleep(ctx, e.runTime(j, fault)) {
		e.count(func(s *Stats) { s.Cancelled++ })
		http.Error(w, "cancelled, or past its deadline, while it ran", http.StatusGatewayTimeout)
		return
	}
	e.recorder.finished(j.id)
	e.count(func(s *Stats) {
		s.Finished++
		if fault != faultNone {
			s.Failed++
		}
	})
	e.answer(w, r, j, startNumber, fault)
}

func (e *Endpoint) runTime(j job, fault faultKind) time.Duration {
	switch {
	case fault == faultFail && j.faults.FailFast:
		return 0
	case j.time >= 0:
		return j.time
	default:
		return e.serviceTime(time.Now(), j.faults)
	}
}

// start records a start and returns its number among the starts of the request ID.
func (e *Endpoint) start(r *http.Request, j job) int {
	now := time.Now()
	e.mu.Lock()
	e.stats.Started++
	e.stats.LastStart = now
	e.starts = append(e.starts, now)
	e.mu.Unlock()
	return e.recorder.started(j.id, j.account, j.nonIdempotent, Start{
		Endpoint: e.addr,
		Caller:   r.RemoteAddr,
		Instance: r.Header.Get(HeaderInstance),
		At:       now,
	})
}

func (e *Endpoint) count(change func(s *Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// sleep waits for d and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (e *Endpoint) answerBody(r *http.Request, j job, startNumber int) ([]byte, error) {
	return json.Marshal(Answer{
		RequestID:   j.id,
		Account:     j.account,
		Service:     e.spec.Service,
		Endpoint:    e.addr,
		Method:      r.Method,
		URI:         r.URL.RequestURI(),
		BodyHash:    HashBody(j.body),
		StartNumber: startNumber,
		Padding:     strings.Repeat("x", j.size),
	})
}
