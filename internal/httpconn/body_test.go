package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A chunked body that net/http accepts too has the same bytes and the same end there.
func FuzzChunkedBody(f *testing.F) {
	f.Add("4\r\nfine\r\n0\r\n\r\nnext")
	f.Add("4 \t;a=b\r\nfine\r\n1\r\n!\r\n0;c\r\nX-Sum: 4\r\n\r\n")
	f.Add("0\r\nX A: b\r\n\r\n")
	f.Add("fffffffff\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReaderSize(strings.NewReader(text), readBufferBytes)
		body, err := io.ReadAll(&chunkedReader{br: br})
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(br)
		other := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text))
		resp, err := http.ReadResponse(other, nil)
		if err != nil {
			t.Fatal(err)
		}
		otherBody, err := io.ReadAll(resp.Body)
		otherRest, _ := io.ReadAll(other)
		if err != nil {
			return // It is stricter: it takes no blank before an extension.
		}
		if !bytes.Equal(body, otherBody) || !bytes.Equal(rest, otherRest) {
			t.Errorf("%q: body %q and rest %q, net/http %q and %q", text, body, rest, otherBody, otherRest)
		}
	})
}
