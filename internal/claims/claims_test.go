package claims

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

func TestRetryAtAnyInstanceReturnsTheSameAnswer(t *testing.T) {
	for _, first := range []fleet.Ref{home, witness, third} {
		inFleet(t, claim.Limits{}, func(f *testFleet) {
			r := f.request("a")
			for _, at := range []fleet.Ref{first, home, witness, third} {
				a := f.do(at, r)
				f.expect(at.String(), a, result.CodeAnswered, result.Ran)
				if string(a.Body) != "ran a" || a.Status != 201 {
					t.Errorf("at %s: %d %q", at, a.Status, a.Body)
				}
				f.expect("look-up", f.lookup(at, r), result.CodeAnswered, result.Ran)
			}
			f.expectRuns(1)
		})
	}
}

func TestConcurrentCallersShareOneExecution(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.delayExecution(time.Second)
		r := f.request("a")
		answers := make(chan exchange.Answer)
		for _, at := range []fleet.Ref{home, home, third, third, witness, witness} {
			go func() { answers <- f.do(at, r) }()
		}
		for range 6 {
			f.expect("caller", <-answers, result.CodeAnswered, result.Ran)
		}
		f.expectRuns(1)
	})
}

func TestWitnessAnswersWhenTheHomesReplyIsLost(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setCut(home, third, true)
		f.expect("order", f.do(third, f.request("a")), result.CodeAnswered, result.Ran)
		f.expectRuns(1)
	})
}

func TestWitnessRunsTheRequestWhenTheHomeIsDown(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.kill(home)
		r := f.request("a")
		f.expect("order", f.do(third, r), result.CodeAnswered, result.Ran)
		f.expect("retry", f.do(witness, r), result.CodeAnswered, result.Ran)
		f.expectRuns(1)
	})
}

func TestHomeCrashDuringExecutionLeavesTheOutcomeUnknown(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.delayExecution(time.Second)
		time.AfterFunc(500*time.Millisecond, func() { f.kill(home) })
		r := f.request("a")
		f.expect("order", f.do(third, r), result.CodeOutcomeUnknown, result.Unknown)
		f.expect("look-up", f.lookup(third, r), result.CodeOutcomePending, result.Unknown)
		f.expectRuns(1)
	})
}

// The witness's grants never reach the home. The home seals the key and answers only that this
// attempt did not run; the witness answers that the key is sealed.
func TestOneWayPartitionRunsNothing(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setCut(witness, home, true)
		r := f.request("a")
		f.expect("order", f.do(home, r), result.CodeAttemptNotRun, result.Unknown)
		f.expect("order at the witness", f.do(witness, r), result.CodeKeySealed, result.NotRun)
		f.setCut(witness, home, false)
		time.Sleep(10 * time.Second)
		f.expect("look-up", f.lookup(third, r), result.CodeKeySealed, result.NotRun)
		f.expectRuns(0)
	})
}

func TestRelayedRequestSealedByTheHomeIsUnknown(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setCut(home, witness, true)
		f.setCut(third, witness, true)
		f.expect("order at the home", f.do(home, f.request("a")), result.CodeAttemptNotRun, result.Unknown)
		f.expect("relayed order", f.do(third, f.request("b")), result.CodeOutcomeUnknown, result.Unknown)
		f.expectRuns(0)
	})
}

// Without a link to the witness the home declines at once instead of waiting for a grant.
func TestHomeDeclinesWithoutALinkToTheWitness(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.kill(witness)
		for _, at := range []fleet.Ref{home, third} {
			started := time.Now()
			f.expect("order", f.do(at, f.request("a")), result.CodeAttemptNotRun, result.Unknown)
			if waited := time.Since(started); waited > 10*hopTime {
				t.Errorf("answered at %s after %s", at, waited)
			}
		}
		f.expectRuns(0)
	})
}

func TestRequestIsNotRunWhenHomeAndWitnessAreDown(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.kill(home)
		f.kill(witness)
		r := f.request("a")
		f.expect("order", f.do(third, r), result.CodeAttemptNotRun, result.Unknown)
		f.expect("look-up", f.lookup(third, r), result.CodeOutcomeUnknown, result.Unknown)
	})
}

func TestRestartedHomeDeclinesAndTheWitnessRuns(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		r := f.request("a")
		f.kill(home)
		next := fleet.Ref{ID: "restarted", Incarnation: 2}
		f.start(next, claim.Limits{})
		f.expect("relayed", f.nodes[next].claims.HandleRelayed(context.Background(), third, claim.RoleHome, r), result.CodeTicketIncarnation, result.Unknown)
		f.expect("order", f.do(next, r), result.CodeAnswered, result.Ran)
		f.expectRuns(1)
	})
}

// A corrupted key may belong to a retry of a request that ran, so no refusal may answer not-run.
func TestInvalidKeysAreRefusedByCode(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		good := f.request("a")
		ticket := good.Key[:len(good.Key)-2]
		expired := claim.Ticket{Home: home, Witness: witness, Service: "drums", Account: "kerri", Expires: time.Now()}
		foreign := expired
		foreign.Fleet, foreign.Expires = "g", time.Now().Add(time.Hour)
		forger := newKeyring(t, claim.SigningKey{ID: 1, Secret: []byte("not the fleet's secret")})
		retired := newKeyring(t, claim.SigningKey{ID: 9, Secret: fleetKey.Secret})
		cases := []struct {
			name, key string
			code      result.Code
		}{
			{"no unique part", ticket, result.CodeTicketMalformed},
			{"long unique part", ticket + "." + strings.Repeat("x", MaxUniqueBytes+1), result.CodeTicketMalformed},
			{"line break", ticket + ".\n", result.CodeTicketMalformed},
			{"truncated", ticket[:40] + ".a", result.CodeTicketMalformed},
			{"forged", sign(t, forger, foreign) + ".a", result.CodeTicketForged},
			{"retired signing key", sign(t, retired, foreign) + ".a", result.CodeTicketForged},
			{"other fleet", sign(t, newKeyring(t, fleetKey), foreign) + ".a", result.CodeTicketOtherFleet},
			{"expired", f.nodes[home].claims.Issue(expired) + ".a", result.CodeTicketExpired},
		}
		for _, c := range cases {
			r := good
			r.Key = c.key
			for _, at := range []fleet.Ref{home, third} {
				f.expect(c.name, f.do(at, r), c.code, result.Unknown)
				f.expect(c.name+" look-up", f.lookup(at, r), c.code, result.Unknown)
			}
		}
		r := good
		r.Account = "other"
		f.expect("other account", f.do(home, r), result.CodeTicketOtherAccount, result.Unknown)
		f.expectRuns(0)
		if got := f.nodes[home].claims.Vars().Get("ticket-expired").String(); got != "2" {
			t.Errorf("ticket-expired counted %s times, want 2", got)
		}
	})
}

func sign(t *testing.T, r *claim.Keyring, ticket claim.Ticket) string {
	t.Helper()
	text, err := r.Sign(ticket)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestReusedKeyIsRefused(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		r := f.request("a")
		f.do(home, r)
		r.Body = []byte("another order")
		for _, at := range []fleet.Ref{home, witness, third} {
			f.expect(at.String(), f.do(at, r), result.CodeKeyReused, result.None)
		}
		f.expectRuns(1)
	})
}

func TestCallerCancelsDuringExecution(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.delayExecution(time.Second)
		r := f.request("a")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		time.AfterFunc(50*time.Millisecond, cancel)
		f.expect("order", f.nodes[home].claims.Do(ctx, r), result.CodeCallerGone, result.Unknown)
		time.Sleep(2 * time.Second)
		f.expect("look-up", f.lookup(third, r), result.CodeAnswered, result.Ran)
		f.expectRuns(1)
	})
}

func TestCallerCancelBeforeTheGrantSealsTheKey(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setCut(home, witness, true)
		r := f.request("a")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		f.expect("order", f.nodes[home].claims.Do(ctx, r), result.CodeCallerGone, result.Unknown)
		f.setCut(home, witness, false)
		f.expect("retry", f.do(third, r), result.CodeKeySealed, result.NotRun)
		f.expectRuns(0)
	})
}

func TestShedRequestIsSealed(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setExecution(func(context.Context, exchange.Request) exchange.Answer {
			return exchange.Rejection(result.CodeShedDeadline, "")
		})
		r := f.request("a")
		for _, at := range []fleet.Ref{third, home, witness} {
			f.expect(at.String(), f.do(at, r), result.CodeShedDeadline, result.NotRun)
		}
		f.expectRuns(1)
	})
}

func TestExecutorFailuresLeaveTheOutcomeUnknown(t *testing.T) {
	runs := map[string]func(context.Context, exchange.Request) exchange.Answer{
		"panic": func(context.Context, exchange.Request) exchange.Answer { panic("executor") },
		"cut off": func(context.Context, exchange.Request) exchange.Answer {
			return exchange.Rejection(result.CodeAnswerCutOff, "")
		},
		"no state": func(context.Context, exchange.Request) exchange.Answer { return exchange.Answer{Status: 200} },
	}
	for name, run := range runs {
		inFleet(t, claim.Limits{}, func(f *testFleet) {
			f.setExecution(run)
			r := f.request("a")
			for _, at := range []fleet.Ref{third, home, witness} {
				if a := f.do(at, r); a.Execution != result.Unknown {
					t.Errorf("%s at %s: %+v", name, at, a)
				}
			}
			f.expectRuns(1)
		})
	}
}

func TestLargeAnswerIsReturnedButNotKept(t *testing.T) {
	inFleet(t, claim.Limits{MaxAnswerBytes: 10}, func(f *testFleet) {
		f.setCut(third, home, true)
		r := f.request("a")
		f.expect("order", f.do(third, r), result.CodeAnswered, result.Ran)
		f.expect("retry", f.do(witness, r), result.CodeAnswerNotKept, result.Ran)
		f.expect("retry at the home", f.do(home, r), result.CodeAnswerNotKept, result.Ran)
		f.expectRuns(1)
	})
}

func TestFullTableLeavesTheExecutionUnknown(t *testing.T) {
	inFleet(t, claim.Limits{MaxKeys: 1}, func(f *testFleet) {
		f.do(home, f.request("a"))
		f.expect("order", f.do(home, f.request("b")), result.CodeClaimTableFull, result.Unknown)
		f.expectRuns(1)
	})
}

func TestPlannedStopHandsTheOutcomesToTheWitness(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.setCut(witness, home, true)
		f.setCut(home, witness, true)
		early := f.request("early")
		go f.do(home, early)
		time.Sleep(100 * time.Millisecond)
		f.setCut(witness, home, false)
		f.setCut(home, witness, false)
		f.delayExecution(time.Second)
		running := f.request("running")
		answered := make(chan exchange.Answer)
		go func() { answered <- f.do(home, running) }()
		time.Sleep(10 * time.Millisecond)
		if err := f.nodes[home].claims.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.expect("running order", <-answered, result.CodeAnswered, result.Ran)
		f.expect("new order at the stopping home", f.do(home, f.request("new")), result.CodeAnswered, result.Ran)
		f.kill(home)
		f.expect("running", f.lookup(third, running), result.CodeAnswered, result.Ran)
		if a := f.do(third, early); a.Execution == result.Unknown {
			t.Errorf("order that was pending when the stop began: %+v", a)
		}
		f.expectRuns(3)
	})
}

// A key that reached its home late in a planned stop was run there and cut off, though its witness could have run it.
func TestKeyThatOutlivesThePlannedStopOfItsHomeRunsAtTheWitness(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		end := time.Now().Add(2 * time.Second)
		f.nodes[home].claims.mayStart = func(_, deadline time.Time) bool { return !deadline.After(end) }
		f.expect("order at its home", f.do(home, f.request("a")), result.CodeAnswered, result.Ran)
		f.expect("relayed order", f.do(third, f.request("b")), result.CodeAnswered, result.Ran)
		f.expectRuns(2)
		f.expectRunsAt(home, 0)
		short := f.request("c")
		short.Deadline = end
		f.expect("order that ends in time", f.nodes[home].claims.Do(context.Background(), short), result.CodeAnswered, result.Ran)
		f.expectRunsAt(home, 1)
		f.expect("retry of it", f.do(home, short), result.CodeAnswered, result.Ran)
		f.expectRuns(3)
	})
}

func TestStopIsBoundedByItsContext(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.do(home, f.request("a"))
		time.Sleep(time.Second)
		f.delayExecution(time.Hour)
		go f.do(home, f.request("b"))
		synctest.Wait()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := f.nodes[home].claims.Stop(ctx); err == nil {
			t.Error("Stop returned nil while an order was running")
		}
		time.Sleep(time.Hour)
	})
}

func TestRequestAfterTheLoopEndedIsRefused(t *testing.T) {
	inFleet(t, claim.Limits{}, func(f *testFleet) {
		f.kill(home)
		synctest.Wait()
		f.kill(witness)
		f.expect("order", f.do(home, f.request("a")), result.CodeStopping, result.Unknown)
	})
}
