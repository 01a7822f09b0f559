package forward

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/platform"
)

// rejection is an answer that the fleet generates itself.
type rejection struct {
	code       result.Code
	detail     string
	retryAfter time.Duration // 0: no Retry-After header.
	atLimit    bool          // Limits of endpoints leave no room.
}

type rejectionBody struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
}

func (r *rejection) write(requestID string, resp *fasthttp.Response) {
	Reject(resp, requestID, r.code, r.detail, r.retryAfter)
}

// Reject fills in an answer that the fleet generates itself, with a JSON body. No Retry-After
// header is set if retryAfter is 0.
func Reject(resp *fasthttp.Response, requestID string, code result.Code, detail string, retryAfter time.Duration) {
	resp.Reset()
	entry, ok := result.Lookup(code)
	if !ok {
		entry = result.Entry{Name: "unknown", Status: fasthttp.StatusBadGateway}
	}
	resp.SetStatusCode(entry.Status)
	resp.Header.SetContentType("application/json")
	if entry.Status == fasthttp.StatusUnauthorized {
		platform.SetChallenge(&resp.Header)
	}
	platform.SetRejectionHeaders(&resp.Header, requestID, retryAfter)
	body, err := json.Marshal(rejectionBody{Code: code, Name: entry.Name, Detail: detail})
	if err != nil {
		body = []byte("{}") // Not reached: strings and a number always encode.
	}
	resp.SetBody(body)
}
