package exchange

import (
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
)

// The rejection of a keyed attempt must not claim "not run", since other attempts with the key may have
// run. Without a key, or for an idempotent request, it may.
func TestRejectAttempt(t *testing.T) {
	keyed, unkeyed := Request{Key: "k"}, Request{}
	idempotent := Request{Key: "k", Idempotent: true}
	for _, code := range []result.Code{result.CodeNotReady, result.CodeNoRoute, result.CodeBodyTooLarge, result.CodeStopping} {
		if a := keyed.RejectAttempt(code, ""); a.Execution != result.Unknown || a.Code != code {
			t.Errorf("keyed, code %d: %+v", code, a)
		}
		for _, r := range []Request{unkeyed, idempotent} {
			if a := r.RejectAttempt(code, ""); a.Execution != result.NotRun {
				t.Errorf("code %d: %+v", code, a)
			}
		}
	}
	if a := keyed.RejectAttempt(result.CodeKeyReused, ""); a.Execution != result.None {
		t.Errorf("key reused: %+v", a)
	}
}
