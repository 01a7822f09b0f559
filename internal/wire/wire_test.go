package wire

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestDecodeChecksTheVersion(t *testing.T) {
	cases := []struct {
		version uint16
		want    error
	}{
		{0, ErrVersion},
		{Version, nil},
		{Version + 1, nil},
		{Version + 2, ErrVersion},
	}
	for _, c := range cases {
		data, err := cbor.Marshal(Envelope{Version: c.version, Kind: KindClaim, Body: cbor.RawMessage{0x01}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); !errors.Is(err, c.want) {
			t.Errorf("version %d: got %v, want %v", c.version, err, c.want)
		}
	}
}

// FuzzDecode checks that no bytes from a peer make Decode panic, and that each decoded
// envelope can be encoded again.
func FuzzDecode(f *testing.F) {
	seed, err := Encode(KindClaim, struct{ A string }{"x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)-1])
	f.Add([]byte{})
	f.Add([]byte{0xbf, 0x01, 0x01})
	f.Add([]byte{0xa3, 0x01, 0x01, 0x02, 0x01, 0x03, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(e.Kind, e.Body); err != nil {
			t.Fatalf("decoded envelope %v cannot be encoded: %v", e, err)
		}
	})
}
