package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

// Complete early answers have a length that holds; parts never end as complete ones do, but for those that a close
// ends, and only where the upload is long enough for the instance to notice.
func TestEarlyAnswersOnTheWire(t *testing.T) {
	body := responseBody("s", "u", "1")
	seen := map[string]bool{}
	for k := range 400 {
		length := []int64{-1, 64 << 10, unboundBody}[k%3]
		e := drawEarly(length)
		e.end = map[string]string{endLater: endReset, endDrain: endReset}[e.end]
		a, b := net.Pipe()
		go func() { e.write(b, http.Header{}, body); _ = b.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(a), &http.Request{Method: http.MethodPost})
		if err != nil {
			t.Fatalf("%+v: %v", e, err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = a.Close()
		if complete := err == nil && string(got) == body; complete != (e.early == EarlyComplete) {
			t.Fatalf("%+v: %d of %d bytes, %v", e, len(got), len(body), err)
		}
		if e.early == EarlyPart && err == nil && e.chunks {
			t.Fatalf("%+v: a part in chunks ends as complete", e)
		}
		if e.early == EarlyComplete && resp.StatusCode != e.status {
			t.Fatalf("%+v: status %d", e, resp.StatusCode)
		}
		seen[fmt.Sprint(e.early, e.status, e.chunks, e.old)] = true
	}
	if len(seen) < 7 {
		t.Errorf("only %v", seen)
	}
}

func TestOrderlyEndsOfPartsFollowLongUploadsOnly(t *testing.T) {
	for range 1000 {
		for _, length := range []int64{-1, 64 << 10, 1 << 20} {
			if e := drawEarly(length); e.early == EarlyPart && !e.chunks && e.end != endReset && e.end != endLater {
				t.Fatalf("a body of %d bytes: %+v", length, e)
			}
		}
	}
}

// An answer without end ends with the run, and is never a complete one.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, e := range endlessAnswers {
		t.Run(e.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a, b := net.Pipe()
			done := make(chan struct{})
			go func() { e.write(ctx, b); _ = b.Close(); close(done) }()
			const much = 1 << 20
			n, err := io.Copy(io.Discard, io.LimitReader(a, much))
			if n < much || err != nil {
				t.Fatalf("it ends after %d bytes: %v", n, err)
			}
			_ = a.Close()
			cancel()
			<-done
		})
	}
}

// A caller gets an answer that arrives while it sends, and takes no part as complete.
func TestUploadsAreAnsweredEarly(t *testing.T) {
	for name, c := range map[string]struct {
		answer   string
		status   int
		complete bool
	}{
		"complete": {"HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", 413, true},
		"cut":      {"HTTP/1.1 200 OK\r\nContent-Length: 1%d\r\n\r\n%s", 0, false},
		"none":     {"%.0d%.0s", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				body := responseBody("s", "u", r.Header.Get("Request-Id"))
				_, _ = fmt.Fprintf(conn, c.answer, len(body), body)
				reset(conn)
			}()
			f := newFleet(Options{}, newRecorder(), nil)
			defer f.store.Close()
			f.byAddr[l.Addr().String()] = &machine{name: "m"}
			conn, err := dialInstance(f, l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			a := conn.do([]request{{method: http.MethodPost, host: "h", path: "/", deadline: 10 * time.Second, body: unboundBody, upload: true}}, false)[0]
			if a.Status != c.status || a.Whole != c.complete || a.GaveUp || !conn.closes || c.status == 0 && a.Err == "" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// Only long requests are answered early, and what is recorded is how.
func TestUpstreamsAnswerEarly(t *testing.T) {
	rec := newRecorder()
	u, err := startUpstream(standin.New(standin.Options{}), rec, nil, "u", "u", "s", "z", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.end()
	u.change(func(u *upstream) { u.earlyShare = 1 })
	for _, length := range []int{earlyBody - 1, earlyBody} {
		conn, err := net.Dial("tcp4", u.link.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nConnection: close\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", length, headerWork, length, strings.Repeat("x", length))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	records, _ := rec.finish()
	if len(records.Runs) != 2 || records.Runs[0].Early != EarlyNone || records.Runs[0].Status != 200 || records.Runs[1].Early == EarlyNone {
		t.Errorf("%+v", records.Runs)
	}
}
