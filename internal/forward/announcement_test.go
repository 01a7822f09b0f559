package forward

import (
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// answerWith writes a signed answer with further header lines.
func answerWith(c net.Conn, id string, status int, lines string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: 3e.07\r\nContent-Length: 0\r\n%s\r\n", status, id, lines)
	return err == nil
}

// Only a valid answer to the request itself, of the endpoint that was meant, announces anything.
func TestAnnouncementsThatCount(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	for name, tc := range map[string]struct {
		script func(id string, c net.Conn) bool
		counts int64
	}{
		"served":       {func(id string, c net.Conn) bool { return answerWith(c, id, 200, leaving) }, 1},
		"failed":       {func(id string, c net.Conn) bool { return answerWith(c, id, 500, leaving) }, 1},
		"not executed": {func(id string, c net.Conn) bool { return answerWith(c, id, 503, leaving+"Not-Executed: 1\r\n") }, 1},
		"of another endpoint at the address": {func(id string, c net.Conn) bool {
			return answerWith(c, id, 421, leaving+"Not-Executed: 1\r\n")
		}, 0},
		"another request's answer first": {func(id string, c net.Conn) bool {
			return answerWith(c, "another", 200, leaving) && answerWith(c, id, 200, "")
		}, 0},
		"unsigned": {func(id string, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, leaving)
			return err == nil
		}, 0},
		"refused without proof": {func(id string, c net.Conn) bool { return answerWith(c, id, 503, leaving) }, 0},
		"cut in its body": {func(id string, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e.07\r\n%sContent-Length: 9\r\n\r\nx", id, leaving)
			return false
		}, 0},
		"invalid": {func(id string, c net.Conn) bool { return answerWith(c, id, 200, "Server-Leaving: yes\r\n") }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				return tc.script(string(req.Header.Peek("Request-Id")), c)
			})
			f := New(newSequentialDispatcher(u.listener.Addr().String()))
			nonIdempotentCall.serveSent(t, f, "r1")
			if got := f.Counts().LeavingAnswers; got != tc.counts {
				t.Errorf("%d answers announce a leaving, want %d", got, tc.counts)
			}
		})
	}
}
