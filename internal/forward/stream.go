package forward

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

// A small answer is buffered completely, so that if it is truncated the request can be retried or
// rejected. A larger one is streamed to the caller; if it is truncated, the caller's connection is
// closed before the announced end.
const (
	// maxBuffered bounds the bytes buffered of one answer.
	maxBuffered = 256 << 10
	// minBuffered bytes are buffered of an answer whatever the number of requests in service.
	minBuffered = 8 << 10
	// totalBuffered bounds the bytes buffered of all answers in service; an instance has less than
	// 200 MB of memory.
	totalBuffered = 24 << 20
)

// SetInServiceCount sets the function that returns the number of requests whose answers are not yet
// written. totalBuffered is divided among them. Call it before the first Serve.
func (f *Forwarder) SetInServiceCount(inService func() int64) {
	f.inService = inService
}

// bufferLimit returns how many bytes of an answer to buffer.
func (f *Forwarder) bufferLimit() int {
	if f.inService == nil {
		return maxBuffered
	}
	share := totalBuffered / max(f.inService(), 1)
	return int(min(max(share, minBuffered), maxBuffered))
}

// stream is the body of an answer that is sent to the caller as it arrives.
type stream struct {
	body      *httpconn.Body
	cancel    context.CancelFunc // Cancels the request's context.
	closeOnce sync.Once
	closed    chan struct{}
	complete  atomic.Bool
	truncated atomic.Bool // The endpoint ended the body early.
}

// Read implements io.Reader for the goroutine that writes the answer.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.complete.Store(true)
	case err != nil:
		s.truncated.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It is called once the answer is written or writing it has failed.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.cancel()
	})
	return nil
}

// finishStream waits until a streamed answer is written, or until ctx, the request's context, ends,
// and records the result with the dispatcher. The stream of an answer that is not delivered is never
// closed, so its wait ends with ctx.
func (f *Forwarder) finishStream(ctx context.Context, a *attempt) {
	select {
	case <-a.stream.closed:
	case <-ctx.Done():
	}
	complete := a.stream.complete.Load()
	a.release(complete)
	kind := dispatch.EndedUnknown // The caller disconnected, or another attempt was served first.
	switch {
	case complete:
		kind = dispatch.EndedServed
	case a.stream.truncated.Load():
		kind = dispatch.EndedBroken
		f.metrics.brokenStreams.Add(1)
	}
	f.dispatcher.Ended(a.grant, kind, time.Since(a.started))
}

// An HTTP/1.0 caller cannot tell a truncated body from a complete one if the length is unknown.
var errUnknownLength = errors.New("the answer is large, has no length, and its caller cannot be told of its end")

// startStream sets up streaming of the rest of an answer.
func (r *request) startStream(a *attempt, body *httpconn.Body) error {
	if body.Size() < 0 && !r.HTTP.Header.IsHTTP11() {
		return errUnknownLength
	}
	a.stream = &stream{body: body, cancel: r.cancel, closed: make(chan struct{})}
	return nil
}

// deliverStream fills in an answer whose body is streamed.
func (r *request) deliverStream(a *attempt, resp *fasthttp.Response) {
	a.resp.Header.CopyTo(&resp.Header)
	resp.SetBodyStream(a.stream, a.stream.body.Size())
	r.streaming = true
}
