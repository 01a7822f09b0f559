package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
)

func TestMalformedHeadsAndTrailersAreNoAnswer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	answers := map[string]string{
		"size before a blank": chunked + "4 4\r\nfine\r\n0\r\n\r\n",
		"NUL in an extension": chunked + "4;a\x00b\r\nfine\r\n0\r\n\r\n",
		"folded":              "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\nContent-Length: 4\r\n\r\nfine",
		"length and chunks":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"other encoding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	}
	for _, status := range []string{"000", "600", "999", "2000", "0200"} {
		answers["status "+status] = "HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nfine"
	}
	for _, line := range []string{"X A: b", "X-A : b", "X- A: b", "X\x01A: b", "X@A: b", "X-A: a\x01b"} {
		answers["head "+line] = "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nfine"
		answers["trailer "+line] = chunked + "4\r\nfine\r\n0\r\n" + line + "\r\n\r\n"
	}
	for name, raw := range answers {
		u := newRawUpstream(t, always(raw))
		d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
		if a := executeSent(d); a.Code != result.CodeAnswerMalformed || a.Execution != result.Unknown {
			t.Errorf("%q: %+v", name, a)
		}
		u.close()
	}
}

// An endpoint sends bytes without end. What is read of them is bounded, and the connection is closed.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const most = 8 << 20 // More than buffers of sockets and the largest body of the test's settings hold.
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct{ first, again string }{
		"no answer":            {"", "\x00\x01garbage"},
		"empty lines":          {"", "\r\n"},
		"status line":          {"HTTP/1.1 200 ", "fine "},
		"head":                 {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n"},
		"one field":            {"HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
		"continue":             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk size":           {chunked, "0"},
		"chunk extension":      {chunked + "5;", "ext=1;"},
		"last chunk extension": {chunked + "0;", "ext=1;"},
		"extensions":           {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"chunks":               {chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"length":               {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		"no length":            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"trailers":             {chunked + "0\r\n", "X-Filler: 0123456789abcdef\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
				defer close(ended)
				_, err := io.WriteString(conn, tc.first)
				filler := strings.Repeat(tc.again, 1+4096/len(tc.again))
				for err == nil && sent.Load() < 4*most {
					var n int
					n, err = io.WriteString(conn, filler)
					sent.Add(int64(n))
				}
				_ = conn.Close()
			})
			d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
			if a := d.Execute(context.Background(), post("curtain")); a.Execution != result.Unknown || a.Code == result.CodeAnswered {
				t.Errorf("%+v", a)
			}
			<-ended
			if sent.Load() > most {
				t.Errorf("%d bytes were sent, the connection was open", sent.Load())
			}
		})
	}
}
