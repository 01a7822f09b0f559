package callers

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors of a request's head. Their texts are written into the answer.
var (
	errHeadTooLarge   = errors.New("the head is over its bound")
	errBareLineFeed   = errors.New("a line of the head does not end with CR LF")
	errFolded         = errors.New("a header is folded over lines")
	errFieldName      = errors.New("a header's name is malformed")
	errTwoLengths     = errors.New("more than one length, or a length and chunks")
	errLength         = errors.New("the length is malformed")
	errTransferCoding = errors.New("the transfer coding is not chunked alone")
	errHostCount      = errors.New("not exactly one Host")
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
	lengths, codings, hosts := 0, 0, 0
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errBareLineFeed
		}
		if i == 0 {
			continue
		}
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return errFolded
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return fmt.Errorf("%w: %q", errFieldName, name)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !isNumber(value) {
				return fmt.Errorf("%w: %q", errLength, value)
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("%w: %q", errTransferCoding, value)
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

// maxLengthDigits keeps a Content-Length within 63 bits.
const maxLengthDigits = 18

func isNumber(s string) bool {
	if s == "" || len(s) > maxLengthDigits {
		return false
	}
	return strings.Trim(s, "0123456789") == ""
}
