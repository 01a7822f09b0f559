package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/httpanswer"
)

// errHead is wrapped by the errors of a malformed head.
var errHead = errors.New("the answer's head is malformed")

var (
	headEnd   = []byte("\r\n\r\n")
	emptyLine = []byte("\r\n")
)

// readHead reads an answer's head, which must be complete and have one meaning only. A peer that broke
// off in the middle of a head and went on with another answer would else merge the two into one.
func readHead(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	head, err := peekHead(br)
	if err != nil {
		return err
	}
	if err := checkHead(string(head)); err != nil {
		return err
	}
	return h.Read(br)
}

// peekHead waits until a complete head is buffered and returns it without consuming it. It skips empty
// lines before the head.
func peekHead(br *bufio.Reader) ([]byte, error) {
	size := 1
	for {
		_, err := br.Peek(size)
		buffered, _ := br.Peek(br.Buffered())
		if bytes.HasPrefix(buffered, emptyLine) {
			_, _ = br.Discard(len(emptyLine)) // It is buffered.
			size = max(len(buffered)-len(emptyLine), 1)
			continue
		}
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			return buffered[:end+len(headEnd)], nil
		}
		if err != nil {
			return nil, err
		}
		size = len(buffered) + 1
	}
}

// checkHead returns an error for a head that two HTTP implementations could interpret differently.
func checkHead(head string) error {
	lines := strings.Split(strings.TrimSuffix(head, "\r\n\r\n"), "\r\n")
	first, lines := lines[0], lines[1:]
	if !isStatusLine(first) || !httpanswer.IsValue(first) || containsStatusLine(first[len(versionPrefix):]) {
		return fmt.Errorf("%w: status line %q", errHead, shorten(first))
	}
	framing := 0
	for _, line := range lines {
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		switch {
		case strings.EqualFold(name, fasthttp.HeaderContentLength):
			framing++
		case strings.EqualFold(name, fasthttp.HeaderTransferEncoding):
			framing++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return fmt.Errorf("%w: line %q", errHead, shorten(line))
			}
		}
	}
	if framing > 1 {
		return fmt.Errorf("%w: more than one length, or a length and chunks", errHead)
	}
	return nil
}

// parseField parses a line of a head or of trailers without its end, by RFC 9110, section 5.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpanswer.IsName(name) || !httpanswer.IsValue(value) || containsStatusLine(line) {
		return "", "", fmt.Errorf("%w: line %q", errHead, shorten(line))
	}
	return name, value, nil
}

// versionPrefix begins a status line.
const versionPrefix = "HTTP/1."

// containsStatusLine reports whether a status line begins anywhere in a line. One within another line of a
// head shows that the head broke off there and another answer follows.
func containsStatusLine(line string) bool {
	for i := strings.Index(line, versionPrefix); i >= 0; i = strings.Index(line, versionPrefix) {
		if line = line[i:]; isStatusLine(line) {
			return true
		}
		line = line[len(versionPrefix):]
	}
	return false
}

// isStatusLine reports whether a line is a status line of HTTP/1 with a status of three digits.
func isStatusLine(line string) bool {
	rest, ok := strings.CutPrefix(line, versionPrefix)
	if !ok || len(rest) < len("1 200") || rest[0] < '0' || rest[0] > '9' || rest[1] != ' ' {
		return false
	}
	status, reason := rest[2:5], rest[5:]
	return status[0] >= '1' && status[0] <= '5' && strings.Trim(status, "0123456789") == "" && (reason == "" || reason[0] == ' ')
}

// shorten keeps an error within one line of a log.
func shorten(line string) string {
	const most = 64
	return line[:min(len(line), most)]
}
