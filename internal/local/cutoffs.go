package local

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// CutOffCounter counts the requests whose connection broke after it was made, while the
// instance was in a planned stop. It observes the callers' transports and is safe for
// concurrent use.
type CutOffCounter struct {
	mu       sync.Mutex
	stopping map[string]bool // Caller addresses of the instances in a planned stop.
	count    int
}

// NewCutOffCounter returns a counter at zero, without an instance in a planned stop.
func NewCutOffCounter() *CutOffCounter {
	return &CutOffCounter{stopping: make(map[string]bool)}
}

// MarkStopping records that the instance at address begins a planned stop.
func (c *CutOffCounter) MarkStopping(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping[address] = true
}

// Count returns the number of requests that were cut off.
func (c *CutOffCounter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// recordError counts a request's error if it is a cut-off. A failed dial and a caller that
// stopped waiting are none.
func (c *CutOffCounter) recordError(address string, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping[address] {
		c.count++
	}
}

// WrapTransport returns a transport whose errors the counter records.
func (c *CutOffCounter) WrapTransport(next http.RoundTripper) http.RoundTripper {
	return &countingTransport{counter: c, next: next}
}

type countingTransport struct {
	counter *CutOffCounter
	next    http.RoundTripper
}

// RoundTrip sends a request and records its error.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		t.counter.recordError(r.URL.Host, err)
		return response, err
	}
	response.Body = &countingBody{ReadCloser: response.Body, counter: t.counter, address: r.URL.Host}
	return response, nil
}

// countingBody records an error in the middle of a response body.
type countingBody struct {
	io.ReadCloser
	counter *CutOffCounter
	address string
}

// Read reads from the response body.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.counter.recordError(b.address, err)
	}
	return n, err
}
