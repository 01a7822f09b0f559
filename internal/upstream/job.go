package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/client"
)

// Query parameters of requests for work, for tests of bodies and answers.
const (
	ParamSize    = "size"    // Bytes of padding in the answer.
	ParamChunked = "chunked" // "1": the answer is chunked, without a length.
	ParamStatus  = "status"  // Status of the answer.
	ParamTime    = "time_ms" // Service time in milliseconds, instead of a random one.
)

// job is one request for work.
type job struct {
	id            string
	account       string
	nonIdempotent bool
	body          []byte
	deadline      time.Time // Zero without one.
	faults        Faults
	size          int
	chunked       bool
	status        int
	time          time.Duration // Service time; negative for a random one.
}

func (e *Endpoint) readJob(r *http.Request) (job, error) {
	now := time.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return job{}, fmt.Errorf("read body: %w", err)
	}
	if len(body) > MaxBodyBytes {
		return job{}, fmt.Errorf("body is over %d bytes", MaxBodyBytes)
	}
	j := job{
		id:            r.Header.Get(HeaderRequestID),
		account:       r.Header.Get(client.HeaderAccount),
		nonIdempotent: e.isNonIdempotent(r),
		body:          body,
		faults:        e.currentFaults(now),
		status:        http.StatusOK,
		time:          -1,
	}
	return j, j.readParameters(r, now)
}

func (j *job) readParameters(r *http.Request, now time.Time) error {
	deadline, err := parseNumber(HeaderDeadline, r.Header.Get(HeaderDeadline), int64(time.Hour/time.Millisecond))
	if err != nil {
		return err
	}
	if r.Header.Get(HeaderDeadline) != "" {
		j.deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	}
	query := r.URL.Query()
	size, err := parseNumber(ParamSize, query.Get(ParamSize), MaxBodyBytes)
	if err != nil {
		return err
	}
	j.size = int(size)
	j.chunked = query.Get(ParamChunked) == "1"
	if query.Has(ParamStatus) {
		status, err := parseNumber(ParamStatus, query.Get(ParamStatus), 599)
		if err != nil || status < 200 {
			return fmt.Errorf("%s %q is outside 200 to 599", ParamStatus, query.Get(ParamStatus))
		}
		j.status = int(status)
	}
	if query.Has(ParamTime) {
		millis, err := parseNumber(ParamTime, query.Get(ParamTime), int64(time.Hour/time.Millisecond))
		if err != nil {
			return err
		}
		j.time = time.Duration(millis) * time.Millisecond
	}
	return nil
}

func parseNumber(name, text string, limit int64) (int64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, fmt.Errorf("%s %q is outside 0 to %d", name, text, limit)
	}
	return n, nil
}

func (j job) context(parent context.Context) (context.Context, context.CancelFunc) {
	if j.deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, j.deadline)
}

func (e *Endpoint) isNonIdempotent(r *http.Request) bool {
	if r.Method != http.MethodPost {
		return false
	}
	for _, prefix := range e.spec.NonIdempotentPaths {
		if strings.HasPrefix(r.URL.Path, prefix) {
			return true
		}
	}
	return false
}
