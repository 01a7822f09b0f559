package gateway

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

// unconfirmedRetryAfter is the Retry-After of a request that needs a key while the configuration may be out of date.
const unconfirmedRetryAfter = 200 * time.Millisecond

// newDirectory returns the client accounts of a configuration; nil if it has none.
func newDirectory(c *platform.Config) *accounts.Directory {
	if !c.HasAccounts {
		return nil
	}
	entries := make([]accounts.Entry, 0, len(c.Accounts))
	for _, a := range c.Accounts {
		priority := accounts.LeastUrgent
		if a.HasPriority {
			priority = a.Priority
		}
		e := accounts.Entry{Account: accounts.Account{ID: accounts.IDOf(a.Name), Name: a.Name, Priority: priority, Rate: a.Rate, Burst: a.Burst}}
		for _, digest := range a.Keys {
			e.Keys = append(e.Keys, digest)
		}
		entries = append(entries, e)
	}
	return accounts.NewDirectory(entries)
}

// identifier returns the function that finds a request's client account by the configuration in force at each call: a
// key may be removed, or move to another account, while its request waits. The request is read once.
func (h *handler) identifier(r *callers.Request, route platform.Route) func() (forward.Identity, *forward.Unauthorized) {
	digest, state := platform.Credential(&r.HTTP.Header)
	return func() (forward.Identity, *forward.Unauthorized) {
		var age accounts.Age
		age.Age, age.Known = h.control.configurationAge() // Before the snapshot: a later one may be confirmed at a later time.
		s := h.control.snapshot.Load()
		bounds := h.bounds()
		switch {
		case s.accounts != nil:
		case state != platform.CredentialAbsent && bounds.RevokeWithin > 0 && bounds.TooOld(age):
			return forward.Identity{}, unauthorized(s.Version, digest, age, accounts.Unconfirmed) // Accounts may be enabled since.
		default:
			return forward.Identity{}, nil
		}
		account, outcome := s.accounts.Authenticate(route.Anonymous, credentialStates[state], digest, age, bounds)
		if outcome != accounts.Accepted {
			return forward.Identity{Accounts: true}, unauthorized(s.Version, digest, age, outcome)
		}
		identity := forward.Identity{Accounts: true}
		if account != nil {
			identity.Account = account.Name
		}
		return identity, nil
	}
}

var credentialStates = map[platform.CredentialState]accounts.Credential{
	platform.CredentialAbsent: accounts.Absent, platform.CredentialMalformed: accounts.Malformed, platform.CredentialPresent: accounts.Present,
}

// unauthorized returns why a request may not be sent. The detail identifies the key by the start of its digest, as the
// caller can compute it.
func unauthorized(version platform.ConfigVersion, digest platform.KeyDigest, age accounts.Age, outcome accounts.Outcome) *forward.Unauthorized {
	switch outcome {
	case accounts.KeyMissing:
		return &forward.Unauthorized{Code: result.CodeKeyMissing, Detail: "the route needs a key"}
	case accounts.KeyMalformed:
		return &forward.Unauthorized{Code: result.CodeKeyMalformed, Detail: "not exactly one key of the scheme that is expected"}
	case accounts.KeyUnknown:
		detail := fmt.Sprintf("no account has the key with the digest %s, version %s, confirmed %s ago", keyID(digest), version, age.Age.Round(time.Millisecond))
		return &forward.Unauthorized{Code: result.CodeAccountKeyUnknown, Detail: detail}
	default:
		confirmed := "has not been confirmed yet"
		if age.Known {
			confirmed = fmt.Sprintf("was last confirmed %s ago", age.Age.Round(time.Millisecond))
		}
		detail := fmt.Sprintf("version %s %s; the key with the digest %s may be another's by now", version, confirmed, keyID(digest))
		return &forward.Unauthorized{Code: result.CodeConfigUnconfirmed, Detail: detail, RetryAfter: unconfirmedRetryAfter}
	}
}

// keyIDBytes of a digest tell the keys of a fleet apart.
const keyIDBytes = 6

func keyID(digest platform.KeyDigest) string {
	return hex.EncodeToString(digest[:keyIDBytes])
}

// bounds returns the promises that decide on a request whose key is not known, or may have been removed.
func (p PromiseSettings) bounds() accounts.Bounds {
	return accounts.Bounds{ApplyWithin: p.ApplyWithin, RevokeWithin: p.RevokeWithin}
}
