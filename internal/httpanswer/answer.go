// Package httpanswer holds the checks of HTTP answers that the readers of the fleet share.
package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes is the bound on the heads of answers that net/http reads, for http.Transport.MaxResponseHeaderBytes.
const MaxHeadBytes = 64 << 10

// Errors of ReadBody.
var (
	// ErrMalformed is returned for an answer that is invalid by RFC 9110.
	ErrMalformed = errors.New("the answer is malformed")
	// ErrTooLarge is returned for a body that exceeds its bound.
	ErrTooLarge = errors.New("the answer's body is over its bound")
	// ErrNoEnd is returned if only the end of the connection marks the end of an answer to a request with a body. A failed
	// write takes a connection's error, so that a reset can look like a proper end.
	ErrNoEnd = errors.New("the answer's end is not marked")
)

// ReadBody reads the body of an answer that net/http received, and checks the answer's status, fields and trailers. It
// reads at most one byte more than limit and does not close the body.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	if !IsStatus(response.StatusCode) {
		return nil, fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
	}
	if err := checkFields(response.Header); err != nil {
		return nil, err
	}
	if endsWithConn(response) && response.Request != nil && response.Request.ContentLength != 0 {
		return nil, ErrNoEnd
	}
	if response.Body != http.NoBody && response.ContentLength > limit {
		return nil, fmt.Errorf("%w of %d bytes: %d", ErrTooLarge, limit, response.ContentLength)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("after %d bytes: %w", len(data), err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return data, checkFields(response.Trailer)
}

// endsWithConn reports whether a body has neither a length nor chunks.
func endsWithConn(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Body != http.NoBody
}

func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !IsName(name) {
			return fmt.Errorf("%w: field name %.64q", ErrMalformed, name)
		}
		for _, value := range values {
			if !IsValue(value) {
				return fmt.Errorf("%w: value of field %.64q", ErrMalformed, name)
			}
		}
	}
	return nil
}

// IsStatus reports whether a number is a status of HTTP.
func IsStatus(status int) bool {
	return status >= 100 && status < 600
}

// IsName reports whether a string is the name of a field: a token of RFC 9110, section 5.6.2.
func IsName(s string) bool {
	for _, c := range []byte(s) {
		if !tokenBytes[c] {
			return false
		}
	}
	return s != ""
}

// tokenBytes are the bytes of a token.
var tokenBytes = func() (set [256]bool) {
	for _, c := range []byte("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~") {
		set[c] = true
	}
	return set
}()

// IsValue reports whether a string has no control bytes but tabs, as the value of a field.
func IsValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
