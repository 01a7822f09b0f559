package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// errNotModified means status 304: a watch ended without a change, or the cached list is current.
var errNotModified = errors.New("not modified")

// storeReply is one complete response of the platform.
type storeReply struct {
	status int
	header http.Header
	body   []byte
}

// check returns nil for a call that succeeded, otherwise the error that the response reports.
// A response that the protocol does not define leaves the result unknown.
func (r storeReply) check() error {
	if r.status == http.StatusNotModified {
		return errNotModified
	}
	if r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
		return nil
	}
	word := r.header.Get(protocol.HeaderError)
	switch word {
	case protocol.ErrorNotFound:
		return metastore.ErrNotFound
	case protocol.ErrorConflict:
		return fmt.Errorf("%w: the key is at version %s", metastore.ErrConflict, r.header.Get(protocol.HeaderVersion))
	case protocol.ErrorTooLarge:
		return metastore.ErrTooLarge
	case protocol.ErrorLeaseLost:
		return metastore.ErrLeaseLost
	case protocol.ErrorUnavailable, protocol.ErrorMalformed:
		return fmt.Errorf("%w: status %d, %s", metastore.ErrUnavailable, r.status, word)
	default:
		return fmt.Errorf("%w: status %d without a known %s %q", metastore.ErrUnknownResult, r.status, protocol.HeaderError, word)
	}
}

// id parses a version or lease ID from a header.
func (r storeReply) id(name string) (uint64, error) {
	text := r.header.Get(name)
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("header %s %q is not a number", name, text)
	}
	return id, nil
}

// readError turns an unknown result into ErrUnavailable, as a read has no effect that could be in doubt.
func readError(err error) error {
	if errors.Is(err, metastore.ErrUnknownResult) || errors.Is(err, errNotModified) {
		return fmt.Errorf("%w: %s", metastore.ErrUnavailable, err)
	}
	return err
}
