package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/tracing"
)

// headerContentLength is the lower-case name of the length header, which fasthttp sets itself.
const headerContentLength = "content-length"

// consumedHeaders lists, in lower case, the request headers that are not forwarded since the
// server consumes them.
var consumedHeaders = map[string]bool{
	headerContentLength:       true,
	"expect":                  true,
	tracing.TraceParentHeader: true,
}

// readRequest copies a caller's request, since fasthttp reuses its buffers.
func readRequest(c *fiber.Ctx, now time.Time) exchange.Request {
	h := &c.Request().Header
	r := exchange.Request{
		Service:     fleet.Service(strings.Clone(c.Get(client.HeaderService))),
		Account:     fleet.Account(strings.Clone(c.Get(client.HeaderAccount))),
		Method:      strings.Clone(c.Method()),
		URI:         string(h.RequestURI()), // As received; the parsed URI is normalized.
		Key:         strings.Clone(c.Get(client.HeaderKey)),
		TraceParent: strings.Clone(c.Get(tracing.TraceParentHeader)),
		Body:        append([]byte(nil), c.Request().Body()...),
	}
	r.Headers = readHeaders(h)
	r.Deadline = callerDeadline(c.Get(client.HeaderDeadline), now)
	return r
}

func readHeaders(h *fasthttp.RequestHeader) []exchange.Header {
	var listed exchange.ConnectionOptions
	for _, value := range h.PeekAll(fasthttp.HeaderConnection) {
		listed.Add(string(value))
	}
	var headers []exchange.Header
	for key, value := range h.All() {
		name := strings.ToLower(string(key))
		if exchange.IsHopByHop(name) || consumedHeaders[name] || listed[name] {
			continue
		}
		headers = append(headers, exchange.Header{Name: string(key), Value: string(value)})
	}
	return headers
}

// callerDeadline parses the deadline header (milliseconds from now) and returns the zero time
// if it is absent or invalid.
func callerDeadline(value string, now time.Time) time.Time {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func writeAnswer(c *fiber.Ctx, a exchange.Answer) error {
	response := c.Response()
	response.SetStatusCode(a.Status)
	response.Header.SetNoDefaultContentType(true)
	length := -1
	for _, h := range a.Headers {
		name := strings.ToLower(h.Name)
		if name == headerContentLength {
			length = contentLength(h.Value)
			continue
		}
		if exchange.IsHopByHop(name) {
			continue
		}
		response.Header.Add(h.Name, h.Value)
	}
	response.Header.Set(client.HeaderCode, strconv.Itoa(int(a.Code)))
	response.Header.Set(client.HeaderExecution, a.Execution.String())
	if c.Method() == fiber.MethodHead {
		return writeHead(c, length)
	}
	response.SetBodyRaw(a.Body)
	return nil
}

// writeHead answers a HEAD request with the upstream's Content-Length.
func writeHead(c *fiber.Ctx, length int) error {
	c.Response().SkipBody = true
	if length >= 0 {
		c.Response().Header.SetContentLength(length)
	}
	return nil
}

func contentLength(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil {
		return -1
	}
	return n
}
