package local

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// CutOffCounter sees the callers' connections: it counts the requests that an instance cut off
// while it made a planned stop. It is safe for concurrent use.
type CutOffCounter struct {
	mu       sync.Mutex
	stopping map[string]bool // Callers' addresses of instances that stop as planned.
	cutOff   int
}

// NewCutOffCounter returns a watch that counts nothing yet.
func NewCutOffCounter() *CutOffCounter {
	return &CutOffCounter{stopping: make(map[string]bool)}
}

// MarkStopping notes that an instance begins its planned stop.
func (w *CutOffCounter) MarkStopping(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping[address] = true
}

// Count returns the requests cut off.
func (w *CutOffCounter) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff
}

// failed takes a request's error. A connection that could not be made cuts nothing off,
// nor does a caller that stopped waiting.
func (w *CutOffCounter) failed(address string, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping[address] {
		w.cutOff++
	}
}

// WrapTransport returns a transport whose failures the watch sees.
func (w *CutOffCounter) WrapTransport(next http.RoundTripper) http.RoundTripper {
	return &watchedTransport{watch: w, next: next}
}

type watchedTransport struct {
	watch *CutOffCounter
	next  http.RoundTripper
}

// RoundTrip sends a request and reports what fails after the connection was made.
func (t *watchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		t.watch.failed(r.URL.Host, err)
		return response, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, watch: t.watch, address: r.URL.Host}
	return response, nil
}

// watchedBody reports an answer that breaks off.
type watchedBody struct {
	io.ReadCloser
	watch   *CutOffCounter
	address string
}

// Read reads from the answer.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.watch.failed(b.address, err)
	}
	return n, err
}
