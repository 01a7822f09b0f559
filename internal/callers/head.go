package callers

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors of a request's head and trailer. Their texts are written into the answer and the log. They quote names of
// headers alone, as a part of the head may be a credential.
var (
	errHeadTooLarge   = errors.New("the head is over its bound")
	errBareLineFeed   = errors.New("a line of the head does not end with CR LF")
	errFolded         = errors.New("a header is folded over lines")
	errFieldName      = errors.New("a header's name is not a token")
	errFieldValue     = errors.New("a header's value has a control character")
	errRequestLine    = errors.New("the request line is malformed, or Trailer names a field that trailers cannot have")
	errTwoLengths     = errors.New("more than one length, or a length and chunks")
	errLength         = errors.New("the length is malformed")
	errTransferCoding = errors.New("the transfer coding is not chunked alone")
	errHostCount      = errors.New("not exactly one Host")
	errTrailerSize    = errors.New("the trailer is over the bound of the head")
	errTrailerField   = errors.New("a field that trailers cannot have")
)

var headEnd = []byte("\r\n\r\n")

// peekHead waits until a request's complete head is buffered and returns it without consuming it.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	size := 1
	for {
		_, err := br.Peek(size)
		buffered, _ := br.Peek(br.Buffered())
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			if end+len(headEnd) > limit {
				return nil, errHeadTooLarge
			}
			return buffered[:end+len(headEnd)], nil
		}
		if bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")) {
			return nil, errBareLineFeed
		}
		if err != nil {
			return nil, err
		}
		if len(buffered) >= limit {
			return nil, errHeadTooLarge
		}
		size = len(buffered) + 1
	}
}

// checkHead returns an error for a head that two HTTP implementations could interpret differently.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if strings.ContainsAny(lines[0], "\r\n\x00") {
		return errBareLineFeed
	}
	lengths, codings, hosts := 0, 0, 0
	for i, line := range lines[1:] {
		name, value, err := cutField(line)
		if err != nil {
			return fmt.Errorf("line %d of the head: %w", i+2, err)
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !isNumber(value) {
				return errLength
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(value, "chunked") {
				return errTransferCoding
			}
		case "host":
			hosts++
		}
	}
	if lengths+codings > 1 {
		return errTwoLengths
	}
	if hosts != 1 {
		return errHostCount
	}
	return nil
}

// cutField returns the name and value of a header or trailer field. The name is a token of RFC 9110: what surrounds or
// separates a name, such as a blank or a control character, may be removed by an upstream, which then reads another name.
func cutField(line string) (name, value string, err error) {
	if strings.ContainsAny(line, "\r\n\x00") {
		return "", "", errBareLineFeed
	}
	if line == "" || line[0] == ' ' || line[0] == '\t' {
		return "", "", errFolded
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return "", "", errFieldName
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return "", "", fmt.Errorf("%w: %s", errFieldValue, shorten(name))
	}
	return name, strings.Trim(value, " \t"), nil
}

// isToken reports whether a text is a token of RFC 9110.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
	})
}

// shorten keeps an error within one line of a log.
func shorten(name string) string {
	const most = 64
	return name[:min(len(name), most)]
}

// maxLengthDigits keeps a Content-Length within 63 bits.
const maxLengthDigits = 18

func isNumber(s string) bool {
	if s == "" || len(s) > maxLengthDigits {
		return false
	}
	return strings.Trim(s, "0123456789") == ""
}
