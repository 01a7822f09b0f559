package health

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestEvaluatorDropsInvalidEvidence(t *testing.T) {
	key := KeyOf(endpointName(0))
	report := func(r Report) *Evidence {
		r.Endpoint = key
		return &Evidence{Sequence: 1 << 40, Revision: 1, Reports: []Report{r}}
	}
	carrier := fleet.Ref{ID: "i00", Incarnation: 1}
	for name, c := range map[string]struct {
		from     fleet.Ref
		evidence *Evidence
	}{
		"not a carrier":       {fleet.Ref{ID: "x", Incarnation: 1}, report(Report{Requests: 1})},
		"old incarnation":     {fleet.Ref{ID: "i00"}, report(Report{Requests: 1})},
		"other revision":      {carrier, &Evidence{Sequence: 1 << 40, Revision: 2}},
		"sequence 0":          {carrier, &Evidence{Revision: 1}},
		"no requests":         {carrier, report(Report{})},
		"huge count":          {carrier, report(Report{Requests: 1 << 31, Failures: 1 << 31})},
		"failures > requests": {carrier, report(Report{Requests: 1, Failures: 2})},
		"odd latency":         {carrier, report(Report{Requests: 1, Latency: []byte{1}})},
		"huge latency":        {carrier, report(Report{Requests: 1, Latency: []byte{255, 1}})},
		"latencies > answers": {carrier, report(Report{Requests: 2, Failures: 1, Latency: []byte{9, 2}})},
		"endpoint twice":      {carrier, &Evidence{Sequence: 1 << 40, Revision: 1, Reports: []Report{{Endpoint: key, Requests: 1}, {Endpoint: key, Requests: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1, 3, 3, 0, 10)
			sends, err := h.evaluator.Deliver(h.now, c.from, c.evidence)
			if !errors.Is(err, ErrEvidenceDropped) || len(sends) != 0 {
				t.Fatalf("error %v and %d messages, want %v and none", err, len(sends), ErrEvidenceDropped)
			}
			if h.evaluator.Dropped != 1 {
				t.Fatalf("dropped %d, want 1", h.evaluator.Dropped)
			}
		})
	}
}

func TestEvaluatorDropsReplayedEvidence(t *testing.T) {
	h := newHarness(1, 3, 3, 0, 10)
	e := &Evidence{Sequence: 5, Revision: 1}
	if _, err := h.evaluator.Deliver(h.now, h.carriers[0].self.Ref, e); err != nil {
		t.Fatal(err)
	}
	if _, err := h.evaluator.Deliver(h.now, h.carriers[0].self.Ref, e); !errors.Is(err, ErrEvidenceDropped) {
		t.Fatalf("error %v, want %v", err, ErrEvidenceDropped)
	}
}

// An evaluator that was paused until its carriers' votes expired must remove nothing before they vote again:
// another evaluator may hold their votes by then.
func TestPausedEvaluatorRemovesNothingAfterResume(t *testing.T) {
	h := newHarness(1, 7, 12, 0, 30)
	h.run(settleTime, nil)
	late := h.carriers[0].Tick(h.now.Add(time.Second))
	h.now = h.now.Add(DefaultConfig().VoteLease)
	h.evaluator.endpoints[2].removal.state = StateEjected
	for _, s := range late {
		sends, err := h.evaluator.Deliver(h.now, h.carriers[0].self.Ref, s.Evidence)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range sends[0].Decision.Removals {
			if isRemoved(r.State) {
				t.Fatalf("the evaluator removes endpoint %08x", r.Endpoint)
			}
		}
	}
	if h.outCount(2) != 0 {
		t.Fatalf("endpoint 2 is out at %d carriers", h.outCount(2))
	}
}

// No single message, however malformed, may eject an endpoint. Negative numbers do not decode into Evidence.
func FuzzEvidence(f *testing.F) {
	good, err := cbor.Marshal(Evidence{Sequence: 1, Revision: 1, Reports: []Report{{Endpoint: 1, Requests: 2, Latency: []byte{1, 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xa1, 0x01, 0x20}) // Sequence -1.
	f.Fuzz(func(t *testing.T, data []byte) {
		var e Evidence
		if cbor.Unmarshal(data, &e) != nil {
			return
		}
		h := newHarness(1, 3, 3, 0, 10)
		_, _ = h.evaluator.Deliver(h.now, h.carriers[0].self.Ref, &e)
		if h.anyOutExcept(-1) {
			t.Fatal("one message ejected an endpoint")
		}
	})
}
