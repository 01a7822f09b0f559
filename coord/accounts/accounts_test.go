package accounts

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func digest(key string) [32]byte { return sha256.Sum256([]byte(key)) }

func entry(name string, keys ...string) Entry {
	e := Entry{Account: Account{ID: IDOf(name), Name: name, Priority: LeastUrgent}}
	for _, k := range keys {
		e.Keys = append(e.Keys, digest(k))
	}
	return e
}

func TestAuthenticate(t *testing.T) {
	d := NewDirectory([]Entry{entry("a", "k1", "k2", "k1"), entry("b", "k3", "both"), entry("c", "both"), entry("none")})
	revoke := Bounds{ApplyWithin: 2500 * time.Millisecond, RevokeWithin: 5 * time.Second}
	apply := Bounds{ApplyWithin: revoke.ApplyWithin}
	aged := func(age time.Duration) Age { return Age{true, age} }
	const limit = 4750 * time.Millisecond // Of revoke.RevokeWithin less a twentieth.
	for name, tc := range map[string]struct {
		anonymous  bool
		credential Credential
		key        string
		age        Age
		bounds     Bounds
		account    string
		outcome    Outcome
	}{
		"no key":                               {false, Absent, "", aged(0), revoke, "", KeyMissing},
		"no key and no confirmation":           {false, Absent, "", Age{}, revoke, "", KeyMissing},
		"no key, anonymous":                    {true, Absent, "", Age{}, revoke, "", Accepted},
		"malformed":                            {false, Malformed, "k1", aged(0), revoke, "", KeyMalformed},
		"malformed, anonymous":                 {true, Malformed, "k1", aged(0), revoke, "", KeyMalformed},
		"malformed, no confirmation":           {false, Malformed, "k1", Age{}, revoke, "", KeyMalformed},
		"no such state of a credential":        {true, Present + 1, "k1", aged(0), revoke, "", KeyMalformed},
		"known":                                {false, Present, "k1", aged(0), revoke, "a", Accepted},
		"second key":                           {false, Present, "k2", aged(0), revoke, "a", Accepted},
		"other account":                        {false, Present, "k3", aged(0), revoke, "b", Accepted},
		"known, anonymous":                     {true, Present, "k1", aged(0), revoke, "a", Accepted},
		"known, at the limit of the age":       {false, Present, "k1", aged(limit), revoke, "a", Accepted},
		"known, beyond the limit":              {false, Present, "k1", aged(limit + 1), revoke, "", Unconfirmed},
		"known, anonymous, beyond the limit":   {true, Present, "k1", aged(limit + 1), revoke, "", Unconfirmed},
		"known, no confirmation":               {false, Present, "k1", Age{}, revoke, "", Unconfirmed},
		"known, no confirmation, not promised": {false, Present, "k1", Age{}, apply, "", Unconfirmed},
		"known, old, not promised":             {false, Present, "k1", aged(time.Hour), apply, "a", Accepted},
		"unknown":                              {false, Present, "x", aged(0), revoke, "", KeyUnknown},
		"unknown, anonymous":                   {true, Present, "x", aged(0), revoke, "", KeyUnknown},
		"unknown, at the limit":                {false, Present, "x", aged(revoke.ApplyWithin), revoke, "", KeyUnknown},
		"unknown, beyond apply_within":         {false, Present, "x", aged(revoke.ApplyWithin + 1), revoke, "", Unconfirmed},
		"unknown, old, not promised":           {false, Present, "x", aged(revoke.ApplyWithin + 1), apply, "", Unconfirmed},
		"unknown, no confirmation":             {false, Present, "x", Age{}, apply, "", Unconfirmed},
		"unknown, no confirmation, promised":   {false, Present, "x", Age{}, revoke, "", Unconfirmed},
		"key of two accounts":                  {false, Present, "both", aged(0), revoke, "", KeyUnknown},
	} {
		account, outcome := d.Authenticate(tc.anonymous, tc.credential, digest(tc.key), tc.age, tc.bounds)
		got := ""
		if account != nil {
			got = account.Name
		}
		if got != tc.account || outcome != tc.outcome {
			t.Errorf("%s: got %q, %s; want %q, %s", name, got, outcome, tc.account, tc.outcome)
		}
	}
}

// Guards the order by the account's priority, then by the route's.
func TestUrgencyOrdersByAccountThenRoute(t *testing.T) {
	priority := rapid.OneOf(rapid.IntRange(0, 3), rapid.IntRange(LeastUrgent-1, LeastUrgent))
	rapid.Check(t, func(t *rapid.T) {
		var a, b [2]int
		for i := range a {
			a[i], b[i] = priority.Draw(t, "a"), priority.Draw(t, "b")
		}
		got := cmp.Compare(Urgency(a[0], a[1]), Urgency(b[0], b[1]))
		if want := slices.Compare(a[:], b[:]); got != want {
			t.Errorf("%v and %v compare as %d, want %d", a, b, got, want)
		}
	})
	if Urgency(0, 0) != 0 || Urgency(-1, -1) != 0 || Urgency(math.MaxInt, math.MaxInt) != Urgency(LeastUrgent, LeastUrgent) {
		t.Error("priorities out of range are not bounded")
	}
}

// designAccounts is the number of client accounts to design for.
const designAccounts = 79_000

func designEntries() []Entry {
	entries := make([]Entry, designAccounts)
	for i := range entries {
		name := fmt.Sprint("account-", i)
		entries[i] = entry(name, "key-"+name)
	}
	return entries
}

func BenchmarkNewDirectory(b *testing.B) {
	entries := designEntries()
	b.ReportAllocs()
	for b.Loop() {
		NewDirectory(entries)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	entries := designEntries()
	d := NewDirectory(entries)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e := &entries[i%len(entries)]
		if a, _ := d.Authenticate(false, Present, e.Keys[0], Age{Known: true}, Bounds{}); a == nil || a.ID != e.Account.ID {
			b.Fatal("not found")
		}
		i++
	}
}
