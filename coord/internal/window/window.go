// Package window counts two kinds of events over a sliding window of time.
package window

import "time"

// Pair counts events in time slices of fixed length and drops the oldest slice as a whole. Of n
// slices an event therefore stays for more than n-1 and at most n slice lengths. Pair is not
// safe for concurrent use.
type Pair struct {
	slice   time.Duration
	counts  [][2]int
	sum     [2]int
	current int64 // Number of the newest slice.
}

// New returns a window of the given number of slices, each of length slice.
func New(slices int, slice time.Duration) Pair {
	return Pair{slice: slice, counts: make([][2]int, slices)}
}

// advance drops the slices that have left the window by now.
func (p *Pair) advance(now time.Time) {
	n := now.UnixNano() / int64(p.slice)
	if n-p.current >= int64(len(p.counts)) {
		clear(p.counts)
		p.sum, p.current = [2]int{}, n
		return
	}
	for p.current < n {
		p.current++
		old := &p.counts[p.current%int64(len(p.counts))]
		p.sum[0] -= old[0]
		p.sum[1] -= old[1]
		*old = [2]int{}
	}
}

// Add counts one event, of the second kind or of the first.
func (p *Pair) Add(now time.Time, second bool) {
	p.advance(now)
	kind := 0
	if second {
		kind = 1
	}
	p.counts[p.current%int64(len(p.counts))][kind]++
	p.sum[kind]++
}

// Sums returns the number of events of each kind within the window.
func (p *Pair) Sums(now time.Time) (first, second int) {
	p.advance(now)
	return p.sum[0], p.sum[1]
}

// Slices returns the counts by slice, the newest first. Empty slices at the end are left out.
func (p *Pair) Slices(now time.Time) [][2]int {
	p.advance(now)
	out := make([][2]int, 0, len(p.counts))
	filled := 0
	for age := range int64(len(p.counts)) {
		n := int64(len(p.counts))
		out = append(out, p.counts[((p.current-age)%n+n)%n])
		if out[age] != [2]int{} {
			filled = int(age) + 1
		}
	}
	return out[:filled]
}

// Raise raises each slice to at least the given counts, the newest slice first.
func (p *Pair) Raise(now time.Time, slices [][2]int) {
	p.advance(now)
	n := int64(len(p.counts))
	for age := range min(int64(len(slices)), n) {
		slice := &p.counts[((p.current-age)%n+n)%n]
		for kind, count := range slices[age] {
			if count > slice[kind] {
				p.sum[kind] += count - slice[kind]
				slice[kind] = count
			}
		}
	}
}
