package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// executeSent executes an order again until it is sent: on a busy machine a connection may not be made in
// time.
func executeSent(d *Dispatcher) exchange.Answer {
	for end := time.Now().Add(testDeadline); ; {
		a := d.Execute(context.Background(), post("curtain"))
		if a.Code != result.CodeNotSent || time.Now().After(end) {
			return a
		}
	}
}

// Guards against a whole answer with an empty or short body after an endpoint stopped in the middle.
func TestAnswerCutAtAnyByteIsIncomplete(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 01:46:12 GMT\r\nContent-Length: 4\r\nX-Load: 0.5\r\n\r\nfine",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n6;x=1\r\n as an\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nfine\r\n0\r\nX-Sum: 4\r\n\r\n",
		"closes":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nX-Not-Started: 1\r\n\r\nbusy",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, withReset := range []bool{false, true} {
				for position := range len(raw) {
					u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
						_, _ = io.WriteString(conn, raw[:position])
						if withReset {
							time.Sleep(time.Millisecond) // The reset must not overtake the bytes.
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
					if a := executeSent(d); a.Execution != result.Unknown || a.Code == result.CodeAnswered {
						t.Errorf("cut at %d, reset %v: %+v", position, withReset, a)
					}
					u.close()
				}
			}
		})
	}
}

// Guards against taking a part of an earlier refusal, which comes once more on a kept connection, and the
// answer to the request in service there for one answer.
func TestRepeatedPartOfRefusalIsNoAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Started: 1\r\nDate: Sat, 05 Dec 2026 01:46:12 GMT\r\nContent-Length: 0\r\n\r\n"
	for position := 1; position < len(refusal)-1; position++ {
		u := newRawUpstream(t, func(conn net.Conn, number int, _ *http.Request) {
			if number == 1 {
				_, _ = io.WriteString(conn, ok("first"))
				return
			}
			_, _ = io.WriteString(conn, refusal[:position]+ok("second"))
			_ = conn.Close()
		})
		d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
		executeSent(d)
		a := executeSent(d)
		if a.Execution == result.NotRun || u.count() != 2 || a.Code == result.CodeAnswered && (a.Status != 200 || string(a.Body) != "second") {
			t.Errorf("after %q: %+v", refusal[:position], a)
		}
		u.close()
	}
}
