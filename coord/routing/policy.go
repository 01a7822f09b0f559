package routing

import (
	"math/rand/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Candidates are the endpoints that may take an attempt now, numbered from 0.
type Candidates interface {
	Len() int
	// Endpoint returns the address of candidate i.
	Endpoint(i int) fleet.Endpoint
	// Outstanding returns the attempts that this instance has under way on candidate i.
	Outstanding(i int) int
	// Score returns the estimated cost of candidate i: own utilization times slowness,
	// reported load, recent failures and slow start. Lower is better.
	Score(i int) float64
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns the number of the pick. There is at least one candidate.
	Pick(random *rand.Rand, c Candidates) int
}

// TwoChoices draws two candidates and takes the one with the lower score.
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

// Random takes any candidate. It is a baseline for measurements.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(random *rand.Rand, c Candidates) int {
	return random.IntN(c.Len())
}

// RoundRobin takes the candidates in the order of their names. It is a baseline for measurements.
type RoundRobin struct{ last fleet.Endpoint }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rand.Rand, c Candidates) int {
	next, first := -1, 0
	for i := range c.Len() {
		name := c.Endpoint(i)
		if name < c.Endpoint(first) {
			first = i
		}
		if name > p.last && (next < 0 || name < c.Endpoint(next)) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	p.last = c.Endpoint(next)
	return next
}

// LeastConnections takes the candidate with the fewest attempts under way, at random
// among equals. It is a baseline for measurements.
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
