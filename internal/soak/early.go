package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	earlyBody    = 32 << 10 // Shorter bodies are read before an answer.
	unboundBody  = 16 << 20 // More than the buffers of a connection hold.
	earlyTime    = 6500 * time.Millisecond
	earlyShare   = 0.6 // Of the long requests at an upstream.
	uploadShare  = 0.3 // Of the requests with a body, while uploads are long.
	latestReset  = 80 * time.Millisecond
	drainTime    = 2 * time.Second
	endlessTime  = 5 * time.Second
	endlessShare = 0.1
	// endlessPart bytes are sent every endlessPause, so that the stand-in leaves the processors to the others.
	endlessPart  = 32 << 10
	endlessPause = time.Millisecond
)

// uploadSizes are the lengths of long bodies, the common ones more than once.
var uploadSizes = []int{64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 1 << 20, 1 << 20, 1 << 20, unboundBody}

// How an upstream ends a connection after an early answer.
const (
	endReset = "reset"
	endLater = "reset later"
	endHalf  = "half-close" // It ends its side and leaves the upload unread.
	endDrain = "drain"      // It reads the upload to its end.
)

// earlyAnswer is how an upstream answers a request whose body it has not read.
type earlyAnswer struct {
	early  Early
	status int
	end    string
	chunks bool // A part is sent in chunks; else the end of the connection ends it.
	empty  bool // A part has no bytes but the head.
	marked bool // Its head says that the connection ends.
	old    bool // HTTP/1.0.
}

// drawEarly draws an early answer to a request with a body of a length; -1 if the length is not known.
func drawEarly(length int64) earlyAnswer {
	e := earlyAnswer{early: EarlyComplete, status: http.StatusOK, marked: rand.IntN(2) == 0, old: rand.IntN(4) == 0}
	ends := []string{endReset, endLater, endHalf, endDrain}
	if rand.IntN(2) == 0 {
		e.end = ends[rand.IntN(len(ends))]
		if rand.IntN(2) == 0 {
			e.status = http.StatusRequestEntityTooLarge
		}
		return e
	}
	e.early, e.empty, e.end = EarlyPart, rand.IntN(4) == 0, ends[rand.IntN(2)]
	e.chunks = !e.old && rand.IntN(4) == 0
	if e.chunks || length >= unboundBody && rand.IntN(2) == 0 {
		// After a shorter upload an orderly end of the connection ends an answer without length.
		e.end = ends[rand.IntN(3)]
	}
	return e
}

// write sends the answer with a header and a body and ends the connection.
func (e earlyAnswer) write(conn net.Conn, header http.Header, body string) {
	_ = conn.SetDeadline(time.Now().Add(copyWait))
	var text strings.Builder
	proto := "HTTP/1.1"
	if e.old {
		proto = "HTTP/1.0"
	}
	fmt.Fprintf(&text, "%s %d %s\r\n", proto, e.status, http.StatusText(e.status))
	if e.marked {
		header.Set("Connection", "close")
	}
	_ = header.Write(&text)
	part := body[:len(body)/2]
	if e.empty {
		part = ""
	}
	switch {
	case e.early == EarlyComplete:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	case e.chunks:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if part != "" {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
		}
	default:
		text.WriteString("\r\n" + part)
	}
	_, _ = io.WriteString(conn, text.String())
	switch e.end {
	case endLater:
		time.Sleep(time.Duration(rand.Int64N(int64(latestReset))))
	case endHalf:
		closeWrite(conn)
		time.Sleep(latestReset)
	case endDrain:
		_ = conn.SetReadDeadline(time.Now().Add(drainTime))
		_, _ = io.Copy(io.Discard, conn)
	}
	reset(conn)
}

// closeWrite ends one side of a connection in order.
func closeWrite(c net.Conn) {
	if linked, ok := c.(*linkConn); ok {
		c = linked.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// answerEarly answers a request whose body is unread.
func (u *upstream) answerEarly(w http.ResponseWriter, r *http.Request, run *Run) {
	e := drawEarly(r.ContentLength)
	run.Early, run.How = e.early, fmt.Sprintf("%+v", e)
	u.recorder.ran(run)
	if e.early == EarlyComplete {
		u.recorder.ended(run, OutcomeAnswered, e.status)
	} else {
		u.recorder.ended(run, OutcomeBroken, 0)
	}
	h := w.Header()
	h.Set("Server-Stamp", "stamp."+u.name+"."+run.Request)
	if conn := hijack(w); conn != nil {
		e.write(conn, h, responseBody(u.service, u.name, run.Request))
	}
}

func hijack(w http.ResponseWriter) net.Conn {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return conn
}

// headStart begins answers without end.
const headStart = "HTTP/1.1 200 OK\r\n"

// endless is an answer of which a part has no end.
type endless struct {
	name  string
	start string
	part  string // Repeated.
}

var endlessAnswers = []endless{
	{"line", headStart + "X-Note: ", "x"},
	{"head", headStart, "X-Note: x\r\n"},
	{"status", "HTTP/1.1 200 ", "x"},
	{"interim", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"body", headStart + "\r\n", "x"},
	{"length", headStart + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	{"chunks", headStart + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk", headStart + "Transfer-Encoding: chunked\r\n\r\nffffffffffffff\r\n", "x"},
	{"size", headStart + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"extension", headStart + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailer", headStart + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Note: x\r\n"},
	{"trailer line", headStart + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Note: ", "x"},
}

// write sends the answer until the connection ends, the time is over or ctx ends.
func (e endless) write(ctx context.Context, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(endlessTime))
	if _, err := io.WriteString(conn, e.start); err != nil {
		return
	}
	part := strings.Repeat(e.part, endlessPart/len(e.part))
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		sleep(ctx, endlessPause)
	}
}

// answerEndlessly answers a request with bytes that have no end.
func (u *upstream) answerEndlessly(w http.ResponseWriter, run *Run) {
	answer := endlessAnswers[rand.IntN(len(endlessAnswers))]
	run.How = "endless " + answer.name
	u.recorder.ran(run)
	defer func() { u.recorder.ended(run, OutcomeBroken, 0) }()
	if conn := hijack(w); conn != nil {
		defer reset(conn)
		answer.write(context.Background(), conn)
	}
}

// earlyAnswers makes upstreams answer long requests before they have read them.
func earlyAnswers(r *run, random *rand.Rand) error {
	r.uploads.Add(1)
	defer r.uploads.Add(-1)
	r.disturb("early answers", r.pickUpstreams(random, 0.6), earlyTime, func(u *upstream) { u.earlyShare = earlyShare }, func(u *upstream) { u.earlyShare = 0 })
	return nil
}

// endlessBytes makes upstreams answer with bytes that have no end.
func endlessBytes(r *run, random *rand.Rand) error {
	r.disturb("endless", r.pickUpstreams(random, 0.4), earlyTime, func(u *upstream) { u.endlessShare = endlessShare }, func(u *upstream) { u.endlessShare = 0 })
	return nil
}

// upload sends a request while it reads the answer, and stops at the answer's end.
func (c *callerConn) upload(r request, a *Attempt) {
	type written struct {
		at  time.Time
		err error
	}
	a.Began = time.Now()
	sent := make(chan written, 1)
	go func() {
		_, err := io.WriteString(c, r.text(a.ID))
		sent <- written{time.Now(), err}
	}()
	_ = c.SetReadDeadline(a.Began.Add(r.deadline))
	err := c.read(a, r.method)
	a.Ended = time.Now()
	_ = c.SetWriteDeadline(a.Ended)
	w := <-sent
	_ = c.SetWriteDeadline(time.Time{})
	a.Sent = w.at
	if w.err != nil || w.at.After(a.Ended) {
		a.Sent, c.closes = a.Began, true
	}
	if err != nil {
		a.Err, a.GaveUp, c.closes = err.Error(), errors.Is(err, os.ErrDeadlineExceeded), true
	}
}
