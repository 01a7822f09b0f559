package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/httpanswer"
)

// errChunk is wrapped by the errors of a malformed chunked body.
var errChunk = errors.New("the answer's chunks are malformed")

// chunkedReader decodes a chunked body. It returns io.EOF only after the trailers, which it checks and discards: the head
// has been acted on by then. The peer's bytes are bounded by the connection's readLimiter, and a line by the buffer.
type chunkedReader struct {
	br   *bufio.Reader
	left int // Bytes of the current chunk.
	err  error
}

// Read implements io.Reader.
func (r *chunkedReader) Read(p []byte) (int, error) {
	if r.err == nil && r.left == 0 {
		r.left, r.err = r.nextChunk()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.br.Read(p[:min(len(p), r.left)])
	r.left -= n
	if err == nil && r.left == 0 {
		err = r.readChunkEnd()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	r.err = err
	return n, err
}

// nextChunk reads a chunk's size, or the trailers and then returns io.EOF.
func (r *chunkedReader) nextChunk() (int, error) {
	line, err := readLine(r.br)
	if err != nil {
		return 0, err
	}
	size, err := parseChunkSize(line)
	if err != nil || size > 0 {
		return size, err
	}
	for {
		if line, err = readLine(r.br); err != nil {
			return 0, err
		}
		if line == "" {
			return 0, io.EOF
		}
		name, _, err := parseField(line)
		if err != nil {
			return 0, err
		}
		if forbiddenTrailers[strings.ToLower(name)] {
			return 0, fmt.Errorf("%w: trailer %q", errChunk, shorten(name))
		}
	}
}

func (r *chunkedReader) readChunkEnd() error {
	line, err := readLine(r.br)
	if err == nil && line != "" {
		err = fmt.Errorf("%w: a chunk is longer than its size", errChunk)
	}
	return err
}

// readLine reads a line that ends with CRLF and returns it without its end.
func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadSlice('\n')
	switch {
	case errors.Is(err, io.EOF):
		return "", io.ErrUnexpectedEOF
	case err != nil:
		return "", err
	case len(line) < len(emptyLine) || line[len(line)-len(emptyLine)] != '\r':
		return "", fmt.Errorf("%w: a line ends without CR", errChunk)
	}
	return string(line[:len(line)-len(emptyLine)]), nil
}

// parseChunkSize parses the line before a chunk: a size and perhaps extensions, which are ignored.
func parseChunkSize(line string) (int, error) {
	digits := len(line) - len(strings.TrimLeft(line, "0123456789abcdefABCDEF"))
	size := 0
	for _, c := range []byte(line[:digits]) {
		if size = size<<4 | hexValue(c); size > maxStreamBytes {
			return 0, ErrTooLarge
		}
	}
	extension := strings.TrimLeft(line[digits:], " \t")
	if digits == 0 || extension != "" && extension[0] != ';' || !httpanswer.IsValue(extension) {
		return 0, fmt.Errorf("%w: size %q", errChunk, shorten(line))
	}
	return size, nil
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) int {
	if c <= '9' {
		return int(c - '0')
	}
	return int(c|0x20-'a') + 10
}

// forbiddenTrailers lists, in lower case, fields that may not be trailers (RFC 9110, section 6.5.1): those of the
// connection, framing, routing, authentication and the content's format.
var forbiddenTrailers = func() map[string]bool {
	set := make(map[string]bool)
	for _, name := range []string{
		fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding,
		fasthttp.HeaderUpgrade, fasthttp.HeaderContentLength, fasthttp.HeaderContentEncoding, fasthttp.HeaderContentType,
		fasthttp.HeaderContentRange, fasthttp.HeaderHost, fasthttp.HeaderExpect, fasthttp.HeaderMaxForwards, fasthttp.HeaderRange,
		fasthttp.HeaderAuthorization, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization, fasthttp.HeaderWWWAuthenticate,
		fasthttp.HeaderCookie, fasthttp.HeaderSetCookie, fasthttp.HeaderLocation, "X-Real-IP",
		"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
	} {
		set[strings.ToLower(name)] = true
	}
	return set
}()

// sizedReader reads a body of a known size. It returns io.EOF only after all of it.
type sizedReader struct {
	br   *bufio.Reader
	left int
}

// Read implements io.Reader.
func (r *sizedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.br.Read(p[:min(len(p), r.left)])
	r.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endReader reads a body that ends with its connection. It returns io.EOF only if the connection showed no error before.
type endReader struct {
	conn *Conn
}

// Read implements io.Reader.
func (r endReader) Read(p []byte) (int, error) {
	n, err := r.conn.br.Read(p)
	if errors.Is(err, io.EOF) && !r.conn.endedCleanly() {
		err = ErrNoEnd
	}
	return n, err
}
