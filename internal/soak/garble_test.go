package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestGarbledAnswers(t *testing.T) {
	const body = "the whole body"
	whole := func(resp *http.Response, err error) bool {
		if err != nil {
			return false
		}
		got, err := io.ReadAll(resp.Body)
		return err == nil && string(got) == body && resp.Header.Get("Request-Id") == "r"
	}
	for _, how := range garbles {
		t.Run(how, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				writeGarbled(w, how, http.StatusOK, http.Header{"Request-Id": {"r"}}, body)
			}))
			defer server.Close()
			c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(time.Minute))
			ask := func() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			br := bufio.NewReader(c)
			ask()
			first := whole(http.ReadResponse(br, nil))
			if how == garbleCopy {
				ask()
			}
			second := whole(http.ReadResponse(br, nil))
			wantFirst := how != garbleBody && how != garbleHead
			wantSecond := how == garbleCopy || how == garbleTwice
			if first != wantFirst || second != wantSecond {
				t.Errorf("first answer whole: %v, second: %v", first, second)
			}
		})
	}
}
