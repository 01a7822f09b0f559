package forward

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestRepeatedRefusalIsNoAnswer guards against taking an earlier refusal, or a part of one, that comes once
// more on a kept connection for the answer to the request in service there.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	const date = "Date: Sat, 05 Dec 2026 01:46:12 GMT\r\n"
	for name, refusal := range map[string]string{
		"id first":  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: first\r\nNot-Executed: 1\r\n" + date + "Content-Length: 4\r\n\r\nbusy",
		"id last":   "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\n" + date + "Request-Id: first\r\n\r\nbusy",
		"no id":     "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\n" + date + "Content-Length: 4\r\n\r\nbusy",
		"400":       "HTTP/1.1 400 Bad Request\r\nNot-Executed: no id\r\n" + date + "Content-Length: 0\r\n\r\n",
		"421":       "HTTP/1.1 421 Misdirected Request\r\n" + date + "Request-Id: first\r\nContent-Length: 0\r\n\r\n",
		"in chunks": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const concurrent, maxTries = 8, 20
			var all sync.WaitGroup
			for first := range concurrent {
				all.Add(1)
				go func() {
					defer all.Done()
					for position := 1 + first; position <= len(refusal); position += concurrent {
						tries := 0
						for !testRepeatedRefusal(t, refusal[:position], position == len(refusal)) {
							if tries++; tries == maxTries {
								t.Errorf("after %q: the connection is not used again", refusal[:position])
								break
							}
						}
					}
				}()
			}
			all.Wait()
		})
	}
}

// testRepeatedRefusal reports whether the second request was sent on the connection of the first. On a busy
// machine the connection may be given up before.
func testRepeatedRefusal(t *testing.T, part string, whole bool) bool {
	t.Helper()
	u := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
		if n == 1 {
			return rejectNotExecuted(n, req, c)
		}
		_, err := io.WriteString(c, part)
		// The endpoint runs the second request.
		return err == nil && answer(c, req, 200, "fine")
	})
	defer func() { _ = u.listener.Close() }()
	other := startUpstream(t, serveOK)
	defer func() { _ = other.listener.Close() }()
	f := New(newSequentialDispatcher(u.listener.Addr().String(), other.listener.Addr().String()))
	nonIdempotentCall.serve(t, f, "first")
	before := other.requests.Load()
	second := nonIdempotentCall
	if !whole {
		second.timeout = time.Second // The rest of the part may never come.
	}
	resp, report := second.serve(t, f, "second")
	if len(report.Attempts) == 0 || !report.Attempts[0].Reused || report.Attempts[0].Outcome == outcomeNotSent.String() {
		return false
	}
	served := resp.StatusCode() == 200 && string(resp.Body()) == "fine" && string(resp.Header.Peek("Server-Stamp")) == "3e.07"
	if got := other.requests.Load() - before; got != 0 || !served && (whole || resp.StatusCode() != 502 && resp.StatusCode() != 504) {
		t.Errorf("after %q: status %d, sent to another endpoint %d times, %+v", part, resp.StatusCode(), got, report)
	}
	return true
}

// TestRefusalWithoutProofIsNoPromise guards against a status that promises "not run" for a request that an
// endpoint may have run.
func TestRefusalWithoutProofIsNoPromise(t *testing.T) {
	for name, text := range map[string]string{
		"503 of one that ran it":       "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: 0\r\n\r\n",
		"429 of one that ran it":       "HTTP/1.1 429 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: 0\r\n\r\n",
		"408 of one that ran it":       "HTTP/1.1 408 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: 0\r\n\r\n",
		"503 without a word":           "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
		"success and not executed":     "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfine",
		"refusal without an id":        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal of another request":   "HTTP/1.1 503 X\r\nRequest-Id: other\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"refusal with two ids":         "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"half a refusal":               "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n",
		"refusal with an unknown body": "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 50\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			odd := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "%s", string(req.Header.Peek("Request-Id"))))
				return false
			})
			other := startUpstream(t, serveOK)
			f := New(newSequentialDispatcher(odd.listener.Addr().String(), other.listener.Addr().String()))
			resp, report := nonIdempotentCall.serveSent(t, f, "a")
			if resp.StatusCode() != 502 || len(report.Attempts) != 1 || len(resp.Header.Peek("Server-Stamp")) != 0 {
				t.Errorf("non-idempotent: status %d, sent to another endpoint %d times, %+v", resp.StatusCode(), other.requests.Load(), report)
			}
			if resp, report := idempotentCall.serveSent(t, f, "b"); string(resp.Body()) != "fine" {
				t.Errorf("idempotent: %q, %+v", resp.Body(), report)
			}
		})
	}
}

// An answer without an id on a new connection kept its request waiting for another until the deadline.
func TestAnswerWithoutIDEndsAttemptAtOnce(t *testing.T) {
	odd := startUpstream(t, func(_ int, _ *fasthttp.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 X\r\nServer-Stamp: 3e\r\nContent-Length: 4\r\n\r\nfine")
		return err == nil
	})
	waiting := nonIdempotentCall
	waiting.timeout = time.Second
	resp, report := waiting.serveSent(t, New(newSequentialDispatcher(odd.listener.Addr().String())), "a")
	if resp.StatusCode() != 502 {
		t.Errorf("status %d, %+v", resp.StatusCode(), report)
	}
}
