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
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// large is the body of an answer that is passed on while it comes.
var large = bytes.Repeat([]byte("0123456789abcdef"), 4*gatherMost/16)

// framings are the ways in which a large answer may be sent.
var framings = map[string]func(w io.Writer, id string, body []byte, end bool){
	"length": func(w io.Writer, id string, body []byte, _ bool) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: %d\r\n\r\n", id, len(large))
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

// write writes an answer as the caller gets it.
func write(resp *fasthttp.Response) ([]byte, error) {
	var wire bytes.Buffer
	w := bufio.NewWriter(&wire)
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	return wire.Bytes(), err
}

func TestLargeAnswerIsPassedOnWhileItComes(t *testing.T) {
	for name, send := range framings {
		t.Run(name, func(t *testing.T) {
			held := make(chan struct{})
			u := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
				if n > 1 {
					return answer(c, req, 200, "next")
				}
				r, w := io.Pipe()
				go func() {
					send(w, string(req.Header.Peek("Request-Id")), large, true)
					_ = w.Close()
				}()
				_, _ = io.CopyN(c, r, int64(2*gatherMost))
				<-held // The rest comes only once the caller has its first bytes.
				_, _ = io.Copy(c, r)
				return name != "close"
			})
			d := dispatcherOf(u.listener.Addr().String(), u.listener.Addr().String())
			f := New(d)
			resp, report := order.serve(t, f, "a")
			if !resp.IsBodyStream() || report.Status != 200 {
				t.Fatalf("not passed on while it comes: %+v", report)
			}
			close(held)
			wire, err := write(resp)
			if err != nil {
				t.Fatal(err)
			}
			got, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire)), nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(got.Body); err != nil || !bytes.Equal(body, large) {
				t.Errorf("%d bytes of %d, %v", len(body), len(large), err)
			}
			d.waitIdle(t)
			if _, report := order.serve(t, f, "b"); name != "close" && !report.Attempts[0].Reused {
				t.Error("the connection is not used again")
			}
		})
	}
}

// waitIdle waits until every granted request has ended.
func (d *inTurn) waitIdle(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		open := d.open
		d.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests never end", open)
		}
	}
}

// An answer that breaks off must not look whole, wherever it does and however it is framed.
func TestAnswerThatBreaksOffNeverLooksWhole(t *testing.T) {
	for name, send := range framings {
		for _, sent := range []int{0, 1, gatherMost - 1, gatherMost, gatherMost + 1, 2 * gatherMost, len(large) - 1} {
			t.Run(fmt.Sprint(name, " after ", sent), func(t *testing.T) {
				u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
					send(c, string(req.Header.Peek("Request-Id")), large[:sent], false)
					if name == "close" {
						// Without a length only a reset tells that more was to come.
						time.Sleep(20 * time.Millisecond)
						return reset(0, req, c)
					}
					return false
				})
				d := dispatcherOf(u.listener.Addr().String())
				resp, report := order.serve(t, New(d), "a")
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
					t.Errorf("the caller reads %d bytes of %d without an error", len(body), len(large))
				}
				d.waitIdle(t)
			})
		}
	}
}

// A caller that cannot be told where an answer without a length ends does not get one that
// may break off.
func TestHTTP10CallerGetsNoAnswerOfUnknownEnd(t *testing.T) {
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		framings["chunks"](c, string(req.Header.Peek("Request-Id")), large, true)
		return true
	})
	old := order
	old.http10 = true
	if _, report := old.serve(t, New(dispatcherOf(u.listener.Addr().String())), "a"); report.Status != 502 {
		t.Errorf("status %d", report.Status)
	}
}

// An endpoint in trouble sends bytes without end until its caller closes. Each costs a bounded
// part of them, an order is not called unrun, and a lookup goes on elsewhere.
func TestBytesWithoutEnd(t *testing.T) {
	head := func(req *fasthttp.Request, rest string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n%s", req.Header.Peek("Request-Id"), rest)
	}
	const sent = 4 << 20 // What sockets and buffers may hold, many times over what is read.
	for name, tc := range map[string]struct {
		first func(req *fasthttp.Request) string
		again string
	}{
		"no answer":             {func(*fasthttp.Request) string { return "" }, "\x00\x01garbage"},
		"lines that say little": {func(*fasthttp.Request) string { return "" }, "\r\n"},
		"status line":           {func(*fasthttp.Request) string { return "HTTP/1.1 200 " }, "fine "},
		"head":                  {func(r *fasthttp.Request) string { return head(r, "") }, "X-Filler: 0123456789abcdef\r\n"},
		"one header":            {func(r *fasthttp.Request) string { return head(r, "X-Filler: ") }, "0123456789abcdef"},
		"interim answers":       {func(*fasthttp.Request) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n"},
		"continue":              {func(*fasthttp.Request) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk size":            {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n") }, "0"},
		"chunk extension":       {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n5;") }, "ext=1;"},
		"extension of the last": {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0;") }, "ext=1;"},
		"trailers":              {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0\r\n") }, "X-Filler: 0123456789abcdef\r\n"},
		"one trailer":           {func(r *fasthttp.Request) string { return head(r, "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ") }, "0123456789abcdef"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			endless := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				_, err := io.WriteString(c, tc.first(req))
				for filler := strings.Repeat(tc.again, 4096/len(tc.again)); err == nil; {
					var n int
					n, err = io.WriteString(c, filler)
					written.Add(int64(n))
				}
				return false
			})
			ok := startUpstream(t, serveOK)
			if _, report := order.serve(t, New(dispatcherOf(endless.listener.Addr().String(), ok.listener.Addr().String())), "a"); report.Status != 502 || len(report.Attempts) != 1 {
				t.Errorf("order: %+v", report)
			}
			if resp, report := lookup.serve(t, New(dispatcherOf(endless.listener.Addr().String(), ok.listener.Addr().String())), "b"); string(resp.Body()) != "fine" {
				t.Errorf("lookup: %+v", report)
			}
			if got := written.Load(); got > 2*sent {
				t.Errorf("%d bytes were taken", got)
			}
		})
	}
}

// Bytes without end after a whole answer, or in a body that never ends, cost no memory, and
// end with the request.
func TestBodyWithoutEndIsBounded(t *testing.T) {
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
			d := dispatcherOf(u.listener.Addr().String())
			short := order
			short.timeout = 300 * time.Millisecond
			resp, report := short.serve(t, New(d), "a")
			if report.Status != 200 {
				t.Fatalf("%+v", report)
			}
			w := bufio.NewWriter(io.Discard)
			if err := resp.Write(w); (err == nil) != (name == "after answer") {
				t.Errorf("written: %v", err)
			}
			d.waitIdle(t)
			select {
			case <-gone:
			case <-time.After(patience):
				t.Error("the endpoint still sends")
			}
		})
	}
}

// The load that it answers: many callers on slow links ask for large answers at once. What is
// held of them is bounded whatever their number.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	const readers = 200
	body := bytes.Repeat(large, 4) // 4 MB each: 800 MB if they were gathered.
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: %d\r\n\r\n", req.Header.Peek("Request-Id"), len(body))
		_, err := c.Write(body)
		return err == nil
	})
	var addrs []string
	for range readers {
		addrs = append(addrs, u.listener.Addr().String())
	}
	f := New(dispatcherOf(addrs...))
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
			answers[i], _ = order.serve(t, f, fmt.Sprint("r", i))
		}()
	}
	all.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	const perReader = 64 << 10 // Buffers, request and goroutines besides.
	if got, most := after.HeapAlloc-before.HeapAlloc, uint64(gatherTotal+readers*perReader); after.HeapAlloc > before.HeapAlloc && got > most {
		t.Errorf("%d answers of %d bytes hold %d bytes, at most %d", readers, len(body), got, most)
	}
	for _, resp := range answers {
		if !resp.IsBodyStream() {
			t.Fatalf("an answer of %d bytes was gathered", len(resp.Body()))
		}
		_ = resp.CloseBodyStream()
	}
}
