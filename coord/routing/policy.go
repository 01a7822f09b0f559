package routing

import (
	"math/rand/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Candidate is an endpoint that may take an attempt now.
type Candidate struct {
	Endpoint    fleet.Endpoint
	Outstanding int     // Attempts under way from this instance.
	Score       float64 // Estimated cost: own utilization times slowness, reported load, recent failures and slow start. Lower is better.
	index       int
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns the index of the pick. There is at least one candidate.
	Pick(random *rand.Rand, candidates []Candidate) int
}

// TwoChoices draws two candidates and takes the one with the lower score.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(random *rand.Rand, candidates []Candidate) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	first := random.IntN(n)
	second := random.IntN(n - 1)
	if second >= first {
		second++
	}
	if candidates[second].Score < candidates[first].Score {
		return second
	}
	return first
}

// Random takes any candidate. It is a baseline for measurements.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(random *rand.Rand, candidates []Candidate) int {
	return random.IntN(len(candidates))
}

// RoundRobin takes the candidates in the order of their names. It is a baseline for measurements.
type RoundRobin struct{ last fleet.Endpoint }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rand.Rand, candidates []Candidate) int {
	next, first := -1, 0
	for i, c := range candidates {
		if c.Endpoint < candidates[first].Endpoint {
			first = i
		}
		if c.Endpoint > p.last && (next < 0 || c.Endpoint < candidates[next].Endpoint) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	p.last = candidates[next].Endpoint
	return next
}

// LeastConnections takes the candidate with the fewest attempts under way, at random
// among equals. It is a baseline for measurements.
type LeastConnections struct{}

// Pick implements Policy.
func (LeastConnections) Pick(random *rand.Rand, candidates []Candidate) int {
	best, equals := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Outstanding < candidates[best].Outstanding:
			best, equals = i, 1
		case candidates[i].Outstanding == candidates[best].Outstanding:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}
