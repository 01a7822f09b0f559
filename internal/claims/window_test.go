package claims

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// Durations of the order during which an instance is killed.
const (
	windowRun  = 50 * time.Millisecond // Of the execution at the upstream.
	windowStep = time.Millisecond
	windowEnd  = 70 * time.Millisecond
)

// killDuringOrder kills an instance some time after an order was sent to the third instance, and
// returns the caller's answer and how often the order ran.
func killDuringOrder(t *testing.T, victim fleet.Ref, after time.Duration) (a exchange.Answer, runs int) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.delayExecution(windowRun)
		r := f.request("a")
		time.AfterFunc(after+hopTime/2, func() { f.kill(victim) })
		a = f.do(third, r)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		runs = len(f.runs)
	})
	return a, runs
}

// The outcome of an order may be unknown only if the killed instance may have run it and no other
// instance has a record of it. The log lists the time windows of the kill by their answer.
func TestUnknownWindow(t *testing.T) {
	for _, victim := range []fleet.Ref{home, witness} {
		last := ""
		unknown := 0
		for after := time.Duration(0); after < windowEnd; after += windowStep {
			a, runs := killDuringOrder(t, victim, after)
			if runs > 1 || a.Execution == result.NotRun && runs > 0 || a.Execution == result.Ran && runs != 1 {
				t.Errorf("%s killed at %s: answered %s, ran %d times", victim, after, a.Execution, runs)
			}
			if a.Execution == result.Unknown {
				unknown++
			}
			if observed := fmt.Sprintf("code %d, %s, ran %d times", a.Code, a.Execution, runs); observed != last {
				t.Logf("%s killed from %s on: %s", victim.ID, after, observed)
				last = observed
			}
		}
		t.Logf("%s: unknown for %d of %d ms", victim.ID, unknown, windowEnd/windowStep)
	}
}

// BenchmarkDo measures a keyed request at its home, from the call of Do to its answer, with no
// latency between home and witness.
func BenchmarkDo(b *testing.B) {
	f := newFleet(b, 0, claim.Limits{MaxKeys: 1 << 30, MaxBytes: 1 << 40})
	ticket := claim.Ticket{Home: home, Witness: witness, Service: "drums", Account: "kerri", Expires: time.Now().Add(time.Hour)}
	text := f.nodes[home].claims.Issue(ticket)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := exchange.Request{
			Service: "drums", Account: "kerri", Method: "POST", URI: "/orders",
			Key: fmt.Sprint(text, ".", i), Deadline: time.Now().Add(time.Minute),
		}
		if a := f.nodes[home].claims.Do(context.Background(), r); a.Execution != result.Ran {
			b.Fatalf("%+v", a)
		}
	}
}
