package main

import (
	"flag"
	"fmt"
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/routing"
)

const (
	noConcurrencyLimit = 1 << 20
	unlimitedBurst     = 1 << 30
	manyAttempts       = 8
	longQueue          = 100 // Maximum queue length at an endpoint.
	manyCarriers       = 8
)

// defaultConfig returns the configuration that services use: the defaults with a retry share
// of 0.1.
func defaultConfig() routing.Config {
	return routing.Config{RetryShare: routing.DefaultRetryShare}
}

// withPolicy returns the default configuration with another selection policy.
func withPolicy(policy func() routing.Policy) func() routing.Config {
	return func() routing.Config {
		cfg := defaultConfig()
		cfg.Policy = policy()
		return cfg
	}
}

// unlimitedRetries returns the configuration with a policy and without a limit on retries.
func unlimitedRetries(policy func() routing.Policy, hedge float64) func() routing.Config {
	return func() routing.Config {
		cfg := withPolicy(policy)()
		cfg.RetryShare = 1
		cfg.RetryBurst = unlimitedBurst
		cfg.MaxAttempts = manyAttempts
		cfg.HedgeQuantile = hedge
		return cfg
	}
}

func twoChoices() routing.Policy       { return routing.TwoChoices{} }
func roundRobin() routing.Policy       { return &routing.RoundRobin{} }
func randomPick() routing.Policy       { return routing.Random{} }
func leastConnections() routing.Policy { return routing.LeastConnections{} }

// variants are the configurations that are compared.
var variants = []variant{
	{"two choices (default)", defaultConfig, endpointSlots},
	{"round robin", withPolicy(roundRobin), endpointSlots},
	{"random", withPolicy(randomPick), endpointSlots},
	{"least connections", withPolicy(leastConnections), endpointSlots},
	{"two choices, unlimited retries", unlimitedRetries(twoChoices, routing.DefaultHedgeQuantile), endpointSlots},
	{"round robin, no limits, unlimited retries", unlimitedRetries(roundRobin, -1), noConcurrencyLimit},
	{"random, no limits, unlimited retries", unlimitedRetries(randomPick, -1), noConcurrencyLimit},
	{"least connections, no limits, unlimited retries", unlimitedRetries(leastConnections, -1), noConcurrencyLimit},
}

// sharedVariants returns the variants with each instance's share of the slots as its limit.
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
	printTable(variants, *seeds, func(load float64) scenario {
		return scenario{load: load, slowdown: 10, carriers: 1, maxQueue: longQueue}
	})
	fmt.Printf("\nThe same from %d instances; an endpoint rejects requests over its slots.\n\n", manyCarriers)
	printTable(sharedVariants(), *seeds, func(load float64) scenario {
		return scenario{load: load, slowdown: 10, carriers: manyCarriers}
	})
	fmt.Printf("\nEvery request fails on every endpoint.\n\n")
	printTable(outageVariants, *seeds, func(load float64) scenario {
		return scenario{load: load, slowdown: 1, failures: 1, carriers: 1, maxQueue: longQueue}
	})
}

// printTable prints one row for each variant and load.
func printTable(variants []variant, seeds int, at func(load float64) scenario) {
	fmt.Println("| routing | load | goodput | of its peak | p50 ms | p99 ms | shed | sent per request admitted |")
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
			v.name, load, r.mean.goodput, r.goodputStdDev, percentOf(r.mean.goodput, peak),
			millis(r.mean.p50), millis(r.mean.p99), r.mean.shed, r.mean.sent, r.maxSent)
	}
}

// summary holds the means over the seeds, the standard deviation of goodput, and the maximum
// attempts sent per admitted request.
type summary struct {
	mean          results
	goodputStdDev float64
	maxSent       float64
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
		sum.maxSent = max(sum.maxSent, f.sent)
		squares += f.goodput * f.goodput / n
	}
	sum.goodputStdDev = math.Sqrt(max(squares-sum.mean.goodput*sum.mean.goodput, 0))
	return sum
}

func percentOf(value, peak float64) string {
	if peak == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*value/peak)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
