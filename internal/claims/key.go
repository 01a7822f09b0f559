package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// KeyHeader is the header that carries a caller's key.
const KeyHeader = "Idempotency-Key"

// MaxUniqueBytes bounds the unique part of a key, which the caller chooses.
const MaxUniqueBytes = 128

// keySeparator separates the ticket from the unique part. No ticket contains it.
const keySeparator = "."

// errInvalidUnique reports a unique part that is absent, too long or not printable.
var errInvalidUnique = errors.New("unique part of the key not valid")

// parseKey splits the text of a key into its ticket and its unique part.
func parseKey(text string) (claim.Key, error) {
	ticket, unique, found := strings.Cut(text, keySeparator)
	if !found || ticket == "" || unique == "" || len(unique) > MaxUniqueBytes {
		return claim.Key{}, fmt.Errorf("%w: unique part of %d bytes, allowed are 1 to %d", errInvalidUnique, len(unique), MaxUniqueBytes)
	}
	for _, b := range []byte(unique) {
		if b <= ' ' || b > '~' {
			return claim.Key{}, fmt.Errorf("%w: byte %#02x", errInvalidUnique, b)
		}
	}
	// Both parts are copied, because text may keep the memory of the whole request alive.
	return claim.Key{Ticket: strings.Clone(ticket), Unique: strings.Clone(unique)}, nil
}

// openKey parses the text of a key and verifies its ticket.
func (c *Claims) openKey(text string) (claim.Key, claim.Ticket, error) {
	key, err := parseKey(text)
	if err != nil {
		return claim.Key{}, claim.Ticket{}, err
	}
	ticket, err := c.keys.Load().Open(key.Ticket)
	if err != nil {
		return claim.Key{}, claim.Ticket{}, err
	}
	if err := ticket.CheckAt(c.fleet, time.Now()); err != nil {
		return claim.Key{}, claim.Ticket{}, err
	}
	return key, ticket, nil
}

// keyErrorAnswer returns the answer for an error of openKey.
func keyErrorAnswer(err error) exchange.Answer {
	switch {
	case errors.Is(err, claim.ErrExpired):
		return exchange.AttemptRejection(result.CodeTicketExpired, err.Error())
	case errors.Is(err, claim.ErrOtherFleet):
		return exchange.AttemptRejection(result.CodeTicketOtherFleet, err.Error())
	case errors.Is(err, claim.ErrForged), errors.Is(err, claim.ErrUnknownSigningKey):
		return exchange.AttemptRejection(result.CodeTicketForged, err.Error())
	default:
		return exchange.AttemptRejection(result.CodeTicketMalformed, err.Error())
	}
}

// fingerprint returns a digest of a request's service, account, method, URI and body, by
// which a reuse of its key for another request is detected.
func fingerprint(r exchange.Request) claim.Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{string(r.Service), string(r.Account), r.Method, r.URI} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var f claim.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
