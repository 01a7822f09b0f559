package client

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strings"
	"testing"
)

// faultyEntry starts an entry that answers the head of each request with first, then again without end, and closes with
// a reset.
func faultyEntry(t *testing.T, first, again string) string {
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
				br := bufio.NewReader(c)
				_, _ = br.ReadString('\n')
				_, _ = textproto.NewReader(br).ReadMIMEHeader()
				_, err := io.WriteString(c, first)
				const most = 160 << 20 // More than the bound, so that a reader without one ends too.
				filler := strings.Repeat(again, 1+(64<<10)/max(len(again), 1))
				for sent := 0; again != "" && err == nil && sent < most; sent += len(filler) {
					_, err = io.WriteString(c, filler)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestFaultyAnswersOfEntriesAreNoAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		first, again string
		upload       int
	}{
		"early reset":          {first: "HTTP/1.1 200 OK\r\n\r\npart", upload: 16 << 20},
		"status 000":           {first: "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfine"},
		"status 600":           {first: "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nfine"},
		"status 999":           {first: "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nfine"},
		"blank in a name":      {first: "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nfine"},
		"blank after a name":   {first: "HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 4\r\n\r\nfine"},
		"blank in a trailer":   {first: chunked + "4\r\nfine\r\n0\r\nX A: b\r\n\r\n"},
		"length cut off":       {first: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"},
		"chunks cut off":       {first: chunked + "4\r\npart\r\n"},
		"endless head":         {first: "HTTP/1.1 200 OK\r\n", again: "A: b\r\n"},
		"endless interim":      {again: "HTTP/1.1 102 X\r\n\r\n"},
		"endless chunks":       {first: chunked, again: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"endless extension":    {first: chunked + "4;", again: "ext"},
		"endless trailers":     {first: chunked + "0\r\n", again: "A: b\r\n"},
		"endless, no length":   {first: "HTTP/1.1 200 OK\r\n\r\n", again: "x"},
		"endless, with length": {first: "HTTP/1.1 200 OK\r\nContent-Length: 150000000\r\n\r\n", again: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			entry := faultyEntry(t, tc.first, tc.again)
			c, err := New(Options{Entries: []string{entry}, Account: "a", Random: rand.New(rand.NewPCG(1, 1))})
			if err != nil {
				t.Fatal(err)
			}
			r := Request{Method: "POST", URI: "/x", Body: make([]byte, tc.upload)}
			if answer, sent, err := c.sendOnce(t.Context(), entry, r, ""); err == nil || !sent {
				t.Errorf("sent %v, status %d, %d bytes, %v", sent, answer.Status, len(answer.Body), err)
			}
		})
	}
}
