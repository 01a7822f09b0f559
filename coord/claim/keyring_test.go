package claim

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var (
	oldKey = SigningKey{ID: 1, Secret: []byte("0123456789abcdef")}
	newKey = SigningKey{ID: 2, Secret: []byte("fedcba9876543210")}
)

func newTestKeyring(t testing.TB, keys ...SigningKey) *Keyring {
	t.Helper()
	ring, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func mustSign(t testing.TB, ring *Keyring, ticket Ticket) string {
	t.Helper()
	text, err := ring.Sign(ticket)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestTicketRoundTrip(t *testing.T) {
	ring := newTestKeyring(t, oldKey)
	rapid.Check(t, func(t *rapid.T) {
		ticket := Ticket{
			Fleet:   rapid.StringN(0, 20, 20).Draw(t, "fleet"),
			Home:    fleet.Ref{ID: "a", Incarnation: fleet.Incarnation(rapid.Uint64().Draw(t, "incarnation"))},
			Witness: fleet.Ref{ID: "b", Incarnation: 2},
			Service: fleet.Service(rapid.StringN(0, 20, 20).Draw(t, "service")),
			Account: fleet.Account(rapid.StringN(0, 20, 20).Draw(t, "account")),
			Expires: time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "expires"), 0),
		}
		text, err := ring.Sign(ticket)
		if err != nil {
			t.Fatal(err)
		}
		opened, err := ring.Open(text)
		if err != nil {
			t.Fatal(err)
		}
		if !opened.Expires.Equal(ticket.Expires) {
			t.Fatalf("expires %s, signed %s", opened.Expires, ticket.Expires)
		}
		opened.Expires = ticket.Expires
		if opened != ticket {
			t.Fatalf("opened %+v, signed %+v", opened, ticket)
		}
	})
}

// A ticket with any single bit changed, or cut short, must not be accepted.
func TestTamperedTicketIsRejected(t *testing.T) {
	ring := newTestKeyring(t, oldKey)
	text := mustSign(t, ring, testTicket)
	for i := range text {
		for bit := range 8 {
			changed := []byte(text)
			changed[i] ^= 1 << bit
			if opened, err := ring.Open(string(changed)); err == nil {
				t.Fatalf("byte %d bit %d changed: opened as %+v", i, bit, opened)
			}
		}
		if _, err := ring.Open(text[:i]); !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrForged) {
			t.Fatalf("cut to %d bytes: %v", i, err)
		}
	}
}

func TestTicketErrors(t *testing.T) {
	ring := newTestKeyring(t, oldKey)
	forger := newTestKeyring(t, SigningKey{ID: 1, Secret: []byte("another secret 16")})
	cases := []struct {
		name string
		text string
		want error
	}{
		{"empty", "", ErrMalformed},
		{"not base64", "%%%", ErrMalformed},
		{"not a ticket", "AAAA", ErrMalformed},
		{"forged", mustSign(t, forger, testTicket), ErrForged},
		{"unknown key", mustSign(t, newTestKeyring(t, newKey), testTicket), ErrUnknownSigningKey},
	}
	for _, c := range cases {
		if _, err := ring.Open(c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
	if err := testTicket.CheckAt("other", testStart); !errors.Is(err, ErrOtherFleet) {
		t.Errorf("other fleet: %v", err)
	}
	if err := testTicket.CheckAt("f", testExpiry); !errors.Is(err, ErrExpired) {
		t.Errorf("expired: %v", err)
	}
	if err := testTicket.CheckAt("f", testStart); err != nil {
		t.Errorf("good ticket: %v", err)
	}
}

// During each step of a key rotation some instances have the old keyring and some the new one;
// each must open the tickets that the others sign.
func TestKeyRotationHasNoGap(t *testing.T) {
	steps := [][]SigningKey{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for i := 1; i < len(steps); i++ {
		before, after := newTestKeyring(t, steps[i-1]...), newTestKeyring(t, steps[i]...)
		if i < len(steps)-1 {
			if _, err := after.Open(mustSign(t, before, testTicket)); err != nil {
				t.Errorf("step %d: ticket of before: %v", i, err)
			}
		}
		if _, err := before.Open(mustSign(t, after, testTicket)); err != nil {
			t.Errorf("step %d: ticket of after: %v", i, err)
		}
	}
}

func TestInvalidSigningKeysAreRejected(t *testing.T) {
	for _, keys := range [][]SigningKey{nil, {{ID: 1, Secret: []byte("short")}}, {oldKey, oldKey}} {
		if _, err := NewKeyring(keys); !errors.Is(err, ErrInvalidSigningKey) {
			t.Errorf("%d keys: %v", len(keys), err)
		}
	}
	same := Ticket{Home: homeRef, Witness: homeRef}
	if _, err := newTestKeyring(t, oldKey).Sign(same); !errors.Is(err, ErrMalformed) {
		t.Errorf("home as witness: %v", err)
	}
}

// Text that opens must be text that the keyring signed: signing its ticket again gives the same
// text.
func FuzzOpen(f *testing.F) {
	ring := newTestKeyring(f, oldKey)
	text := mustSign(f, ring, testTicket)
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Add(mustSign(f, newTestKeyring(f, newKey), testTicket))
	f.Add("")
	f.Add("gwFBoFA")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := ring.Open(text)
		if err != nil {
			return
		}
		if again := mustSign(t, ring, ticket); again != text {
			t.Fatalf("opened %q, signs as %q", text, again)
		}
	})
}

// A message with any content must neither cause a panic or a second dispatch nor change the
// state of a running, sealed or done key.
func FuzzDeliver(f *testing.F) {
	for kind := MessageClaim; kind <= MessageHandOver; kind++ {
		for before := range uint8(5) {
			msg := Message{Kind: kind, Key: testKey, Outcome: Outcome{Result: Result(kind%3) + 1}}
			data, err := cbor.Marshal(msg)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data, true, before)
			f.Add(data, false, before)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, home bool, before uint8) {
		var msg Message
		if cbor.Unmarshal(data, &msg) != nil {
			return
		}
		msg.Ticket = testTicket
		side := sideWitness
		if home {
			side = sideHome
		}
		x := newModel(mutations{})
		for _, ev := range []string{"submit", "not run", "give up", "answered"}[:before%5] {
			x.step(event{kind: ev, side: side})
		}
		state := sideIDOf(x.machines[side]).state
		x.record(side, x.machines[side].Deliver(testStart, x.machines[1-side].self, msg))
		after := sideIDOf(x.machines[side]).state
		if (state == stateSealed || state == stateDone || state == stateRunning) && state != after {
			t.Fatalf("message %+v moved state %d to %d", msg, state, after)
		}
		if x.dispatched[side] > 1 {
			t.Fatalf("message %+v dispatched again", msg)
		}
	})
}
