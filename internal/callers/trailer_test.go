package callers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
)

// recordingHandler records the details of rejections and the heads of requests.
type recordingHandler struct {
	*echoHandler

	mu      sync.Mutex
	details []string
	heads   []string
}

func (r *recordingHandler) Reject(code result.Code, detail string, resp *fasthttp.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.details = append(r.details, detail)
	r.echoHandler.Reject(code, detail, resp)
	resp.SetBodyString(detail)
}

func (r *recordingHandler) Serve(_ context.Context, req Request, _ *fasthttp.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heads = append(r.heads, string(req.HTTP.Header.Header()))
}

func serveRecording(t *testing.T) (*Server, *recordingHandler) {
	t.Helper()
	h := &recordingHandler{echoHandler: newEchoHandler()}
	s, err := Listen("127.0.0.1:0", h, Options{DropTrailer: func(name string) bool { return strings.EqualFold(name, "Dropped") }})
	if err != nil {
		t.Fatal(err)
	}
	return s, h
}

const (
	key         = "k-1f9d3c"
	plainHead   = "GET / HTTP/1.1\r\nHost: h\r\n"
	chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nX-Head: 1\r\nTransfer-Encoding: chunked\r\n"
	chunkedBody = "\r\n3\r\nabc\r\n0\r\n"
)

// Guards answers and logs against credentials in requests that cannot be read, and the names of fields.
func TestRejectionsQuoteNoCredential(t *testing.T) {
	type request struct {
		text   string
		status int
	}
	requests := map[string]request{
		"control character in a value": {plainHead + "Authorization: Token " + key + "\x01\r\n\r\n", 400},
		"no colon":                     {plainHead + "Authorization Token " + key + "\r\n\r\n", 400},
		"length":                       {plainHead + "Content-Length: " + key + "\r\n\r\n", 400},
		"coding":                       {plainHead + "Transfer-Encoding: " + key + "\r\n\r\n", 400},
		"bare line feed":               {plainHead + "Authorization: Token " + key + "\nA: b\r\n\r\n", 400},
		"folded":                       {plainHead + "Authorization:\r\n Token " + key + "\r\n\r\n", 400},
		"no host":                      {"GET / HTTP/1.1\r\nAuthorization: Token " + key + "\r\n\r\n", 400},
		"method":                       {"G@T / HTTP/1.1\r\nHost: h\r\nAuthorization: Token " + key + "\r\n\r\n", 400},
		"request line":                 {"GET /" + key + "\r\nHost: h\r\nAuthorization: Token " + key + "\r\n\r\n", 400},
		"version":                      {"GET / HTTP/" + key + "\r\nHost: h\r\n\r\n", 400},
		"announced trailer":            {plainHead + "Trailer: Authorization\r\nAuthorization: Token " + key + "\r\n\r\n", 400},
		"large":                        {plainHead + "Authorization: Token " + strings.Repeat(key, 2000) + "\r\n\r\n", 431},
		"length of a chunk":            {chunkedHead + "\r\n" + key + "\r\n", 400},
		"end of a chunk":               {chunkedHead + "\r\n2\r\n" + key + "\r\n", 400},
		"bare line feed of a chunk":    {chunkedHead + "\r\n2;" + key + "\n", 400},
		"large trailer":                {chunkedHead + chunkedBody + "A: " + strings.Repeat(key, 2000) + "\r\n\r\n", 431},
	}
	lines := map[string]string{
		"no colon": "Authorization Token " + key, "folded": "A: b\r\n Token " + key, "bare line feed": "A: " + key + "\nB: c",
		"bare carriage return": "A: " + key + "\rTenant: c", "control character": "A: " + key + "\x01",
	}
	for _, c := range " \t\x00\x01\x0b\x1f\x7f\x80()[]{}<>@,;/?=\"\\" {
		lines[fmt.Sprintf("%q before a name", c)] = string(c) + "Tenant: " + key
		lines[fmt.Sprintf("%q in a name", c)] = "Ten" + string(c) + "ant: " + key
		lines[fmt.Sprintf("%q after a name", c)] = "Tenant" + string(c) + ": " + key
	}
	for name, line := range lines {
		requests["head: "+name] = request{plainHead + line + "\r\n\r\n", 400}
		requests["trailer: "+name] = request{chunkedHead + chunkedBody + line + "\r\n\r\n", 400}
	}
	for _, name := range []string{"Content-Length", "Host", "Transfer-Encoding", "Authorization", "Cookie", "Connection", "TE"} {
		requests["trailer: "+name] = request{chunkedHead + chunkedBody + name + ": " + key + "\r\n\r\n", 400}
	}
	s, h := serveRecording(t)
	run(t, s)
	for name, tc := range requests {
		c, br := dial(t, s)
		send(t, c, tc.text)
		status, answer := readAnswer(t, br)
		if _, err := br.ReadByte(); status != tc.status || strings.Contains(answer, key) || len(answer) > 200 || err != io.EOF {
			t.Errorf("%s: %d %q, then %v", name, status, answer, err)
		}
		_ = c.Close()
	}
	if text := strings.Join(h.details, "\n"); strings.Contains(text, key) || len(h.details) != len(requests) || len(h.heads) > 0 {
		t.Errorf("%d of %d requests were rejected with %s", len(h.details), len(requests), text)
	}
}

// Guards the traffic to upstreams: what is not dropped reaches the handler as fasthttp reads it.
func TestFieldsOfTrailers(t *testing.T) {
	for name, tc := range map[string]struct{ head, sent, kept string }{
		"none":               {"", "", ""},
		"one":                {"", "X-A: b\r\n", "X-A: b\r\n"},
		"several":            {"", "x-a:b\r\nX-B:\r\nx-a:  c \t\r\n", "x-a:b\r\nX-B:\r\nx-a:  c \t\r\n"},
		"announced":          {"Trailer: X-A\r\n", "X-A: b\r\n", "X-A: b\r\n"},
		"as in the head":     {"X-A: a\r\nUser-Agent: u\r\n", "X-A: b\r\nUser-Agent: v\r\n", "X-A: b\r\nUser-Agent: v\r\n"},
		"dropped":            {"Dropped: a\r\n", "X-A: b\r\nDropped: c\r\ndROPPED:\r\nX-C: d\r\n", "X-A: b\r\nX-C: d\r\n"},
		"dropped alone":      {"", "Dropped: c\r\n", ""},
		"name like a chunk":  {"", "X-A: b\r\n0ab-Dropped: c\r\n", "X-A: b\r\n0ab-Dropped: c\r\n"},
		"name of the marker": {"", "0: b\r\n", "0: b\r\n"},
	} {
		s, h := serveRecording(t)
		run(t, s)
		c, br := dial(t, s)
		for range 2 {
			send(t, c, chunkedHead+tc.head+chunkedBody+tc.sent+"\r\n")
			if status, answer := readAnswer(t, br); status != 200 {
				t.Errorf("%s: %d %s", name, status, answer)
			}
		}
		var want fasthttp.RequestHeader
		if err := want.Read(bufio.NewReader(strings.NewReader(chunkedHead + tc.head + "\r\n"))); err != nil {
			t.Fatal(err)
		}
		if err := want.ReadTrailer(bufio.NewReader(strings.NewReader("0\r\n" + tc.kept + "\r\n"))); err != nil {
			t.Fatal(err)
		}
		want.SetContentLength(len("abc"))
		if got := strings.Join(h.heads, ""); got != strings.Repeat(string(want.Header()), 2) {
			t.Errorf("%s: got %s\nwant twice %s", name, got, want.Header())
		}
	}
}

// A trailer of the bound of the head is longer than the buffer of a new connection.
func TestTrailerOfTheBound(t *testing.T) {
	s, h := serveRecording(t)
	run(t, s)
	c, br := dial(t, s)
	field := "X-A: " + strings.Repeat("a", h.limits.HeadBytes-len("X-A: \r\n\r\n")) + "\r\n"
	send(t, c, chunkedHead+chunkedBody+field+"\r\n"+plainHead+"\r\n")
	for range 2 {
		if status, answer := readAnswer(t, br); status != 200 {
			t.Errorf("%d %s", status, answer)
		}
	}
	if len(h.heads) != 2 || !strings.Contains(h.heads[0], field) {
		t.Errorf("heads %q", h.heads)
	}
}

// A request whose trailer breaks off is not complete and is not served.
func TestTrailerThatBreaksOff(t *testing.T) {
	s, h := serveRecording(t)
	run(t, s)
	c, br := dial(t, s)
	send(t, c, plainHead+"\r\n")
	if status, answer := readAnswer(t, br); status != 200 {
		t.Errorf("%d %s", status, answer)
	}
	send(t, c, chunkedHead+chunkedBody+"X-A: b\r\n")
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := br.ReadByte(); err != io.EOF || len(h.heads) > 1 {
		t.Errorf("%v, heads %q", err, h.heads)
	}
}

// endlessConn is a connection of a caller that sends a start and then repeats a part without an end.
type endlessConn struct {
	net.Conn // Nil; the server calls no other methods.

	start, part string
	read        int // Bytes.
	answer      bytes.Buffer
}

func (c *endlessConn) Read(p []byte) (int, error) {
	n := copy(p, c.start)
	c.start = c.start[n:]
	for n < len(p) {
		n += copy(p[n:], c.part)
	}
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error)      { return c.answer.Write(p) }
func (c *endlessConn) Close() error                     { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against callers that send without an end: what is read of them before their request is rejected, and the
// memory that it takes, follow from the bounds of a request. What is read afterwards is discarded.
func TestEndlessRequests(t *testing.T) {
	const chunkOverhead = 16 << 10 // Bytes of extensions that the reader of chunks allows in addition to twice the data.
	for name, tc := range map[string]struct {
		start, part string
		status      string
	}{
		"request line":               {"GET /", "a", "431"},
		"empty lines":                {"", "\r\n", "400"},
		"value":                      {plainHead + "X-A: ", "a", "431"},
		"name":                       {plainHead, "a", "431"},
		"fields":                     {plainHead, "X-A: b\r\n", "431"},
		"length of a chunk":          {chunkedHead + "\r\n", "0", "400"},
		"extension of a chunk":       {chunkedHead + "\r\n1;", "a", "400"},
		"extension of the last one":  {chunkedHead + "\r\n1\r\na\r\n0;", "a", "400"},
		"chunks with extensions":     {chunkedHead + "\r\n", "1;" + strings.Repeat("a", 4000) + "\r\na\r\n", "400"},
		"chunks of a byte":           {chunkedHead + "\r\n", "1\r\na\r\n", "413"},
		"name in a trailer":          {chunkedHead + chunkedBody, "a", "431"},
		"value in a trailer":         {chunkedHead + chunkedBody + "X-A: ", "a", "431"},
		"fields of a trailer":        {chunkedHead + chunkedBody, "X-A: b\r\n", "431"},
		"dropped fields of trailers": {chunkedHead + chunkedBody, "Dropped: b\r\n", "431"},
	} {
		s, h := serveRecording(t)
		t.Cleanup(func() { _ = s.listener.Close() })
		caller := &endlessConn{start: tc.start, part: tc.part}
		conn := newConn(s, caller)
		conn.entry = s.table.Open(conn)
		limits := h.limits
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		conn.run()
		runtime.ReadMemStats(&after)
		// A chunk of one byte takes six.
		most := limits.HeadBytes + 6*(limits.BodyBytes+1) + chunkOverhead + limits.HeadBytes + 2*conn.br.Size()
		read := caller.read - lingerBytes
		if !strings.HasPrefix(caller.answer.String(), "HTTP/1.1 "+tc.status) || read > most || conn.br.Size() > limits.HeadBytes || len(h.heads) > 0 {
			t.Errorf("%s: %d bytes read, at most %d allowed, buffer of %d; answer %.30q", name, read, most, conn.br.Size(), caller.answer.String())
		}
		t.Logf("%s: %d bytes read, %d bytes of memory allocated", name, read, after.TotalAlloc-before.TotalAlloc)
	}
}
