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

// headerLength is the length header in lower case; the HTTP library sets it.
const headerLength = "content-length"

// ownHeaders lists, in lower case, the headers of requests that the entry reads for itself.
var ownHeaders = map[string]bool{
	headerLength:              true,
	"expect":                  true,
	tracing.TraceParentHeader: true,
}

// readRequest copies a caller's request out of the buffers of the HTTP library.
func readRequest(c *fiber.Ctx, now time.Time) exchange.Request {
	h := &c.Request().Header
	r := exchange.Request{
		Service:     fleet.Service(strings.Clone(c.Get(client.HeaderService))),
		Account:     fleet.Account(strings.Clone(c.Get(client.HeaderAccount))),
		Method:      strings.Clone(c.Method()),
		URI:         string(h.RequestURI()), // As sent: the request's own is normalized.
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
		if exchange.IsHopByHop(name) || ownHeaders[name] || listed[name] {
			continue
		}
		headers = append(headers, exchange.Header{Name: string(key), Value: string(value)})
	}
	return headers
}

// callerDeadline returns the moment until which the caller waits; zero when it says nothing valid.
func callerDeadline(value string, now time.Time) time.Time {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// writeAnswer sends an answer to the caller.
func writeAnswer(c *fiber.Ctx, a exchange.Answer) error {
	response := c.Response()
	response.SetStatusCode(a.Status)
	response.Header.SetNoDefaultContentType(true)
	length := -1
	for _, h := range a.Headers {
		name := strings.ToLower(h.Name)
		if name == headerLength {
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

// writeHead answers a HEAD request with the length that the upstream gave.
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
