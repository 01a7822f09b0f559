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

// Sizes at which the cost is measured.
var (
	costEndpoints = []int{11, 22, 44, 88}
	costCarriers  = []int{6, 12, 24}
)

// designRate is the mean rate of requests per second on an endpoint at the design size: 53,000
// over 12,000 endpoints.
const designRate = 53_000.0 / 12_000

// cost is the cost of the health checks of one service.
type cost struct {
	stateBytes    float64 // State of the evaluator.
	carrierBytes  float64 // State of one carrier.
	nsPerEvidence float64 // Time of Evaluator.Deliver, median over all calls.
	evidenceRate  float64 // Bytes per second from one carrier.
	decisionRate  float64 // Bytes per second from the evaluator to all carriers.
}

func writeCost(out io.Writer) error {
	fmt.Fprintln(out, "| endpoints | carriers | evaluator state B | carrier state B | ns per evidence | evidence B/s per carrier | decisions B/s per evaluator |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, e := range costEndpoints {
		for _, c := range costCarriers {
			result, err := costOf(e, c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", e, c, result.stateBytes, result.carrierBytes, result.nsPerEvidence, result.evidenceRate, result.decisionRate)
		}
	}
	return nil
}

// costOf runs a service for a minute of virtual time at the design rate.
func costOf(count, carrierCount int) (cost, error) {
	w := workload{service: "service-000", endpoints: count, slots: 4, latency: 50 * time.Millisecond, acceptedRate: 0.001, expectedRate: designRate * float64(count)}
	all := fleetOf(carrierCount)
	before := heapBytes()
	ep := newEvaluatorPolicy(w, health.DefaultConfig(), all, epoch)
	result := cost{}
	random := rand.New(rand.NewPCG(1, 1))
	now := epoch
	const duration = 60 * time.Second
	var durations []float64
	evidenceBytes, decisionBytes := 0, 0
	for ; now.Before(epoch.Add(duration)); now = now.Add(50 * time.Millisecond) {
		for c := range all {
			observeHealthy(ep, random, now, c, w)
			ep.tick(now, c)
			for _, m := range ep.outbox() {
				n, err := size(wire.KindEvidence, endpoints.ServiceEvidence{Entries: []endpoints.EvidenceEntry{{Service: w.service, Evidence: *m.send.Evidence}}})
				if err != nil {
					return cost{}, err
				}
				evidenceBytes += n
				start := time.Now()
				ep.deliver(now, m)
				durations = append(durations, float64(time.Since(start).Nanoseconds()))
			}
			for _, m := range ep.outbox() {
				n, err := size(wire.KindDecision, endpoints.ServiceDecision{Entries: []endpoints.DecisionEntry{{Service: w.service, Decision: *m.send.Decision}}})
				if err != nil {
					return cost{}, err
				}
				decisionBytes += n
				ep.deliver(now, m)
			}
		}
	}
	slices.Sort(durations)
	result.nsPerEvidence = quantile(durations, 0.5)
	result.evidenceRate = float64(evidenceBytes) / duration.Seconds() / float64(carrierCount)
	result.decisionRate = float64(decisionBytes) / duration.Seconds()
	durations = nil
	totalBytes := heapBytes() - before
	ep.evaluator = nil
	carrierTotal := heapBytes() - before
	result.stateBytes = totalBytes - carrierTotal
	result.carrierBytes = carrierTotal / float64(carrierCount)
	runtime.KeepAlive(ep)
	return result, nil
}

// observeHealthy passes to a carrier its share of the healthy requests that arrive in 50 ms.
func observeHealthy(ep *evaluatorPolicy, random *rand.Rand, now time.Time, carrier int, w workload) {
	mean := designRate * 0.05 / float64(len(ep.instances))
	for e := range w.endpoints {
		if random.Float64() < mean {
			ep.observe(now, carrier, e, random.Float64() < healthyFailRate, w.healthyLatency(random), false)
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
