package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Ways in which an upstream garbles its answers.
const (
	garbleBody  = "short body"   // The answer ends within its body.
	garbleHead  = "short head"   // The answer ends within its head.
	garbleExtra = "extra bytes"  // Bytes follow a whole answer.
	garbleCopy  = "late copy"    // The answer is sent again where that to the next request is due.
	garbleTwice = "refuse twice" // A refusal is sent twice.
)

var garbles = []string{garbleBody, garbleHead, garbleExtra, garbleCopy, garbleTwice}

// copyWait bounds how long an upstream waits for the next request on a connection to send a late copy.
const copyWait = 5 * time.Second

// writeGarbled sends an answer in a garbled way and closes the connection.
func writeGarbled(w http.ResponseWriter, how string, status int, header http.Header, body string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	var answer strings.Builder
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&answer)
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n", len(body))
	head := answer.Len()
	answer.WriteString(body)
	text := answer.String()
	conn, rw, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(copyWait))
	switch how {
	case garbleBody:
		text = text[:head+rand.IntN(max(len(body), 1))]
	case garbleHead:
		text = text[:rand.IntN(head)]
	case garbleExtra, garbleTwice:
		extra := text
		if how == garbleExtra {
			extra = strings.Repeat("?", 1+rand.IntN(2000))
		}
		text += extra
	case garbleCopy:
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		if _, err := rw.Peek(1); err != nil {
			return
		}
	}
	_, _ = conn.Write([]byte(text))
}
