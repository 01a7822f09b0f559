package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Errors of Keyring and Ticket.
var (
	// ErrMalformed reports that the text is not a ticket.
	ErrMalformed = errors.New("ticket malformed")
	// ErrForged reports that the ticket's authentication code is wrong.
	ErrForged = errors.New("ticket forged")
	// ErrUnknownSigningKey reports that the keyring lacks the key ID that the ticket names: the
	// ticket is forged, of another fleet, or signed with a key that has been removed.
	ErrUnknownSigningKey = errors.New("ticket signed with an unknown key")
	// ErrOtherFleet reports that the ticket was issued for another fleet.
	ErrOtherFleet = errors.New("ticket of another fleet")
	// ErrExpired reports that the ticket has expired.
	ErrExpired = errors.New("ticket expired")
	// ErrInvalidSigningKey reports signing keys from which no keyring can be built.
	ErrInvalidSigningKey = errors.New("invalid signing key")
)

// Bounds of signing keys and tickets, in bytes.
const (
	MinSecretBytes = 16
	MaxTicketBytes = 1024 // Of the text, base64url.
	macBytes       = 16   // Length to which the HMAC-SHA-256 is truncated.
)

// SigningKey is an HMAC secret that all instances of a fleet share.
type SigningKey struct {
	ID     uint32
	Secret []byte // At least MinSecretBytes.
}

// Keyring signs tickets with its first key and opens tickets signed with any of its keys. It
// is immutable and safe for concurrent use.
//
// To rotate keys without rejecting valid tickets, append the new key on every instance, then
// move it to the front on every instance, and remove the old key after the longest lifetime of
// a ticket.
type Keyring struct {
	keys []SigningKey
}

// signedTicket is the content of a ticket's text.
type signedTicket struct {
	_      struct{} `cbor:",toarray"`
	KeyID  uint32
	Ticket []byte
	MAC    []byte
}

// ticketDecMode rejects CBOR features that ticketEncMode never writes.
var ticketDecMode = mustDecMode(cbor.DecOptions{
	DupMapKey:       cbor.DupMapKeyEnforcedAPF,
	IndefLength:     cbor.IndefLengthForbidden,
	TagsMd:          cbor.TagsAllowed,
	MaxNestedLevels: 4,
})

// ticketEncMode writes the expiry as whole seconds.
var ticketEncMode = mustEncMode(cbor.EncOptions{Time: cbor.TimeUnix})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(fmt.Errorf("decoding options of tickets: %w", err))
	}
	return mode
}

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	mode, err := o.EncMode()
	if err != nil {
		panic(fmt.Errorf("encoding options of tickets: %w", err))
	}
	return mode
}

// NewKeyring returns a keyring that signs with the first key. It returns ErrInvalidSigningKey
// if there is no key, a secret is too short or an ID occurs twice.
func NewKeyring(keys []SigningKey) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, fmt.Errorf("%w: no keys given", ErrInvalidSigningKey)
	}
	seen := make(map[uint32]bool, len(keys))
	ring := &Keyring{keys: make([]SigningKey, 0, len(keys))}
	for _, key := range keys {
		if len(key.Secret) < MinSecretBytes {
			return nil, fmt.Errorf("%w: key %d has %d bytes, needs %d", ErrInvalidSigningKey, key.ID, len(key.Secret), MinSecretBytes)
		}
		if seen[key.ID] {
			return nil, fmt.Errorf("%w: duplicate key ID %d", ErrInvalidSigningKey, key.ID)
		}
		seen[key.ID] = true
		ring.keys = append(ring.keys, SigningKey{ID: key.ID, Secret: append([]byte(nil), key.Secret...)})
	}
	return ring, nil
}

// Sign returns the text of a ticket: base64url without padding. The expiry is truncated to
// whole seconds. It returns ErrMalformed for a ticket without a home, or whose witness is its home.
func (k *Keyring) Sign(t Ticket) (string, error) {
	if err := t.validate(); err != nil {
		return "", err
	}
	body, err := ticketEncMode.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode ticket of home %s: %w", t.Home, err)
	}
	key := k.keys[0]
	data, err := ticketEncMode.Marshal(signedTicket{KeyID: key.ID, Ticket: body, MAC: key.mac(body)})
	if err != nil {
		return "", fmt.Errorf("encode signed ticket of home %s: %w", t.Home, err)
	}
	text := base64.RawURLEncoding.EncodeToString(data)
	if len(text) > MaxTicketBytes {
		return "", fmt.Errorf("%w: text of %d bytes, bound %d", ErrMalformed, len(text), MaxTicketBytes)
	}
	return text, nil
}

// Open decodes and authenticates the text of a ticket. It returns ErrMalformed, ErrForged
// or ErrUnknownSigningKey. Ticket.CheckAt checks the fleet and the expiry.
func (k *Keyring) Open(text string) (Ticket, error) {
	if len(text) > MaxTicketBytes {
		return Ticket{}, fmt.Errorf("%w: text of %d bytes, bound %d", ErrMalformed, len(text), MaxTicketBytes)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w: text of %d bytes: %w", ErrMalformed, len(text), err)
	}
	var s signedTicket
	if err := ticketDecMode.Unmarshal(data, &s); err != nil {
		return Ticket{}, fmt.Errorf("%w: %d bytes: %w", ErrMalformed, len(data), err)
	}
	if err := k.authenticate(s); err != nil {
		return Ticket{}, err
	}
	var t Ticket
	if err := ticketDecMode.Unmarshal(s.Ticket, &t); err != nil {
		return Ticket{}, fmt.Errorf("%w: body of %d bytes: %w", ErrMalformed, len(s.Ticket), err)
	}
	if err := t.validate(); err != nil {
		return Ticket{}, err
	}
	return t, nil
}

func (k *Keyring) authenticate(s signedTicket) error {
	for _, key := range k.keys {
		if key.ID != s.KeyID {
			continue
		}
		if !hmac.Equal(key.mac(s.Ticket), s.MAC) {
			return fmt.Errorf("%w: signed with key %d", ErrForged, s.KeyID)
		}
		return nil
	}
	return fmt.Errorf("%w: key %d", ErrUnknownSigningKey, s.KeyID)
}

func (s SigningKey) mac(body []byte) []byte {
	h := hmac.New(sha256.New, s.Secret)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// CheckAt returns ErrOtherFleet if the ticket is not of the named fleet, and ErrExpired if it
// has expired at now.
func (t Ticket) CheckAt(fleetName string, now time.Time) error {
	if t.Fleet != fleetName {
		return fmt.Errorf("%w: fleet %q, this is %q", ErrOtherFleet, t.Fleet, fleetName)
	}
	if !now.Before(t.Expires) {
		return fmt.Errorf("%w: at %s", ErrExpired, t.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// validate returns ErrMalformed for a ticket without a home, or whose witness is its home.
func (t Ticket) validate() error {
	if t.Home.IsZero() {
		return fmt.Errorf("%w: no home", ErrMalformed)
	}
	if t.Home.ID == t.Witness.ID {
		return fmt.Errorf("%w: instance %s is home and witness", ErrMalformed, t.Home.ID)
	}
	return nil
}
