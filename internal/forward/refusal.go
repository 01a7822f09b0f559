package forward

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/platform"
)

// refusal is an answer of the fleet's own.
type refusal struct {
	code       result.Code
	detail     string
	retryAfter time.Duration // 0 for none.
}

type refusalBody struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
}

func (r *refusal) write(requestID string, resp *fasthttp.Response) {
	Refuse(resp, requestID, r.code, r.detail, r.retryAfter)
}

// Refuse fills in an answer of the fleet's own. retryAfter is 0 for none.
func Refuse(resp *fasthttp.Response, requestID string, code result.Code, detail string, retryAfter time.Duration) {
	resp.Reset()
	entry, ok := result.Lookup(code)
	if !ok {
		entry = result.Entry{Name: "unknown", Status: fasthttp.StatusBadGateway}
	}
	resp.SetStatusCode(entry.Status)
	resp.Header.SetContentType("application/json")
	platform.SetRejectionHeaders(&resp.Header, requestID, retryAfter)
	body, err := json.Marshal(refusalBody{Code: code, Name: entry.Name, Detail: detail})
	if err != nil {
		body = []byte("{}") // Strings and a number always encode.
	}
	resp.SetBody(body)
}
