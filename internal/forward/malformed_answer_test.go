package forward

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// TestMalformedAnswerIsNotPassedOn sends heads and trailers that are invalid by RFC 9110 and RFC 9112. %s stands for the
// request's ID.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	const signed = "Request-Id: %s\r\nServer-Stamp: 3e.07\r\n"
	const chunked = "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n"
	answers := map[string]string{
		"no last chunk, FIN":  chunked + "4\r\nfine\r\n",
		"size with a sign":    chunked + "+4\r\nfine\r\n0\r\n\r\n",
		"size with a prefix":  chunked + "0x4\r\nfine\r\n0\r\n\r\n",
		"size before a blank": chunked + "4 4\r\nfine\r\n0\r\n\r\n",
		"no size":             chunked + ";a=b\r\nfine\r\n0\r\n\r\n",
		"size ends with LF":   chunked + "4\nfine\r\n0\r\n\r\n",
		"CR in an extension":  chunked + "4;a\rb\r\nfine\r\n0\r\n\r\n",
		"NUL in an extension": chunked + "4;a\x00b\r\nfine\r\n0\r\n\r\n",
		"large size":          chunked + "fffffffffffffffff\r\nfine\r\n0\r\n\r\n",
		"chunk without CRLF":  chunked + "4\r\nfineXX0\r\n\r\n",
	}
	for _, status := range []string{"000", "099", "600", "999", "2000", "0200", "20", "2x0", "-20", "+20", ""} {
		answers["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + signed + "Content-Length: 4\r\n\r\nfine"
	}
	for _, line := range []string{
		"X A: b", "X-A : b", "X- A: b", " X-A: b", "\tX-A: b", "X-A\t: b", "X\x00A: b", "X\x01A: b", "X\x7fA: b", "X\xffA: b", "X(A): b", "X@A: b",
		"X\"A: b", "X/A: b", ": b", "no colon", "X-A: a\x00b", "X-A: a\x01b", "X-A: a\x7fb", "X-A: a\rb", "X-A: a\nX-B: c",
		"X-A: HTTP/1.1 200 OK",
	} {
		answers["first line of the head "+line] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signed + "Content-Length: 4\r\n\r\nfine"
		answers["last line of the head "+line] = "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 4\r\n" + line + "\r\n\r\nfine"
		answers["trailer "+line] = chunked + "4\r\nfine\r\n0\r\n" + line + "\r\n\r\n"
		answers["second trailer "+line] = chunked + "4\r\nfine\r\n0\r\nX-Sum: 4\r\n" + line + "\r\n\r\n"
	}
	for _, line := range []string{
		"Content-Length: 4", "transfer-encoding: chunked", "Connection: close", "Keep-Alive: timeout=5", "TE: trailers", "Trailer: X-A",
		"Upgrade: x", "Proxy-Connection: close", "Proxy-Authenticate: x", "Content-Encoding: gzip", "Content-Type: text/plain", "Content-Range: bytes 0-3/4",
	} {
		answers["trailer "+line] = chunked + "4\r\nfine\r\n0\r\n" + line + "\r\n\r\n"
	}
	for name, text := range answers {
		for _, streamed := range []bool{false, true} {
			text := text
			if streamed {
				filler := strings.Repeat("x", 2*minBuffered)
				if !strings.HasPrefix(text, chunked) {
					continue
				}
				text = strings.Replace(text, chunked, chunked+"4000\r\n"+filler+"\r\n", 1)
			}
			addr := startHeadReader(t, respond(text))
			f := New(newSequentialDispatcher(addr))
			f.SetInServiceCount(func() int64 { return totalBuffered / minBuffered })
			if status, got, report := upload(t, f, "a", 1); status != 502 && status != 0 {
				t.Errorf("%q, streamed %v: status %d, %q, %+v", name, streamed, status, got[:min(len(got), 10)], report)
			}
		}
	}
}

// respond returns a script that sends one answer.
func respond(text string) func(id string, c *net.TCPConn, br *bufio.Reader) bool {
	return func(id string, c *net.TCPConn, br *bufio.Reader) bool {
		_, _ = br.ReadByte() // The request's body.
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "%s", id))
		return false
	}
}

// A trailer comes after the head was acted on, so that it cannot change what the head says.
func TestTrailersDoNotChangeTheAnswer(t *testing.T) {
	const framing = "Transfer-Encoding: chunked\r\n\r\n4 \t;a=\"b\" ; c\r\nfine\r\n0\r\nX-Sum: 4\r\n"
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"valid":                  {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n" + framing + "\r\n", 200},
		"not executed":           {"HTTP/1.1 503 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n" + framing + "Not-Executed: 1\r\n\r\n", 502},
		"encoded":                {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n" + framing + "X-Content-Encoding: gzip\r\n\r\n", 200},
		"ID only in a trailer":   {"HTTP/1.1 200 OK\r\nServer-Stamp: 3e\r\n" + framing + "Request-Id: %s\r\n\r\n", 502},
		"sign only in a trailer": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" + framing + "Server-Stamp: 3e\r\n\r\n", 502},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(newSequentialDispatcher(startHeadReader(t, respond(tc.text))))
			status, got, report := upload(t, f, "a", 1)
			if status != tc.status || status == 200 && string(got) != "fine" {
				t.Errorf("status %d, %q, %+v", status, got, report)
			}
			if name == "not executed" && report.Attempts[0].Outcome == outcomeNotRun.String() {
				t.Errorf("a trailer promises that the request has not run: %+v", report)
			}
		})
	}
}
