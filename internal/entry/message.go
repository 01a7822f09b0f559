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

// hopByHop lists, in lower case, the headers that concern one connection only, and
// those that the entry itself reads or that the HTTP library sets.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"expect":              true,
}

// namedByConnection returns the headers that a Connection header names, in lower case.
func namedByConnection(value string) []string {
	if value == "" {
		return nil
	}
	names := strings.Split(strings.ToLower(value), ",")
	for i, n := range names {
		names[i] = strings.TrimSpace(n)
	}
	return names
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// readRequest copies a caller's request out of the buffers of the HTTP library.
func readRequest(c *fiber.Ctx, now time.Time) exchange.Request {
	h := &c.Request().Header
	r := exchange.Request{
		Service:     fleet.Service(strings.Clone(c.Get(client.HeaderService))),
		Account:     fleet.Account(strings.Clone(c.Get(client.HeaderAccount))),
		Method:      strings.Clone(c.Method()),
		URI:         string(c.Request().RequestURI()),
		Key:         strings.Clone(c.Get(client.HeaderKey)),
		TraceParent: strings.Clone(c.Get(tracing.TraceParentHeader)),
		Body:        append([]byte(nil), c.Request().Body()...),
	}
	r.Headers = readHeaders(h)
	r.Deadline = callerDeadline(c.Get(client.HeaderDeadline), now)
	return r
}

func readHeaders(h *fasthttp.RequestHeader) []exchange.Header {
	drop := namedByConnection(string(h.Peek(fasthttp.HeaderConnection)))
	var headers []exchange.Header
	for key, value := range h.All() {
		name := strings.ToLower(string(key))
		if hopByHop[name] || name == tracing.TraceParentHeader || contains(drop, name) {
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
		if name == "content-length" {
			length = contentLength(h.Value)
			continue
		}
		if hopByHop[name] {
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
