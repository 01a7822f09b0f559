package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// trailerEnd ends a trailer without fields.
const trailerEnd = "\r\n"

// readHead reads a request's buffered head. The names of trailer fields that are dropped are not read: fasthttp
// refuses some of them, and does not send a field of the head whose name is announced for the trailer.
func (c *conn) readHead(h *fasthttp.RequestHeader, head []byte) error {
	kept, changed := c.dropAnnounced(string(head))
	if !changed {
		return h.Read(c.br)
	}
	if err := h.Read(bufio.NewReaderSize(strings.NewReader(kept), len(kept))); err != nil {
		return err
	}
	_, err := c.br.Discard(len(head))
	return err
}

// dropAnnounced removes the names of trailer fields that are dropped from the announcement in a head.
func (c *conn) dropAnnounced(head string) (kept string, changed bool) {
	drop := c.server.options.DropTrailer
	if drop == nil {
		return head, false
	}
	lines := strings.Split(head, "\r\n")
	for i := 1; i < len(lines); i++ {
		name, value, ok := strings.Cut(lines[i], ":")
		if !ok || !strings.EqualFold(name, fasthttp.HeaderTrailer) {
			continue
		}
		names := strings.Split(value, ",")
		others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return drop(strings.Trim(name, " \t")) })
		if len(others) == len(names) {
			continue
		}
		changed = true
		if lines[i] = name + ":" + strings.Join(others, ","); len(others) == 0 {
			lines = slices.Delete(lines, i, i+1)
			i--
		}
	}
	return strings.Join(lines, "\r\n"), changed
}

// readTrailer reads what follows the last chunk of a body, and adds the fields to the header unless Options.DropTrailer
// says otherwise: a field that the instance reads from the head must not come after the request was accepted by it. The
// fields have the bound of the head.
func (c *conn) readTrailer(h *fasthttp.RequestHeader, limit int) error {
	start, err := c.br.Peek(len(trailerEnd))
	switch {
	case len(start) == 0 && err == io.EOF:
		return nil // A caller that ends its connection after the last chunk has sent its body completely.
	case string(start) == trailerEnd:
		_, err := c.br.Discard(len(trailerEnd))
		return err
	}
	section, err := peekHead(c.br, limit)
	if errors.Is(err, bufio.ErrBufferFull) && c.growBuffer(limit) {
		section, err = peekHead(c.br, limit)
	}
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, bufio.ErrBufferFull):
		return errTrailerSize
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	if err := c.addTrailer(h, string(section)); err != nil {
		return err
	}
	_, err = c.br.Discard(len(section))
	return err
}

// addTrailer adds the fields of a trailer to a header.
func (c *conn) addTrailer(h *fasthttp.RequestHeader, section string) error {
	lines := strings.Split(strings.TrimSuffix(section, "\r\n\r\n"), "\r\n")
	for i, line := range lines {
		name, _, err := cutField(line)
		if err != nil {
			return fmt.Errorf("line %d of the trailer: %w", i+1, err)
		}
		if drop := c.server.options.DropTrailer; drop != nil && drop(name) {
			continue
		}
		// The last chunk comes first, as fasthttp would take a name that begins with 0 for it.
		field := "0\r\n" + line + "\r\n\r\n"
		if err := h.ReadTrailer(bufio.NewReaderSize(strings.NewReader(field), len(field))); err != nil {
			return fmt.Errorf("line %d of the trailer: %w: %s", i+1, errTrailerField, shorten(name))
		}
	}
	return nil
}
