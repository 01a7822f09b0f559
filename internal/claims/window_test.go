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

// Times of the order whose instances are killed.
const (
	windowRun  = 50 * time.Millisecond // At the upstream.
	windowStep = time.Millisecond
	windowEnd  = 70 * time.Millisecond
)

// killDuringOrder kills an instance a time after an order from the third has begun, and
// returns what the caller was told, and how often the order ran.
func killDuringOrder(t *testing.T, victim fleet.Ref, after time.Duration) (a exchange.Answer, runs int) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.slowly(windowRun)
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

// An order is of unknown outcome only when an instance dies that may have run it and nobody
// else knows. The log lists the windows, by the time of the kill.
func TestUnknownWindow(t *testing.T) {
	for _, victim := range []fleet.Ref{home, witness} {
		last := ""
		unknown := 0
		for after := time.Duration(0); after < windowEnd; after += windowStep {
			a, runs := killDuringOrder(t, victim, after)
			if runs > 1 || a.Execution == result.NotRun && runs > 0 || a.Execution == result.Ran && runs != 1 {
				t.Errorf("%s killed at %s: told %s, ran %d times", victim, after, a.Execution, runs)
			}
			if a.Execution == result.Unknown {
				unknown++
			}
			if told := fmt.Sprintf("code %d, %s, ran %d times", a.Code, a.Execution, runs); told != last {
				t.Logf("%s killed from %s on: %s", victim.ID, after, told)
				last = told
			}
		}
		t.Logf("%s: unknown for %d of %d ms", victim.ID, unknown, windowEnd/windowStep)
	}
}

// BenchmarkDo is a keyed request from the entry's call to its answer, with a home and a
// witness of no distance.
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
