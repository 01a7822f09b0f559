package dispatch

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/exchange"
)

// Headers between the fleet and the upstreams.
const (
	HeaderDeadline   = "X-Request-Deadline-Ms" // To upstreams: milliseconds left.
	HeaderNotStarted = "X-Not-Started"         // From upstreams, "1" with status 503: refused before it was started.
	HeaderLeaving    = "X-Leaving"             // From upstreams, "1": no new work, please.
	HeaderLoad       = "X-Load"                // From upstreams: reported load, 0 to 1.
)

// headerTrace is the W3C trace context header.
const headerTrace = "Traceparent"

// own lists the headers that the fleet sets itself or reads for itself.
var own = map[string]bool{
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
		if exchange.IsHopByHop(name) || own[name] || listed[name] {
			continue
		}
		req.Header.Add(h.Name, h.Value)
	}
}

// readHeaders copies the end-to-end headers of an answer. The length is kept only where
// there is no body to take it from.
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
		if exchange.IsHopByHop(lower) || own[lower] || listed[lower] {
			continue
		}
		headers = append(headers, exchange.Header{Name: string(name), Value: string(value)})
	}
	return headers
}

// peek returns the value of an answer's header, whatever the case of its name.
func peek(resp *fasthttp.Response, name string) string {
	for key, value := range resp.Header.All() {
		if strings.EqualFold(string(key), name) {
			return string(value)
		}
	}
	return ""
}
