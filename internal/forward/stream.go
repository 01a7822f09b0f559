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

// An answer is gathered whole where it is small enough: one that breaks off can then be
// asked for again, or refused. A larger one is passed on while it comes; if it breaks off,
// the caller's connection is closed before the end that was announced.
const (
	// gatherMost is the most that is gathered of one answer, in bytes.
	gatherMost = 256 << 10
	// gatherLeast is gathered however much is in service.
	gatherLeast = 8 << 10
	// gatherTotal is what all answers in service may hold, in bytes; an instance has under 200 MB.
	gatherTotal = 24 << 20
)

// SetInServiceCount tells how many requests are in service until their answers are written, by which
// the memory for answers is shared out. Call it before the first Serve.
func (f *Forwarder) SetInServiceCount(inService func() int64) {
	f.inService = inService
}

// gatherBytes returns how much of an answer is gathered.
func (f *Forwarder) gatherBytes() int {
	if f.inService == nil {
		return gatherMost
	}
	share := gatherTotal / max(f.inService(), 1)
	return int(min(max(share, gatherLeast), gatherMost))
}

// stream is an answer's body that is passed on while it comes.
type stream struct {
	body    *httpconn.Body
	cancel  context.CancelFunc // Of the request.
	closing sync.Once
	closed  chan struct{}
	whole   atomic.Bool
	broken  atomic.Bool // The endpoint broke off.
}

// Read implements io.Reader for the goroutine that writes the answer.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.whole.Store(true)
	case err != nil:
		s.broken.Store(true)
	}
	return n, err
}

// Close implements io.Closer: the answer was written, or cannot be.
func (s *stream) Close() error {
	s.closing.Do(func() {
		close(s.closed)
		s.cancel()
	})
	return nil
}

// finish waits until an answer was passed on, and tells how its attempt ended. ctx ends with
// the request; an answer that nobody takes ends with it.
func (f *Forwarder) finish(ctx context.Context, a *attempt) {
	select {
	case <-a.stream.closed:
	case <-ctx.Done():
	}
	whole := a.stream.whole.Load()
	a.release(whole)
	kind := dispatch.EndedUnknown // The caller left, or another attempt was faster.
	switch {
	case whole:
		kind = dispatch.EndedServed
	case a.stream.broken.Load():
		kind = dispatch.EndedBroken
		f.metrics.brokenStreams.Add(1)
	}
	f.dispatcher.Ended(a.grant, kind, time.Since(a.started))
}

var errNoLength = errors.New("the answer is large, has no length, and its caller cannot be told of its end")

// passOn makes the rest of an answer ready to be passed on.
func (r *request) passOn(a *attempt, body *httpconn.Body) error {
	if body.Size() < 0 && !r.HTTP.Header.IsHTTP11() {
		return errNoLength
	}
	a.stream = &stream{body: body, cancel: r.cancel, closed: make(chan struct{})}
	return nil
}

// deliverStream fills in an answer whose body is still coming.
func (r *request) deliverStream(a *attempt, resp *fasthttp.Response) {
	a.resp.Header.CopyTo(&resp.Header)
	resp.SetBodyStream(a.stream, a.stream.body.Size())
	r.streaming = true
}
