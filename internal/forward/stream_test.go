package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/internal/httpconn"
	"github.com/damaskcove/damaskcove/platform"
)

// largeBody is the body of an answer that is too large to buffer and is streamed.
var largeBody = bytes.Repeat([]byte("0123456789abcdef"), 4*maxBuffered/16)

// framings are the ways to delimit a large answer. Each writes the head and the given part of the
// body; end adds the end marker of a chunked body.
var framings = map[string]func(w io.Writer, id string, body []byte, end bool){
	"length": func(w io.Writer, id string, body []byte, _ bool) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: %d\r\n\r\n", id, len(largeBody))
		_, _ = w.Write(body)
	},
	"chunks": func(w io.Writer, id string, body []byte, end bool) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 50_000)
			_, _ = fmt.Fprintf(w, "%x;ext=1\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		if end {
			_, _ = fmt.Fprint(w, "0\r\n\r\n")
		}
	},
	"close": func(w io.Writer, id string, body []byte, _ bool) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nConnection: close\r\n\r\n", id)
		_, _ = w.Write(body)
	},
}

// write returns the bytes of an answer that the caller receives.
func write(resp *fasthttp.Response) ([]byte, error) {
	var wire bytes.Buffer
	w := bufio.NewWriter(&wire)
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	return wire.Bytes(), err
}

func TestLargeAnswerIsStreamed(t *testing.T) {
	for name, send := range framings {
		t.Run(name, func(t *testing.T) {
			headersRead := make(chan struct{})
			u := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
				if n > 1 {
					return answer(c, req, 200, "next")
				}
				r, w := io.Pipe()
				go func() {
					send(w, string(req.Header.Peek("Request-Id")), largeBody, true)
					_ = w.Close()
				}()
				_, _ = io.CopyN(c, r, int64(2*maxBuffered))
				<-headersRead // The rest is sent only after Serve has returned the head.
				_, _ = io.Copy(c, r)
				return name != "close"
			})
			d := newSequentialDispatcher(u.listener.Addr().String(), u.listener.Addr().String())
			f := New(d)
			resp, report := nonIdempotentCall.serve(t, f, "a")
			if !resp.IsBodyStream() || report.Status != 200 {
				t.Fatalf("not streamed: %+v", report)
			}
			close(headersRead)
			wire, err := write(resp)
			if err != nil {
				t.Fatal(err)
			}
			got, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire)), nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(got.Body); err != nil || !bytes.Equal(body, largeBody) {
				t.Errorf("%d bytes of %d, %v", len(body), len(largeBody), err)
			}
			d.waitUntilDrained(t)
			if _, report := nonIdempotentCall.serve(t, f, "b"); name != "close" && !report.Attempts[0].Reused {
				t.Error("the connection was not reused")
			}
		})
	}
}

// waitUntilDrained waits until every granted request has ended.
func (d *sequentialDispatcher) waitUntilDrained(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		running := d.running
		d.mu.Unlock()
		if running == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests did not end", running)
		}
	}
}

// A truncated answer must not look complete to the caller, wherever it is truncated and however its
// body is delimited.
func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	for name, send := range framings {
		for _, sent := range []int{0, 1, maxBuffered - 1, maxBuffered, maxBuffered + 1, 2 * maxBuffered, len(largeBody) - 1} {
			t.Run(fmt.Sprint(name, " after ", sent), func(t *testing.T) {
				u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
					send(c, string(req.Header.Peek("Request-Id")), largeBody[:sent], false)
					if name == "close" {
						// Without a length, only a reset marks the body as truncated.
						time.Sleep(20 * time.Millisecond)
						return reset(0, req, c)
					}
					return false
				})
				d := newSequentialDispatcher(u.listener.Addr().String())
				resp, report := nonIdempotentCall.serve(t, New(d), "a")
				if report.Status == 502 {
					return
				}
				wire, err := write(resp)
				if err == nil {
					t.Errorf("written without an error: %+v", report)
				}
				got, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire)), nil)
				if err != nil {
					return // Not even a head.
				}
				if body, err := io.ReadAll(got.Body); err == nil {
					t.Errorf("the caller reads %d bytes of %d without an error", len(body), len(largeBody))
				}
				d.waitUntilDrained(t)
			})
		}
	}
}

// An HTTP/1.0 caller cannot detect that a body of unknown length is truncated, so it gets an error
// instead of a stream.
func TestHTTP10CallerGetsNoStreamOfUnknownLength(t *testing.T) {
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		framings["chunks"](c, string(req.Header.Peek("Request-Id")), largeBody, true)
		return true
	})
	old := nonIdempotentCall
	old.http10 = true
	if _, report := old.serve(t, New(newSequentialDispatcher(u.listener.Addr().String())), "a"); report.Status != 502 {
		t.Errorf("status %d", report.Status)
	}
}

// A faulty endpoint sends bytes until its peer closes the connection. A bounded number of them is
// read, a non-idempotent request is not reported as not run, and an idempotent one is retried at
// another endpoint.
func TestEndlessBytes(t *testing.T) {
	head := func(req *fasthttp.Request, rest string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n%s", req.Header.Peek("Request-Id"), rest)
	}
	const most = 1 << 20 // Bytes of both requests.
	for name, tc := range map[string]struct {
		first func(req *fasthttp.Request) string
		again string
	}{
		"no answer":            {func(*fasthttp.Request) string { return "" }, "\x00\x01garbage"},
		"empty lines":          {func(*fasthttp.Request) string { return "" }, "\r\n"},
		"status line":          {func(*fasthttp.Request) string { return "HTTP/1.1 200 " }, "fine "},
		"head":                 {func(r *fasthttp.Request) string { return head(r, "") }, "X-Filler: 0123456789abcdef\r\n"},
		"one header":           {func(r *fasthttp.Request) string { return head(r, "X-Filler: ") }, "0123456789abcdef"},
		"interim answers":      {func(*fasthttp.Request) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n"},
		"continue":             {func(*fasthttp.Request) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk size":           {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n") }, "0"},
		"chunk extension":      {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n5;") }, "ext=1;"},
		"last chunk extension": {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0;") }, "ext=1;"},
		"trailers":             {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0\r\n") }, "X-Filler: 0123456789abcdef\r\n"},
		"one trailer":          {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ") }, "0123456789abcdef"},
	} {
		t.Run(name, func(t *testing.T) {
			before := httpconn.Received()
			endless := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				_, err := io.WriteString(c, tc.first(req))
				for filler := strings.Repeat(tc.again, 4096/len(tc.again)); err == nil; {
					_, err = io.WriteString(c, filler)
				}
				return false
			})
			ok := startUpstream(t, serveOK)
			if _, report := nonIdempotentCall.serve(t, New(newSequentialDispatcher(endless.listener.Addr().String(), ok.listener.Addr().String())), "a"); report.Status != 502 || len(report.Attempts) != 1 {
				t.Errorf("non-idempotent: %+v", report)
			}
			if resp, report := idempotentCall.serve(t, New(newSequentialDispatcher(endless.listener.Addr().String(), ok.listener.Addr().String())), "b"); string(resp.Body()) != "fine" {
				t.Errorf("idempotent: %+v", report)
			}
			if got := httpconn.Received() - before; got > most {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}

// Endless bytes after a complete answer, or in a body that never ends, use bounded memory, and the
// connection is closed at the request's deadline.
func TestEndlessBodyIsBounded(t *testing.T) {
	for name, tc := range map[string]struct{ rest, again string }{
		"chunks":       {"Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"close":        {"\r\n", strings.Repeat("x", 1024)},
		"after answer": {"Content-Length: 1024\r\n\r\n", strings.Repeat("x", 1024)},
	} {
		t.Run(name, func(t *testing.T) {
			gone := make(chan struct{})
			u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n%s", req.Header.Peek("Request-Id"), tc.rest)
				for err == nil {
					_, err = io.WriteString(c, tc.again)
				}
				close(gone)
				return false
			})
			d := newSequentialDispatcher(u.listener.Addr().String())
			short := nonIdempotentCall
			short.timeout = 300 * time.Millisecond
			resp, report := short.serve(t, New(d), "a")
			if report.Status != 200 {
				t.Fatalf("%+v", report)
			}
			w := bufio.NewWriter(io.Discard)
			if err := resp.Write(w); (err == nil) != (name == "after answer") {
				t.Errorf("written: %v", err)
			}
			d.waitUntilDrained(t)
			select {
			case <-gone:
			case <-time.After(testTimeout):
				t.Error("the endpoint is still sending")
			}
		})
	}
}

// Many callers on slow links request large answers at once. The memory that buffers the answers is
// bounded whatever their number.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	const readers = 200
	body := bytes.Repeat(largeBody, 4) // 4 MB each: 800 MB if they were buffered.
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: %d\r\n\r\n", req.Header.Peek("Request-Id"), len(body))
		_, err := c.Write(body)
		return err == nil
	})
	var addrs []string
	for range readers {
		addrs = append(addrs, u.listener.Addr().String())
	}
	f := New(newSequentialDispatcher(addrs...))
	f.SetInServiceCount(func() int64 { return readers })
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	answers := make([]*fasthttp.Response, readers)
	var all sync.WaitGroup
	for i := range readers {
		all.Add(1)
		go func() {
			defer all.Done()
			answers[i], _ = nonIdempotentCall.serve(t, f, fmt.Sprint("r", i))
		}()
	}
	all.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	const perReaderOverhead = 64 << 10 // Other buffers, the request and goroutines.
	if got, most := after.HeapAlloc-before.HeapAlloc, uint64(totalBuffered+readers*perReaderOverhead); after.HeapAlloc > before.HeapAlloc && got > most {
		t.Errorf("%d answers of %d bytes hold %d bytes, want at most %d", readers, len(body), got, most)
	}
	for _, resp := range answers {
		if !resp.IsBodyStream() {
			t.Fatalf("an answer of %d bytes was buffered", len(resp.Body()))
		}
		_ = resp.CloseBodyStream()
	}
}

// A streamed answer whose caller reads slowly held the request's body.
func TestStreamedAnswerDoesNotHoldRequestBody(t *testing.T) {
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		framings["length"](c, string(req.Header.Peek("Request-Id")), largeBody, true)
		return true
	})
	budget := body.NewBudget(1 << 20)
	payload, err := budget.Read(strings.NewReader("body"), len("body"), len("body"), func() {})
	if err != nil {
		t.Fatal(err)
	}
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.Header.Set("Request-Id", "a")
	req.SetRequestURI("/x")
	req.Header.SetContentLength(payload.Size())
	var resp fasthttp.Response
	New(newSequentialDispatcher(u.listener.Addr().String())).Serve(t.Context(), Request{
		ID: "a", Service: "s", HTTP: &req, Body: payload, Arrived: time.Now(), Deadline: time.Now().Add(testTimeout),
		Route: platform.Route{MaxAttempts: 1, Objective: testTimeout},
	}, &resp)
	payload.Release()
	if got := budget.Counts().Reserved; resp.StatusCode() != 200 || resp.BodyStream() == nil || got != 0 {
		t.Errorf("status %d, streamed %v, %d bytes of the request's body are held", resp.StatusCode(), resp.BodyStream() != nil, got)
	}
	_ = resp.CloseBodyStream()
}
