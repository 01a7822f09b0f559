package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/httpconn"
)

// Many faulty endpoints send bytes without end at the same moment. What the process holds is bounded by the bound of all
// buffered answers and the buffers of the connections, whatever the bytes are.
func TestManyEndlessAnswersHoldBoundedMemory(t *testing.T) {
	const (
		endpoints   = 200
		perEndpoint = 64 << 10 // Both ends' buffers, the request and goroutines.
		chunked     = "Transfer-Encoding: chunked\r\n\r\n"
	)
	field := "X-Filler: 0123456789abcdef\r\n"
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for name, tc := range map[string]struct {
		first, again string
		size         int // Bytes that are read before the answer is given up or passed on.
	}{
		"head":            {"", field, 7 << 10},
		"chunk extension": {chunked + "5;", "ext=1;", 7 << 10},
		"extensions":      {chunked, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n", 48 << 10},
		"trailers":        {chunked + "0\r\n", field, 48 << 10},
		"chunks":          {chunked, chunk, 96 << 10},
		"length":          {"Content-Length: 1000000000\r\n\r\n", chunk, 96 << 10},
		"no length":       {"\r\n", chunk, 96 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			resume := make(chan struct{})
			filler := strings.Repeat(tc.again, 1+tc.size/len(tc.again))[:tc.size]
			addr := startHeadReader(t, func(id string, c *net.TCPConn, _ *bufio.Reader) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\n%s", id, tc.first)
				_, err := io.WriteString(c, filler)
				for <-resume; err == nil; {
					_, err = io.WriteString(c, filler)
				}
				return false
			})
			addrs := make([]string, endpoints)
			for i := range addrs {
				addrs[i] = addr
			}
			d := newSequentialDispatcher(addrs...)
			f := New(d)
			f.SetInServiceCount(func() int64 { return endpoints })
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			received := httpconn.Received()
			answers := make([]*fasthttp.Response, endpoints)
			var all sync.WaitGroup
			for i := range endpoints {
				all.Go(func() { answers[i], _ = nonIdempotentCall.serveSent(t, f, fmt.Sprint("r", i)) })
			}
			for end := time.Now().Add(testTimeout / 2); httpconn.Received()-received < int64(endpoints*tc.size); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes were read, want %d of each of %d", httpconn.Received()-received, tc.size, endpoints)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&during)
			close(resume)
			if held, most := int64(during.HeapInuse+during.StackInuse)-int64(before.HeapInuse+before.StackInuse), int64(totalBuffered+endpoints*perEndpoint); held > most {
				t.Errorf("%d bytes are held, at most %d are allowed", held, most)
			} else {
				t.Logf("%d KiB are held, at most %d are allowed", held>>10, most>>10)
			}
			all.Wait()
			for _, resp := range answers {
				if resp.IsBodyStream() {
					_ = resp.CloseBodyStream()
				} else if resp.StatusCode() != 502 {
					t.Errorf("status %d", resp.StatusCode())
				}
			}
			d.waitUntilDrained(t)
		})
	}
}
