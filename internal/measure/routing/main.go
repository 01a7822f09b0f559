package main

import (
	"flag"
	"fmt"
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/routing"
)

const (
	noLimit        = 1 << 20
	unlimitedBurst = 1 << 30
	mostAttempts   = 8
	longWait       = 100 // Requests that wait at an endpoint that queues.
	severalCarry   = 8
)

// settings are the service's own: the defaults with a retry share of 0.1.
func settings() routing.Config {
	return routing.Config{RetryShare: routing.DefaultRetryShare}
}

// selecting returns the service's settings with another policy.
func selecting(policy func() routing.Policy) func() routing.Config {
	return func() routing.Config {
		cfg := settings()
		cfg.Policy = policy()
		return cfg
	}
}

// unlimited returns the settings without a bound on retries.
func unlimited(policy func() routing.Policy, hedge float64) func() routing.Config {
	return func() routing.Config {
		cfg := selecting(policy)()
		cfg.RetryShare = 1
		cfg.RetryBurst = unlimitedBurst
		cfg.MaxAttempts = mostAttempts
		cfg.HedgeQuantile = hedge
		return cfg
	}
}

func twoChoices() routing.Policy       { return routing.TwoChoices{} }
func roundRobin() routing.Policy       { return &routing.RoundRobin{} }
func randomPick() routing.Policy       { return routing.Random{} }
func leastConnections() routing.Policy { return routing.LeastConnections{} }

// variants are measured side by side.
var variants = []variant{
	{"two choices (the service's own)", settings, endpointSlots},
	{"round robin", selecting(roundRobin), endpointSlots},
	{"random", selecting(randomPick), endpointSlots},
	{"least connections", selecting(leastConnections), endpointSlots},
	{"two choices, unlimited retries", unlimited(twoChoices, routing.DefaultHedgeQuantile), endpointSlots},
	{"round robin, no limits, unlimited retries", unlimited(roundRobin, -1), noLimit},
	{"random, no limits, unlimited retries", unlimited(randomPick, -1), noLimit},
	{"least connections, no limits, unlimited retries", unlimited(leastConnections, -1), noLimit},
}

// sharedVariants are the variants with each instance's share of the slots as its limits.
func sharedVariants() []variant {
	shared := append([]variant(nil), variants...)
	for i := range shared {
		if shared[i].limit == endpointSlots {
			shared[i].limit = 0
		}
	}
	return shared
}

// outageVariants are measured with every request failing; selection makes no difference there.
var outageVariants = []variant{variants[0], variants[4], variants[5]}

var loads = []float64{0.5, 0.9, 1.2, 2}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, starting at 1")
	flag.Parse()
	fmt.Printf("One endpoint of %d runs 10 times slower.\n\n", endpointCount)
	printTable(variants, *seeds, func(load float64) scenario { return scenario{load: load, slowdown: 10, carriers: 1, maxWait: longWait} })
	fmt.Printf("\nThe same from %d instances; an endpoint refuses what is over its slots.\n\n", severalCarry)
	printTable(sharedVariants(), *seeds, func(load float64) scenario {
		return scenario{load: load, slowdown: 10, carriers: severalCarry}
	})
	fmt.Printf("\nEvery request fails on every endpoint.\n\n")
	printTable(outageVariants, *seeds, func(load float64) scenario {
		return scenario{load: load, slowdown: 1, failures: 1, carriers: 1, maxWait: longWait}
	})
}

// printTable prints one row for each variant and load.
func printTable(variants []variant, seeds int, at func(load float64) scenario) {
	fmt.Println("| routing | load | goodput | of its peak | p50 ms | p99 ms | shed | sent per request taken |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, v := range variants {
		printVariant(v, seeds, at)
	}
}

func printVariant(v variant, seeds int, at func(load float64) scenario) {
	rows := make([]summary, len(loads))
	peak := 0.0
	for i, load := range loads {
		rows[i] = summarize(v, at(load), seeds)
		peak = max(peak, rows[i].mean.goodput)
	}
	for i, load := range loads {
		r := rows[i]
		fmt.Printf("| %s | %.1f | %.3f ± %.3f | %s | %.0f | %.0f | %.3f | %.3f (at most %.3f) |\n",
			v.name, load, r.mean.goodput, r.spread, share(r.mean.goodput, peak),
			millis(r.mean.p50), millis(r.mean.p99), r.mean.shed, r.mean.sent, r.mostSent)
	}
}

// summary holds the means over the seeds, the standard deviation of goodput and the most work sent.
type summary struct {
	mean     figures
	spread   float64
	mostSent float64
}

func summarize(v variant, s scenario, seeds int) summary {
	var sum summary
	squares := 0.0
	n := float64(seeds)
	for seed := range seeds {
		f := run(v, s, uint64(seed+1))
		sum.mean.goodput += f.goodput / n
		sum.mean.p50 += f.p50 / time.Duration(seeds)
		sum.mean.p99 += f.p99 / time.Duration(seeds)
		sum.mean.shed += f.shed / n
		sum.mean.sent += f.sent / n
		sum.mostSent = max(sum.mostSent, f.sent)
		squares += f.goodput * f.goodput / n
	}
	sum.spread = math.Sqrt(max(squares-sum.mean.goodput*sum.mean.goodput, 0))
	return sum
}

func share(value, peak float64) string {
	if peak == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*value/peak)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
