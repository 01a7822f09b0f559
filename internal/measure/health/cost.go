package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/internal/endpoints"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Sizes at which the cost is measured, and the mean requests per second on an endpoint
// at the size to design for (53,000 over 12,000 endpoints).
var (
	costEndpoints = []int{11, 22, 44, 88}
	costCarriers  = []int{6, 12, 24}
)

const designRate = 53_000.0 / 12_000

// cost is what one service costs.
type cost struct {
	stateBytes    float64 // Of the judge.
	carrierBytes  float64 // State of one carrier.
	nsPerEvidence float64 // Judge.Deliver, median of several runs.
	evidenceRate  float64 // Bytes per second from one carrier.
	verdictRate   float64 // Bytes per second from the judge to all carriers.
}

func writeCost(out io.Writer) error {
	fmt.Fprintln(out, "| endpoints | carriers | judge state B | carrier state B | ns per evidence | evidence B/s per carrier | verdicts B/s per judge |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, e := range costEndpoints {
		for _, c := range costCarriers {
			x, err := costOf(e, c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", e, c, x.stateBytes, x.carrierBytes, x.nsPerEvidence, x.evidenceRate, x.verdictRate)
		}
	}
	return nil
}

// costOf lets a service run for a while at the design rate.
func costOf(count, carrierCount int) (cost, error) {
	w := workload{service: "service-000", endpoints: count, slots: 4, latency: 50 * time.Millisecond, accepted: 0.001, expected: designRate * float64(count)}
	all := fleetOf(carrierCount)
	before := heapBytes()
	j := newJudged(w, health.DefaultConfig(), all, epoch)
	x := cost{}
	random := rand.New(rand.NewPCG(1, 1))
	now := epoch
	const duration = 60 * time.Second
	var spent []float64
	evidenceBytes, verdictBytes := 0, 0
	for ; now.Before(epoch.Add(duration)); now = now.Add(50 * time.Millisecond) {
		for c := range all {
			feed(j, random, now, c, w)
			j.tick(now, c)
			for _, m := range j.outbox() {
				n, err := size(wire.KindEvidence, endpoints.ServiceEvidence{Entries: []endpoints.EvidenceEntry{{Service: w.service, Evidence: *m.send.Evidence}}})
				if err != nil {
					return cost{}, err
				}
				evidenceBytes += n
				start := time.Now()
				j.deliver(now, m)
				spent = append(spent, float64(time.Since(start).Nanoseconds()))
			}
			for _, m := range j.outbox() {
				n, err := size(wire.KindDecision, endpoints.ServiceDecision{Entries: []endpoints.DecisionEntry{{Service: w.service, Decision: *m.send.Decision}}})
				if err != nil {
					return cost{}, err
				}
				verdictBytes += n
				j.deliver(now, m)
			}
		}
	}
	slices.Sort(spent)
	x.nsPerEvidence = quantile(spent, 0.5)
	x.evidenceRate = float64(evidenceBytes) / duration.Seconds() / float64(carrierCount)
	x.verdictRate = float64(verdictBytes) / duration.Seconds()
	spent = nil
	whole := heapBytes() - before
	j.judge = nil
	carriersOnly := heapBytes() - before
	x.stateBytes = whole - carriersOnly
	x.carrierBytes = carriersOnly / float64(carrierCount)
	runtime.KeepAlive(j)
	return x, nil
}

// feed gives a carrier its part of 50 ms of healthy requests.
func feed(j *judged, random *rand.Rand, now time.Time, carrier int, w workload) {
	mean := designRate * 0.05 / float64(len(j.all))
	for e := range w.endpoints {
		if random.Float64() < mean {
			j.observe(now, carrier, e, random.Float64() < healthyFailing, w.healthyLatency(random), false)
		}
	}
}

func size(kind wire.Kind, body any) (int, error) {
	data, err := wire.Encode(kind, body)
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
