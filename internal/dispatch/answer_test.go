package dispatch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

func header(a exchange.Answer, name string) (string, bool) {
	for _, h := range a.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value, true
		}
	}
	return "", false
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	u := newRawUpstream(t, always(ok("cut")))
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	r := post("curtain 120x80")
	r.URI = "//fabrics/a%2Fb/../c?u=http://x/y&empty="
	r.Headers = []exchange.Header{
		{Name: "Host", Value: "shop.example"},
		{Name: "Content-Type", Value: "text/plain"},
		{Name: "X-Twice", Value: "1"},
		{Name: "X-Twice", Value: "2"},
		{Name: "Connection", Value: "close, X-Hop"},
		{Name: "X-Hop", Value: "dropped"},
		{Name: "Te", Value: "trailers"},
	}
	r.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	a := d.Execute(context.Background(), r)
	if a.Code != result.CodeAnswered || a.Execution != result.Ran || string(a.Body) != "cut" {
		t.Fatalf("answer %+v", a)
	}
	got := u.requests[0]
	if got.RequestURI != r.URI {
		t.Errorf("URI %q, want %q", got.RequestURI, r.URI)
	}
	if got.Host != "shop.example" || u.bodies[0] != "curtain 120x80" || got.Header.Get("Content-Type") != "text/plain" {
		t.Errorf("host %q, body %q, headers %v", got.Host, u.bodies[0], got.Header)
	}
	if values := got.Header.Values("X-Twice"); len(values) != 2 {
		t.Errorf("X-Twice %v", values)
	}
	for _, name := range []string{"X-Hop", "Te", "User-Agent"} {
		if got.Header.Get(name) != "" {
			t.Errorf("%s reached the upstream", name)
		}
	}
	if got.Header.Get(HeaderDeadline) == "" {
		t.Error("the deadline did not reach the upstream")
	}
	if parent := got.Header.Get("Traceparent"); !strings.HasPrefix(parent, "00-0af7651916cd43dd8448eb211c80319c-") {
		t.Errorf("traceparent %q", parent)
	}
}

func TestCompleteAnswers(t *testing.T) {
	cases := []struct {
		name, method, raw string
		status            int
		body              string
		header, value     string
	}{
		{"length", "GET", ok("abc"), 200, "abc", "", ""},
		{"empty", "GET", ok(""), 200, "", "", ""},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 200, "abcde", "", ""},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n", 200, "", "Content-Length", "512"},
		{"no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", "", ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"v\"\r\nContent-Length: 9\r\n\r\n", 304, "", "ETag", "\"v\""},
		{"redirect", "GET", "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", 302, "", "Location", "/elsewhere"},
		{"continue", "GET", "HTTP/1.1 100 Continue\r\n\r\n" + ok("abc"), 200, "abc", "", ""},
		{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", 200, "abc", "", ""},
		{"failure", "GET", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops", 500, "oops", "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, always(c.raw))
			d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
			r := get("/")
			r.Method = c.method
			for range 2 {
				a := d.Execute(context.Background(), r)
				if a.Code != result.CodeAnswered || a.Status != c.status || string(a.Body) != c.body {
					t.Fatalf("answer %+v, body %q", a, a.Body)
				}
				if value, _ := header(a, c.header); c.header != "" && value != c.value {
					t.Fatalf("%s is %q, want %q", c.header, value, c.value)
				}
				for _, hop := range []string{"Connection", "Transfer-Encoding"} {
					if _, there := header(a, hop); there {
						t.Fatalf("%s was forwarded", hop)
					}
				}
			}
		})
	}
}

func TestInvalidAnswers(t *testing.T) {
	big := strings.Repeat("x", 65<<10)
	cases := []struct {
		name, raw string
		code      result.Code
	}{
		{"nothing", "", result.CodeAnswerCutOff},
		{"header cut off", "HTTP/1.1 200 OK\r\nContent-", result.CodeAnswerCutOff},
		{"body short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", result.CodeAnswerCutOff},
		{"chunk cut off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", result.CodeAnswerCutOff},
		{"last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", result.CodeAnswerCutOff},
		{"last line missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", result.CodeAnswerCutOff},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nabc", result.CodeAnswerCutOff},
		{"not HTTP", "NOT HTTP AT ALL\r\n\r\n", result.CodeAnswerMalformed},
		{"bad length", "HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nabc", result.CodeAnswerMalformed},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", result.CodeAnswerMalformed},
		{"not final", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok("abc"), result.CodeAnswerMalformed},
		{"not final, alone", "HTTP/1.1 103 Early Hints\r\n\r\n", result.CodeAnswerMalformed},
		{"bytes after the end", ok("abc") + ok("of another"), result.CodeAnswerMalformed},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 3\r\n\r\nabcdefghi", result.CodeAnswerMalformed},
		{"too large", ok(big), result.CodeAnswerMalformed},
		{"too large in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10400\r\n" + big + "\r\n0\r\n\r\n", result.CodeAnswerMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
				_, _ = conn.Write([]byte(c.raw))
				_ = conn.Close()
			})
			r := newRecorder()
			d := testDispatcher(t, r, targetsOf(1, u.endpoint()))
			a := d.Execute(context.Background(), post("curtain"))
			if a.Code != c.code || a.Execution != result.Unknown {
				t.Fatalf("answer %+v, body %q", a, a.Body)
			}
			if u.count() != 1 {
				t.Fatalf("the request reached the upstream %d times", u.count())
			}
			if seen := <-r.observed; !seen.Failed {
				t.Fatalf("observed %+v", seen)
			}
		})
	}
}
