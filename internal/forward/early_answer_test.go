package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/platform"
)

// startHeadReader starts an endpoint that reads only the head of each request and passes the request's ID to script.
// The rest of the request is left to be read from br. The connection stays open while script returns true.
func startHeadReader(t *testing.T, script func(id string, c *net.TCPConn, br *bufio.Reader) bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for open := true; open; {
					if _, err := br.ReadString('\n'); err != nil {
						return
					}
					header, err := textproto.NewReader(br).ReadMIMEHeader()
					if err != nil {
						return
					}
					open = script(header.Get("Request-Id"), c.(*net.TCPConn), br)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a POST with a body of size bytes and returns what the caller gets, as it reads it: the status is 0 if
// the answer does not look complete.
func upload(t *testing.T, f *Forwarder, id string, size int) (status int, got []byte, report Report) {
	t.Helper()
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI("/upload")
	req.Header.SetHost("h.example")
	req.Header.Set("Request-Id", id)
	var resp fasthttp.Response
	for end := time.Now().Add(testTimeout); ; {
		report = f.Serve(t.Context(), Request{
			ID: id, Service: "s", HTTP: &req, Body: body.New(make([]byte, size)), Arrived: time.Now(), Deadline: time.Now().Add(testTimeout),
			Route: platform.Route{MaxAttempts: 1, Objective: testTimeout},
		}, &resp)
		if len(report.Attempts) > 0 && report.Attempts[0].Outcome != outcomeNotSent.String() || time.Now().After(end) {
			break
		}
	}
	wire, _ := write(&resp)
	read, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire)), nil)
	if err != nil {
		return 0, nil, report
	}
	got, err = io.ReadAll(read.Body)
	if err != nil {
		return 0, got, report
	}
	return read.StatusCode, got, report
}

// uploadSizes are below and above what the buffers of a socket hold.
var uploadSizes = []int{64 << 10, 1 << 20, 16 << 20}

// finThenReset ends an answer properly if the upload was written by then.
const finThenReset = "FIN, then reset"

// closings are the ways in which an endpoint that has not read an upload ends its connection.
var closings = map[string]func(c *net.TCPConn){
	"reset":             func(c *net.TCPConn) { _ = c.SetLinger(0) },
	"reset after 5 ms":  func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) },
	"reset after 80 ms": func(c *net.TCPConn) { time.Sleep(80 * time.Millisecond); _ = c.SetLinger(0) },
	"close":             func(*net.TCPConn) {},
	"close after 80 ms": func(*net.TCPConn) { time.Sleep(80 * time.Millisecond) },
	finThenReset: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	},
}

// An endpoint answers an upload without a length before it has read it, and ends the connection with a reset. A
// failed write reports the reset, and the next read a plain end of the stream.
func TestEarlyAnswerThatEndsWithResetIsIncomplete(t *testing.T) {
	const signed = "Request-Id: %s\r\nServer-Stamp: 3e.07\r\n"
	for name, tc := range map[string]struct {
		head string
		body int
	}{
		"Connection: close":    {"HTTP/1.1 200 OK\r\n" + signed + "Connection: close\r\n\r\n", 100},
		"no Connection header": {"HTTP/1.1 200 OK\r\n" + signed + "\r\n", 100},
		"HTTP/1.0":             {"HTTP/1.0 200 OK\r\n" + signed + "\r\n", 100},
		"empty body":           {"HTTP/1.1 200 OK\r\n" + signed + "Connection: close\r\n\r\n", 0},
		"streamed":             {"HTTP/1.1 200 OK\r\n" + signed + "Connection: close\r\n\r\n", 300 << 10},
	} {
		for closing, end := range closings {
			for _, size := range uploadSizes {
				if closing == finThenReset && size < slices.Max(uploadSizes) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, %d KiB", name, closing, size>>10), func(t *testing.T) {
					addr := startHeadReader(t, func(id string, c *net.TCPConn, _ *bufio.Reader) bool {
						_, _ = fmt.Fprintf(c, tc.head, id)
						_, _ = c.Write(make([]byte, tc.body))
						end(c)
						return false
					})
					if status, got, report := upload(t, New(newSequentialDispatcher(addr)), "a", size); status == 200 {
						t.Errorf("%d of %d bytes look complete: %+v", len(got), tc.body, report)
					}
				})
			}
		}
	}
}

// An early answer that marks its own end is complete, whatever becomes of the upload and of the connection.
func TestEarlyAnswerWithItsOwnEndIsDelivered(t *testing.T) {
	const signed = "Request-Id: %s\r\nServer-Stamp: 3e.07\r\n"
	long := strings.Repeat("x", 2*minBuffered)
	for name, tc := range map[string]struct {
		answer string
		status int
		body   string
	}{
		"413":              {"HTTP/1.1 413 X\r\n" + signed + "Connection: close\r\nContent-Length: 4\r\n\r\nlong", 413, "long"},
		"length":           {"HTTP/1.1 200 X\r\n" + signed + "Content-Length: 4\r\n\r\nfine", 200, "fine"},
		"no body":          {"HTTP/1.1 204 X\r\n" + signed + "\r\n", 204, ""},
		"chunks":           {"HTTP/1.1 200 X\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", 200, "fine"},
		"streamed, length": {"HTTP/1.1 200 X\r\n" + signed + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, 200, long},
		"streamed, chunks": {"HTTP/1.1 200 X\r\n" + signed + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)) + long + "\r\n0\r\n\r\n", 200, long},
	} {
		for closing, end := range closings {
			for _, size := range uploadSizes {
				t.Run(fmt.Sprintf("%s, %s, %d KiB", name, closing, size>>10), func(t *testing.T) {
					addr := startHeadReader(t, func(id string, c *net.TCPConn, _ *bufio.Reader) bool {
						_, _ = io.WriteString(c, strings.ReplaceAll(tc.answer, "%s", id))
						end(c)
						return false
					})
					f := New(newSequentialDispatcher(addr))
					f.SetInServiceCount(func() int64 { return totalBuffered / minBuffered })
					status, got, report := upload(t, f, "a", size)
					if status != tc.status || string(got) != tc.body {
						t.Errorf("status %d, %d bytes: %+v", status, len(got), report)
					}
				})
			}
		}
	}
}

// A body that ends with a clean FIN is complete if the request was written, also one that came before the upload was read.
func TestEarlyAnswerThatEndsWithFINIsDelivered(t *testing.T) {
	for _, size := range uploadSizes {
		for _, body := range []string{"", "fine", strings.Repeat("x", 2*minBuffered)} {
			addr := startHeadReader(t, func(id string, c *net.TCPConn, br *bufio.Reader) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n\r\n%s", id, body)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, br)
				return false
			})
			f := New(newSequentialDispatcher(addr))
			f.SetInServiceCount(func() int64 { return totalBuffered / minBuffered })
			if status, got, report := upload(t, f, "a", size); status != 200 || string(got) != body {
				t.Errorf("upload of %d KiB: status %d, %d of %d bytes, %+v", size>>10, status, len(got), len(body), report)
			}
		}
	}
}

// An endpoint answers before it has read an upload, and reads on later. Nothing else may be sent to it as the rest of
// that upload.
func TestConnectionWithUnwrittenRequestIsNotReused(t *testing.T) {
	const size = 16 << 20
	var wrong atomic.Int64
	addr := startHeadReader(t, func(id string, c *net.TCPConn, br *bufio.Reader) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: 4\r\n\r\nfine", id)
		time.Sleep(20 * time.Millisecond)
		received, _ := io.ReadAll(io.LimitReader(br, size))
		if bytes.ContainsFunc(received, func(r rune) bool { return r != 0 }) {
			wrong.Add(1)
		}
		return true
	})
	f := New(newSequentialDispatcher(addr, addr))
	for _, id := range []string{"a", "b", "c"} {
		if status, _, report := upload(t, f, id, size); status != 200 {
			t.Errorf("%s: status %d, %+v", id, status, report)
		}
	}
	if wrong.Load() > 0 {
		t.Errorf("%d uploads were followed by bytes of another request", wrong.Load())
	}
}
