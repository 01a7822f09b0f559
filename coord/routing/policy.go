package routing

import (
	"math/rand/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Candidates are the endpoints on which an attempt may start now, indexed from 0.
type Candidates interface {
	Len() int
	// Endpoint returns the address of candidate i.
	Endpoint(i int) fleet.Endpoint
	// Outstanding returns the number of this instance's running attempts on candidate i.
	Outstanding(i int) int
	// Score returns the estimated cost of candidate i; lower is better. It is the
	// utilization by this instance times the relative latency, plus terms for reported
	// load, recent failures and slow start.
	Score(i int) float64
}

// Policy selects the endpoint of an attempt.
type Policy interface {
	// Pick returns the index of the selected candidate. There is at least one candidate.
	Pick(random *rand.Rand, c Candidates) int
}

// TwoChoices draws two random candidates and picks the one with the lower score
// (power of two choices).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(random *rand.Rand, c Candidates) int {
	n := c.Len()
	if n == 1 {
		return 0
	}
	first := random.IntN(n)
	second := random.IntN(n - 1)
	if second >= first {
		second++
	}
	if c.Score(second) < c.Score(first) {
		return second
	}
	return first
}

// Random picks a random candidate. It is a baseline for benchmarks.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(random *rand.Rand, c Candidates) int {
	return random.IntN(c.Len())
}

// RoundRobin picks the candidates in turn, in order of address. It is a baseline for benchmarks.
type RoundRobin struct{ last fleet.Endpoint }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rand.Rand, c Candidates) int {
	next, first := -1, 0
	for i := range c.Len() {
		address := c.Endpoint(i)
		if address < c.Endpoint(first) {
			first = i
		}
		if address > p.last && (next < 0 || address < c.Endpoint(next)) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	p.last = c.Endpoint(next)
	return next
}

// LeastConnections picks the candidate with the fewest running attempts, at random
// among equals. It is a baseline for benchmarks.
type LeastConnections struct{}

// Pick implements Policy.
func (LeastConnections) Pick(random *rand.Rand, c Candidates) int {
	best, equals := 0, 1
	for i := 1; i < c.Len(); i++ {
		switch {
		case c.Outstanding(i) < c.Outstanding(best):
			best, equals = i, 1
		case c.Outstanding(i) == c.Outstanding(best):
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}
