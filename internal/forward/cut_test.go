package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// cutAnswer is an answer in full, of which an endpoint sends a part.
type cutAnswer struct {
	text    string // With %s for the ID of the request.
	method  string
	body    string
	cutFrom int // First byte from which a cut with FIN is a complete answer; 0 if there is none.
}

func (a cutAnswer) full(id string) string {
	return strings.ReplaceAll(a.text, "%s", id)
}

// TestAnswerCutAtAnyByteNeverLooksComplete guards against a success with an empty or short body after an
// endpoint stopped in the middle of its answer.
func TestAnswerCutAtAnyByteNeverLooksComplete(t *testing.T) {
	const head = "Request-Id: %s\r\nServer-Stamp: 3e.07\r\nKeep-Alive: timeout=10\r\n"
	large := strings.Repeat("0123456789abcdef", 10<<10/16)
	chunkedBody := "4\r\nfine\r\n6;x=1\r\n as an\r\n0\r\n"
	closeDelimited := "HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\n\r\n"
	for name, a := range map[string]cutAnswer{
		"length":              {text: "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nfine", body: "fine"},
		"length first":        {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + head + "\r\nfine", body: "fine"},
		"empty":               {text: "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"},
		"chunks":              {text: "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody + "\r\n", body: "fine as an"},
		"chunks and trailer":  {text: "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody + "X-Sum: 4\r\n\r\n", body: "fine as an"},
		"ends with FIN":       {text: closeDelimited + "fine", body: "fine", cutFrom: len(closeDelimited)},
		"interim first":       {text: "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nfine", body: "fine"},
		"HTTP/1.0":            {text: "HTTP/1.0 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nfine", body: "fine"},
		"HEAD":                {text: "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\n", method: "HEAD"},
		"no content":          {text: "HTTP/1.1 204 No Content\r\n" + head + "\r\n"},
		"large with a length": {text: "HTTP/1.1 200 OK\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large, body: large},
		"large in chunks":     {text: "HTTP/1.1 200 OK\r\n" + head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(large)) + large + "\r\n0\r\n\r\n", body: large},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, kept := range []bool{false, true} {
				for _, withReset := range []bool{false, true} {
					testCuts(t, a, kept, withReset)
				}
			}
		})
	}
}

// cutPositions returns where to cut an answer: everywhere, except within a large body.
func cutPositions(size int) []int {
	const edge = 180
	var list []int
	for k := 0; k <= size; k++ {
		if k <= edge || k >= size-edge || k%997 == 0 {
			list = append(list, k)
		}
	}
	return list
}

func testCuts(t *testing.T, a cutAnswer, kept, withReset bool) {
	t.Helper()
	var position atomic.Int64
	u := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
		if kept && n%2 == 1 {
			return answer(c, req, 200, "whole")
		}
		text := a.full(string(req.Header.Peek("Request-Id")))
		_, _ = io.WriteString(c, text[:min(int(position.Load()), len(text))])
		if withReset {
			// The reset must not overtake the bytes.
			time.Sleep(time.Millisecond)
			return reset(0, req, c)
		}
		return false
	})
	f := New(newSequentialDispatcher(u.listener.Addr().String()))
	f.SetInServiceCount(func() int64 { return totalBuffered / minBuffered })
	method := a.method
	if method == "" {
		method = "POST"
	}
	for i, k := range cutPositions(len(a.full("r00000"))) {
		position.Store(int64(k))
		if kept {
			if resp, report := nonIdempotentCall.serveSent(t, f, fmt.Sprintf("k%05d", i)); resp.StatusCode() != 200 {
				t.Fatalf("request before the cut: %+v", report)
			}
		}
		resp, report := call{maxAttempts: 3, method: method}.serveSent(t, f, fmt.Sprintf("r%05d", i))
		whole := k == len(a.full("r00000"))
		endsWithFIN := a.cutFrom > 0 && k >= a.cutFrom+len("r00000")-len("%s") && !withReset
		checkCut(t, a, resp, report, k, whole && !(withReset && a.cutFrom > 0), endsWithFIN)
	}
}

// checkCut writes an answer as a caller gets it and reads it as one.
func checkCut(t *testing.T, a cutAnswer, resp *fasthttp.Response, report Report, position int, whole, endsWithFIN bool) {
	t.Helper()
	var wire bytes.Buffer
	w := bufio.NewWriter(&wire)
	resp.SkipBody = a.method == "HEAD"
	_ = resp.Write(w)
	_ = w.Flush()
	read, err := http.ReadResponse(bufio.NewReader(&wire), &http.Request{Method: a.method})
	if err != nil {
		if whole {
			t.Errorf("cut at %d: %v, %+v", position, err, report)
		}
		return
	}
	body, err := io.ReadAll(read.Body)
	complete := err == nil && read.StatusCode < 300
	switch {
	case whole && (!complete || string(body) != a.body):
		t.Errorf("whole answer: status %d, %d bytes, %v, %+v", read.StatusCode, len(body), err, report)
	case !whole && !endsWithFIN && complete:
		t.Errorf("cut at %d: status %d with %d bytes looks complete", position, read.StatusCode, len(body))
	case !whole && read.StatusCode == 503:
		t.Errorf("cut at %d: told that the request has not run: %+v", position, report)
	}
}
