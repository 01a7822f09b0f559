// Package accounts decides which client account a request belongs to, or why it is rejected.
//
// A Directory is immutable and safe for concurrent use. It holds digests of keys, never keys.
package accounts

import (
	"bytes"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// ID identifies an account by its name: its FNV-1a hash of 64 bits.
type ID uint64

// IDOf returns the ID of an account's name.
func IDOf(name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // It returns no error.
	return ID(h.Sum64())
}

// LeastUrgent is the priority of an account whose configuration names none.
const LeastUrgent = math.MaxInt32

// Account is a client account. It is not modified after it was added to a Directory.
type Account struct {
	ID       ID
	Name     string
	Priority int     // 0 is the most urgent; LeastUrgent if the configuration names none.
	Rate     float64 // Requests a second; 0: no limit.
	Burst    float64 // Requests.
}

// Entry is an account and the SHA-256 digests of its keys.
type Entry struct {
	Account Account
	Keys    [][32]byte
}

// Directory finds accounts by the digests of their keys. The zero value holds none.
type Directory struct {
	accounts []Account
	keys     []key // Sorted by digest.
}

// key has no pointer, so that the garbage collector does not scan the keys of all accounts.
type key struct {
	digest  [32]byte
	account uint32 // Index in Directory.accounts.
}

func compareDigests(a, b key) int { return bytes.Compare(a.digest[:], b.digest[:]) }

// NewDirectory returns a directory of at most 2^32 accounts. A key of two entries is unknown, as it identifies
// neither; one that is repeated within an entry counts once. Two names with the same ID share a limit.
func NewDirectory(entries []Entry) *Directory {
	size := 0
	for _, e := range entries {
		size += len(e.Keys)
	}
	d := &Directory{accounts: make([]Account, len(entries)), keys: make([]key, 0, size)}
	for i, e := range entries {
		d.accounts[i] = e.Account
		for _, digest := range e.Keys {
			d.keys = append(d.keys, key{digest, uint32(i)})
		}
	}
	slices.SortFunc(d.keys, compareDigests)
	d.keys = slices.Clip(withoutShared(d.keys))
	return d
}

// withoutShared removes repeated keys, and all occurrences of those of several accounts, from sorted keys, in place.
func withoutShared(keys []key) []key {
	kept := keys[:0]
	for len(keys) > 0 {
		first, n, shared := keys[0], 1, false
		for n < len(keys) && keys[n].digest == first.digest {
			shared = shared || keys[n].account != first.account
			n++
		}
		if !shared {
			kept = append(kept, first)
		}
		keys = keys[n:]
	}
	return kept
}

// Accounts returns the number of accounts.
func (d *Directory) Accounts() int { return len(d.accounts) }

// find returns the account of a key, nil if there is none.
func (d *Directory) find(digest [32]byte) *Account {
	i, ok := slices.BinarySearchFunc(d.keys, key{digest: digest}, compareDigests)
	if !ok {
		return nil
	}
	return &d.accounts[d.keys[i].account]
}

// Credential is whether a request carries a key.
type Credential uint8

// States of a Credential.
const (
	Absent    Credential = iota // No credential.
	Malformed                   // A credential that holds no key, or more than one credential.
	Present                     // A key.
)

// Age is how long ago the configuration in force was last confirmed to be that of the store.
type Age struct {
	Known bool // False before the first confirmation.
	Age   time.Duration
}

// Bounds are promises of the settings.
type Bounds struct {
	ApplyWithin  time.Duration // Within which a new configuration takes effect.
	RevokeWithin time.Duration // After which no request with a removed key runs; 0: not promised.
}

// driftShare is the part of RevokeWithin that is left for the drift between the clocks of instances.
const driftShare = 20

// maxAge is the age up to which a confirmation proves that a key was not revoked RevokeWithin ago.
func (b Bounds) maxAge() time.Duration { return b.RevokeWithin - b.RevokeWithin/driftShare }

// TooOld reports whether a configuration of an age decides on no key: another one may be in force since. One that was
// never confirmed may be from the copy of a restored store, in which a key is another account's.
func (b Bounds) TooOld(age Age) bool {
	return !age.Known || b.RevokeWithin > 0 && age.Age > b.maxAge()
}

// Outcome is the result of authenticating a request.
type Outcome uint8

// Outcomes. All but Accepted reject the request.
const (
	Accepted     Outcome = iota // The request may run.
	KeyMissing                  // It has no key, and its route requires one.
	KeyMalformed                // Its credential holds no key.
	KeyUnknown                  // No account has its key.
	Unconfirmed                 // The configuration in force may be too old to tell.
	outcomes
)

var outcomeNames = [outcomes]string{"accepted", "key-missing", "key-malformed", "account-key-unknown", "configuration-unconfirmed"}

// String returns the outcome's name in logs, which for all but Accepted is that of its result code.
func (o Outcome) String() string {
	if o >= outcomes {
		return "unknown"
	}
	return outcomeNames[o]
}

// Authenticate returns the account of a request with a credential, whose digest counts if it is Present, or why the
// request is rejected. Accepted with nil means that the request belongs to no account, as it carries no key and its
// route is anonymous. The account is not to be modified.
func (d *Directory) Authenticate(anonymous bool, c Credential, digest [32]byte, age Age, b Bounds) (*Account, Outcome) {
	switch {
	case c == Absent && anonymous:
		return nil, Accepted
	case c == Absent:
		return nil, KeyMissing
	case c != Present:
		return nil, KeyMalformed
	case b.TooOld(age):
		return nil, Unconfirmed
	}
	if account := d.find(digest); account != nil {
		return account, Accepted
	}
	if age.Age <= b.ApplyWithin {
		return nil, KeyUnknown
	}
	return nil, Unconfirmed // A configuration that has the key may be in force elsewhere.
}

// priorityBits is the size of a priority in an urgency.
const priorityBits = 31

// Urgency returns one comparable number, 0 the most urgent, of the priorities of a request's account and route. The
// account's takes precedence. Priorities count from 0 to LeastUrgent.
func Urgency(accountPriority, routePriority int) int {
	bound := func(priority int) int { return min(max(priority, 0), LeastUrgent) }
	return bound(accountPriority)<<priorityBits | bound(routePriority)
}
