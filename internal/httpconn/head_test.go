package httpconn

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestCheckHead(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n": true,
		"HTTP/1.0 200\r\n\r\n":                         true,
		"HTTP/1.1 503 \r\nVia: HTTP/1.1 proxy\r\nX:\r\nTransfer-Encoding: Chunked\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n":                false,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n":       false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n":                           false,
		"HTTP/1.1 503 BusyHTTP/1.1 200 OK\r\n\r\n":                                         false,
		"HTTP/1.1 503 Busy\r\nHTTP/1.1 200 OK\r\n\r\n":                                     false,
		"HTTP/1.1 503 Busy\r\nDate: SatHTTP/1.1 200 OK\r\n\r\n":                            false,
		"HTTP/1.1 503 Busy\r\nA: HTTP/1.HTTP/1.1 200\r\n\r\n":                              false,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                         false,
		"HTTP/1.1 20 OK\r\n\r\n":                                                           false,
		"HTTP/1.1 600 OK\r\n\r\n":                                                          false,
		"HTTP/1.1 099 OK\r\n\r\n":                                                          false,
		"HTTP/1.1 -20 OK\r\n\r\n":                                                          false,
		"HTTP/2.0 200 OK\r\n\r\n":                                                          false,
		"HTTP/1.1  200 OK\r\n\r\n":                                                         false,
		"HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\n":                                       false,
		"HTTP/1.1 200 OK\r\nA: b\nContent-Length: 4\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n":                                       false,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                                 false,
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":                                              false,
		"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                                                   false,
		"HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n":                                               false,
	} {
		if err := checkHead(head); (err == nil) != valid || err != nil && !errors.Is(err, errHead) {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// Whatever the bytes, a head that is accepted is consumed exactly and means what its first line says.
func FuzzReadHead(f *testing.F) {
	f.Add("\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	f.Add("HTTP/1.1 503 X\r\nDate: xHTTP/1.1 200 OK\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nA: b\n\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReaderSize(strings.NewReader(text), readBufferBytes)
		var h fasthttp.ResponseHeader
		if err := readHead(br, &h); err != nil {
			return
		}
		head := strings.TrimLeft(text, "\r\n")
		end := strings.Index(head, "\r\n\r\n")
		if end < 0 {
			t.Fatalf("%q is accepted without an end", text)
		}
		if rest := len(head) - end - len("\r\n\r\n"); len(text) <= readBufferBytes && br.Buffered() != rest {
			t.Errorf("%q: %d bytes are left, want %d", text, br.Buffered(), rest)
		}
		if status := head[len("HTTP/1.1 "):][:3]; !strings.HasPrefix(h.String(), "HTTP/1.1 "+status) {
			t.Errorf("%q is read as status %d", text, h.StatusCode())
		}
	})
}
