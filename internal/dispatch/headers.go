package dispatch

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/exchange"
)

// Headers between the fleet and the upstreams.
const (
	HeaderDeadline   = "X-Request-Deadline-Ms" // To upstreams: milliseconds left.
	HeaderNotStarted = "X-Not-Started"         // From upstreams, "1" with status 503: the request was refused before it started.
	HeaderLeaving    = "X-Leaving"             // From upstreams, "1": the endpoint is draining and wants no new requests.
	HeaderLoad       = "X-Load"                // From upstreams: the endpoint's load, 0 to 1.
)

// headerTrace is the W3C trace context header.
const headerTrace = "Traceparent"

// internalHeaders lists, in lower case, the headers that the fleet sets or consumes itself
// and does not forward.
var internalHeaders = map[string]bool{
	"content-length":        true,
	"expect":                true,
	"host":                  true,
	"traceparent":           true,
	"x-request-deadline-ms": true,
	"x-not-started":         true,
	"x-leaving":             true,
	"x-load":                true,
}

// writeHeaders copies the end-to-end headers of a caller's request.
func writeHeaders(req *fasthttp.Request, headers []exchange.Header) {
	var listed exchange.ConnectionOptions
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Connection") {
			listed.Add(h.Value)
		}
	}
	for _, h := range headers {
		name := strings.ToLower(h.Name)
		if name == "host" {
			req.Header.SetHost(h.Value)
			continue
		}
		if exchange.IsHopByHop(name) || internalHeaders[name] || listed[name] {
			continue
		}
		req.Header.Add(h.Name, h.Value)
	}
}

// readHeaders copies the end-to-end headers of an answer. With keepLength, for an answer
// without a body, Content-Length is copied too, since it can't be derived from the body.
func readHeaders(resp *fasthttp.Response, keepLength bool) []exchange.Header {
	resp.Header.SetNoDefaultContentType(true)
	var listed exchange.ConnectionOptions
	count := 0
	for name, value := range resp.Header.All() {
		count++
		if strings.EqualFold(string(name), "Connection") {
			listed.Add(string(value))
		}
	}
	headers := make([]exchange.Header, 0, count)
	for name, value := range resp.Header.All() {
		lower := strings.ToLower(string(name))
		if lower == "content-length" && keepLength {
			headers = append(headers, exchange.Header{Name: "Content-Length", Value: string(value)})
			continue
		}
		if exchange.IsHopByHop(lower) || internalHeaders[lower] || listed[lower] {
			continue
		}
		headers = append(headers, exchange.Header{Name: string(name), Value: string(value)})
	}
	return headers
}

// headerValue returns the value of an answer's header. The case of the name is ignored.
func headerValue(resp *fasthttp.Response, name string) string {
	for key, value := range resp.Header.All() {
		if strings.EqualFold(string(key), name) {
			return string(value)
		}
	}
	return ""
}
