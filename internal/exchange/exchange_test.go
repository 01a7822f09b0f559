package exchange

import (
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
)

// A refused attempt with a key says nothing of the key; without one it speaks of the request.
func TestRefuseAttempt(t *testing.T) {
	keyed, unkeyed := Request{Key: "k"}, Request{}
	repeatable := Request{Key: "k", Idempotent: true}
	for _, code := range []result.Code{result.CodeNotReady, result.CodeNoRoute, result.CodeBodyTooLarge, result.CodeStopping} {
		if a := keyed.RejectAttempt(code, ""); a.Execution != result.Unknown || a.Code != code {
			t.Errorf("keyed, code %d: %+v", code, a)
		}
		for _, r := range []Request{unkeyed, repeatable} {
			if a := r.RejectAttempt(code, ""); a.Execution != result.NotRun {
				t.Errorf("code %d: %+v", code, a)
			}
		}
	}
	if a := keyed.RejectAttempt(result.CodeKeyReused, ""); a.Execution != result.None {
		t.Errorf("key reused: %+v", a)
	}
}
