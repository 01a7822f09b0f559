package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// errNotChanged says that a watch ended without a change.
var errNotChanged = errors.New("key not changed")

// reply is one whole answer of the platform.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// check returns nil for a call that succeeded, else the error that the answer stands for.
// An answer that the protocol does not know leaves the result unknown.
func (r reply) check() error {
	if r.status == http.StatusNotModified {
		return errNotChanged
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

// id returns a number from a header.
func (r reply) id(name string) (uint64, error) {
	text := r.header.Get(name)
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("header %s %q is no number", name, text)
	}
	return id, nil
}

// asRead turns an unknown result into a failed call: a read has no effect to be unsure of.
func asRead(err error) error {
	if errors.Is(err, metastore.ErrUnknownResult) || errors.Is(err, errNotChanged) {
		return fmt.Errorf("%w: %s", metastore.ErrUnavailable, err)
	}
	return err
}
